package servermodel

import "time"

// collapseState is whether a server has collapsed under its load. Spec has the conditions.
type collapseState struct {
	overloadedSince time.Duration // more than CollapseAt wait, or never
	collapsedSince  time.Duration // or never
	recoveringSince time.Duration // it holds fewer than RecoverBelow, or never
}

func newCollapseState() collapseState {
	return collapseState{overloadedSince: never, collapsedSince: never, recoveringSince: never}
}

func (c *collapseState) isCollapsed() bool { return c.collapsedSince >= 0 }

// update takes in how many requests the server holds now.
func (c *collapseState) update(spec *Spec, now time.Duration, inFlight float64) {
	if c.isCollapsed() {
		c.updateRecovery(spec, now, inFlight)
		return
	}
	cores := float64(spec.Cores)
	waiting := inFlight - cores // those in a slot without a core of their own wait too
	switch {
	case waiting <= spec.CollapseAt*cores:
		c.overloadedSince = never
	case c.overloadedSince < 0:
		c.overloadedSince = now
	case now-c.overloadedSince >= spec.CollapseAfter:
		*c = newCollapseState()
		c.collapsedSince = now
	}
}

func (c *collapseState) updateRecovery(spec *Spec, now time.Duration, inFlight float64) {
	switch {
	case inFlight > spec.RecoverBelow*float64(spec.Cores):
		c.recoveringSince = never
	case c.recoveringSince < 0:
		c.recoveringSince = now
	}
	recovered := c.recoveringSince >= 0 && now-c.recoveringSince >= spec.RecoverAfter
	if recovered || now-c.collapsedSince >= spec.MaxCollapse {
		c.collapsedSince = never
	}
}

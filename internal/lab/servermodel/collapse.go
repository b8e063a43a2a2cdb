package servermodel

import "time"

// collapseState records whether and since when a server has collapsed under overload. Spec defines the conditions.
type collapseState struct {
	overloadedSince time.Duration // start of the period with waiting requests above CollapseAt, or never
	collapsedSince  time.Duration // time of the collapse, or never
	recoveringSince time.Duration // start of the period with requests in flight at or below RecoverBelow, or never
}

func newCollapseState() collapseState {
	return collapseState{overloadedSince: never, collapsedSince: never, recoveringSince: never}
}

func (c *collapseState) isCollapsed() bool { return c.collapsedSince >= 0 }

// update updates the state for the number of requests in flight now.
func (c *collapseState) update(spec *Spec, now time.Duration, inFlight float64) {
	if c.isCollapsed() {
		c.updateRecovery(spec, now, inFlight)
		return
	}
	cores := float64(spec.Cores)
	waiting := inFlight - cores // includes requests that have a slot but no core of their own
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

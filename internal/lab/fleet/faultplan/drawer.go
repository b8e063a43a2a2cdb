package faultplan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The second halves of the random generator's seeds: one seed gives an independent plan of each sort.
const (
	mixedStream   = 0x706c616e
	serversStream = 0x73657276
	upgradeStream = 0x75706772
	changeStream  = 0x706f6c69
)

// quietDivisor is the part of a plan, at its beginning, that is without faults, for the fleet to form: a sixth.
const quietDivisor = 6

// drawer draws a plan. The order in which it takes random numbers is part of what a seed means.
type drawer struct {
	random *rand.Rand
	plan   Plan
}

func newDrawer(stream uint64, plan Plan) *drawer {
	return &drawer{random: rand.New(rand.NewPCG(plan.Seed, stream)), plan: plan}
}

// finish returns the plan with all that it has in the order of time.
func (d *drawer) finish() Plan {
	slices.SortStableFunc(d.plan.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(d.plan.Calls, func(a, b Call) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(d.plan.Changes, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	return d.plan
}

// quietTime is how long the plan is without faults at its beginning.
func (d *drawer) quietTime() time.Duration { return d.plan.Length / quietDivisor }

// drawTime draws a time from 0 to a span, in whole milliseconds.
func (d *drawer) drawTime(span time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(span))).Round(time.Millisecond)
}

// drawTimeAfterQuiet draws a time of the plan after its quiet beginning.
func (d *drawer) drawTimeAfterQuiet() time.Duration {
	return d.quietTime() + d.drawTime(d.plan.Length-d.quietTime())
}

// drawAmount draws a number from least to least+span.
func (d *drawer) drawAmount(least, span float64) float64 { return least + span*d.random.Float64() }

// drawOneIn is true for one draw in n.
func (d *drawer) drawOneIn(n int) bool { return d.random.IntN(n) == 0 }

// drawNumber draws a whole number from least to most.
func (d *drawer) drawNumber(least, most int) int { return least + d.random.IntN(most-least+1) }

func (d *drawer) drawSidecar() int { return d.random.IntN(d.plan.Sidecars) }

// drawSidecars draws one to most sidecars, in order.
func (d *drawer) drawSidecars(most int) []int {
	order := d.random.Perm(d.plan.Sidecars)
	drawn := order[:d.drawNumber(1, max(1, most))]
	slices.Sort(drawn)
	return drawn
}

// allSidecars are all sidecars.
func (d *drawer) allSidecars() []int { return d.otherSidecars(nil) }

// otherSidecars are all sidecars but those that are named.
func (d *drawer) otherSidecars(named []int) (others []int) {
	for i := range d.plan.Sidecars {
		if !slices.Contains(named, i) {
			others = append(others, i)
		}
	}
	return others
}

func (d *drawer) addFault(f Fault) { d.plan.Faults = append(d.plan.Faults, f) }

// addCall adds an operator's call on a server that is drawn. It is a call that takes the server up once in odds draws.
func (d *drawer) addCall(at time.Duration, sidecar, oneIn int) {
	call := Call{At: at, Sidecar: sidecar, Server: d.random.IntN(d.plan.Servers)}
	call.Down = !d.drawOneIn(oneIn)
	d.plan.Calls = append(d.plan.Calls, call)
}

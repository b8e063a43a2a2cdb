package faultplan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The second halves of the random generator's seeds. They differ so that one seed gives independent plans of each type.
const (
	mixedStream   = 0x706c616e
	serversStream = 0x73657276
	upgradeStream = 0x75706772
	changeStream  = 0x706f6c69
)

// quietDivisor determines the initial period without faults, in which the fleet can form. The period is a sixth of the
// plan's length.
const quietDivisor = 6

// drawer draws a plan. The plan of a seed depends on the order in which random numbers are drawn, so this order must
// not change.
type drawer struct {
	random *rand.Rand
	plan   Plan
}

func newDrawer(stream uint64, plan Plan) *drawer {
	return &drawer{random: rand.New(rand.NewPCG(plan.Seed, stream)), plan: plan}
}

// finish returns the plan with its faults, calls and changes in chronological order.
func (d *drawer) finish() Plan {
	slices.SortStableFunc(d.plan.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(d.plan.Calls, func(a, b Call) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(d.plan.Changes, func(a, b Change) int { return cmp.Compare(a.At, b.At) })
	return d.plan
}

// quietTime returns the length of the initial period without faults.
func (d *drawer) quietTime() time.Duration { return d.plan.Length / quietDivisor }

// drawTime draws a duration from 0 to span, rounded to milliseconds.
func (d *drawer) drawTime(span time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(span))).Round(time.Millisecond)
}

// drawTimeAfterQuiet draws a time in the plan after the initial period without faults.
func (d *drawer) drawTimeAfterQuiet() time.Duration {
	return d.quietTime() + d.drawTime(d.plan.Length-d.quietTime())
}

// drawAmount draws a number from least to least+span.
func (d *drawer) drawAmount(least, span float64) float64 { return least + span*d.random.Float64() }

// drawOneIn returns true with a probability of 1/n.
func (d *drawer) drawOneIn(n int) bool { return d.random.IntN(n) == 0 }

// drawNumber draws an integer from least to most, both included.
func (d *drawer) drawNumber(least, most int) int { return least + d.random.IntN(most-least+1) }

func (d *drawer) drawSidecar() int { return d.random.IntN(d.plan.Sidecars) }

// drawSidecars draws a random set of one to most sidecars, sorted by index.
func (d *drawer) drawSidecars(most int) []int {
	order := d.random.Perm(d.plan.Sidecars)
	drawn := order[:d.drawNumber(1, max(1, most))]
	slices.Sort(drawn)
	return drawn
}

// allSidecars returns the indexes of all sidecars.
func (d *drawer) allSidecars() []int { return d.otherSidecars(nil) }

// otherSidecars returns all sidecars except the named ones.
func (d *drawer) otherSidecars(named []int) (others []int) {
	for i := range d.plan.Sidecars {
		if !slices.Contains(named, i) {
			others = append(others, i)
		}
	}
	return others
}

func (d *drawer) addFault(f Fault) { d.plan.Faults = append(d.plan.Faults, f) }

// addCall adds an operator's call on a random server. The call sets the server administratively up with a probability
// of 1/oneIn, and down otherwise.
func (d *drawer) addCall(at time.Duration, sidecar, oneIn int) {
	call := Call{At: at, Sidecar: sidecar, Server: d.random.IntN(d.plan.Servers)}
	call.Down = !d.drawOneIn(oneIn)
	d.plan.Calls = append(d.plan.Calls, call)
}

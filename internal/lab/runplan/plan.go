// Package runplan draws a scenario for a seed into the plan of one run: the nodes with their true speeds, and the
// actions of the time line. It owns the plan's random draws; all backends play the same plan.
//
// The scenario is one that package scenario has read and checked, so that drawing has no errors.
package runplan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/lab/scenario"
)

// planSeed keeps the plan's draws apart from those of the workload and of the nodes for the same seed.
const planSeed = 0x91a2

// minDedupeWindow is the shortest time for which pods remember an effect.
const minDedupeWindow = time.Second

// Plan is a scenario drawn for a seed.
type Plan struct {
	Scenario     *scenario.Scenario
	Seed         uint64
	Machines     []Machine     // those there from the start, then those that start later
	Actions      []Action      // by time
	FirstFault   time.Duration // when the first fault begins; the run's length where there is none
	LastFaultEnd time.Duration // when the last one ends; 0 where there is none
}

// Draw draws a scenario for a seed.
func Draw(s *scenario.Scenario, seed uint64) *Plan {
	p := &Plan{Scenario: s, Seed: seed, FirstFault: s.Length.Std()}
	random := rand.New(rand.NewPCG(seed, planSeed))
	p.addInitialMachines(random)
	for _, t := range s.Faults {
		p.addFault(newFault(t, s), random)
	}
	slices.SortStableFunc(p.Actions, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return p
}

// DedupeWindow is how long the nodes of a pod remember an effect: the longest of the classes' windows.
func (p *Plan) DedupeWindow() time.Duration {
	window := minDedupeWindow
	for _, class := range p.Scenario.Classes {
		window = max(window, class.DedupeWindow.Std())
	}
	return window
}

// addActionAt adds an action at a time. Actions at the same time happen in the order in which they are added.
func (p *Plan) addActionAt(at time.Duration, action Action) {
	action.At = at
	p.Actions = append(p.Actions, action)
}

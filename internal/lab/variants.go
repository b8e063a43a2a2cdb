package lab

import (
	"fmt"
	"strings"
	"time"

	"milletramp.example/milletramp/internal/lab/baseline"
	"milletramp.example/milletramp/internal/lab/scenario"
	"milletramp.example/milletramp/internal/lab/sim"
)

// cutAt is when faults of the fleet begin.
const cutAt = 4 * time.Second

// fleets are the policies of simulated time in which sidecars hold in common what they see of nodes, as the
// decision module takes it, and what is wrong between them.
var fleets = map[string]func(s *scenario.Scenario) *sim.Fleet{
	"fleet":       func(*scenario.Scenario) *sim.Fleet { return &sim.Fleet{} },
	"fleet-lossy": func(*scenario.Scenario) *sim.Fleet { return &sim.Fleet{DropShare: 0.2} },
	"fleet-cut": func(s *scenario.Scenario) *sim.Fleet { // into two halves, across zones
		half := s.Fleet.Sidecars / 2
		return &sim.Fleet{LinkCut: func(at time.Duration, a, b int) bool {
			return at >= cutAt && (a < half) != (b < half)
		}}
	},
	"fleet-ones": func(*scenario.Scenario) *sim.Fleet {
		return &sim.Fleet{LinkCut: func(at time.Duration, _, _ int) bool { return at >= cutAt }}
	},
	"fleet-liar": func(*scenario.Scenario) *sim.Fleet { // one says that every node fails
		return &sim.Fleet{FalseReports: func(at time.Duration, sidecar int) bool { return at >= cutAt && sidecar == 0 }}
	},
	// A tenth of the sidecars says that the same third of all nodes fails.
	"fleet-liars": func(*scenario.Scenario) *sim.Fleet {
		return &sim.Fleet{FalseEvery: 3, FalseReports: func(at time.Duration, sidecar int) bool {
			return at >= cutAt && sidecar%10 == 0
		}}
	},
}

// simulated returns what a policy is played in simulated time with.
func simulated(policy string, s *scenario.Scenario) (sim.Options, error) {
	if f, ok := fleets[policy]; ok {
		return sim.Options{Fleet: f(s)}, nil
	}
	maker, err := baseline.New(policy)
	if err != nil && strings.HasPrefix(policy, "fleet") {
		err = fmt.Errorf("unknown policy %q: of a fleet there are "+
			"fleet, fleet-lossy, fleet-cut, fleet-ones, fleet-liar, fleet-liars", policy)
	}
	return sim.Options{NewPolicy: maker}, err
}

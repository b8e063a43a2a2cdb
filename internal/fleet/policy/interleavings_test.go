package policy

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"milletramp.example/milletramp/internal/lab/testrun"
)

type modelSize struct{ sidecars, changes, crashes, losses, ticks int }

// modelSizes are small enough for CI. A larger one can be set by -policy.explore.
var modelSizes = []modelSize{{1, 1, 1, 1, 5}, {2, 1, 0, 0, 4}, {2, 1, 1, 0, 3}}

var exploreFlag = flag.String("policy.explore", "",
	"a further size for TestAllInterleavings to explore: sidecars,changes,crashes,losses,ticks")

// explore visits the states of every order of events. It returns the number of states, the highest policy that came
// into force, and the first violated guarantee, or "" if there is none. With skipWait, leaders do not wait until the
// leases of earlier leaders have expired.
func explore(size modelSize, skipWait bool) (states int, highest uint64, violation string) {
	first := newModel(size.sidecars)
	first.changes, first.crashes, first.losses = size.changes, size.crashes, size.losses
	seen := map[uint64]struct{}{first.key(): {}}
	for unexplored := []*model{first}; len(unexplored) > 0; {
		m := unexplored[len(unexplored)-1]
		unexplored = unexplored[:len(unexplored)-1]
		highest = max(highest, m.ledger.InForce().Number)
		for _, next := range m.successors(size.ticks) {
			if skipWait && next.term != m.term {
				next.table.earlierLeasesEnd = tickTime(next.now)
			}
			if why := next.violation(); why != "" {
				return len(seen), highest, fmt.Sprintf("%s, at tick %d after %d entries", why, next.now, next.entries)
			}
			key := next.key()
			if _, known := seen[key]; !known {
				seen[key] = struct{}{}
				unexplored = append(unexplored, next)
			}
		}
	}
	return len(seen), highest, ""
}

// TestAllInterleavings explores every order of requests, responses, losses, crashes and leader changes in small fleets,
// up to a number of ticks. In no state may two sidecars serve under different policies, or a sidecar serve under an
// earlier policy after a later one was served. To show that the exploration finds violations, it must find one if
// leaders do not wait for the leases of earlier leaders.
func TestAllInterleavings(t *testing.T) {
	all := modelSizes
	if testrun.RaceEnabled { // the model runs in one goroutine, so the race detector adds nothing
		all = modelSizes[:1]
	}
	if *exploreFlag != "" {
		var s modelSize
		_, err := fmt.Sscanf(*exploreFlag, "%d,%d,%d,%d,%d", &s.sidecars, &s.changes, &s.crashes, &s.losses, &s.ticks)
		if err != nil {
			t.Fatalf("-policy.explore %q: %v", *exploreFlag, err)
		}
		all = append(slices.Clone(all), s)
	}
	for _, size := range all {
		t.Run(fmt.Sprintf("%+v", size), func(t *testing.T) {
			t.Parallel()
			states, highest, violation := explore(size, false)
			t.Logf("%d states, highest policy in force %d", states, highest)
			if violation != "" || highest < 2 {
				t.Errorf("violation %q, highest policy in force %d, want at least 2", violation, highest)
			}
		})
	}
	t.Run("leaders that do not wait", func(t *testing.T) {
		t.Parallel()
		if testrun.RaceEnabled {
			t.Skip("the model runs in one goroutine: run without the race detector")
		}
		if states, _, violation := explore(modelSize{2, 1, 1, 0, 3}, true); violation == "" {
			t.Errorf("no violation found in %d states", states)
		}
	})
}

package policy

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"milletramp.example/milletramp/internal/lab/testrun"
)

type modelSize struct{ sidecars, changes, crashes, losses, ticks int }

// modelSizes are small enough for CI. Larger ones are explored by the flag.
var modelSizes = []modelSize{{1, 1, 1, 1, 5}, {2, 1, 0, 0, 4}, {2, 1, 1, 0, 3}}

var exploreFlag = flag.String("policy.explore", "",
	"a further size for TestAllInterleavings to explore: sidecars,changes,crashes,losses,ticks")

// explore goes through every order of events, and returns how many states there are, the highest policy that came into
// force, and the first guarantee that is broken, if any is. With skipWait, leaders do not wait until the leases of
// earlier leaders are over.
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
				return len(seen), highest, fmt.Sprintf("%s at tick %d after %d entries", why, next.now, next.entries)
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

// TestAllInterleavings goes through every order of requests, responses, losses, crashes and changes of leader in small
// fleets, up to a number of ticks: in no state do two sidecars serve under different policies, or any under an earlier
// one after a later. With leaders that do not wait for the leases of earlier leaders, in some state they do.
func TestAllInterleavings(t *testing.T) {
	all := modelSizes
	if testrun.RaceEnabled { // there is one goroutine
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
			t.Logf("%d states, policies up to %d in force", states, highest)
			if violation != "" || highest < 2 {
				t.Errorf("%s, policies up to %d in force", violation, highest)
			}
		})
	}
	t.Run("leaders that do not wait", func(t *testing.T) {
		t.Parallel()
		if testrun.RaceEnabled {
			t.Skip("one goroutine: run without the race detector")
		}
		if states, _, violation := explore(modelSize{2, 1, 1, 0, 3}, true); violation == "" {
			t.Errorf("no violation is found in %d states", states)
		}
	})
}

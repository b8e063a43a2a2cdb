package policyagent

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/fleet/policy"
)

var sizesFlag = flag.String("policyagent.sizes", "",
	"comma-separated numbers of sidecars for which TestChangeDurations measures changes")

// TestChangeDurations logs the durations of changes from the proposal until they are in force, with the default terms:
// without faults, with a fifth of all calls lost, and with one of ten sidecars partitioned.
func TestChangeDurations(t *testing.T) {
	if *sizesFlag == "" {
		t.Skip("no sizes are set by -policyagent.sizes")
	}
	for _, text := range strings.Split(*sizesFlag, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 10 {
			t.Fatalf("size %q, want a number of at least 10", text)
		}
		t.Run(text, func(t *testing.T) { timeChanges(t, n) })
	}
}

func timeChanges(t *testing.T, sidecars int) {
	c := newCluster(t, 0)
	c.terms = policy.DefaultTerms
	var all []string
	for i := range sidecars {
		all = append(all, fmt.Sprint("n", i))
		c.start(all[i], false)
	}
	c.waitAllServe(1, all...)
	inForce := uint64(1)
	change := func(what, at string) {
		t.Helper()
		var took []time.Duration
		for i := range 5 {
			begun := time.Now()
			inForce = c.proposeInForce(at, fmt.Sprint(what, i), inForce, fmt.Sprint(what, " text ", i))
			took = append(took, time.Since(begun).Round(10*time.Millisecond))
		}
		slices.Sort(took)
		t.Logf("%d sidecars, %s: %v to %v, median %v", sidecars, what, took[0], took[len(took)-1], took[len(took)/2])
	}
	change("no faults", "n3")
	c.withLock(func() { c.lossRate = 0.2 })
	change("a fifth of the calls lost", "n4")
	c.withLock(func() {
		c.lossRate = 0
		for i := 3; i < sidecars; i += 10 {
			c.partitioned[all[i]] = true
		}
	})
	change("one of ten partitioned", "n4") // the first of these changes waits for leases to expire
	c.checkNoOverlap()
}

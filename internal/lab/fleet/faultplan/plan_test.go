package faultplan

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestDraw checks that a seed always gives the same plan, that different seeds give different plans, and that all eight
// kinds of faults of Draw are drawn with valid times and sidecars.
func TestDraw(t *testing.T) {
	kinds := map[Kind]int{}
	texts := map[string]bool{}
	for seed := range uint64(200) {
		p := Draw(seed, 8, 30*time.Second)
		if text := p.String(); text != Draw(seed, 8, 30*time.Second).String() || texts[text] {
			t.Fatalf("plan of seed %d differs when drawn again, or equals that of another seed:\n%s", seed, text)
		} else {
			texts[text] = true
		}
		for _, f := range p.Faults {
			kinds[f.Kind]++
			link := slices.Contains([]Kind{Drop, Delay, Duplicate, Throttle, Cut}, f.Kind)
			if len(f.From) == 0 || link && len(f.To) == 0 || f.At < 5*time.Second || f.Duration <= 0 {
				t.Errorf("plan of seed %d has the invalid fault %v", seed, f)
			}
		}
	}
	if len(kinds) != 8 {
		t.Errorf("kinds drawn are %v, want all eight", kinds)
	}
}

// TestLinkCondition checks that the condition of a link combines exactly the faults of its direction that are active, and
// that clock offsets and the end of the plan are computed from the faults.
func TestLinkCondition(t *testing.T) {
	p := Plan{Faults: []Fault{
		{Kind: Drop, At: time.Second, Duration: time.Second, From: []int{0, 1}, To: []int{1, 2}, Amount: 0.2},
		{Kind: Drop, At: time.Second, Duration: time.Second, From: []int{0}, To: []int{1}, Amount: 0.5},
		{Kind: Cut, At: time.Second, Duration: time.Second, From: []int{2}, To: []int{0}},
		{Kind: Clock, At: time.Second, Duration: time.Second, From: []int{1}, Amount: -2},
	}}
	at := 1500 * time.Millisecond
	if got := p.LinkCondition(at, 0, 1); got != (LinkCondition{Drop: 0.5}) {
		t.Errorf("link 0 to 1 has condition %+v, want the larger drop share of 0.5", got)
	}
	if got := p.LinkCondition(at, 2, 0); !got.Cut {
		t.Errorf("link 2 to 0 has condition %+v, want it cut", got)
	}
	if got := p.LinkCondition(at, 0, 2); got != (LinkCondition{Drop: 0.2}) {
		t.Errorf("link 0 to 2 has condition %+v, want a drop share of 0.2 and no cut", got)
	}
	if got := p.LinkCondition(2*time.Second, 2, 0); got != (LinkCondition{}) {
		t.Errorf("link 2 to 0 has condition %+v after the faults, want none", got)
	}
	if got := p.ClockOffset(at, 1); got != -2*time.Second || p.ClockOffset(at, 0) != 0 {
		t.Errorf("clock offset of sidecar 1 is %v, want -2s, and 0 for sidecar 0", got)
	}
	if p.End() != 2*time.Second {
		t.Errorf("plan ends at %v, want 2s", p.End())
	}
}

// TestServerCondition checks that the condition of a server combines exactly its own active faults.
func TestServerCondition(t *testing.T) {
	p := Plan{Faults: []Fault{
		{Kind: Unresponsive, At: time.Second, Duration: time.Second, From: []int{0}},
		{Kind: Slow, At: time.Second, Duration: time.Second, From: []int{0, 1}, Amount: 0.25},
		{Kind: Slow, At: time.Second, Duration: 2 * time.Second, From: []int{1}, Amount: 0.5},
	}}
	for _, c := range []struct {
		at           time.Duration
		server       int
		unresponsive bool
		delay        time.Duration
	}{
		{1500 * time.Millisecond, 0, true, 250 * time.Millisecond},
		{1500 * time.Millisecond, 1, false, 750 * time.Millisecond},
		{1500 * time.Millisecond, 2, false, 0},
		{2 * time.Second, 0, false, 0},
		{2 * time.Second, 1, false, 500 * time.Millisecond},
		{999 * time.Millisecond, 0, false, 0},
	} {
		if unresponsive, delay := p.ServerCondition(c.at, c.server); unresponsive != c.unresponsive || delay != c.delay {
			t.Errorf("at %v, server %d: unresponsive %v, delay %v, want %v, %v",
				c.at, c.server, unresponsive, delay, c.unresponsive, c.delay)
		}
	}
}

// TestShrink checks that Shrink keeps only the faults and calls without which the plan no longer fails.
func TestShrink(t *testing.T) {
	p := Draw(3, 8, 30*time.Second)
	p.Faults = append(p.Faults, Fault{Kind: Kill, At: 9 * time.Second, Duration: time.Second, From: []int{0, 1, 2, 5}})
	fails := func(p Plan) bool {
		return strings.Contains(p.String(), "kill      0-2,5") && len(p.Calls) > 0
	}
	if !fails(p) {
		t.Fatalf("plan does not fail before shrinking:\n%v", p)
	}
	if got := Shrink(p, fails); len(got.Faults) != 1 || len(got.Calls) != 1 || !fails(got) {
		t.Errorf("shrunk plan is not one fault and one call that still fail:\n%v", got)
	}
}

// TestPlansOfSeedsUnchanged guards against a change in the plans of existing seeds, for example by reordered random
// draws. Seeds named in the documentation and in reports have to keep their plans.
func TestPlansOfSeedsUnchanged(t *testing.T) {
	const want = "e2e809f7d6e5b5d1cab09f4e0a70992530cfc70484da66b98f6c12f54dd718ba"
	hash := sha256.New()
	for seed := range uint64(500) {
		sidecars := 4 + int(seed%9)
		length := time.Duration(12+seed%19) * time.Second
		fmt.Fprint(hash, Draw(seed, sidecars, length), DrawServers(seed, sidecars, length),
			DrawUpgrades(seed, sidecars, length), DrawChanges(seed, sidecars, length))
	}
	if got := fmt.Sprintf("%x", hash.Sum(nil)); got != want {
		t.Errorf("the drawn plans hash to %s, want %s", got, want)
	}
}

package faultplan

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestDraw: a seed gives the same plan each time, others give others, and all kinds of faults are drawn.
func TestDraw(t *testing.T) {
	kinds := map[Kind]int{}
	texts := map[string]bool{}
	for seed := range uint64(200) {
		p := Draw(seed, 8, 30*time.Second)
		if text := p.String(); text != Draw(seed, 8, 30*time.Second).String() || texts[text] {
			t.Fatalf("plan %d is another one the second time, or that of another seed:\n%s", seed, text)
		} else {
			texts[text] = true
		}
		for _, f := range p.Faults {
			kinds[f.Kind]++
			link := slices.Contains([]Kind{Drop, Delay, Duplicate, Throttle, Cut}, f.Kind)
			if len(f.From) == 0 || link && len(f.To) == 0 || f.At < 5*time.Second || f.Duration <= 0 {
				t.Errorf("plan %d has the fault %v", seed, f)
			}
		}
	}
	if len(kinds) != 8 {
		t.Errorf("drawn are %v, want all eight kinds", kinds)
	}
}

// TestLink adds up what hits a pair, one way and in its time.
func TestLink(t *testing.T) {
	p := Plan{Faults: []Fault{
		{Kind: Drop, At: time.Second, Duration: time.Second, From: []int{0, 1}, To: []int{1, 2}, Amount: 0.2},
		{Kind: Drop, At: time.Second, Duration: time.Second, From: []int{0}, To: []int{1}, Amount: 0.5},
		{Kind: Cut, At: time.Second, Duration: time.Second, From: []int{2}, To: []int{0}},
		{Kind: Clock, At: time.Second, Duration: time.Second, From: []int{1}, Amount: -2},
	}}
	at := 1500 * time.Millisecond
	if got := p.LinkCondition(at, 0, 1); got != (LinkCondition{Drop: 0.5}) {
		t.Errorf("%+v", got)
	}
	if got := p.LinkCondition(at, 2, 0); !got.Cut {
		t.Errorf("%+v through a cut", got)
	}
	if got := p.LinkCondition(at, 0, 2); got != (LinkCondition{Drop: 0.2}) {
		t.Errorf("%+v the other way", got)
	}
	if got := p.LinkCondition(2*time.Second, 2, 0); got != (LinkCondition{}) {
		t.Errorf("%+v behind its time", got)
	}
	if got := p.ClockOffset(at, 1); got != -2*time.Second || p.ClockOffset(at, 0) != 0 {
		t.Errorf("the clock is off by %v", got)
	}
	if p.End() != 2*time.Second {
		t.Errorf("it ends at %v", p.End())
	}
}

// TestServer adds up what concerns a server in its time, and nothing of the others.
func TestServer(t *testing.T) {
	p := Plan{Faults: []Fault{
		{Kind: Unresponsive, At: time.Second, Duration: time.Second, From: []int{0}},
		{Kind: Slow, At: time.Second, Duration: time.Second, From: []int{0, 1}, Amount: 0.25},
		{Kind: Slow, At: time.Second, Duration: 2 * time.Second, From: []int{1}, Amount: 0.5},
	}}
	for _, c := range []struct {
		at     time.Duration
		server int
		mute   bool
		delay  time.Duration
	}{
		{1500 * time.Millisecond, 0, true, 250 * time.Millisecond},
		{1500 * time.Millisecond, 1, false, 750 * time.Millisecond},
		{1500 * time.Millisecond, 2, false, 0},
		{2 * time.Second, 0, false, 0},
		{2 * time.Second, 1, false, 500 * time.Millisecond},
		{999 * time.Millisecond, 0, false, 0},
	} {
		if mute, delay := p.ServerCondition(c.at, c.server); mute != c.mute || delay != c.delay {
			t.Errorf("at %v server %d: mute %v, %v late, want %v, %v", c.at, c.server, mute, delay, c.mute, c.delay)
		}
	}
}

// TestShrink leaves what is needed for a plan to be bad, and nothing else.
func TestShrink(t *testing.T) {
	p := Draw(3, 8, 30*time.Second)
	p.Faults = append(p.Faults, Fault{Kind: Kill, At: 9 * time.Second, Duration: time.Second, From: []int{0, 1, 2, 5}})
	bad := func(p Plan) bool {
		return strings.Contains(p.String(), "kill      0-2,5") && len(p.Calls) > 0
	}
	if !bad(p) {
		t.Fatalf("not bad to begin with:\n%v", p)
	}
	if got := Shrink(p, bad); len(got.Faults) != 1 || len(got.Calls) != 1 || !bad(got) {
		t.Errorf("left is\n%v", got)
	}
}

// TestSeedsStay: a seed gives the plan that it gave before the drawing was last restructured, so that seeds named on the
// pages and in reports still show what they showed.
func TestSeedsStay(t *testing.T) {
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

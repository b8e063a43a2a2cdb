package servermodel

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWorkIsConserved drives a processor with any arrivals, cancellations and slowdowns: every request ends once, no
// more work is done than the cores can do, and what is done is what finished requests took and cancelled ones had got.
func TestWorkIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cores := rapid.IntRange(1, 4).Draw(t, "cores")
		spec := Spec{Cores: cores, Speed: 1, Slots: cores * rapid.IntRange(1, 4).Draw(t, "slots"),
			QueueLimit:  rapid.IntRange(0, 6).Draw(t, "room"),
			WarmUpShare: 0.4, WarmUp: time.Second, ContentionAt: 2, ContentionCost: 0.3,
			CollapseAt: 2, CollapseAfter: 200 * time.Millisecond, CollapseSlowdown: 2, RecoverBelow: 0.5,
			RecoverAfter: 100 * time.Millisecond, MaxCollapse: time.Second}
		if rapid.Bool().Draw(t, "cold") {
			spec.StartedAt = 1
		}
		n := NewProcessor(spec, 0)
		now, finished := time.Duration(0), 0.0
		held := map[*Job]float64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			for _, j := range n.Advance(now) {
				if _, ok := held[j]; !ok {
					t.Fatal("a request ends that the node does not hold")
				}
				finished += held[j]
				delete(held, j)
			}
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				for j := range held {
					n.Cancel(now, j)
					delete(held, j)
					finished = math.NaN() // from here on only the bound counts
					break
				}
			case 1:
				n.SetSlowdown(now, float64(rapid.IntRange(1, 5).Draw(t, "slow")))
			default:
				j := &Job{Work: float64(rapid.IntRange(1, 300).Draw(t, "work")) / 1000}
				full := n.InFlight() >= spec.Slots+spec.QueueLimit
				if ok := n.Offer(now, j); ok == full {
					t.Fatalf("taken %v while it holds %d", ok, n.InFlight())
				} else if ok {
					held[j] = j.Work
				}
			}
			if n.InFlight() != len(held) {
				t.Fatalf("it holds %d, %d were given", n.InFlight(), len(held))
			}
			if most := float64(cores)*now.Seconds() + 1e-6; n.CompletedWork() > most {
				t.Fatalf("%.4f s of work done by %v on %d cores", n.CompletedWork(), now, cores)
			}
		}
		for next := n.NextEvent(); next >= 0 && len(held) > 0; next = n.NextEvent() {
			for _, j := range n.Advance(next) {
				finished += held[j]
				delete(held, j)
			}
		}
		if len(held) > 0 {
			t.Fatalf("%d requests never end", len(held))
		}
		if !math.IsNaN(finished) && math.Abs(n.CompletedWork()-finished) > 1e-6 {
			t.Fatalf("%.6f s of work done, requests of %.6f s ended", n.CompletedWork(), finished)
		}
	})
}

// TestAbort has a processor let go of what is in service and what waits, but not of what was cancelled, and keep the
// work that was done.
func TestAbort(t *testing.T) {
	p := NewProcessor(Spec{Cores: 1, Speed: 1, Slots: 1, QueueLimit: 2}, 0)
	inService, cancelled, waiting := &Job{Work: 1}, &Job{Work: 1}, &Job{Work: 1}
	for _, job := range []*Job{inService, cancelled, waiting} {
		if !p.Offer(0, job) {
			t.Fatal("a job was not taken")
		}
	}
	p.Cancel(0, cancelled)
	aborted := p.Abort(250 * time.Millisecond)
	if !slices.Equal(aborted, []*Job{inService, waiting}) || p.InFlight() != 0 || p.NextEvent() >= 0 {
		t.Errorf("%d jobs aborted, %d in flight, next event at %v", len(aborted), p.InFlight(), p.NextEvent())
	}
	if got := p.CompletedWork(); math.Abs(got-0.25) > 1e-9 {
		t.Errorf("%v s of work done, want 0.25", got)
	}
}

// TestBacklog compares the backlog with what it takes to complete a request that comes after all others.
func TestBacklog(t *testing.T) {
	p := NewProcessor(Spec{Cores: 2, Speed: 0.5, Slots: 2, QueueLimit: 9}, 0)
	if got := p.Backlog(0.1); math.Abs(got-0.2) > 1e-9 {
		t.Errorf("idle, a request of 0.1 s takes %v s, want 0.2 on one core at half speed", got)
	}
	for range 3 {
		p.Offer(0, &Job{Work: 0.3})
	}
	if got := p.Backlog(0.1); math.Abs(got-1.0) > 1e-9 {
		t.Errorf("behind 0.9 s of work, a request of 0.1 s takes %v s, want 1 on two cores at half speed", got)
	}
	p.SetSlowdown(0, 3)
	if got := p.Backlog(0.1); math.Abs(got-3.0) > 1e-9 {
		t.Errorf("three times slower, it takes %v s, want 3", got)
	}
}

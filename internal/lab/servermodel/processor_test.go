package servermodel

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWorkIsConserved checks a processor under random arrivals, cancellations and slowdowns: every request ends once,
// the completed work does not exceed the capacity of the cores, and, if no request was cancelled, it equals the work of
// the finished requests.
func TestWorkIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cores := rapid.IntRange(1, 4).Draw(t, "cores")
		spec := Spec{Cores: cores, Speed: 1, Slots: cores * rapid.IntRange(1, 4).Draw(t, "slots"),
			QueueLimit:  rapid.IntRange(0, 6).Draw(t, "queue limit"),
			WarmUpShare: 0.4, WarmUp: time.Second, ContentionAt: 2, ContentionCost: 0.3,
			CollapseAt: 2, CollapseAfter: 200 * time.Millisecond, CollapseSlowdown: 2, RecoverBelow: 0.5,
			RecoverAfter: 100 * time.Millisecond, MaxCollapse: time.Second}
		if rapid.Bool().Draw(t, "cold") {
			spec.StartedAt = 1
		}
		p := NewProcessor(spec, 0)
		now, finished := time.Duration(0), 0.0
		inFlight := map[*Job]float64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			for _, job := range p.Advance(now) {
				if _, ok := inFlight[job]; !ok {
					t.Fatal("Advance returned a job that is not in flight")
				}
				finished += inFlight[job]
				delete(inFlight, job)
			}
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				for job := range inFlight {
					p.Cancel(now, job)
					delete(inFlight, job)
					finished = math.NaN() // after a cancellation only the upper bound is checked
					break
				}
			case 1:
				p.SetSlowdown(now, float64(rapid.IntRange(1, 5).Draw(t, "slowdown")))
			default:
				job := &Job{Work: float64(rapid.IntRange(1, 300).Draw(t, "work")) / 1000}
				full := p.InFlight() >= spec.Slots+spec.QueueLimit
				if ok := p.Offer(now, job); ok == full {
					t.Fatalf("Offer returned %v, %d requests now in flight", ok, p.InFlight())
				} else if ok {
					inFlight[job] = job.Work
				}
			}
			if p.InFlight() != len(inFlight) {
				t.Fatalf("InFlight() = %d, want %d", p.InFlight(), len(inFlight))
			}
			if bound := float64(cores)*now.Seconds() + 1e-6; p.CompletedWork() > bound {
				t.Fatalf("completed %.4f s of work by %v on %d cores, more than they can do", p.CompletedWork(), now, cores)
			}
		}
		for next := p.NextEvent(); next >= 0 && len(inFlight) > 0; next = p.NextEvent() {
			for _, job := range p.Advance(next) {
				finished += inFlight[job]
				delete(inFlight, job)
			}
		}
		if len(inFlight) > 0 {
			t.Fatalf("%d requests did not end", len(inFlight))
		}
		if !math.IsNaN(finished) && math.Abs(p.CompletedWork()-finished) > 1e-6 {
			t.Fatalf("completed %.6f s of work, want %.6f as the finished requests", p.CompletedWork(), finished)
		}
	})
}

// TestAbort checks that Abort returns the jobs in service and waiting, but not a cancelled one, and that the work done
// before it stays counted.
func TestAbort(t *testing.T) {
	p := NewProcessor(Spec{Cores: 1, Speed: 1, Slots: 1, QueueLimit: 2}, 0)
	inService, cancelled, waiting := &Job{Work: 1}, &Job{Work: 1}, &Job{Work: 1}
	for _, job := range []*Job{inService, cancelled, waiting} {
		if !p.Offer(0, job) {
			t.Fatal("Offer rejected a job within the queue limit")
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

// TestBacklog checks the backlog of an idle, a loaded and a slowed-down processor.
func TestBacklog(t *testing.T) {
	p := NewProcessor(Spec{Cores: 2, Speed: 0.5, Slots: 2, QueueLimit: 9}, 0)
	if got := p.Backlog(0.1); math.Abs(got-0.2) > 1e-9 {
		t.Errorf("idle: backlog of a request of 0.1 s is %v s, want 0.2 on one core at half speed", got)
	}
	for range 3 {
		p.Offer(0, &Job{Work: 0.3})
	}
	if got := p.Backlog(0.1); math.Abs(got-1.0) > 1e-9 {
		t.Errorf("behind 0.9 s of work: backlog of a request of 0.1 s is %v s, want 1 on two cores at half speed", got)
	}
	p.SetSlowdown(0, 3)
	if got := p.Backlog(0.1); math.Abs(got-3.0) > 1e-9 {
		t.Errorf("slowed down by 3: backlog is %v s, want 3", got)
	}
}

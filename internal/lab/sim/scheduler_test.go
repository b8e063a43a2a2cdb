package sim

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// scheduledCall is an event with the time that it is scheduled for and its position in the scheduling order.
type scheduledCall struct {
	at    time.Duration
	order int
}

func (scheduledCall) handle(*simulation) {}

// TestSchedulerOrder checks that events are handled in order of time, and events with equal times in the order in which
// they were scheduled, also if events are scheduled while others are handled.
func TestSchedulerOrder(t *testing.T) {
	const events, times = 2000, 50
	random := rand.New(rand.NewPCG(1, 2))
	var s scheduler
	var want, got []scheduledCall
	schedule := func() {
		call := scheduledCall{s.now + time.Duration(random.IntN(times)), len(want)}
		want = append(want, call)
		s.scheduleAt(call.at, call)
	}
	for len(got) < events {
		if _, ok := s.nextTime(); !ok || len(want) < events && random.IntN(2) == 0 {
			schedule()
			continue
		}
		call := s.advance().(scheduledCall)
		if s.now != call.at {
			t.Fatalf("the clock is at %v for an event of %v", s.now, call.at)
		}
		got = append(got, call)
	}
	slices.SortStableFunc(want, func(a, b scheduledCall) int { return cmp.Compare(a.at, b.at) })
	if !slices.Equal(got, want) {
		t.Error("events happened in another order than by time and as scheduled")
	}
}

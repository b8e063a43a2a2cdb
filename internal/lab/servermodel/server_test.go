package servermodel

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestArrive checks that a server deduplicates repeats within the pod's dedupe window only, saves work on cached keys,
// and records no effect of a rejected request.
func TestArrive(t *testing.T) {
	pod := NewPod(30 * time.Second)
	newServer := func(queueLimit int) *Server {
		processor := NewProcessor(Spec{Cores: 1, Speed: 1, Slots: 1, QueueLimit: queueLimit}, 0)
		keys := KeySettings{Saving: 0.5, Lifetime: 5 * time.Second, Max: 2}
		return NewServer(processor, pod, keys, rand.New(rand.NewPCG(1, 2)))
	}
	a, b := newServer(0), newServer(9)
	arrive := func(s *Server, at time.Duration, key, effect uint64) (Admission, float64) {
		job := &Job{Work: 0.1}
		admission := s.Arrive(at, job, Arrival{Key: key, Effect: effect})
		return admission, job.Work
	}
	for i, tt := range []struct {
		s           *Server
		at          time.Duration
		key, effect uint64
		want        Admission
		work        float64
	}{
		{a, 0, 1, 7, Admitted, 0.1},
		{a, 0, 2, 8, Rejected, 0.1},                      // no free slot, no queue
		{b, 0, 2, 8, Admitted, 0.1},                      // the rejected attempt left no effect
		{b, time.Second, 1, 7, Deduplicated, 0.001},      // effect seen by another server of the pod
		{b, time.Second, 2, 9, Admitted, 0.05},           // key cached
		{b, 7 * time.Second, 2, 10, Admitted, 0.1},       // key expired
		{b, 29 * time.Second, 3, 7, Deduplicated, 0.001}, // within the dedupe window
		{b, 30 * time.Second, 3, 7, Admitted, 0.1},       // after the dedupe window
		{b, 31 * time.Second, 4, 0, Admitted, 0.1},       // evicts key 2, the least recently used
		{b, 31 * time.Second, 2, 0, Admitted, 0.1},       // key evicted
	} {
		if admission, work := arrive(tt.s, tt.at, tt.key, tt.effect); admission != tt.want || math.Abs(work-tt.work) > 1e-9 {
			t.Errorf("request %d: admission %v, work %v, want %v, %v", i, admission, work, tt.want, tt.work)
		}
	}
	b.Faults.LostClasses[0] = true
	if admission, _ := arrive(b, time.Minute, 1, 0); admission != Lost {
		t.Errorf("admission %v of a request of a lost class, want Lost", admission)
	}
}

// TestDrawOutcome checks that the shares of failed and malformed responses match the injected faults.
func TestDrawOutcome(t *testing.T) {
	const draws, tolerance = 10_000, 0.02
	processor := NewProcessor(Spec{Cores: 1, Speed: 1, Slots: 1}, 0)
	s := NewServer(processor, NewPod(time.Second), KeySettings{}, rand.New(rand.NewPCG(1, 2)))
	if got := s.DrawOutcome(); got != Succeeded {
		t.Errorf("outcome %v without faults", got)
	}
	s.Faults.ErrorShare, s.Faults.MalformedShare = 0.3, 0.2
	var counts [3]int
	for range draws {
		counts[s.DrawOutcome()]++
	}
	for outcome, want := range map[Outcome]float64{Succeeded: 0.5, Failed: 0.3, Malformed: 0.2} {
		if got := float64(counts[outcome]) / draws; math.Abs(got-want) > tolerance {
			t.Errorf("outcome %v in %.3f of responses, want %.3f", outcome, got, want)
		}
	}
}

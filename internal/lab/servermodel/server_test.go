package servermodel

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestServer has a server drop repeats within its pod's window alone, save work for a key it met, and note nothing of a
// request that it turned away.
func TestServer(t *testing.T) {
	pod := NewPod(30 * time.Second)
	server := func(room int) *Server {
		processor := NewProcessor(Spec{Cores: 1, Speed: 1, Slots: 1, QueueLimit: room}, 0)
		keys := KeySettings{Saving: 0.5, Lifetime: 5 * time.Second, Max: 2}
		return NewServer(processor, pod, keys, rand.New(rand.NewPCG(1, 2)))
	}
	a, b := server(0), server(9)
	arrive := func(s *Server, at time.Duration, key, effect uint64) (Admission, float64) {
		j := &Job{Work: 0.1}
		v := s.Arrive(at, j, Arrival{Key: key, Effect: effect})
		return v, j.Work
	}
	for i, tt := range []struct {
		s           *Server
		at          time.Duration
		key, effect uint64
		want        Admission
		work        float64
	}{
		{a, 0, 1, 7, Admitted, 0.1},
		{a, 0, 2, 8, Rejected, 0.1},                      // no room
		{b, 0, 2, 8, Admitted, 0.1},                      // and so not known
		{b, time.Second, 1, 7, Deduplicated, 0.001},      // known to the pod
		{b, time.Second, 2, 9, Admitted, 0.05},           // key met
		{b, 7 * time.Second, 2, 10, Admitted, 0.1},       // too long ago
		{b, 29 * time.Second, 3, 7, Deduplicated, 0.001}, //
		{b, 30 * time.Second, 3, 7, Admitted, 0.1},       // out of the window
		{b, 31 * time.Second, 4, 0, Admitted, 0.1},       // 2 is the one met longest ago, and forgotten
		{b, 31 * time.Second, 2, 0, Admitted, 0.1},       //
	} {
		if v, work := arrive(tt.s, tt.at, tt.key, tt.effect); v != tt.want || math.Abs(work-tt.work) > 1e-9 {
			t.Errorf("request %d: verdict %v, work %v, want %v, %v", i, v, work, tt.want, tt.work)
		}
	}
	b.Faults.LostClasses[0] = true
	if v, _ := arrive(b, time.Minute, 1, 0); v != Lost {
		t.Errorf("verdict %v of a class that is swallowed", v)
	}
}

// TestDrawOutcome has a server fail and spoil the shares of responses that its faults say.
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

package servermodel

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWorkIsConserved drives a node with any arrivals, cancellations and troubles: every request ends once, no more work
// is done than the cores can do, and what is done is what finished requests took and cancelled ones had got.
func TestWorkIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cores := rapid.IntRange(1, 4).Draw(t, "cores")
		spec := Spec{Cores: cores, Speed: 1, Slots: cores * rapid.IntRange(1, 4).Draw(t, "slots"), QueueLimit: rapid.IntRange(0, 6).Draw(t, "room"),
			WarmUpShare: 0.4, WarmUp: time.Second, ContentionAt: 2, ContentionCost: 0.3,
			CollapseAt: 2, CollapseAfter: 200 * time.Millisecond, CollapseSlowdown: 2, RecoverBelow: 0.5, RecoverAfter: 100 * time.Millisecond,
			MaxCollapse: time.Second}
		if rapid.Bool().Draw(t, "cold") {
			spec.StartedAt = 1
		}
		n := NewProcessor(spec, 0)
		now, finished := Time(0), 0.0
		held := map[*Job]float64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += Time(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
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

// TestServer has a server drop repeats within its pod's window alone, save work for a key it met, and note nothing of a
// request that it turned away.
func TestServer(t *testing.T) {
	pod := NewPod(30 * time.Second)
	server := func(room int) *Server {
		return NewServer(NewProcessor(Spec{Cores: 1, Speed: 1, Slots: 1, QueueLimit: room}, 0), pod, 0.5, 5*time.Second, 2, rand.New(rand.NewPCG(1, 2)))
	}
	a, b := server(0), server(9)
	arrive := func(s *Server, at Time, key, effect uint64) (Admission, float64) {
		j := &Job{Work: 0.1}
		v := s.Arrive(at, j, 0, key, effect, 0)
		return v, j.Work
	}
	for i, tt := range []struct {
		s           *Server
		at          Time
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
	b.Faults.SwallowedClasses[0] = true
	if v, _ := arrive(b, time.Minute, 1, 0); v != Swallowed {
		t.Errorf("verdict %v of a class that is swallowed", v)
	}
}

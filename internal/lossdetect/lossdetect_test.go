package lossdetect

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestLossesAmongLateResponses simulates attempts of which a share is lost, and cancels each attempt once it is more
// likely lost than not. The estimated share must be the true one, although no response after a cancellation is
// observed. Few of the cancelled attempts may be ones that would have had a response.
func TestLossesAmongLateResponses(t *testing.T) {
	for _, share := range []float64{0, 0.02, 0.1, 0.25, 0.5} {
		rng := rand.New(rand.NewPCG(1, 2))
		s := NewLatencyDistribution()
		var r LossRate
		var sum, off float64
		const n = 20_000
		for i := range n {
			p := r.Share(0.001)
			if s.Decay(0.9995); i >= n/2 {
				sum += p
			}
			end := s.InverseSurvival(SurvivalForLoss(p, 0.5))
			lost := i > n/4 && rng.Float64() < share
			if takes := math.Exp(rng.NormFloat64() * 0.5); !lost && takes < end {
				if r.Add(0, 0.998); p < 0.03 {
					s.Add(takes)
				}
				continue
			}
			end = min(end, 20) // the client's timeout
			l := LossProbability(p, s.Survival(end))
			if r.Add(l, 0.998); p < 0.03 {
				s.AddCancelled(end, 1-l)
			}
			if !lost {
				off++
			}
		}
		if got := sum / (n / 2); math.Abs(got-share) > 0.01+0.15*share {
			t.Errorf("estimated share of lost attempts %.3f, true share %.3f", got, share)
		}
		if off/n > 0.01+0.6*share {
			t.Errorf("share %.2f: %.3f of the attempts were cancelled before their response arrived", share, off/n)
		}
	}
}

// TestLatencyDistribution checks for arbitrary events that Survival is a share that never increases with the multiple,
// and that InverseSurvival is its inverse.
func TestLatencyDistribution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewLatencyDistribution()
		multiple := rapid.OneOf(rapid.Float64Range(0, 50), rapid.Float64())
		for range rapid.IntRange(0, 300).Draw(t, "events") {
			switch at := multiple.Draw(t, "at"); rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				s.AddCancelled(at, rapid.Float64Range(0, 1).Draw(t, "response probability"))
			case 1:
				s.Decay(0.9)
			default:
				s.Add(at)
			}
		}
		s.Decay(1)
		last := 1.0
		for x := 0.01; x < 100; x *= 1.1 {
			v := s.Survival(x)
			if !(v > 0 && v <= last+1e-9) {
				t.Fatalf("survival %v at %v, want it above 0 and at most the previous %v", v, x, last)
			}
			last = v
			if at := s.InverseSurvival(v); x > firstBinEnd && x < lastBinStart/2 && v < s.Survival(firstBinEnd) &&
				math.Abs(s.Survival(at)-v) > 1e-6 {
				t.Fatalf("survival %v at %v, but %v at its InverseSurvival %v", v, x, s.Survival(at), at)
			}
		}
	})
}

// TestSurvivalForLoss checks that SurvivalForLoss is the inverse of LossProbability, and that LossProbability increases
// with the time in flight and is at least the share.
func TestSurvivalForLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.0001, 0.9999).Draw(t, "share")
		lost := rapid.Float64Range(0.01, 0.99).Draw(t, "lost")
		if got := LossProbability(share, SurvivalForLoss(share, lost)); math.Abs(got-lost) > 1e-6 {
			t.Fatalf("loss probability %v at SurvivalForLoss, want %v", got, lost)
		}
		if v := rapid.Float64Range(0, 1).Draw(t, "survival"); LossProbability(share, v) < LossProbability(share, 1)-1e-9 ||
			LossProbability(share, 1) < share-1e-9 {
			t.Fatal("the loss probability of an attempt in flight is below that of a new one, or below the share")
		}
	})
}

// TestLossRate checks that the share remains between 0 and 1 under corrections and decay, and that a correction undoes
// the count that it corrects.
func TestLossRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r LossRate
		probability := rapid.Float64Range(0, 1)
		for range rapid.IntRange(0, 50).Draw(t, "events") {
			switch p := probability.Draw(t, "lost"); rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				r.Add(p, probability.Draw(t, "keep"))
			case 1:
				r.Correct(p, probability.Draw(t, "to"))
			case 2:
				r.Decay(p)
			}
			if s := r.Share(priorShare); s < 0 || s > 1 {
				t.Fatalf("share %v of %+v, want 0 to 1", s, r)
			}
		}
		want, p := r, probability.Draw(t, "corrected")
		r.Add(p, 1)
		r.Correct(p, 0)
		want.Add(0, 1)
		if math.Abs(r.lost-want.lost) > 1e-9 || r.ended != want.ended {
			t.Fatalf("%+v after the correction of an attempt that was not lost, want %+v", r, want)
		}
	})
}

const priorShare = 0.001

// TestSlowdown checks that the factor remains between 1 and maxSlowdown for arbitrary responses, that a single outlier
// after responses in the expected time changes it little, that after four responses slower by a factor it includes at
// least half of the slowdown, and that a full decay resets it to 1.
func TestSlowdown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Slowdown
		for _, m := range rapid.SliceOfN(rapid.Float64Range(0, 1000), 0, 50).Draw(t, "multiples") {
			if s.Add(m); s.Factor() < 1 || s.Factor() > maxSlowdown {
				t.Fatalf("factor %v, want 1 to %v", s.Factor(), maxSlowdown)
			}
		}
		s.Decay(0)
		for range 30 {
			s.Add(1)
		}
		if s.Add(1000); s.Factor() < 1 || s.Factor() > 1.6 {
			t.Fatalf("factor %v after one outlier, want 1 to 1.6", s.Factor())
		}
		slower := rapid.Float64Range(1, maxSlowdown).Draw(t, "slower")
		for range 4 {
			s.Add(slower)
		}
		if got := s.Factor(); got < 1+(slower-1)/2 {
			t.Fatalf("factor %v after four responses slower by %v", got, slower)
		}
		if s.Decay(0); s.Factor() != 1 {
			t.Fatalf("factor %v after a full decay, want 1", s.Factor())
		}
	})
}

func BenchmarkLossProbability(b *testing.B) {
	s := NewLatencyDistribution()
	var r LossRate
	b.ReportAllocs()
	for i := range b.N {
		x := float64(i%64) / 16
		s.Add(x)
		r.Add(LossProbability(r.Share(0.001), s.Survival(x)), 0.85)
		_ = s.InverseSurvival(SurvivalForLoss(r.Share(0.001), 0.5))
	}
}

package lossdetect

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestLostAmongLate plays attempts of which a share is lost, and calls each off once it is more likely lost than not.
// The share found must be the true one, and the shape that of all answers, although none after that is ever seen.
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
			end = min(end, 20) // the client's patience
			l := LossProbability(p, s.Survival(end))
			if r.Add(l, 0.998); p < 0.03 {
				s.AddCancelled(end, 1-l)
			}
			if !lost {
				off++
			}
		}
		if got := sum / (n / 2); math.Abs(got-share) > 0.01+0.15*share {
			t.Errorf("%.3f of the attempts seem lost, %.3f are", got, share)
		}
		if off/n > 0.01+0.6*share {
			t.Errorf("share %.2f: %.3f of the attempts were called off though an answer was coming", share, off/n)
		}
	}
}

// TestShape has any answers and calls keep the survival a falling share, with Beyond as its inverse.
func TestLatencyDistribution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewLatencyDistribution()
		multiple := rapid.OneOf(rapid.Float64Range(0, 50), rapid.Float64())
		for range rapid.IntRange(0, 300).Draw(t, "events") {
			switch at := multiple.Draw(t, "at"); rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				s.AddCancelled(at, rapid.Float64Range(0, 1).Draw(t, "answered"))
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
				t.Fatalf("survival %v at %v after %v before it", v, x, last)
			}
			last = v
			if at := s.InverseSurvival(v); x > firstBinEnd && x < lastBinStart/2 && v < s.Survival(firstBinEnd) &&
				math.Abs(s.Survival(at)-v) > 1e-6 {
				t.Fatalf("survival %v at %v, but %v where Beyond puts it, at %v", v, x, s.Survival(at), at)
			}
		}
	})
}

// TestUntil has Until be the inverse of Lost, and Lost rise with the share and with the time out.
func TestSurvivalForLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.0001, 0.9999).Draw(t, "share")
		lost := rapid.Float64Range(0.01, 0.99).Draw(t, "lost")
		if got := LossProbability(share, SurvivalForLoss(share, lost)); math.Abs(got-lost) > 1e-6 {
			t.Fatalf("lost with %v where Until says %v", got, lost)
		}
		if v := rapid.Float64Range(0, 1).Draw(t, "survival"); LossProbability(share, v) < LossProbability(share, 1)-1e-9 ||
			LossProbability(share, 1) < share-1e-9 {
			t.Fatal("an attempt that has been out is less likely lost than one just sent")
		}
	})
}

// TestRecord has corrections and fading keep a share between 0 and 1, and a correction undo what it corrects.
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
				t.Fatalf("share %v of %+v", s, r)
			}
		}
		was, p := r, probability.Draw(t, "doubt")
		r.Add(p, 1)
		r.Correct(p, 0)
		was.Add(0, 1)
		if math.Abs(r.lost-was.lost) > 1e-9 || r.ended != was.ended {
			t.Fatalf("%+v after a doubt that proved wrong, want %+v", r, was)
		}
	})
}

const priorShare = 0.001

// TestSlowdown has any answers keep the factor between 1 and the most, answers in the expected time keep it at 1, four
// that are slower by a factor show most of it, a single outlier little, and fading forget it.
func TestSlowdown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Slowdown
		for _, m := range rapid.SliceOfN(rapid.Float64Range(0, 1000), 0, 50).Draw(t, "answers") {
			if s.Add(m); s.Factor() < 1 || s.Factor() > maxSlowdown {
				t.Fatalf("factor %v", s.Factor())
			}
		}
		s.Decay(0)
		for range 30 {
			s.Add(1)
		}
		if s.Add(1000); s.Factor() < 1 || s.Factor() > 1.6 {
			t.Fatalf("factor %v after one outlier", s.Factor())
		}
		slower := rapid.Float64Range(1, maxSlowdown).Draw(t, "slower")
		for range 4 {
			s.Add(slower)
		}
		if got := s.Factor(); got < 1+(slower-1)/2 {
			t.Fatalf("factor %v after four answers slower by %v", got, slower)
		}
		if s.Decay(0); s.Factor() != 1 {
			t.Fatalf("factor %v once it is forgotten", s.Factor())
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

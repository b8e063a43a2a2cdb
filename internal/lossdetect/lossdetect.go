// Package lossdetect tells attempts that are lost from those that are just late.
//
// It is pure: no clock, no randomness, no I/O, no allocation after the start, and each event costs a time that does
// not grow with what came before. Times are given as multiples of the time that the attempt was expected to take, so
// that quick and slow endpoints and classes share one shape.
//
// The model is the mixture cure model of survival analysis (Boag 1949; Farewell 1982): a share p of the attempts is
// never answered, the others are answered after a time with the survival function S. An attempt that has been out for
// t is then lost with the probability p / (p + (1-p) S(t)). An attempt that was called off before its end was known
// counts for both parts by that probability, and what is left of it goes to the later times that the answered ones had
// (the redistribution to the right of Efron 1967): otherwise calling off early would teach that answers come early.
// Where many are called off at one time, nothing tells losses from answers that take longer than that, and both
// parts drift. So the shape is to be learnt only where few are lost; it is the same elsewhere.
package lossdetect

import "math"

// The bins of a Shape.
const (
	bins             = 40
	firstBinEnd      = 0.05 // multiple of the expected time
	binsPerOctaveLog = 2    // binary logarithm of the bins of an octave, which are of equal width
	lastBinStart     = 38.4 // multiple from which all are in the last bin: where the one before it ends
	minShapeAnswers  = 500  // that a shape keeps until others replace them
)

// The tests of Alarm and Record.
const (
	// minUsual is the least usual share that an alarm is tested against: with less it would ring at the second failure
	// in a row. maxUsualShare is the largest, as a part of the alarming share: with more it would never ring.
	minUsual      = 0.05
	maxUsualShare = 0.9
	// alarmThreshold is the logarithm of the odds at which an alarm rings: about a thousand to one.
	alarmThreshold = 7.0
	// recordWeight is the number of attempts by which a record outweighs what it is compared with.
	recordWeight = 8.0
)

// LatencyDistribution is how long answers take, as multiples of the time expected, from a decaying record of them. What it tells is
// of the last Decay: sums that all questions share are taken there.
type LatencyDistribution struct {
	mass   [bins]float64
	total  float64
	longer [bins + 1]float64 // mass of the bins from this one on
}

// NewLatencyDistribution returns the shape that is taken until answers tell: exponential with the expected time as its mean, which
// is wider than most, counted as some answers' evidence.
func NewLatencyDistribution() *LatencyDistribution {
	s := &LatencyDistribution{}
	below := 0.0
	for i := range s.mass {
		up := 1 - math.Exp(-binEnds[i])
		s.mass[i] = recordWeight * (up - below)
		s.total += s.mass[i]
		below = up
	}
	s.sumTails()
	return s
}

// sumTails computes the mass of the tails that questions share.
func (s *LatencyDistribution) sumTails() {
	for i := bins - 1; i >= 0; i-- {
		s.longer[i] = s.longer[i+1] + s.mass[i]
	}
}

// binEnds are the multiples at which the bins end.
var binEnds = func() (at [bins]float64) {
	for i := range at {
		at[i] = firstBinEnd * math.Float64frombits(uint64(i+1023<<binsPerOctaveLog)<<(52-binsPerOctaveLog))
	}
	return at
}()

func binOf(multiple float64) int {
	switch {
	case !(multiple > firstBinEnd): // also what is no number
		return 0
	case multiple >= lastBinStart:
		return bins - 1
	}
	// the exponent, and how far in it
	return int(math.Float64bits(multiple/firstBinEnd)>>(52-binsPerOctaveLog)) - 1023<<binsPerOctaveLog + 1
}

// Add records an answer.
func (s *LatencyDistribution) Add(multiple float64) {
	s.mass[binOf(multiple)]++
	s.total++
}

// AddCancelled records an attempt that had no answer by then and would have had one with the given probability.
func (s *LatencyDistribution) AddCancelled(multiple, answered float64) {
	at, tail := binOf(multiple), 0.0
	for _, m := range s.mass[at:] {
		tail += m
	}
	if s.total += answered; tail <= 0 {
		s.mass[at] += answered
		return
	}
	for i := at; i < bins; i++ {
		s.mass[i] += answered * s.mass[i] / tail
	}
}

// Decay keeps a share of the record, but for a part that stays until answers replace it.
func (s *LatencyDistribution) Decay(keep float64) {
	if keep = max(keep, min(minShapeAnswers/s.total, 1)); keep < 1 {
		s.total = 0
		for i := range s.mass {
			s.mass[i] *= keep
			s.total += s.mass[i]
		}
	}
	s.sumTails()
}

// Survival is the share of answers that take longer. It is never 0: what has not been seen may still come.
func (s *LatencyDistribution) Survival(multiple float64) float64 {
	at := binOf(multiple)
	longer := s.longer[at+1]
	if at < bins-1 { // evenly within the bin
		from, to := binRange(at)
		longer += (s.longer[at] - longer) * min(max((to-multiple)/(to-from), 0), 1)
	}
	return (longer + 0.25) / (s.longer[0] + 0.5)
}

// InverseSurvival is the least multiple at which the share of answers that take longer is at most survival, or +Inf if the
// record is too small to tell.
func (s *LatencyDistribution) InverseSurvival(survival float64) float64 {
	allowed := survival*(s.longer[0]+0.5) - 0.25
	if !(allowed >= 0) || s.longer[bins-1] > allowed {
		return math.Inf(1)
	}
	in, after := 0, bins-1 // the bin is none before the first, and before the second
	for in+1 < after {
		if mid := (in + after) / 2; s.longer[mid] > allowed {
			in = mid
		} else {
			after = mid
		}
	}
	if in == 0 {
		return firstBinEnd
	}
	from, to := binRange(in)
	return to - (to-from)*(allowed-s.longer[in+1])/(s.longer[in]-s.longer[in+1])
}

// binRange is where a bin begins and ends.
func binRange(bin int) (from, to float64) {
	if bin > 0 {
		from = binEnds[bin-1]
	}
	return from, binEnds[bin]
}

// LossProbability is the probability that an attempt will never be answered, given the share of attempts that are not and the
// share of answers that take longer than it has been out.
func LossProbability(share, survival float64) float64 {
	return share / max(share+(1-share)*survival, math.SmallestNonzeroFloat64)
}

// SurvivalForLoss is the survival at which Lost reaches the given probability, which is above 0 and under 1.
func SurvivalForLoss(share, lost float64) float64 {
	return share * (1 - lost) / max((1-share)*lost, math.SmallestNonzeroFloat64)
}

// LossRate is a decaying count of attempts and of those lost among them. The counts are not whole: an attempt whose end
// is not known counts as lost by its probability. It fades with time and with what comes in: what is lost now must
// not take long to outweigh what was answered before.
type LossRate struct{ ended, lost float64 }

// Add counts an attempt that is lost with the given probability, and keeps that share of the record before it.
func (r *LossRate) Add(lost, keep float64) { r.ended, r.lost = r.ended*keep+1, r.lost*keep+lost }

// Correct has an attempt that was counted as lost with one probability count with another.
func (r *LossRate) Correct(from, to float64) { r.lost = min(max(r.lost+to-from, 0), r.ended) }

// Decay keeps a share of the record.
func (r *LossRate) Decay(keep float64) { r.ended, r.lost = r.ended*keep, r.lost*keep }

// Share is the share of attempts lost, where usual is what is expected of one without a record.
func (r *LossRate) Share(usual float64) float64 {
	return (r.lost + recordWeight*usual) / (r.ended + recordWeight)
}

// Alarm is the cumulative sum test of Page (1954) for an endpoint that loses or fails so large a share of what it
// gets that it is to be left alone, rather than its usual share: the sum of the log likelihood ratios, held at 0 from
// below. It asks for the more evidence the more is usual.
type Alarm float64

// RecordSuccess records an answer, where one share is usual and another calls for the alarm.
func (a *Alarm) RecordSuccess(usual, alarming float64) {
	if *a > 0 { // it can but fall
		*a = max(*a+Alarm(math.Log((1-alarming)/(1-clampUsual(usual, alarming)))), 0)
	}
}

// RecordFailure records a failure, or, with a survival above 0, that an attempt has been out for so long that such a share of
// answers takes longer. It returns the weight of that evidence; the one returned for the same attempt before, or 0,
// is given to replace it.
func (a *Alarm) RecordFailure(survival, usual, alarming, before float64) float64 {
	usual = clampUsual(usual, alarming)
	weighs := math.Log((alarming + (1-alarming)*survival) / (usual + (1-usual)*survival))
	*a = max(*a+Alarm(weighs-before), 0)
	return weighs
}

func clampUsual(usual, alarming float64) float64 {
	return min(max(usual, minUsual), maxUsualShare*alarming)
}

// Rearm has the alarm ring at the next bad sign: one that rang before has to be disproved.
func (a *Alarm) Rearm() { *a = alarmThreshold - 1 }

// Raised reports whether the evidence suffices.
func (a Alarm) Raised() bool { return a >= alarmThreshold }

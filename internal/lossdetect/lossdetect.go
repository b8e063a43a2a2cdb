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
	binCount          = 40
	firstBinEnd       = 0.05 // multiple of the expected time
	log2BinsPerOctave = 2    // binary logarithm of the bins of an octave, which are of equal width
	lastBinStart      = 38.4 // multiple from which all are in the last bin: where the one before it ends
	minResponses      = 500  // that a shape keeps until others replace them
)

// The tests of Alarm and Record.
const (
	// minUsual is the least usual share that an alarm is tested against: with less it would ring at the second failure
	// in a row. maxUsualShare is the largest, as a part of the alarming share: with more it would never ring.
	minUsualShare      = 0.05
	maxUsualOfAlarming = 0.9
	// alarmThreshold is the logarithm of the odds at which an alarm rings: about a thousand to one.
	alarmThreshold = 7.0
	// recordWeight is the number of attempts by which a record outweighs what it is compared with.
	priorWeight = 8.0
)

// LatencyDistribution is how long answers take, as multiples of the time expected, from a decaying record of them. What it tells is
// of the last Decay: sums that all questions share are taken there.
type LatencyDistribution struct {
	mass     [binCount]float64
	total    float64
	tailMass [binCount + 1]float64 // mass of the bins from this one on
}

// NewLatencyDistribution returns the shape that is taken until answers tell: exponential with the expected time as its mean, which
// is wider than most, counted as some answers' evidence.
func NewLatencyDistribution() *LatencyDistribution {
	d := &LatencyDistribution{}
	below := 0.0
	for i := range d.mass {
		up := 1 - math.Exp(-binEnds[i])
		d.mass[i] = priorWeight * (up - below)
		d.total += d.mass[i]
		below = up
	}
	d.sumTails()
	return d
}

// sumTails computes the mass of the tails that questions share.
func (d *LatencyDistribution) sumTails() {
	for i := binCount - 1; i >= 0; i-- {
		d.tailMass[i] = d.tailMass[i+1] + d.mass[i]
	}
}

// binEnds are the multiples at which the bins end.
var binEnds = func() (at [binCount]float64) {
	for i := range at {
		at[i] = firstBinEnd * math.Float64frombits(uint64(i+1023<<log2BinsPerOctave)<<(52-log2BinsPerOctave))
	}
	return at
}()

func binIndex(multiple float64) int {
	switch {
	case !(multiple > firstBinEnd): // also what is no number
		return 0
	case multiple >= lastBinStart:
		return binCount - 1
	}
	// the exponent, and how far in it
	return int(math.Float64bits(multiple/firstBinEnd)>>(52-log2BinsPerOctave)) - 1023<<log2BinsPerOctave + 1
}

// Add records an answer.
func (d *LatencyDistribution) Add(multiple float64) {
	d.mass[binIndex(multiple)]++
	d.total++
}

// AddCancelled records an attempt that had no answer by then and would have had one with the given probability.
func (d *LatencyDistribution) AddCancelled(multiple, responseProbability float64) {
	at, tail := binIndex(multiple), 0.0
	for _, m := range d.mass[at:] {
		tail += m
	}
	if d.total += responseProbability; tail <= 0 {
		d.mass[at] += responseProbability
		return
	}
	for i := at; i < binCount; i++ {
		d.mass[i] += responseProbability * d.mass[i] / tail
	}
}

// Decay keeps a share of the record, but for a part that stays until answers replace it.
func (d *LatencyDistribution) Decay(keep float64) {
	if keep = max(keep, min(minResponses/d.total, 1)); keep < 1 {
		d.total = 0
		for i := range d.mass {
			d.mass[i] *= keep
			d.total += d.mass[i]
		}
	}
	d.sumTails()
}

// Survival is the share of answers that take longer. It is never 0: what has not been seen may still come.
func (d *LatencyDistribution) Survival(multiple float64) float64 {
	at := binIndex(multiple)
	tail := d.tailMass[at+1]
	if at < binCount-1 { // evenly within the bin
		from, to := binRange(at)
		tail += (d.tailMass[at] - tail) * min(max((to-multiple)/(to-from), 0), 1)
	}
	return (tail + 0.25) / (d.tailMass[0] + 0.5)
}

// InverseSurvival is the least multiple at which the share of answers that take longer is at most survival, or +Inf if the
// record is too small to tell.
func (d *LatencyDistribution) InverseSurvival(survival float64) float64 {
	allowed := survival*(d.tailMass[0]+0.5) - 0.25
	if !(allowed >= 0) || d.tailMass[binCount-1] > allowed {
		return math.Inf(1)
	}
	low, high := 0, binCount-1 // the bin is none before the first, and before the second
	for low+1 < high {
		if mid := (low + high) / 2; d.tailMass[mid] > allowed {
			low = mid
		} else {
			high = mid
		}
	}
	if low == 0 {
		return firstBinEnd
	}
	from, to := binRange(low)
	return to - (to-from)*(allowed-d.tailMass[low+1])/(d.tailMass[low]-d.tailMass[low+1])
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
func (r *LossRate) Add(probability, keep float64) {
	r.ended, r.lost = r.ended*keep+1, r.lost*keep+probability
}

// Correct has an attempt that was counted as lost with one probability count with another.
func (r *LossRate) Correct(from, to float64) { r.lost = min(max(r.lost+to-from, 0), r.ended) }

// Decay keeps a share of the record.
func (r *LossRate) Decay(keep float64) { r.ended, r.lost = r.ended*keep, r.lost*keep }

// Share is the share of attempts lost, where usual is what is expected of one without a record.
func (r *LossRate) Share(prior float64) float64 {
	return (r.lost + priorWeight*prior) / (r.ended + priorWeight)
}

// Alarm is the cumulative sum test of Page (1954) for an endpoint that loses or fails so large a share of what it
// gets that it is to be left alone, rather than its usual share: the sum of the log likelihood ratios, held at 0 from
// below. It asks for the more evidence the more is usual.
type Alarm float64

// RecordSuccess records an answer, where one share is usual and another calls for the alarm.
func (a *Alarm) RecordSuccess(usual, alarming float64) {
	if *a > 0 { // it can but fall
		*a = max(*a+Alarm(math.Log((1-alarming)/(1-clampUsualShare(usual, alarming)))), 0)
	}
}

// RecordFailure records a failure, or, with a survival above 0, that an attempt has been out for so long that such a share of
// answers takes longer. It returns the weight of that evidence; the one returned for the same attempt before, or 0,
// is given to replace it.
func (a *Alarm) RecordFailure(survival, usual, alarming, previousWeight float64) float64 {
	usual = clampUsualShare(usual, alarming)
	weight := math.Log((alarming + (1-alarming)*survival) / (usual + (1-usual)*survival))
	*a = max(*a+Alarm(weight-previousWeight), 0)
	return weight
}

func clampUsualShare(usual, alarming float64) float64 {
	return min(max(usual, minUsualShare), maxUsualOfAlarming*alarming)
}

// Rearm has the alarm ring at the next bad sign: one that rang before has to be disproved.
func (a *Alarm) Rearm() { *a = alarmThreshold - 1 }

// Raised reports whether the evidence suffices.
func (a Alarm) Raised() bool { return a >= alarmThreshold }

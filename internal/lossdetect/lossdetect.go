// Package lossdetect distinguishes attempts that are lost from those that are only late.
//
// The package is pure: no clock, no randomness, no I/O and no allocation after the start. The cost of an event does not
// grow with the number of earlier events. Times are multiples of the expected response time of the attempt, so that
// fast and slow endpoints and classes share one distribution.
//
// The model is the mixture cure model of survival analysis (Boag 1949; Farewell 1982): a share p of the attempts never
// has a response, and the response times of the others have the survival function S. An attempt that has been in flight
// for the time t is then lost with the probability p / (p + (1-p) S(t)). An attempt that was cancelled while its
// outcome was unknown is censored: it counts as lost with that probability, and the rest of it is distributed over the
// later response times in proportion to their mass (the redistribution to the right of Efron 1967). Without that, early
// cancellation would bias the distribution towards short times.
// If many attempts are cancelled at the same time, losses cannot be distinguished from responses that take longer, and
// both estimates drift. Therefore callers should update the distribution only where few attempts are lost. The
// distribution is assumed to be the same elsewhere.
package lossdetect

import "math"

// The bins of a LatencyDistribution.
const (
	binCount          = 40
	firstBinEnd       = 0.05 // multiple of the expected time
	log2BinsPerOctave = 2    // binary logarithm of the number of bins per octave; those of an octave have equal width
	lastBinStart      = 38.4 // multiple at which the last bin starts; this bin has no upper limit
	minResponses      = 500  // number of responses below which Decay does not reduce the total
)

// Parameters of Alarm, and the weight of priors.
const (
	// minUsualShare is the minimum of the usual share in the test of an alarm: a smaller one would raise the alarm at
	// the second consecutive failure. maxUsualOfAlarming is its maximum, as a fraction of the alarming share: a larger
	// one would never raise the alarm.
	minUsualShare      = 0.05
	maxUsualOfAlarming = 0.9
	// alarmThreshold is the log likelihood ratio at which an alarm is raised: odds of about a thousand to one.
	alarmThreshold = 7.0
	// priorWeight is the weight of a prior estimate, in attempts or responses.
	priorWeight = 8.0
)

// LatencyDistribution is a decaying histogram of response times, as multiples of the expected response time. Survival
// and InverseSurvival use the state of the last Decay, which computes the sums that they share.
type LatencyDistribution struct {
	mass     [binCount]float64
	total    float64
	tailMass [binCount + 1]float64 // tailMass[i] is the mass of bin i and of all later bins
}

// NewLatencyDistribution returns the prior distribution: exponential with the expected time as its mean, which is wider
// than most distributions of response times. It has the weight of priorWeight responses.
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

// sumTails computes tailMass from mass.
func (d *LatencyDistribution) sumTails() {
	for i := binCount - 1; i >= 0; i-- {
		d.tailMass[i] = d.tailMass[i+1] + d.mass[i]
	}
}

// binEnds holds the upper limit of each bin.
var binEnds = func() (at [binCount]float64) {
	for i := range at {
		at[i] = firstBinEnd * math.Float64frombits(uint64(i+1023<<log2BinsPerOctave)<<(52-log2BinsPerOctave))
	}
	return at
}()

// binIndex returns the bin of a multiple.
func binIndex(multiple float64) int {
	switch {
	case !(multiple > firstBinEnd): // also NaN
		return 0
	case multiple >= lastBinStart:
		return binCount - 1
	}
	// The number of the bin consists of the exponent and the leading bits of the mantissa.
	return int(math.Float64bits(multiple/firstBinEnd)>>(52-log2BinsPerOctave)) - 1023<<log2BinsPerOctave + 1
}

// Add records a response.
func (d *LatencyDistribution) Add(multiple float64) {
	d.mass[binIndex(multiple)]++
	d.total++
}

// AddCancelled records an attempt that was cancelled at the given multiple without a response, and would have had one
// later with the given probability.
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

// Decay multiplies the histogram by keep, but does not reduce its total below minResponses.
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

// Survival returns the share of responses that take longer than the multiple. It is never 0, as a longer response time
// than any recorded one is possible.
func (d *LatencyDistribution) Survival(multiple float64) float64 {
	at := binIndex(multiple)
	tail := d.tailMass[at+1]
	if at < binCount-1 { // interpolate linearly within the bin
		from, to := binRange(at)
		tail += (d.tailMass[at] - tail) * min(max((to-multiple)/(to-from), 0), 1)
	}
	return (tail + 0.25) / (d.tailMass[0] + 0.5)
}

// InverseSurvival returns the smallest multiple at which Survival is at most survival. It returns firstBinEnd if that
// is in the first bin, and +Inf if it is in the last bin or the record is too small for so low a survival.
func (d *LatencyDistribution) InverseSurvival(survival float64) float64 {
	allowed := survival*(d.tailMass[0]+0.5) - 0.25
	if !(allowed >= 0) || d.tailMass[binCount-1] > allowed {
		return math.Inf(1)
	}
	low, high := 0, binCount-1 // the result is in a bin from low to high-1
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

// binRange returns the limits of a bin.
func binRange(bin int) (from, to float64) {
	if bin > 0 {
		from = binEnds[bin-1]
	}
	return from, binEnds[bin]
}

// LossProbability returns the probability that an attempt will never have a response, given the share of attempts that
// are lost and the share of responses that take longer than the attempt has been in flight.
func LossProbability(share, survival float64) float64 {
	return share / max(share+(1-share)*survival, math.SmallestNonzeroFloat64)
}

// SurvivalForLoss returns the survival at which LossProbability returns lost, which must be above 0 and below 1.
func SurvivalForLoss(share, lost float64) float64 {
	return share * (1 - lost) / max((1-share)*lost, math.SmallestNonzeroFloat64)
}

// LossRate holds decaying counts of attempts and of lost attempts. The counts are fractional: an attempt whose outcome
// is unknown counts as lost with its loss probability. The counts decay with time and with each attempt, so that new
// losses soon outweigh earlier responses.
type LossRate struct{ ended, lost float64 }

// Add multiplies the counts by keep and adds an attempt that is lost with the given probability.
func (r *LossRate) Add(probability, keep float64) {
	r.ended, r.lost = r.ended*keep+1, r.lost*keep+probability
}

// Correct changes the loss probability with which an attempt was counted.
func (r *LossRate) Correct(from, to float64) { r.lost = min(max(r.lost+to-from, 0), r.ended) }

// Decay multiplies the counts by keep.
func (r *LossRate) Decay(keep float64) { r.ended, r.lost = r.ended*keep, r.lost*keep }

// Share returns the estimated share of attempts that are lost. With no attempts it is prior.
func (r *LossRate) Share(prior float64) float64 {
	return (r.lost + priorWeight*prior) / (r.ended + priorWeight)
}

// Alarm is the cumulative sum (CUSUM) test of Page (1954). It decides between two shares of lost or failed attempts at
// an endpoint: the usual share, and the alarming share, at which the endpoint has to be ejected. Its value is the sum
// of the log likelihood ratios with a minimum of 0. A larger usual share requires more evidence.
type Alarm float64

// RecordSuccess records a response. The shares are the usual and the alarming share of failures.
func (a *Alarm) RecordSuccess(usual, alarming float64) {
	if *a > 0 { // a success lowers the value, and the minimum is 0
		*a = max(*a+Alarm(math.Log((1-alarming)/(1-clampUsualShare(usual, alarming)))), 0)
	}
}

// RecordFailure records a failure, with a survival of 0, or an attempt without a response. For the latter, survival is
// the share of responses that take longer than the attempt has been in flight. It returns the weight of this evidence.
// previousWeight is the weight returned earlier for the same attempt, or 0; the new weight replaces it.
func (a *Alarm) RecordFailure(survival, usual, alarming, previousWeight float64) float64 {
	usual = clampUsualShare(usual, alarming)
	weight := math.Log((alarming + (1-alarming)*survival) / (usual + (1-usual)*survival))
	*a = max(*a+Alarm(weight-previousWeight), 0)
	return weight
}

// clampUsualShare limits the usual share to the range in which the test works.
func clampUsualShare(usual, alarming float64) float64 {
	return min(max(usual, minUsualShare), maxUsualOfAlarming*alarming)
}

// Rearm sets the alarm just below the threshold. After an ejection, the next failure raises it again, unless successes
// have lowered it in the meantime.
func (a *Alarm) Rearm() { *a = alarmThreshold - 1 }

// Raised reports whether the alarm has reached the threshold.
func (a Alarm) Raised() bool { return a >= alarmThreshold }

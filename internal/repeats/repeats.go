// Package repeats tells attempts that are lost from those that are just late, and keeps the budget from which
// further attempts are paid.
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
// Danger: where many are called off at one time, nothing tells losses from answers that take longer than that, and both
// parts drift. So the shape is to be learnt only where few are lost; it is the same elsewhere.
package repeats

import "math"

const (
	bins       = 40   // of the shape
	least      = 0.05 // multiple of the expected time at which the first bin ends
	octave     = 2    // log of the bins of an octave, which are of equal width
	most       = 38.4 // multiple from which all are in the last bin: where the one before it ends
	shapeLeast = 500  // answers that a shape keeps
	usualLeast = 0.05 // usual shares that are told from it: less would ring at the second failure in a row,
	usualMost  = 0.9  // and of the alarming share, more never
	alarmAt    = 7.0  // log of the odds that ring: a thousand to one
	weight     = 8.0  // attempts by which a record outweighs what it is compared with
)

// Shape is how long answers take, as multiples of the time expected, from a fading record of them. What it tells is of
// the last Fade: sums that all questions share are taken there.
type Shape struct {
	mass   [bins]float64
	total  float64
	longer [bins + 1]float64 // mass of the bins from this one on
}

// NewShape returns the shape that is taken until answers tell: exponential with the expected time as its mean, which
// is wider than most, counted as some answers' evidence.
func NewShape() *Shape {
	s := &Shape{}
	below := 0.0
	for i := range s.mass {
		up := 1 - math.Exp(-ends[i])
		s.mass[i] = weight * (up - below)
		s.total += s.mass[i]
		below = up
	}
	s.sum()
	return s
}

func (s *Shape) sum() {
	for i := bins - 1; i >= 0; i-- {
		s.longer[i] = s.longer[i+1] + s.mass[i]
	}
}

// ends are the multiples at which the bins end.
var ends = func() (at [bins]float64) {
	for i := range at {
		at[i] = least * math.Float64frombits(uint64(i+1023<<octave)<<(52-octave))
	}
	return at
}()

func bin(multiple float64) int {
	switch {
	case !(multiple > least): // also what is no number
		return 0
	case multiple >= most:
		return bins - 1
	}
	return int(math.Float64bits(multiple/least)>>(52-octave)) - 1023<<octave + 1 // the exponent, and how far in it
}

// Answered takes in an answer.
func (s *Shape) Answered(multiple float64) {
	s.mass[bin(multiple)]++
	s.total++
}

// CalledOff takes in an attempt that had no answer by then and would have had one with the given probability.
func (s *Shape) CalledOff(multiple, answered float64) {
	at, tail := bin(multiple), 0.0
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

// Fade keeps a share of the record, but for a part that stays until answers replace it.
func (s *Shape) Fade(keep float64) {
	if keep = max(keep, min(shapeLeast/s.total, 1)); keep < 1 {
		s.total = 0
		for i := range s.mass {
			s.mass[i] *= keep
			s.total += s.mass[i]
		}
	}
	s.sum()
}

// Survival is the share of answers that take longer. It is never 0: what has not been seen may still come.
func (s *Shape) Survival(multiple float64) float64 {
	at := bin(multiple)
	longer := s.longer[at+1]
	if at < bins-1 { // evenly within the bin
		from, to := width(at)
		longer += (s.longer[at] - longer) * min(max((to-multiple)/(to-from), 0), 1)
	}
	return (longer + 0.25) / (s.longer[0] + 0.5)
}

// Beyond is the least multiple at which the share of answers that take longer is at most survival, or +Inf if the
// record is too small to tell.
func (s *Shape) Beyond(survival float64) float64 {
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
		return least
	}
	from, to := width(in)
	return to - (to-from)*(allowed-s.longer[in+1])/(s.longer[in]-s.longer[in+1])
}

// width is where a bin begins and ends.
func width(bin int) (from, to float64) {
	if bin > 0 {
		from = ends[bin-1]
	}
	return from, ends[bin]
}

// Lost is the probability that an attempt will never be answered, given the share of attempts that are not and the
// share of answers that take longer than it has been out.
func Lost(share, survival float64) float64 {
	return share / max(share+(1-share)*survival, math.SmallestNonzeroFloat64)
}

// Until is the survival at which Lost reaches the given probability, which is above 0 and under 1.
func Until(share, lost float64) float64 {
	return share * (1 - lost) / max((1-share)*lost, math.SmallestNonzeroFloat64)
}

// Record is a fading count of attempts and of those lost among them. The counts are not whole: an attempt whose end is
// not known counts as lost by its probability. It fades with time and with what comes in: what is lost now must not
// take long to outweigh what was answered before.
type Record struct{ ended, lost float64 }

// Add counts an attempt that is lost with the given probability, and keeps that share of the record before it.
func (r *Record) Add(lost, keep float64) { r.ended, r.lost = r.ended*keep+1, r.lost*keep+lost }

// Correct has an attempt that was counted as lost with one probability count with another.
func (r *Record) Correct(from, to float64) { r.lost = min(max(r.lost+to-from, 0), r.ended) }

// Fade keeps a share of the record.
func (r *Record) Fade(keep float64) { r.ended, r.lost = r.ended*keep, r.lost*keep }

// Share is the share of attempts lost, where usual is what is expected of one without a record.
func (r *Record) Share(usual float64) float64 { return (r.lost + weight*usual) / (r.ended + weight) }

// Alarm is the cumulative sum test of Page (1954) for an endpoint that loses or fails so large a share of what it gets
// that it is to be left alone, rather than its usual share: the sum of the log likelihood ratios, held at 0 from below. It
// asks for the more evidence the more is usual.
type Alarm float64

// Good takes in an answer, where one share is usual and another calls for the alarm.
func (a *Alarm) Good(usual, alarming float64) {
	if *a > 0 { // it can but fall
		*a = max(*a+Alarm(math.Log((1-alarming)/(1-clamp(usual, alarming)))), 0)
	}
}

// Bad takes in a failure, or, with a survival above 0, that an attempt has been out for so long that such a share of
// answers takes longer. It returns the weight of that evidence; the one returned for the same attempt before, or 0,
// is given to replace it.
func (a *Alarm) Bad(survival, usual, alarming, before float64) float64 {
	usual = clamp(usual, alarming)
	weighs := math.Log((alarming + (1-alarming)*survival) / (usual + (1-usual)*survival))
	*a = max(*a+Alarm(weighs-before), 0)
	return weighs
}

func clamp(usual, alarming float64) float64 { return min(max(usual, usualLeast), usualMost*alarming) }

// Again has the alarm ring at the next bad sign: one that rang before has to be disproved.
func (a *Alarm) Again() { *a = alarmAt - 1 }

// Rings tells whether the evidence suffices.
func (a Alarm) Rings() bool { return a >= alarmAt }

// Budget pays for further attempts out of successes, as in the retry budgets of Finagle: a share of each success is put
// by, up to a limit, so that further attempts dry up with the successes. There is one for each class and one for the
// whole, and an attempt is paid for by both: no class lives on what the others earn, and all together spend no more
// than one would.
type Budget struct {
	whole   float64
	classes []float64
	rate    float64
	most    float64
}

// NewBudget returns a full budget: each success earns rate, and at most so many attempts are put by.
func NewBudget(classes int, rate, most float64) Budget {
	b := Budget{whole: most, classes: make([]float64, classes), rate: rate, most: most}
	for i := range b.classes {
		b.classes[i] = most
	}
	return b
}

// Grow adds classes until there are so many.
func (b *Budget) Grow(classes int) {
	for len(b.classes) < classes {
		b.classes = append(b.classes, b.most)
	}
}

// Earn takes in a success.
func (b *Budget) Earn(class int) {
	b.whole = min(b.whole+b.rate, b.most)
	b.classes[class] = min(b.classes[class]+b.rate, b.most)
}

// Spend pays for a further attempt, or returns false and takes nothing if there is too little.
func (b *Budget) Spend(class int) bool {
	if b.whole < 1 || b.classes[class] < 1 {
		return false
	}
	b.whole--
	b.classes[class]--
	return true
}

// Charge takes what a client's own retry costs, as far as it is there: that one is served in any case, and leaves less
// for others.
func (b *Budget) Charge(class int) {
	b.whole = max(b.whole-1, 0)
	b.classes[class] = max(b.classes[class]-1, 0)
}

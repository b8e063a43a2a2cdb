package lossdetect

const (
	slowdownDecay       = 0.75 // factor of the record at each response: about the last four responses count
	slowdownPriorWeight = 2.0  // weight of the prior factor of 1, in responses
	maxSlowdown         = 4.0  // maximum multiple recorded for a response: a single outlier is weak evidence
)

// Slowdown estimates the factor by which an endpoint currently responds later than was expected when the requests were
// sent, from a decaying record of its responses. The expected time adapts over seconds, the factor over the last few
// responses. An endpoint that loses requests responds to the others in the expected time, so the factor distinguishes
// late attempts from lost ones. The zero value has a factor of 1.
type Slowdown struct{ responses, multiplesSum float64 }

// Add records a response time, as a multiple of the time that was expected when the request was sent.
func (s *Slowdown) Add(multiple float64) {
	s.responses = s.responses*slowdownDecay + 1
	s.multiplesSum = s.multiplesSum*slowdownDecay + min(multiple, maxSlowdown)
}

// Decay multiplies the record by keep.
func (s *Slowdown) Decay(keep float64) {
	s.responses, s.multiplesSum = s.responses*keep, s.multiplesSum*keep
}

// Factor returns the estimated factor, from 1 to maxSlowdown.
func (s *Slowdown) Factor() float64 {
	return max((s.multiplesSum+slowdownPriorWeight)/(s.responses+slowdownPriorWeight), 1)
}

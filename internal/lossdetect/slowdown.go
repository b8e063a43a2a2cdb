package lossdetect

const (
	slowdownDecay       = 0.75 // share of the record that an answer leaves: some four of the last ones count
	slowdownPriorWeight = 2.0  // answers in the expected time by which a small record is outweighed
	maxSlowdown         = 4.0  // multiple at which an answer counts at most: a single outlier proves little
)

// Slowdown is by which factor an endpoint answers later just now than was expected when the requests were sent, from
// a decaying record of its answers. The expectation follows answers over seconds; this follows the last few of them. An
// endpoint that loses requests answers the others as expected, so the factor tells late attempts from lost ones.
// The zero value is a factor of 1.
type Slowdown struct{ responses, multiplesSum float64 }

// Add records an answer by its time as a multiple of the time that was expected at the sending.
func (s *Slowdown) Add(multiple float64) {
	s.responses = s.responses*slowdownDecay + 1
	s.multiplesSum = s.multiplesSum*slowdownDecay + min(multiple, maxSlowdown)
}

// Decay keeps a share of the record.
func (s *Slowdown) Decay(keep float64) {
	s.responses, s.multiplesSum = s.responses*keep, s.multiplesSum*keep
}

// Factor is the factor, from 1 to the multiple at which an answer counts at most.
func (s *Slowdown) Factor() float64 {
	return max((s.multiplesSum+slowdownPriorWeight)/(s.responses+slowdownPriorWeight), 1)
}

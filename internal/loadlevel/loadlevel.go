// Package loadlevel estimates how full the servers are from how long answers take now, as a multiple of how long they
// took in the seconds before.
//
// It is pure: no clock, no randomness, no I/O and no allocation. Records decay when their owner says so. Either time is
// estimated by Little's law, as the time that attempts spent waiting over the answers that came of it. The time for
// which answers are outstanding counts too: attempts that have ended are the ones that a jam did not hold up, and would
// tell of it late.
//
// A Meter must not be used by two goroutines at once.
package loadlevel

// priorAnswers is the count of answers at the former times that is added to those at the present ones, so that few
// answers do not make a level; it is also the least that former times are derived from.
const priorAnswers = 2

// leastSeconds keeps a ratio of times finite where former answers took no time at all.
const leastSeconds = 1e-9

// record is a decaying record of attempts that have ended.
type record struct {
	waited  float64 // seconds spent on them
	answers float64 // how many were answered
}

// add counts an attempt that was out for so many seconds.
func (r *record) add(seconds float64, answered bool) {
	r.waited += seconds
	if answered {
		r.answers++
	}
}

// decay keeps a share of the record.
func (r *record) decay(keep float64) {
	r.waited *= keep
	r.answers *= keep
}

// Meter measures the load level from one sidecar's attempts. The zero value knows of none.
type Meter struct {
	recent, former record
	excess         float64 // level above 1
}

// Ended counts an attempt that was out for so many seconds, and whether it was answered.
func (m *Meter) Ended(seconds float64, answered bool) {
	m.recent.add(seconds, answered)
	m.former.add(seconds, answered)
}

// Decay keeps the given shares, from 0 to 1, of the recent and the former record, and computes the level anew.
// outstanding is the sum of the seconds for which attempts that are expected to be answered have been out.
func (m *Meter) Decay(keepRecent, keepFormer, outstanding float64) {
	m.recent.decay(keepRecent)
	m.former.decay(keepFormer)
	m.excess = 0
	if m.former.answers < priorAnswers {
		return
	}
	former := (m.former.waited + outstanding) / m.former.answers
	present := (m.recent.waited + outstanding + priorAnswers*former) / (m.recent.answers + priorAnswers)
	m.excess = max(present/max(former, leastSeconds)-1, 0)
}

// Level returns the multiple, 1 or more. Answers that come sooner than before show in the answer times themselves, and
// waiting for that does no harm, so a level under 1 is not reported.
func (m *Meter) Level() float64 { return 1 + m.excess }

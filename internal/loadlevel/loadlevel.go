// Package loadlevel tells how long answers take now, as a multiple of how long they took in the seconds before.
//
// It is pure: no clock, no randomness, no I/O, no allocation; what fades is faded by its owner. The estimate of either
// time is that of Little's law, the time spent waiting over the answers that came of it, and so it counts also the time
// for which answers are owed: of attempts that ended alone, the first to tell of a jam are the ones it did not catch.
package loadlevel

// prior is the count of answers at the former pace that is added to those at the present one, and the least that a
// former pace is told by.
const prior = 2

// record is a fading record of answers.
type record struct {
	took    float64 // seconds spent on attempts that ended
	answers float64
}

func (r *record) fade(keep float64) { r.took, r.answers = r.took*keep, r.answers*keep }

// Meter measures the pace of one sidecar's answers. The zero value knows none.
type Meter struct {
	now, before record
	above       float64 // what the level is above 1
}

// Ended takes in how long an attempt was out, and whether it was answered.
func (m *Meter) Ended(seconds float64, answered bool) {
	for _, r := range [...]*record{&m.now, &m.before} {
		if r.took += seconds; answered {
			r.answers++
		}
	}
}

// Fade keeps shares of the present and the former record, and takes the level anew. owed is the sum of the seconds for
// which attempts that will be answered have been out.
func (m *Meter) Fade(now, before, owed float64) {
	m.now.fade(now)
	m.before.fade(before)
	m.above = 0
	if m.before.answers >= prior {
		former := (m.before.took + owed) / m.before.answers
		present := (m.now.took + owed + prior*former) / (m.now.answers + prior)
		m.above = max(present/max(former, 1e-9)-1, 0)
	}
}

// Level is the multiple, at least 1: that answers come sooner than they did is told by themselves in time, and to wait
// for that does no harm.
func (m *Meter) Level() float64 { return 1 + m.above }

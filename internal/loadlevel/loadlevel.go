// Package loadlevel estimates the load of the servers from response times: the level is the present response time as a
// multiple of the response time of the preceding seconds.
//
// The package is pure: no clock, no randomness, no I/O and no allocation. Records decay only when the caller calls
// Decay. By Little's law, a response time is the total time that attempts were in flight divided by the number of
// responses. The time that attempts in flight have waited so far is included. At the start of a congestion, only the
// attempts without a delay have ended; they alone would show the congestion late.
//
// A Meter is not safe for concurrent use.
package loadlevel

// priorResponses is the number of assumed responses with the former response time that are added to the recent ones.
// They limit the effect of few responses on the level. With fewer than priorResponses former responses, the level is 1.
const priorResponses = 2

// minSeconds is the lower bound of the former response time. It keeps the level finite if the former responses took no
// time.
const minSeconds = 1e-9

// record is a decaying record of attempts that have ended.
type record struct {
	waited    float64 // total time in flight, in seconds
	responses float64 // number of attempts with a response
}

// add counts an attempt that ended after the given seconds in flight, with or without a response.
func (r *record) add(seconds float64, responded bool) {
	r.waited += seconds
	if responded {
		r.responses++
	}
}

// decay multiplies the record by keep.
func (r *record) decay(keep float64) {
	r.waited *= keep
	r.responses *= keep
}

// Meter measures the load level from the attempts of one sidecar. The zero value has no attempts and level 1.
type Meter struct {
	recent, former record
	excess         float64 // level minus 1
}

// Ended counts an attempt that ended after the given seconds in flight, with or without a response.
func (m *Meter) Ended(seconds float64, responded bool) {
	m.recent.add(seconds, responded)
	m.former.add(seconds, responded)
}

// Decay multiplies the recent and the former record by the given factors, from 0 to 1, and recomputes the level.
// outstanding is the total waiting time of the attempts in flight, in seconds, without those presumed lost.
func (m *Meter) Decay(keepRecent, keepFormer, outstanding float64) {
	m.recent.decay(keepRecent)
	m.former.decay(keepFormer)
	m.excess = 0
	if m.former.responses < priorResponses {
		return
	}
	former := (m.former.waited + outstanding) / m.former.responses
	present := (m.recent.waited + outstanding + priorResponses*former) / (m.recent.responses + priorResponses)
	m.excess = max(present/max(former, minSeconds)-1, 0)
}

// Level returns the load level, 1 or more. When responses become faster, the level stays at 1: the response times
// themselves decrease, and their delay is harmless.
func (m *Meter) Level() float64 { return 1 + m.excess }

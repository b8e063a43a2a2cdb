package policy

import "time"

// Holder is a sidecar's side of the promises: under which policy it may take a request now, if under any.
type Holder struct {
	name        string
	incarnation uint64
	terms       Terms
	latest      Stamp
	checked     uint64
	fault       string
	runnable    map[uint64]bool // documents that it can run
	number      uint64
	expiry      Time
	next        uint64
	nextStart   Time
	nextExpiry  Time // of next
}

// NewHolder returns the side of a process that has nothing yet, and so serves nothing.
func NewHolder(name string, life uint64, t Terms) *Holder {
	return &Holder{name: name, incarnation: life, terms: t, runnable: map[uint64]bool{}}
}

// RaiseIncarnation says that the fleet has come to a higher life of this process: what is asked under a lower one than a former
// process had is not answered. What was promised under the lower one goes on counting.
func (h *Holder) RaiseIncarnation(life uint64) { h.incarnation = max(h.incarnation, life) }

// Request returns the question to be sent now. The host notes the time: the promise counts from it.
func (h *Holder) Request() LeaseRequest {
	return LeaseRequest{Sidecar: h.name, Incarnation: h.incarnation, Latest: h.latest, Checked: h.checked, Fault: h.fault}
}

// Checked takes in that a document was read whole with the code that runs it; fault says what is wrong with it, "" nothing.
func (h *Holder) Checked(number uint64, fault string) {
	h.checked, h.fault = number, fault
	if fault == "" {
		h.runnable[number] = true
	}
	for n := range h.runnable { // what is neither served nor to come is of no use
		if n != h.number && n != h.next && n != h.checked {
			delete(h.runnable, n)
		}
	}
}

// Update takes in an answer to the question that was sent at a time. It returns a document that is to be got and checked, 0
// where there is none. Danger: answers come late and in any order; a later one, which may promise less, has come already.
func (h *Holder) Update(now, sent Time, g LeaseResponse) (check uint64) {
	if g.Stamp.Compare(h.latest) <= 0 {
		return 0
	}
	h.latest = g.Stamp
	h.number, h.expiry, h.next, h.nextExpiry = g.Number, sent+h.terms.lowerBound(g.Duration), 0, 0
	if g.Next > 0 {
		// It ends the one at the earliest and begins the other at the latest that the switch can be.
		h.expiry = min(h.expiry, sent+h.terms.lowerBound(g.NextIn))
		h.next, h.nextStart, h.nextExpiry = g.Next, now+h.terms.upperBound(g.NextIn), sent+h.terms.lowerBound(g.NextIn+g.NextDuration)
	}
	switch {
	case g.Number > 0 && !h.runnable[g.Number]:
		return g.Number
	case g.Next > 0 && !h.runnable[g.Next]:
		return g.Next
	case g.Check > h.checked:
		return g.Check
	}
	return 0
}

// Serves tells under which policy a request may be taken now. Danger: the time must be read before each request, behind
// whatever may have stopped the process. wait is after what time a request is to ask again, where that is worth its while: the next
// policy is about to begin, or a promise has run out just now, and the answer that prolongs it is late.
func (h *Holder) Serves(now Time) (number uint64, wait time.Duration, ok bool) {
	switch {
	case h.number > 0 && now < h.expiry && h.runnable[h.number]:
		return h.number, 0, true
	case h.next > 0 && now >= h.nextStart && now < h.nextExpiry && h.runnable[h.next]:
		return h.next, 0, true
	case h.next > 0 && now < h.nextStart && h.runnable[h.next]:
		return 0, h.nextStart - now, false
	case h.number > 0 && now < max(h.expiry, h.nextExpiry)+h.terms.Short:
		return 0, renewalPollInterval, false
	}
	return 0, 0, false
}

// renewalPollInterval is how soon a request that waits for a late answer asks again.
const renewalPollInterval = 5 * time.Millisecond

package policy

import "time"

// renewalPollInterval is how often a waiting request checks whether a late lease renewal has arrived.
const renewalPollInterval = 5 * time.Millisecond

// Holder is the lease state of a sidecar. It decides under which policy, if any, the sidecar may accept a request now.
// It is not safe for concurrent use.
type Holder struct {
	name          string
	incarnation   uint64
	terms         Terms
	latest        Stamp           // of the latest applied response
	lastChecked   uint64          // number of the last checked document
	lastFault     string          // why the last checked document cannot run; "": it can run
	runnable      map[uint64]bool // numbers of checked documents that can run
	currentNumber uint64          // policy leased now; 0: none
	currentExpiry Time
	nextNumber    uint64 // policy leased after the switch; 0: none
	nextStart     Time
	nextExpiry    Time
}

// NewHolder returns the Holder of a new process. It has no lease and no checked document, so it serves no requests.
func NewHolder(name string, incarnation uint64, terms Terms) *Holder {
	return &Holder{name: name, incarnation: incarnation, terms: terms, runnable: map[uint64]bool{}}
}

// RaiseIncarnation sets the incarnation that the fleet has assigned to this process, if it is higher than the current
// one. The leader grants no lease to an incarnation lower than that of an earlier process with the same name. Leases
// granted under the former incarnation stay valid.
func (h *Holder) RaiseIncarnation(incarnation uint64) {
	h.incarnation = max(h.incarnation, incarnation)
}

// Request returns the next lease request for the leader. The host records the time of sending for ApplyResponse.
func (h *Holder) Request() LeaseRequest {
	return LeaseRequest{
		Sidecar:     h.name,
		Incarnation: h.incarnation,
		Latest:      h.latest,
		Checked:     h.lastChecked,
		Fault:       h.lastFault,
	}
}

// RecordCheck records the result of a complete check of a document by the code that runs documents. fault is the reason
// why the document cannot run on this sidecar, or "" if it can.
func (h *Holder) RecordCheck(number uint64, fault string) {
	h.lastChecked, h.lastFault = number, fault
	if fault == "" {
		h.runnable[number] = true
	}
	for n := range h.runnable {
		if n != h.currentNumber && n != h.nextNumber && n != h.lastChecked {
			delete(h.runnable, n)
		}
	}
}

// ApplyResponse applies the response to a request that was sent at the time sent. It returns the number of a document
// to fetch and check, or 0 if there is none. Responses may arrive late and in any order. A response older than the
// latest applied one is ignored, as the newer one may have granted a shorter lease.
func (h *Holder) ApplyResponse(now, sent Time, response LeaseResponse) (check uint64) {
	if response.Stamp.Compare(h.latest) <= 0 {
		return 0
	}
	h.latest = response.Stamp
	h.currentNumber, h.currentExpiry = response.Number, sent+h.terms.lowerBound(response.Duration)
	h.nextNumber, h.nextStart, h.nextExpiry = 0, 0, 0
	if response.Next > 0 {
		// The switch happens at a fixed time on the leader's clock, which corresponds to an interval on this clock. The
		// lease on the current policy ends at the start of the interval, and the lease on the next policy begins at its
		// end.
		h.currentExpiry = min(h.currentExpiry, sent+h.terms.lowerBound(response.NextIn))
		h.nextNumber, h.nextStart = response.Next, now+h.terms.upperBound(response.NextIn)
		h.nextExpiry = sent + h.terms.lowerBound(response.NextIn+response.NextDuration)
	}
	switch {
	case response.Number > 0 && !h.runnable[response.Number]:
		return response.Number
	case response.Next > 0 && !h.runnable[response.Next]:
		return response.Next
	case response.Check > h.lastChecked:
		return response.Check
	}
	return 0
}

// Serves returns the number of the policy under which a request may be accepted now, if ok is true. Otherwise wait is
// the delay after which the request should call Serves again, or 0 if it should not wait. A request waits if the lease
// on the next policy is about to begin, or if a lease has just expired and its renewal is late.
//
// The host must read the clock for each request, after any point where the process may have been paused, because the
// lease may have expired in the meantime.
func (h *Holder) Serves(now Time) (number uint64, wait time.Duration, ok bool) {
	switch {
	case h.currentNumber > 0 && now < h.currentExpiry && h.runnable[h.currentNumber]:
		return h.currentNumber, 0, true
	case h.nextNumber > 0 && now >= h.nextStart && now < h.nextExpiry && h.runnable[h.nextNumber]:
		return h.nextNumber, 0, true
	case h.nextNumber > 0 && now < h.nextStart && h.runnable[h.nextNumber]:
		return 0, h.nextStart - now, false
	case h.currentNumber > 0 && now < max(h.currentExpiry, h.nextExpiry)+h.terms.ShortLength:
		return 0, renewalPollInterval, false
	}
	return 0, 0, false
}

package policy

import "time"

// renewalPollInterval is how soon a request that waits for a late renewal looks again.
const renewalPollInterval = 5 * time.Millisecond

// Holder is a sidecar's side of the leases: under which policy, if any, it may take a request now. It isn't safe for
// concurrent use.
type Holder struct {
	name          string
	incarnation   uint64
	terms         Terms
	latest        Stamp           // of the latest response applied
	lastChecked   uint64          // document checked last
	lastFault     string          // why that one cannot run; "": it can
	runnable      map[uint64]bool // documents that it can run
	currentNumber uint64          // policy leased; 0: none
	currentExpiry Time
	nextNumber    uint64 // policy leased after that; 0: none
	nextStart     Time
	nextExpiry    Time
}

// NewHolder returns the side of a process that has no lease and no document yet, and so serves nothing.
func NewHolder(name string, incarnation uint64, terms Terms) *Holder {
	return &Holder{name: name, incarnation: incarnation, terms: terms, runnable: map[uint64]bool{}}
}

// RaiseIncarnation takes the incarnation that the fleet has given to this process, if that is higher than its own. A
// request under a lower one than a former process had is not answered. Leases under the lower one stay valid.
func (h *Holder) RaiseIncarnation(incarnation uint64) {
	h.incarnation = max(h.incarnation, incarnation)
}

// Request returns what is to be sent to the leader now. The host notes the time of sending for Update.
func (h *Holder) Request() LeaseRequest {
	return LeaseRequest{
		Sidecar:     h.name,
		Incarnation: h.incarnation,
		Latest:      h.latest,
		Checked:     h.lastChecked,
		Fault:       h.lastFault,
	}
}

// RecordCheck records that a document was checked completely by the code that runs it. fault says why it cannot run here,
// "" that it can.
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

// ApplyResponse applies the response to a request that was sent at a time, and returns the number of a document that is to be
// fetched and checked, 0 for none. Responses may come late and in any order; one that is older than the latest applied
// changes nothing, as a later one may have leased less.
func (h *Holder) ApplyResponse(now, sent Time, response LeaseResponse) (check uint64) {
	if response.Stamp.Compare(h.latest) <= 0 {
		return 0
	}
	h.latest = response.Stamp
	h.currentNumber, h.currentExpiry = response.Number, sent+h.terms.lowerBound(response.Duration)
	h.nextNumber, h.nextStart, h.nextExpiry = 0, 0, 0
	if response.Next > 0 {
		// The switch comes at one time by the leader's clock. By this clock the lease on the former policy ends at the
		// earliest, and the next one begins at the latest, that this can be.
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

// Serves returns the number of the policy under which a request may be taken now, if ok. Otherwise wait is after what
// time the request should ask again, 0 if it should not wait: either the lease on the next policy is about to begin, or
// a lease has just expired and its renewal is late.
//
// The host must read the clock anew for each request, after anything that may have stopped the process, as a lease may
// have expired meanwhile.
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

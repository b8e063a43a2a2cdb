package checker

import (
	"slices"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

// request is the tracked state of one request.
type request struct {
	event       record.Event  // the event that started the request
	abandoned   bool          // no response is due: client left or did not reach the sidecar, or sidecar went down
	responses   int           // responses that the client received
	respondedAt time.Duration // time of the first response
	attempts    []attempt
	runs        int           // times that a node started to run the request
	idleSince   time.Duration // when the last attempt in flight ended, or when the request started
	tokens      []uint64      // tokens of the successful responses that nodes returned for the request
}

// attempt is one attempt of a request at a node.
type attempt struct {
	number   uint8
	node     int32
	sentAt   time.Duration
	rejected bool // rejected by the node, so it has not run
	ended    bool
}

// deadline returns the time by which the client must receive the response, without ResponseSlack.
func (r *request) deadline() time.Duration { return r.event.At + r.event.Wait }

// open reports whether the request still requires a response.
func (r *request) open() bool { return r.responses == 0 && !r.abandoned }

// mayHaveRun reports whether at least one attempt was sent and not rejected by its node.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.rejected })
}

// inFlight reports whether at least one attempt has not ended.
func (r *request) inFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.ended })
}

// replied records the response of a node to an attempt.
func (r *request) replied(e *record.Event) {
	if e.Status == record.Served {
		r.tokens = append(r.tokens, e.Token)
	}
	if e.Status != record.Rejected {
		return
	}
	for i := range r.attempts {
		if r.attempts[i].number == e.Attempt {
			r.attempts[i].rejected = true
		}
	}
}

// attemptEnded records the end of an attempt.
func (r *request) attemptEnded(e *record.Event) {
	for i := range r.attempts {
		if r.attempts[i].number == e.Attempt {
			r.attempts[i].ended = true
		}
	}
	if !r.inFlight() {
		r.idleSince = e.At
	}
}

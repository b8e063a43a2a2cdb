package checker

import (
	"slices"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

// request is what was seen of one request.
type request struct {
	event       record.Event // that began it
	abandoned   bool         // no response is due: its client left or never reached the sidecar, or the sidecar died
	responses   int
	respondedAt time.Duration // of the first response
	attempts    []attempt
	runs        int           // attempts that a node began to work on
	idleSince   time.Duration // when its last attempt in flight ended
	tokens      []uint64      // of the responses that nodes wrote for it
}

// attempt is one attempt of a request at a node.
type attempt struct {
	number   uint8
	node     int32
	sentAt   time.Duration
	rejected bool // by the node, so that it has not run
	ended    bool
}

// deadline is the time by which a request must have its response, but for the slack.
func (r *request) deadline() time.Duration { return r.event.At + r.event.Wait }

// open reports whether a response is due.
func (r *request) open() bool { return r.responses == 0 && !r.abandoned }

// mayHaveRun reports whether an attempt was sent and not rejected by its node.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.rejected })
}

// inFlight reports whether an attempt has not ended.
func (r *request) inFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.ended })
}

// replied notes what a node wrote as its response to an attempt.
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

// attemptEnded notes that an attempt is over.
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

package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/upstream"
)

// inflightRequest is a client's request from the reading of its head to its final response and the end of its attempts.
// The handler fills in what comes before requestID; from there on it belongs to the loop's goroutine.
type inflightRequest struct {
	upstream.Message
	*classSettings
	policyNumber uint64 // of the policy under which it was read; 0: there is none
	tenant       int    // its index in the settings; -1: of none
	isRetry      bool   // its client has sent it before
	deadline     time.Time
	response     chan finalResponse // gets the final response, once
	releaseBody  func()             // gives back the buffers of the body; nil: it has none
	peerClosed   func() bool        // reports whether the client has closed its connection; nil: unknown

	requestID        balance.RequestID
	completed        atomic.Bool          // has its final response
	attempts         []context.CancelFunc // in the order in which they were started
	attemptsInFlight int
}

// clientDisconnected reports whether the client has closed its connection, also where bytes sent before are not read yet.
func (r *inflightRequest) clientDisconnected() bool { return r.peerClosed != nil && r.peerClosed() }

// dropBody gives back the buffers of the body. No attempt may be writing it: another request would use the buffers.
func (r *inflightRequest) dropBody() {
	if r.releaseBody == nil {
		return
	}
	r.releaseBody()
	r.releaseBody = nil
	r.Body = nil
}

// responseKind is a kind of final response.
type responseKind int

const (
	served        responseKind = iota // a server's response
	rejected                          // the request has had no effect, and may be sent again
	badGateway                        // it may have had an effect
	policyChanged                     // none yet: the policy that it was read under is not in force any more
)

// finalResponse is the final response to a request.
type finalResponse struct {
	kind        responseKind
	body        []byte           // served: all of it, or what has come
	contentType string           // served
	remainder   *upstream.Stream // served: what is still to come; nil: nothing
	retryAfter  time.Duration    // rejected: when to send the request again; 0: not given
}

package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/upstream"
)

// inflightRequest is a client request, from the parsing of its head until it has its final response and all its
// attempts have ended. The handler sets the fields above requestID. The other fields, except completed, are accessed
// only by the loop's goroutine.
type inflightRequest struct {
	upstream.Message
	*classSettings
	policyNumber uint64    // policy under which the head was parsed; 0 for none
	tenant       int       // index in the settings; -1 for none
	isRetry      bool      // marked by the client as a retry
	receivedAt   time.Time // when its last byte was read
	deadline     time.Time
	response     chan finalResponse // receives the final response, once
	releaseBody  func()             // returns the buffers of the body to the pool; nil without a body
	peerClosed   func() bool        // reports whether the client has disconnected; nil if unknown

	requestID        balance.RequestID
	completed        atomic.Bool      // the final response is decided
	attempts         []attemptControl // in order of start
	attemptsInFlight int
}

// attemptControl stops an attempt or limits the time in which its request has to reach the server.
type attemptControl struct {
	cancel        context.CancelFunc
	sendDeadline  *upstream.SendDeadline
	responseBegun *atomic.Bool // a part of the response has arrived
}

// clientDisconnected reports whether the client has closed its connection, even if data sent before is still unread.
func (r *inflightRequest) clientDisconnected() bool { return r.peerClosed != nil && r.peerClosed() }

// dropBody returns the buffers of the body to the pool, where other requests reuse them. It must not be called while an
// attempt writes the body.
func (r *inflightRequest) dropBody() {
	if r.releaseBody == nil {
		return
	}
	r.releaseBody()
	r.releaseBody = nil
	r.Body = nil
}

// responseKind is the kind of a final response.
type responseKind int

const (
	served        responseKind = iota // a server's response
	rejected                          // 503: the request has had no effect and may be sent again
	badGateway                        // 502: the request may have had an effect
	policyChanged                     // no response yet: the policy of the request is no longer in force
)

// streamSource identifies the attempt whose response is streamed.
type streamSource struct {
	endpoint string
	sentAt   balance.Time
}

// finalResponse is the final response to a request.
type finalResponse struct {
	kind        responseKind
	body        []byte           // served: the complete body, or its first part if remainder is set
	contentType string           // served: the server's Content-Type; empty if it sent none
	remainder   *upstream.Stream // served: the rest of the body; nil if body is complete
	source      streamSource     // served: where remainder comes from
	retryAfter  time.Duration    // rejected: value of Retry-After; 0 for none
}

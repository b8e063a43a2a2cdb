package upstream

import (
	"errors"
	"fmt"
)

// errConnLimit means that the pool has reached its connection limit.
var errConnLimit = errors.New("limit of connections to servers reached")

// errNotSendable means that the request must no longer be sent to the server. The errors below wrap it and add the
// reason.
var errNotSendable = errors.New("request not sent")

var (
	errServerRemoved    = fmt.Errorf("%w: server was removed, restarted or set administratively down", errNotSendable)
	errServerDraining   = fmt.Errorf("%w: server is draining", errNotSendable)
	errSendDeadline     = fmt.Errorf("%w: send deadline has passed", errNotSendable)
	errRequestCancelled = fmt.Errorf("%w: request was cancelled", errNotSendable)
)

// errUndelivered means that a part of the written request had not reached the server at the send deadline. The server
// may process the request if that part arrived in the meantime.
var errUndelivered = errors.New("request had not reached the server completely at the send deadline")

// errStreamDeclined means that the caller declined to stream a long response.
var errStreamDeclined = errors.New("streaming of the response declined")

// ErrStreamYielded means that a stream was ended because its server was silent and its connections were needed for
// other requests.
var ErrStreamYielded = errors.New("response ended in favor of other requests, as its server was silent")

// errMalformedResponse means that the response cannot be parsed. The server may have processed the request.
var errMalformedResponse = errors.New("malformed response")

// malformed returns an error that wraps errMalformedResponse and adds the reason.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformedResponse, fmt.Sprintf(format, args...))
}

package upstream

import (
	"errors"
	"fmt"
)

// errConnLimit means that the pool has reached its connection limit.
var errConnLimit = errors.New("no descriptor left for a connection")

// errNotSendable means that the request must no longer be sent to the server. The errors below wrap it and add the
// reason.
var errNotSendable = errors.New("not sent")

var (
	errServerRemoved    = fmt.Errorf("%w: the server was taken out, removed or restarted", errNotSendable)
	errServerDraining   = fmt.Errorf("%w: the server drains", errNotSendable)
	errSendDeadline     = fmt.Errorf("%w: the send deadline has passed", errNotSendable)
	errRequestCancelled = fmt.Errorf("%w: the request is cancelled", errNotSendable)
)

// errStreamDeclined means that the caller declined to stream a long response.
var errStreamDeclined = errors.New("response declined")

// errMalformedResponse means that the response cannot be parsed. The server may have processed the request.
var errMalformedResponse = errors.New("malformed response")

// malformed returns an error that wraps errMalformedResponse and adds the reason.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformedResponse, fmt.Sprintf(format, args...))
}

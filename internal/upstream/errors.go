package upstream

import (
	"errors"
	"fmt"
)

// errConnLimit says that the pool may not open one more connection.
var errConnLimit = errors.New("no descriptor left for a connection")

// errNotSendable says that a request must not be sent any more, though its connection is up. The errors below wrap it
// and say why.
var errNotSendable = errors.New("not sent")

var (
	errServerRemoved    = fmt.Errorf("%w: the server was taken out, removed or restarted", errNotSendable)
	errServerDraining   = fmt.Errorf("%w: the server drains", errNotSendable)
	errSendDeadline     = fmt.Errorf("%w: the send deadline has passed", errNotSendable)
	errRequestCancelled = fmt.Errorf("%w: the request is cancelled", errNotSendable)
)

// errStreamDeclined says that a long response was received and its caller did not want it.
var errStreamDeclined = errors.New("response declined")

// errMalformedResponse says that a server's response cannot be parsed. Its request may have run.
var errMalformedResponse = errors.New("malformed response")

// malformed returns an errMalformedResponse with its reason.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformedResponse, fmt.Sprintf(format, args...))
}

package processes

import (
	"context"
	"io"
	"time"
)

const (
	defaultPollInterval    = 200 * time.Millisecond
	defaultRequestInterval = 25 * time.Millisecond
)

// Options say how a plan is run.
type Options struct {
	Command         []string      // of a sidecar
	Dir             string        // for files
	SettleTime      time.Duration // from the end of the plan until copies must be equal
	PollInterval    time.Duration // between two polls of an admin server; 0: 200 ms
	RequestInterval time.Duration // between two requests of a sidecar's client; 0: 25 ms
	Log             io.Writer     // of the sidecars; nil: none
	PersistState    bool          // each sidecar keeps its state in a folder for its next incarnation
	// WithPolicy gives the fleet a policy. The first three sidecars are its voters. It is changed as the plan says, and
	// once more after the last fault.
	WithPolicy bool
	// SendGarbage sends bytes that are no message of the fleet to a sidecar's address until the context ends.
	SendGarbage func(ctx context.Context, address string)
}

func (o Options) withDefaults() Options {
	if o.PollInterval == 0 {
		o.PollInterval = defaultPollInterval
	}
	if o.RequestInterval == 0 {
		o.RequestInterval = defaultRequestInterval
	}
	return o
}

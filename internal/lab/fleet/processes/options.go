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

// Options configures the run of a plan.
type Options struct {
	Command         []string      // program and arguments that start a sidecar
	Dir             string        // for the files of the run
	SettleTime      time.Duration // from the end of the plan until all copies of the fleet state must be equal
	PollInterval    time.Duration // between two polls of an admin server; default 200 ms
	RequestInterval time.Duration // between two requests of a sidecar's client; default 25 ms
	Log             io.Writer     // receives the sidecars' logs; may be nil
	PersistState    bool          // sidecars store their state in Dir for their next incarnation
	// WithPolicy runs the fleet with a policy, with the first three sidecars as voters. The run changes the policy
	// according to the plan, and once more after the last fault.
	WithPolicy bool
	// SendGarbage, if set, sends bytes that are not valid fleet messages to a sidecar's address until the context ends.
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

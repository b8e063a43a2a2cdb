package sidecar

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/proxy"
)

// FleetConfigVariable is the environment variable with the path of the fleet's configuration file. Without it the
// sidecar is not a member of a fleet.
const FleetConfigVariable = "MILLETRAMP_FLEET"

// ErrSuperseded is returned by a Participant whose process no longer represents its sidecar in the fleet, because
// another process does or because this process is about to end.
var ErrSuperseded = errors.New("this process no longer represents its sidecar in the fleet")

// JoinFunc joins the fleet that the configuration file named by FleetConfigVariable describes. It returns nil and no
// error if the variable is not set. peers are the fleet addresses of the sidecar's other processes.
type JoinFunc func(c *config.Config, peers []string, log *slog.Logger, callbacks Callbacks) (Participant, error)

// Participant is a sidecar's membership in a fleet. It is an interface so that a program built without an
// implementation does not link the fleet's code.
type Participant interface {
	// Address returns the address at which other sidecars and the successor process reach the participant.
	Address() string
	// CaughtUp returns a channel that is closed once the participant has the fleet's state, or once its time limit for
	// catching up has passed.
	CaughtUp() <-chan struct{}
	// Ready reports whether the participant has the fleet's current state, and returns its phase.
	Ready(ctx context.Context) (ready bool, phase string)
	// UpdateServers replaces the servers of this sidecar's endpoint list. It does not block.
	UpdateServers(servers []ListedServer)
	// Observe implements balance.Observer. It does not block.
	Observe(endpoint string, observation balance.Observation)
	// KnowsServer reports whether the fleet has a record of an operator's call for a server.
	KnowsServer(ctx context.Context, server string) (bool, error)
	// SetAdminDown replicates an operator's call. If confirm is set, it waits for other sidecars to store the call.
	// contacted is the number of sidecars that received it, and confirmed the number that have stored it by then.
	SetAdminDown(ctx context.Context, server string, down, confirm bool) (confirmed, contacted int, err error)
	// Status returns this sidecar's view of the fleet as JSON.
	Status(ctx context.Context) ([]byte, error)
	// WriteMetrics writes the fleet's metrics in the text format of the admin server.
	WriteMetrics(ctx context.Context, w io.Writer) error
	// Policy returns the fleet's policy; nil if the fleet has none.
	Policy() proxy.Policy
	// Close leaves the fleet and waits until all operations in progress have ended.
	Close() error
}

// Callbacks are the functions that a Participant calls. None of them blocks on the sidecar.
type Callbacks struct {
	// OnAdminDown receives the complete list of servers that are administratively down in the fleet, each time it
	// changes.
	OnAdminDown func(servers []string)
	// OnSuspicions receives the complete list of servers that the fleet suspects.
	OnSuspicions func(suspicions []Suspicion)
	// CheckPolicy validates a policy document with the code that applies policies. It returns the fault it found; "" if
	// this sidecar can apply the policy under its number.
	CheckPolicy func(number uint64, text []byte) (fault string)
}

// ListedServer is a server of this sidecar's endpoint list.
type ListedServer struct {
	ID        string
	StartedAt time.Time // time of its last start; zero: long ago
}

// Suspicion is a server that other sidecars suspect to have failed.
type Suspicion struct {
	ID  string
	Age time.Duration // time since the latest report
}

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

// FleetConfigVariable is the variable of the environment that names the operator's file on the fleet. Without it no
// sidecar takes part in a fleet.
const FleetConfigVariable = "MILLETRAMP_FLEET"

// ErrSuperseded is returned by a Participant whose process does not speak for its sidecar in the fleet any more:
// another process does, or this one is about to end.
var ErrSuperseded = errors.New("this process does not speak for its sidecar any more")

// JoinFunc begins a sidecar's part in the fleet that the operator's file names. It returns nil, and no error, where
// none is named. peers are the addresses at which the sidecar's other processes have their part.
type JoinFunc func(c *config.Config, peers []string, log *slog.Logger, callbacks Callbacks) (Participant, error)

// Participant is a sidecar's part in a fleet. A program that is built without an implementation has none of the fleet's
// code.
type Participant interface {
	// Address is where other sidecars, and this one's next process, reach the part.
	Address() string
	// CaughtUp is closed once the part knows what the fleet holds, or has tried for long enough.
	CaughtUp() <-chan struct{}
	// Ready reports whether the part knows what the fleet holds now, and in which phase it is.
	Ready(ctx context.Context) (ready bool, phase string)
	// UpdateServers replaces the servers of the own list. It does not wait.
	UpdateServers(servers []ListedServer)
	// Observe implements balance.Observer. It does not wait.
	Observe(endpoint string, observation balance.Observation)
	// KnowsServer reports whether an operator has ever made a call on a server.
	KnowsServer(ctx context.Context, server string) (bool, error)
	// SetAdminDown replicates an operator's call. If confirm is set it waits for others to hold it, and returns how
	// many of those that were asked do by then.
	SetAdminDown(ctx context.Context, server string, down, confirm bool) (confirmed, contacted int, err error)
	// Status is what is known of the fleet, as JSON.
	Status(ctx context.Context) ([]byte, error)
	// WriteMetrics writes the fleet's metrics as the admin server gives them.
	WriteMetrics(ctx context.Context, w io.Writer) error
	// Policy is the fleet's; nil: it has none.
	Policy() proxy.Policy
	// Close leaves the fleet and waits for all that was begun.
	Close() error
}

// Callbacks are called by a Participant. None of them waits for the sidecar.
type Callbacks struct {
	// OnAdminDown gets all servers that are administratively down in the fleet, each time that they change.
	OnAdminDown func(servers []string)
	// OnSuspicions gets all servers that the fleet suspects.
	OnSuspicions func(suspicions []Suspicion)
	// CheckPolicy reads a policy with the code that would run it, and returns what is wrong with it. If that is "",
	// this sidecar can run it under its number.
	CheckPolicy func(number uint64, text []byte) (fault string)
}

// ListedServer is a server of the own list.
type ListedServer struct {
	ID        string
	StartedAt time.Time // its last start; zero: long ago
}

// Suspicion is a server that other sidecars suspect.
type Suspicion struct {
	ID  string
	Age time.Duration // of the latest report
}

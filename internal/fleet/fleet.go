// Package fleet implements a sidecar's membership in the fleet. The sidecars of a fleet share the administratively down
// servers, the servers that seem to have failed, and the policy in force. Package gossip replicates the state,
// failuredetector decides what to report, policyagent maintains the policy, and transport has the sockets. This package
// connects them to each other, to the clock and to the sidecar.
//
// Start starts these goroutines; Close stops them and waits for them:
//
//   - the loop (run), the only goroutine that uses the state machines and calls OnAdminDown and OnSuspicions;
//   - the writer of the snapshot file, if the operator has configured a folder for it;
//   - one for each snapshot that is being fetched from another sidecar;
//   - those of the transport and of the policy agent, which these packages manage.
//
// The methods of Fleet may be called from any goroutine. They pass events to the loop. Methods that wait for the loop
// return when their context ends, or with ErrClosed once the Fleet is closed. They return ErrSuperseded if a later
// process has taken this sidecar's name. Configuration errors name the file and the key.
package fleet

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"milletramp.example/milletramp/internal/fleet/failuredetector"
	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/policyagent"
	"milletramp.example/milletramp/internal/fleet/replication"
	"milletramp.example/milletramp/internal/fleet/transport"
	"milletramp.example/milletramp/internal/fsys"
	"milletramp.example/milletramp/internal/wallclock"
)

// monotonicOrigin is added to readings of the monotonic clock so that none is 0, which means never.
const monotonicOrigin = time.Hour

// ErrSuperseded is returned when a later process has taken this sidecar's name, as in an upgrade. This process no
// longer sends anything.
var ErrSuperseded = errors.New("fleet: a later process has taken this sidecar's name")

// ErrClosed is returned after the Fleet has been closed.
var ErrClosed = errors.New("fleet: it has ended")

// Fleet is a running member of the fleet. Callers must call Close.
type Fleet struct {
	log         *slog.Logger
	callbacks   Callbacks
	transport   *transport.Transport
	address     string             // advertised to the other sidecars
	agent       *policyagent.Agent // nil: the fleet has no policy
	startedAt   time.Time
	clockOffset time.Duration // added to the wall clock; for tests

	ctx        context.Context // canceled by Close
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	events     chan func(now replication.Now) // events for the loop
	caughtUp   chan struct{}                  // closed by the loop after the first catch-up

	// Used by the loop only.
	machine          *gossip.Machine
	hasCaughtUp      bool                // caughtUp is closed
	raiseIncarnation func(number uint64) // of the policy agent; nil: the agent has not started
	admin            adminState
	servers          serverState
	evidence         evidenceState
	saver            *snapshotSaver // nil: no folder is configured
}

// Start starts a member of the fleet. predecessors are the addresses of the sidecar's other processes, which this one
// replaces.
func Start(c *Config, name string, predecessors []string, log *slog.Logger, callbacks Callbacks) (*Fleet, error) {
	sockets, err := transport.Listen(c.Address, gossip.MaxSnapshotBytes)
	if err != nil {
		return nil, err
	}
	f := newFleet(c, sockets, log.With("part", "fleet"), callbacks)
	items, peers := f.startSaver(c, name)
	settings := gossip.Settings{
		Label:          c.Label,
		CatchUpTimeout: c.CatchUp(),
		Predecessors:   predecessors,
		Membership: membership.Settings{
			Name:    name,
			Address: f.address,
			Peers:   slices.Concat(c.Peers, peers),
		},
	}
	incarnationNumber := f.createMachine(settings, items)
	f.log.Info("joining the fleet", "label", c.Label, "address", sockets.Address(), "peers", len(c.Peers))
	f.goroutines.Add(1)
	go func() {
		defer f.goroutines.Done()
		f.run()
	}()
	if c.Policy != nil {
		if err := f.startAgent(c.Policy, name, incarnationNumber, log); err != nil {
			f.stop()
			f.goroutines.Wait()
			return nil, errors.Join(err, sockets.Close())
		}
	}
	sockets.Serve(f, gossip.MaxPacketBytes)
	return f, nil
}

func newFleet(c *Config, sockets *transport.Transport, log *slog.Logger, callbacks Callbacks) *Fleet {
	f := &Fleet{
		log:         log,
		callbacks:   callbacks,
		transport:   sockets,
		address:     c.advertisedAddress(sockets.Address()),
		startedAt:   time.Now(),
		clockOffset: c.clockOffset,
		events:      make(chan func(replication.Now), maxQueuedEvents),
		caughtUp:    make(chan struct{}),
		admin:       adminState{pendingConfirms: map[replication.Key][]chan gossip.Confirmation{}},
		servers:     serverState{bootTimes: map[string]int64{}},
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	return f
}

// startSaver starts the writer of the snapshot file, if one is configured, and returns the content of the file.
func (f *Fleet) startSaver(c *Config, name string) (items []replication.Item, peers []string) {
	path := c.snapshotPath(name)
	if path == "" {
		return nil, nil
	}
	items, peers, err := readSnapshot(path, c.Label)
	if err != nil {
		f.log.Warn("fleet snapshot file ignored, as it cannot be read", "err", err)
	} else if len(items)+len(peers) > 0 {
		f.log.Info("fleet snapshot file read", "servers", len(items), "peers", len(peers))
	}
	f.saver = &snapshotSaver{snapshots: make(chan []byte, 1)}
	writer := &snapshotWriter{log: f.log, fs: fsys.OS{}, path: path}
	f.goroutines.Add(1)
	go func() {
		defer f.goroutines.Done()
		writer.run(f.saver.snapshots)
	}()
	return items, peers
}

// createMachine creates the gossip machine with a random incarnation nonce and the items of a snapshot file. It returns
// the number of this process's incarnation.
func (f *Fleet) createMachine(settings gossip.Settings, items []replication.Item) (incarnationNumber uint64) {
	var random [16]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never fails
	seed := binary.LittleEndian.Uint64(random[:8])
	now := f.now()
	incarnationNumber = uint64(max(now.Wall, 1))
	settings.Membership.Seed = seed
	settings.Membership.IncarnationNonce = binary.LittleEndian.Uint64(random[8:]) | 1
	settings.Membership.IncarnationNumber = incarnationNumber
	f.evidence.recorder = failuredetector.New(seed)
	f.machine = gossip.New(now, settings, items)
	return incarnationNumber
}

func (f *Fleet) now() replication.Now {
	now := time.Now()
	return replication.Now{
		Time: monotonicOrigin + now.Sub(f.startedAt),
		Wall: wallclock.Milliseconds(now.Add(f.clockOffset)),
	}
}

// Close notifies the other sidecars that this one leaves, stops all goroutines and waits for them.
func (f *Fleet) Close() error {
	if f.agent != nil {
		f.agent.Close()
	}
	f.stop()
	f.goroutines.Wait()
	return f.transport.Close()
}

// Package fleet is one sidecar's part in the fleet: what the sidecars know in common of administratively down servers,
// of servers that seem to have failed and of the policy in force. It decides little itself. Package gossip replicates
// the state, failuredetector decides what to report, policyagent follows the policy, transport has the sockets; this
// package connects them to each other, to the clock and to the sidecar.
//
// Start starts these goroutines; Close ends them and waits for them:
//
//   - the loop (run), which alone uses the state machines and calls the Callbacks;
//   - the writer of the snapshot file, where the operator names a folder for it;
//   - one for each snapshot that is being fetched from another sidecar;
//   - those of the transport and of the policy agent, which belong to these packages.
//
// The methods of Fleet may be called from any goroutine. They pass events to the loop; those that wait for it end with
// their context, and with ErrClosed once the Fleet is closed. ErrSuperseded says that a later process has taken this
// sidecar's name. Errors of the configuration name the file and the key.
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

// monotonicOrigin is added to the readings of the monotonic clock, so that none is 0.
const monotonicOrigin = time.Hour

// ErrSuperseded says that a later process has taken this sidecar's name, as in an upgrade, and that this one sends
// nothing any more.
var ErrSuperseded = errors.New("another process speaks for this sidecar")

// ErrClosed says that the Fleet has been closed.
var ErrClosed = errors.New("fleet: it has ended")

// Fleet is a sidecar's part in the fleet. Close must be called at the end.
type Fleet struct {
	log         *slog.Logger
	callbacks   Callbacks
	transport   *transport.Transport
	address     string             // that is advertised to the other sidecars
	agent       *policyagent.Agent // nil: the fleet has no policy
	startedAt   time.Time
	clockOffset time.Duration // that is added to the wall clock; for tests

	ctx        context.Context // ends with Close
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	events     chan func(now replication.Now) // which the loop runs
	caughtUp   chan struct{}                  // closed by the loop once it has caught up for the first time

	// Of the loop alone.
	machine          *gossip.Machine
	hasCaughtUp      bool                // caughtUp is closed
	raiseIncarnation func(number uint64) // of the policy agent; nil: there is none
	admin            adminState
	servers          serverState
	evidence         evidenceState
	saver            *snapshotSaver // nil: the operator names no folder
}

// Start starts a sidecar's part. predecessors are the addresses of the sidecar's other processes, which this one
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
	f.log.Info("joining", "label", c.Label, "address", sockets.Address(), "peers", len(c.Peers))
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

// startSaver starts the writer of the snapshot file, where there is one, and returns what the file holds.
func (f *Fleet) startSaver(c *Config, name string) (items []replication.Item, peers []string) {
	path := c.snapshotPath(name)
	if path == "" {
		return nil, nil
	}
	items, peers, err := readSnapshot(path, c.Label)
	if err != nil {
		f.log.Warn("dropped what a former life left", "err", err)
	} else if len(items)+len(peers) > 0 {
		f.log.Info("took what a former life left", "servers", len(items), "peers", len(peers))
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

// createMachine draws this process's identity, and creates the machine with the items of a snapshot file. It returns
// the number of this process's incarnation in the fleet.
func (f *Fleet) createMachine(settings gossip.Settings, items []replication.Item) (incarnationNumber uint64) {
	var random [16]byte
	_, _ = rand.Read(random[:]) // never fails
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

// Close tells the other sidecars that this one leaves, ends all goroutines and waits for them.
func (f *Fleet) Close() error {
	if f.agent != nil {
		f.agent.Close()
	}
	f.stop()
	f.goroutines.Wait()
	return f.transport.Close()
}

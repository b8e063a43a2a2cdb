// Package policyagent takes a sidecar's part in the fleet's policy. On every sidecar it keeps up the lease under which
// requests may be taken (policy.Holder), and has new documents checked by the code that would run them. On a voter it
// also hosts the Raft node (package raftnode) and answers the other sidecars. What is decided, and when a lease is
// valid, follows from packages policy and consensus; this package moves messages and reads the clock.
//
// An Agent owns the goroutines that it starts; Close ends them and waits.
package policyagent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fleet/policy"
	"milletramp.example/milletramp/internal/fleet/raftnode"
)

const (
	callTimeout      = time.Second     // of a call that a voter answers from memory
	voterCallTimeout = 3 * time.Second // of a message between voters, or of a call for a document
	clockBase        = time.Hour       // added to all readings, so that none is 0
	maxNameBytes     = 64              // of a sidecar's or author's name
)

// ErrSettings is wrapped by the errors of Start.
var ErrSettings = errors.New("policy")

// Peers calls other sidecars by their names. It is used by several goroutines at once.
type Peers interface {
	// Call sends text to a sidecar that is known to be in the fleet, and returns its answer. It returns when ctx ends.
	Call(ctx context.Context, name string, text []byte) ([]byte, error)
}

// Settings of an Agent.
type Settings struct {
	Name          string       // of this sidecar
	Incarnation   uint64       // of this process, to begin with; see RaiseIncarnation
	Voters        []string     // by the operator's file
	InitialPolicy []byte       // in force before any change
	Folder        string       // of the voter's Raft log; "": this sidecar is no voter
	Terms         policy.Terms // the same on all sidecars
	// ServeWithoutLease has a sidecar that holds no lease serve on under the policy that it served last. Two policies
	// may then be served at one time.
	ServeWithoutLease bool
	// Check reads a document completely, with the code that would run it, and returns why it cannot run, "" if it can.
	// From then on the sidecar must be able to run that number.
	Check func(number uint64, text []byte) (fault string)
}

// check returns an error that wraps ErrSettings.
func (s *Settings) check() error {
	if err := s.Terms.Check(); err != nil {
		return fmt.Errorf("%w: %w", ErrSettings, err)
	}
	if slices.Contains(s.Voters, s.Name) && s.Folder == "" {
		return fmt.Errorf("%w: %s is a voter and has no folder", ErrSettings, s.Name)
	}
	if n := len(s.InitialPolicy); n == 0 || n > policy.MaxDocumentBytes {
		return fmt.Errorf("%w: an initial policy of %d bytes, 1 to %d are allowed",
			ErrSettings, n, policy.MaxDocumentBytes)
	}
	if fault := s.Check(1, s.InitialPolicy); fault != "" {
		return fmt.Errorf("%w: the initial one: %s", ErrSettings, fault)
	}
	return nil
}

// Agent is a sidecar's part. Its methods may be called by any goroutine.
type Agent struct {
	settings   Settings
	peers      Peers
	log        *slog.Logger
	started    time.Time
	isVoter    bool // by the operator's file
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu           sync.Mutex // guards the holder and what follows
	holder       *policy.Holder
	candidates   []string // to be asked: the voters, then others of the operator's file; never changed in place
	voterCount   int      // of candidates: by the file, or by the last leader that answered
	lastServed   uint64
	withoutLease bool   // it serves without a lease
	leader       string // that answered last; "": not known

	// Of renewLoop's goroutine alone.
	renewOftenUntil time.Duration // a change may be under way

	// events are run by runNode's goroutine once it has its node. It alone uses what follows.
	events        chan func(now raftnode.Time)
	node          *raftnode.Node
	pendingLeases map[uint64]chan consensus.LeaseReply // by token
	lastToken     uint64
	queues        map[string]chan []byte // by voter
}

// Start checks the settings and starts a sidecar's part. Close must be called at the end.
func Start(settings Settings, peers Peers, log *slog.Logger) (*Agent, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	a := &Agent{
		settings:      settings,
		peers:         peers,
		log:           log.With("part", "policy"),
		started:       time.Now(),
		isVoter:       slices.Contains(settings.Voters, settings.Name),
		holder:        policy.NewHolder(settings.Name, settings.Incarnation, settings.Terms),
		candidates:    settings.Voters,
		voterCount:    len(settings.Voters),
		events:        make(chan func(raftnode.Time), maxQueuedEvents),
		pendingLeases: map[uint64]chan consensus.LeaseReply{},
		queues:        map[string]chan []byte{},
	}
	a.ctx, a.stop = context.WithCancel(context.Background())
	if a.isVoter {
		a.spawn(a.runNode)
	}
	a.spawn(a.renewLoop)
	return a, nil
}

// spawn runs a goroutine that Close ends, by ctx, and waits for.
func (a *Agent) spawn(run func()) {
	a.goroutines.Add(1)
	go func() {
		defer a.goroutines.Done()
		run()
	}()
}

// Close ends all goroutines of the agent and returns when they have ended. Calls under way fail.
func (a *Agent) Close() {
	a.stop()
	a.goroutines.Wait()
}

// now reads the monotonic clock: leases must not last longer when the clock of day is set.
func (a *Agent) now() time.Duration { return clockBase + time.Since(a.started) }

// sleep returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// RaiseIncarnation takes the incarnation that the fleet has given to this process: it is higher than that of any former
// process under the name. A lower one than before changes nothing.
func (a *Agent) RaiseIncarnation(incarnation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.RaiseIncarnation(incarnation)
}

// Serves returns the number of the policy under which a request may be taken now, if ok. Otherwise wait is after what
// time the request should ask again, 0 if it should not wait. It reads the clock itself, so it must be called for each
// request, after anything that may have stopped the process.
func (a *Agent) Serves() (number uint64, wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	number, wait, ok = a.holder.Serves(a.now())
	switch {
	case ok:
		a.lastServed, a.withoutLease = number, false
	case a.settings.ServeWithoutLease && a.lastServed > 0 && wait == 0:
		a.withoutLease = true
		return a.lastServed, 0, true
	}
	return number, wait, ok
}

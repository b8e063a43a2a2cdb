// Package policyagent connects a sidecar to the fleet's policy. On every sidecar it renews the lease under which
// requests may be accepted (policy.Holder), and passes new documents to the code that would run them to be checked. On
// a voter it also hosts the Raft node (package raftnode) and responds to the other sidecars. Packages policy and
// consensus contain the rules for changes and for the validity of leases; this package transfers messages and reads the
// clock.
//
// An Agent owns the goroutines that it starts. Close ends them and waits for their end.
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
	callTimeout      = time.Second     // of a call that a voter serves from memory
	voterCallTimeout = 3 * time.Second // of a message between voters, or a call that fetches a document
	clockBase        = time.Hour       // added to all clock readings, so that none is 0
	maxNameBytes     = 64              // of a sidecar's or author's name
)

// ErrSettings is wrapped by the errors of Start.
var ErrSettings = errors.New("policy")

// Peers calls other sidecars by name. Implementations must be safe for concurrent use.
type Peers interface {
	// Call sends text to a known sidecar of the fleet and returns its response. It returns early if ctx ends.
	Call(ctx context.Context, name string, text []byte) ([]byte, error)
}

// Settings are the settings of an Agent.
type Settings struct {
	Name          string       // of this sidecar
	Incarnation   uint64       // initial one of this process; see RaiseIncarnation
	Voters        []string     // from the operator's file
	InitialPolicy []byte       // in force before any change
	Folder        string       // of the voter's Raft log; "": this sidecar is not a voter
	Terms         policy.Terms // the same on all sidecars
	// ServeWithoutLease lets a sidecar without a lease continue to serve under the policy that it served last. Sidecars
	// may then serve under two policies at the same time.
	ServeWithoutLease bool
	// Check completely checks a document with the code that would run it. It returns the reason why the document cannot
	// run, or "" if it can. In the latter case the sidecar must be able to run the document from then on.
	Check func(number uint64, text []byte) (fault string)
}

// check returns an error that wraps ErrSettings if the settings are invalid.
func (s *Settings) check() error {
	if err := s.Terms.Check(); err != nil {
		return fmt.Errorf("%w: %w", ErrSettings, err)
	}
	if slices.Contains(s.Voters, s.Name) && s.Folder == "" {
		return fmt.Errorf("%w: %s is a voter but has no folder", ErrSettings, s.Name)
	}
	if n := len(s.InitialPolicy); n == 0 || n > policy.MaxDocumentBytes {
		return fmt.Errorf("%w: initial policy of %d bytes is not between 1 and %d bytes",
			ErrSettings, n, policy.MaxDocumentBytes)
	}
	if fault := s.Check(1, s.InitialPolicy); fault != "" {
		return fmt.Errorf("%w: the initial policy cannot run: %s", ErrSettings, fault)
	}
	return nil
}

// Agent maintains a sidecar's lease and, on a voter, hosts the Raft node. It is safe for concurrent use.
type Agent struct {
	settings   Settings
	peers      Peers
	log        *slog.Logger
	started    time.Time
	isVoter    bool // according to the operator's file
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu           sync.Mutex // guards the fields up to the next blank line
	holder       *policy.Holder
	candidates   []string // the voters, then others from the operator's file; never modified in place
	voterCount   int      // of candidates: from the file, or from the last leader that responded
	lastServed   uint64
	withoutLease bool   // the policy last returned by Serves was not leased
	leader       string // known leader; "": none

	// Used only by renewLoop's goroutine.
	renewOftenUntil time.Duration // until then a change may be pending

	// events are executed by runNode's goroutine after it has created the node. Only this goroutine uses the fields
	// below.
	events        chan func(now raftnode.Time)
	node          *raftnode.Node
	pendingLeases map[uint64]chan consensus.LeaseReply // by token
	lastToken     uint64
	queues        map[string]chan []byte // by voter
}

// Start checks the settings and starts an agent. The caller must call Close when the agent is no longer used.
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

// spawn starts a goroutine. Close cancels a.ctx to end it, and waits for its end.
func (a *Agent) spawn(run func()) {
	a.goroutines.Add(1)
	go func() {
		defer a.goroutines.Done()
		run()
	}()
}

// Close ends all goroutines of the agent and returns when they have ended. Calls in progress fail.
func (a *Agent) Close() {
	a.stop()
	a.goroutines.Wait()
}

// now reads the monotonic clock, so that a change of the wall clock does not extend leases.
func (a *Agent) now() time.Duration { return clockBase + time.Since(a.started) }

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// RaiseIncarnation sets the incarnation that the fleet has assigned to this process, which is higher than that of any
// earlier process with the same name. A value lower than the current incarnation has no effect.
func (a *Agent) RaiseIncarnation(incarnation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.RaiseIncarnation(incarnation)
}

// Serves returns the number of the policy under which a request may be accepted now, if ok is true. Otherwise wait is
// the delay after which the request should call Serves again, or 0 if it should not wait. It reads the clock, so it
// must be called for each request, after any point where the process may have been paused.
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

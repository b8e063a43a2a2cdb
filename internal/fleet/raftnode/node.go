// Package raftnode runs one voter of the policy's consensus group: it finds or forms the group
// (consensus.Bootstrapper), runs its part in it (consensus.Machine), and has everything that must survive a crash
// persisted (package raftlog) before anything that rests on it is sent.
//
// While a write of Storage fails, the node is suspended: it neither votes, acknowledges nor answers, and drops the
// messages that arrive, as a paused process would. It retries the write with a backoff, and goes on once that succeeds.
//
// A Node is a stepped state machine as these two are, without clock, socket or goroutine. It is not safe for concurrent
// use: one goroutine calls it, and blocks while Storage writes.
package raftnode

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"

	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fleet/policy"
	"milletramp.example/milletramp/internal/fleet/raftlog"
)

// Time is a reading of the host's monotonic clock.
type Time = time.Duration

// maxMessageBytes bounds an encoded message: entries and a snapshot.
const maxMessageBytes = 8 << 20

// Storage keeps what must survive the process. *raftlog.Log is one. Its writes return once the data is durable; after
// an error the node repeats the same write until it succeeds.
type Storage interface {
	State() raftlog.PersistentState
	SaveBootstrap(consensus.Bootstrap) error
	Persist(consensus.Batch) error
	Compact(raftpb.Snapshot) error
}

// Settings are from the operator's file.
type Settings struct {
	Name          string
	Voters        []string // names of all voters, this one among them
	InitialPolicy []byte   // the policy in force before any change
	Terms         policy.Terms
}

// packet is what nodes send each other: exactly one of its fields is set.
type packet struct {
	Hello    *consensus.Hello `cbor:"1,keyasint,omitempty"`
	Envelope []byte           `cbor:"2,keyasint,omitempty"`
}

// Message is for another node.
type Message struct {
	To      string // its name
	Payload []byte // an encoded packet
}

// Actions are what the host is to do after an event.
type Actions struct {
	Send         []Message
	LeaseReplies []consensus.LeaseReply
}

// Node is one voter of the group, or a standby: a sidecar that is in no group yet and may replace a voter.
type Node struct {
	settings     Settings
	storage      Storage
	log          *slog.Logger
	bootstrapper *consensus.Bootstrapper
	machine      *consensus.Machine // nil: this node is in no group
	voterNames   map[uint64]string
	fatalErr     error        // not nil: this node has stopped
	failedWrite  *failedWrite // not nil: this node is suspended

	nextHello    Time
	helloTargets []string           // the configured voters and, of a group without this node, the present ones
	notInGroup   bool               // a voter of a group has said that this node is not in it
	standbys     map[string]standby // by name

	actions Actions
}

// New returns the node of a process that starts now. It fails where the settings are wrong, where the folder is another
// voter's, and where the persisted state is not consistent.
func New(now Time, settings Settings, storage Storage, log *slog.Logger) (*Node, error) {
	state := storage.State()
	bootstrapper, err := consensus.NewBootstrapper(
		settings.Name, state.Self, settings.Voters, settings.InitialPolicy, state.Bootstrap)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings:     settings,
		storage:      storage,
		log:          log,
		bootstrapper: bootstrapper,
		voterNames:   map[uint64]string{},
		helloTargets: settings.Voters,
		standbys:     map[string]standby{},
	}
	if state.Bootstrap != nil {
		return n, n.startMachine(now, state)
	}
	return n, nil
}

// startMachine takes part in the group that the folder is of.
func (n *Node) startMachine(now Time, state raftlog.PersistentState) error {
	machine, err := consensus.New(now, consensus.Settings{
		Identity:     state.Self,
		Bootstrap:    *state.Bootstrap,
		Incarnations: state.Incarnations,
		Terms:        n.settings.Terms,
		Persisted:    state.Raft,
	}, n.log)
	if err != nil {
		return err
	}
	n.machine = machine
	n.voterNames = machine.VoterNames()
	return nil
}

// running tells whether this node takes part in a group, and is not suspended.
func (n *Node) running() bool { return n.machine != nil && n.Err() == nil }

// Voters are the names of the present voters in order, as far as is known here; settled is false while one replaces
// another. There are none, where this node is in no group.
func (n *Node) Voters() (names []string, settled bool) {
	if n.machine == nil {
		return nil, false
	}
	voters, settled := n.machine.Voters()
	return slices.Sorted(maps.Keys(voters)), settled
}

// Replace has a standby that this node knows of replace a voter. It returns once the change is proposed;
// consensus.ErrNoLeader says that this node does not lead.
func (n *Node) Replace(now Time, outgoing, incoming string) error {
	if !n.running() {
		return consensus.ErrNoLeader
	}
	s, known := n.standbys[incoming]
	if !known || s.expired(now) {
		return fmt.Errorf("raftnode: %.80q does not wait for a place here: start it as a voter, with an empty folder",
			incoming)
	}
	err := n.machine.Replace(outgoing, incoming, s.id)
	n.flush(now)
	return err
}

// Err says why this node takes no part; it is nil while the node runs. With an error of Storage the node is suspended
// until the write succeeds. With any other, as consensus.ErrReplaced or consensus.ErrLostState, it has stopped; another
// process may go on with the same folder, where that is whole.
func (n *Node) Err() error {
	if n.fatalErr == nil && n.failedWrite != nil {
		return n.failedWrite.err
	}
	return n.fatalErr
}

// Ledger is what the log comes to here, which may be old; nil: this node is in no group.
func (n *Node) Ledger() *policy.Ledger {
	if n.machine == nil {
		return nil
	}
	return n.machine.Ledger()
}

// Leader is the name of the leader as far as is known here; "": none is known.
func (n *Node) Leader() string {
	if !n.running() {
		return ""
	}
	return n.voterNames[n.machine.Leader()]
}

// Waiting lists the sidecars whose leases the pending change waits for, and for how long at most. It is empty on a node
// that does not lead.
func (n *Node) Waiting(now Time) (names []string, longest time.Duration) {
	if !n.running() {
		return nil, 0
	}
	return n.machine.Waiting(now)
}

// TakeActions returns what is to be sent and answered, and forgets it.
func (n *Node) TakeActions() Actions {
	out := n.actions
	n.actions = Actions{}
	return out
}

// Tick does what is due. It is to be called every consensus.TickInterval.
func (n *Node) Tick(now Time) {
	switch {
	case n.fatalErr != nil:
	case n.failedWrite != nil:
		n.retryWrite(now)
	case n.machine != nil:
		n.machine.Tick(now)
		n.flush(now)
	case now >= n.nextHello:
		n.nextHello = now + helloInterval
		n.sendHellos()
	}
}

// Receive takes in a message of another node. Its error says what is wrong with that message; Err says whether this
// node takes part.
func (n *Node) Receive(now Time, payload []byte) error {
	if n.Err() != nil {
		return nil
	}
	if len(payload) > maxMessageBytes {
		return fmt.Errorf("raftnode: a message of %d bytes, %d are allowed", len(payload), maxMessageBytes)
	}
	var p packet
	if err := cbor.Unmarshal(payload, &p); err != nil {
		return fmt.Errorf("raftnode: malformed message: %w", err)
	}
	switch {
	case p.Hello != nil:
		return n.receiveHello(now, *p.Hello)
	case n.machine == nil:
		return nil // of a group that this node has yet to learn of
	}
	err := n.machine.Step(p.Envelope)
	if errors.Is(err, consensus.ErrLostState) {
		n.stop(err)
		return nil
	}
	n.flush(now)
	return err
}

// RequestLease takes in a sidecar's question for a lease. Its answer follows in Out under the token; its error is
// consensus.ErrNoLeader where this node does not lead.
func (n *Node) RequestLease(now Time, token uint64, q policy.LeaseRequest) {
	if !n.running() {
		n.actions.LeaseReplies = append(n.actions.LeaseReplies,
			consensus.LeaseReply{Token: token, Err: consensus.ErrNoLeader})
		return
	}
	n.machine.RequestLease(now, token, q)
	n.flush(now)
}

// Propose proposes a change of policy. Its outcome is in the ledger under its ID; consensus.ErrNoLeader says that it
// was not accepted and must go to the leader.
func (n *Node) Propose(now Time, p policy.Proposal) error {
	if !n.running() {
		return consensus.ErrNoLeader
	}
	err := n.machine.Propose(p)
	n.flush(now)
	return err
}

// flush persists what is to be persisted, and then sends what rests on it.
func (n *Node) flush(now Time) {
	for n.Err() == nil {
		b, due := n.machine.Batch()
		if !due {
			break
		}
		n.write(now, func() error { return n.storage.Persist(b) }, n.batchPersisted)
	}
	if n.fatalErr != nil {
		return
	}
	out := n.machine.TakeActions() // rests on persisted batches alone, also where the write of a later one has failed
	for _, m := range out.Send {
		if to := n.voterNames[m.To]; to != "" { // else it was replaced meanwhile
			n.send(to, packet{Envelope: m.Payload})
		}
	}
	n.actions.LeaseReplies = append(n.actions.LeaseReplies, out.LeaseReplies...)
}

// batchPersisted advances the machine, and compacts the log where that is due.
func (n *Node) batchPersisted(now Time) {
	if err := n.machine.Advance(now); err != nil {
		n.stop(err)
		return
	}
	n.voterNames = n.machine.VoterNames()
	if err := n.machine.Err(); err != nil {
		n.stop(err)
		return
	}
	snapshot, err := n.machine.Compact()
	if err != nil {
		n.stop(err)
		return
	}
	if snapshot != nil {
		n.write(now, func() error { return n.storage.Compact(*snapshot) }, func(Time) {})
	}
}

// send queues a packet for another node.
func (n *Node) send(to string, p packet) {
	payload, err := cbor.Marshal(p)
	if err != nil || len(payload) > maxMessageBytes {
		n.log.Error("raftnode: message not sent", "to", to, "bytes", len(payload), "err", err)
		return
	}
	n.actions.Send = append(n.actions.Send, Message{to, payload})
}

// stop has this node take part no more. What is not sent yet is dropped, as it may rest on state that was not
// persisted.
func (n *Node) stop(err error) {
	n.fatalErr = err
	n.actions = Actions{}
	n.log.Error("raftnode: voter stopped", "err", err)
}

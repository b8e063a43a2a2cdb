// Package raftnode runs one voter of the policy's consensus group. It joins or forms the group
// (consensus.Bootstrapper), runs the voter's state machine (consensus.Machine), and persists all state that must
// survive a crash (package raftlog) before it sends any message that depends on that state.
//
// While a write of Storage fails, the node is suspended: like a paused process it does not vote, acknowledge or
// respond, and it drops incoming messages. It retries the write with a backoff and resumes when the write succeeds.
//
// A Node, like the Bootstrapper and the Machine, is a state machine without clock, socket or goroutine, and is driven
// by its host. It is not safe for concurrent use: one goroutine calls it, and blocks while Storage writes.
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

// maxMessageBytes is the maximum size of an encoded message, which may contain entries and a snapshot.
const maxMessageBytes = 8 << 20

// Storage stores the state that must survive the process. *raftlog.Log implements it. A write returns when the data is
// durable. After an error the node repeats the same write until it succeeds.
type Storage interface {
	State() raftlog.PersistentState
	SaveBootstrap(consensus.Bootstrap) error
	Persist(consensus.Batch) error
	Compact(raftpb.Snapshot) error
}

// Settings are the settings of a Node from the operator's file.
type Settings struct {
	Name          string
	Voters        []string // names of all voters, including this one
	InitialPolicy []byte   // the policy in force before any change
	Terms         policy.Terms
}

// packet is the unit of communication between nodes. Exactly one of its fields is set.
type packet struct {
	Hello    *consensus.Hello `cbor:"1,keyasint,omitempty"`
	Envelope []byte           `cbor:"2,keyasint,omitempty"`
}

// Message is a message to another node.
type Message struct {
	To      string // name of the other node
	Payload []byte // an encoded packet
}

// Actions are the actions that the host has to perform after an event.
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
	helloTargets []string           // configured voters and, on a standby, current voters of the group
	notInGroup   bool               // a voter has replied that its group does not include this node
	standbys     map[string]standby // by name

	actions Actions
}

// New returns the node of a process that starts now. It returns an error if the settings are invalid, if the folder
// belongs to another voter, or if the persisted state is inconsistent.
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

// startMachine starts this node's part in the group that is stored in its folder.
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

// running reports whether this node is an active member of a group, that is, neither stopped nor suspended.
func (n *Node) running() bool { return n.machine != nil && n.Err() == nil }

// Voters returns the sorted names of the current voters, as known to this node. settled is false while one voter is
// being replaced. If this node is in no group, Voters returns no names.
func (n *Node) Voters() (names []string, settled bool) {
	if n.machine == nil {
		return nil, false
	}
	voters, settled := n.machine.Voters()
	return slices.Sorted(maps.Keys(voters)), settled
}

// Replace proposes the replacement of a voter by a standby that has sent hellos to this node. It returns when the
// change is proposed. The error is consensus.ErrNoLeader if this node is not the leader.
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

// Err returns the reason why this node is suspended or stopped, or nil while it runs. With an error of Storage the node
// is suspended until the write succeeds. With any other error, such as consensus.ErrReplaced or consensus.ErrLostState,
// it has stopped. Another process may continue with the same folder, if that is intact.
func (n *Node) Err() error {
	if n.fatalErr == nil && n.failedWrite != nil {
		return n.failedWrite.err
	}
	return n.fatalErr
}

// Ledger returns this node's ledger, which may be out of date, or nil if the node is in no group.
func (n *Node) Ledger() *policy.Ledger {
	if n.machine == nil {
		return nil
	}
	return n.machine.Ledger()
}

// Leader returns the name of the leader as known to this node, or "" if none is known.
func (n *Node) Leader() string {
	if !n.running() {
		return ""
	}
	return n.voterNames[n.machine.Leader()]
}

// Waiting returns the sidecars whose leases the pending change waits for, and the maximum remaining wait. It returns no
// sidecars on a node that is not the leader.
func (n *Node) Waiting(now Time) (names []string, longest time.Duration) {
	if !n.running() {
		return nil, 0
	}
	return n.machine.Waiting(now)
}

// TakeActions returns the pending actions and removes them from the node.
func (n *Node) TakeActions() Actions {
	out := n.actions
	n.actions = Actions{}
	return out
}

// Tick performs the work that is due. The host calls it every consensus.TickInterval.
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

// Receive processes a message from another node. The error describes a defect of the message. For the state of this
// node, see Err.
func (n *Node) Receive(now Time, payload []byte) error {
	if n.Err() != nil {
		return nil
	}
	if len(payload) > maxMessageBytes {
		return fmt.Errorf("raftnode: message of %d bytes exceeds the limit of %d bytes", len(payload), maxMessageBytes)
	}
	var p packet
	if err := cbor.Unmarshal(payload, &p); err != nil {
		return fmt.Errorf("raftnode: malformed message: %w", err)
	}
	switch {
	case p.Hello != nil:
		return n.receiveHello(now, *p.Hello)
	case n.machine == nil:
		return nil // sent by a group that this node has not joined yet
	}
	err := n.machine.Step(p.Envelope)
	if errors.Is(err, consensus.ErrLostState) {
		n.stop(err)
		return nil
	}
	n.flush(now)
	return err
}

// RequestLease processes a sidecar's lease request. The reply follows in Actions.LeaseReplies, with the same token. Its
// error is consensus.ErrNoLeader if this node is not the leader.
func (n *Node) RequestLease(now Time, token uint64, q policy.LeaseRequest) {
	if !n.running() {
		n.actions.LeaseReplies = append(n.actions.LeaseReplies,
			consensus.LeaseReply{Token: token, Err: consensus.ErrNoLeader})
		return
	}
	n.machine.RequestLease(now, token, q)
	n.flush(now)
}

// Propose proposes a change of policy. The ledger holds the outcome under the proposal's ID. If the error is
// consensus.ErrNoLeader, the proposal was not accepted and has to be sent to the leader.
func (n *Node) Propose(now Time, p policy.Proposal) error {
	if !n.running() {
		return consensus.ErrNoLeader
	}
	err := n.machine.Propose(p)
	n.flush(now)
	return err
}

// flush persists the batches that are due, and then queues the messages and replies that depend on them.
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
	out := n.machine.TakeActions() // depends only on persisted batches, even if a later write has failed
	for _, m := range out.Send {
		if to := n.voterNames[m.To]; to != "" { // "": the voter was replaced meanwhile
			n.send(to, packet{Envelope: m.Payload})
		}
	}
	n.actions.LeaseReplies = append(n.actions.LeaseReplies, out.LeaseReplies...)
}

// batchPersisted advances the machine after a batch was persisted, and compacts the log if that is due.
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

// stop stops this node permanently. It drops all pending actions, because they may depend on state that was not
// persisted.
func (n *Node) stop(err error) {
	n.fatalErr = err
	n.actions = Actions{}
	n.log.Error("raftnode: voter stopped", "err", err)
}

// Package consensus replicates the log of the fleet's policy among its voters, a few named sidecars, with Raft
// (go.etcd.io/raft/v3; Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014). The leader
// grants sidecars leases to serve under a policy (package policy).
//
// Bootstrapper decides once which voters form the group, and Machine implements one voter of it. Both are state
// machines driven by their host: inputs are the time, messages, lease requests and proposals; outputs are the data to
// persist, the messages to send and the replies to lease requests. They have no clock, socket, disk or goroutine, and
// are not safe for concurrent use. The Raft library draws its election timeouts from its own random source, so two runs
// with the same events can differ.
//
// After every event the host of a Machine calls Batch, persists the batch, and calls Advance and Compact, and repeats
// this until Batch returns no more. Then it calls TakeActions and sends the messages and replies.
package consensus

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"milletramp.example/milletramp/internal/fleet/policy"
)

// Time is a reading of the host's monotonic clock.
type Time = time.Duration

const (
	// TickInterval is the interval at which the host calls Tick.
	TickInterval = 50 * time.Millisecond

	electionTicks       = 10 // ticks without a message of the leader until an election; Raft draws up to twice as many
	heartbeatTicks      = 1
	maxAppendBytes      = 2 << 20 // bytes of entries per message: two policy documents
	maxInflightMessages = 64      // unacknowledged append messages per voter
	maxUncommittedBytes = 8 << 20 // bytes of the leader's uncommitted entries
	snapshotTimeout     = time.Second
)

// Settings configure a Machine.
type Settings struct {
	Identity     Identity
	Bootstrap    Bootstrap
	Incarnations map[uint64]uint64 // latest known incarnations of the other voters, by ID
	Terms        policy.Terms      // of the leases
	Persisted    PersistentState   // by earlier incarnations of this voter; zero value: nothing is persisted
}

// PersistentState is the part of the group's log that a voter has on disk.
type PersistentState struct {
	HardState raftpb.HardState
	Snapshot  raftpb.Snapshot
	Entries   []raftpb.Entry // those after the snapshot, without gaps
}

// Batch is the data to persist before Advance is called. Messages and replies that depend on it must not be sent
// earlier.
type Batch struct {
	HardState    *raftpb.HardState // nil: unchanged
	Snapshot     *raftpb.Snapshot  // nil: none; entries up to its index may be dropped
	Entries      []raftpb.Entry    // replace the stored entries from the first one's index on
	Incarnations map[uint64]uint64 // newly observed incarnations of other voters, by ID
}

// Message is a message to another voter.
type Message struct {
	To      uint64 // the voter's ID
	Payload []byte // an encoded Envelope
}

// LeaseReply is the reply to a lease request.
type LeaseReply struct {
	Token uint64 // the token passed to RequestLease
	Grant policy.LeaseResponse
	Err   error // ErrNoLeader: the sidecar should retry, at this voter or at another one
}

// Actions are the messages and replies that the host sends after an event.
type Actions struct {
	Send         []Message
	LeaseReplies []LeaseReply
}

// Errors that callers distinguish.
var (
	// ErrNoLeader is returned if this voter is not the leader, or cannot confirm that it is.
	ErrNoLeader = errors.New("this voter does not lead")
	// ErrReplaced is the error of a voter that another voter has replaced. It has stopped permanently.
	ErrReplaced = errors.New("consensus: another voter has replaced this one")
	// ErrLostState is the error of a voter that has lost state which another voter relies on: its folder was truncated
	// or replaced by an older copy. It has stopped permanently, as it could contradict votes and acknowledgements that
	// it no longer has.
	ErrLostState = errors.New("consensus: the others count on entries that this voter has lost; " +
		"give it an empty folder and add it anew")
)

// Machine implements one voter of the group.
type Machine struct {
	settings        Settings
	verifier        envelopeVerifier
	newIncarnations map[uint64]uint64 // of other voters, not yet included in a batch
	fatalErr        error             // not nil: this voter has stopped

	rawNode       *raft.RawNode
	storage       *raft.MemoryStorage
	readyInFlight *raft.Ready     // source of the batch in flight; nil: no batch, or one without data of Raft
	batchInFlight bool            // Batch has returned a batch for which Advance was not called yet
	snapshotsSent map[uint64]Time // send times by voter, until reported as failed

	ledger        *policy.Ledger // state machine of the applied entries
	appliedIndex  uint64
	snapshotIndex uint64
	snapshotDue   bool // the voters have changed since the last snapshot

	confState      raftpb.ConfState
	voters         map[string]uint64 // IDs by name
	outgoingVoters map[string]uint64 // voters of the former configuration, during joint consensus

	leader    uint64             // ID; 0: unknown
	leases    *policy.LeaseTable // nil: this voter does not grant leases, as it does not lead or has just been elected
	leaseTerm uint64             // term in which leases was created

	queuedReads  []pendingRead // for the next round
	currentRound *readRound    // nil: none
	lastRoundID  uint64

	actions Actions
}

// Ledger returns the state after the entries applied here, which may be outdated on a follower. The caller must not
// change it.
func (m *Machine) Ledger() *policy.Ledger { return m.ledger }

// Waiting returns the names of the sidecars whose leases the pending change waits for, and the longest remaining wait.
// On a voter that does not lead the list is empty.
func (m *Machine) Waiting(now Time) (names []string, most time.Duration) {
	if p := m.ledger.Pending(); m.leases != nil && p != nil {
		return m.leases.Waiting(now, *p)
	}
	return nil, 0
}

// Err returns the error for which this voter has stopped, ErrReplaced or ErrLostState. It is nil while the voter takes
// part in the group.
func (m *Machine) Err() error { return m.fatalErr }

// Leader returns the ID of the current leader according to Raft, or 0 if it is unknown.
func (m *Machine) Leader() uint64 { return m.leader }

// TakeActions returns and clears the pending messages and replies.
func (m *Machine) TakeActions() Actions {
	out := m.actions
	m.actions = Actions{}
	return out
}

// Tick handles timeouts: elections, heartbeats, expiry of leases and of queued reads. The host calls it every
// TickInterval.
func (m *Machine) Tick(now Time) {
	if m.fatalErr != nil {
		return
	}
	m.rawNode.Tick()
	if m.leases != nil {
		m.proposeEntries(m.leases.Tick(now, m.ledger))
	}
	m.expireSnapshots(now)
	m.expireReads(now)
	m.startReadRound(now)
}

// expireSnapshots reports snapshots as failed snapshotTimeout after they were sent, as they may have been lost. Raft
// sends a voter no entries while the outcome of its snapshot is open. If the snapshot did arrive, the voter's next
// acknowledgement corrects the report.
func (m *Machine) expireSnapshots(now Time) {
	for to, at := range m.snapshotsSent {
		if now-at >= snapshotTimeout {
			delete(m.snapshotsSent, to)
			m.rawNode.ReportSnapshot(to, raft.SnapshotFailure)
		}
	}
}

// Step handles a message from another voter, an encoded Envelope. ErrLostState stops this voter. After any other error
// the message was rejected.
func (m *Machine) Step(payload []byte) error {
	if m.fatalErr != nil {
		return m.fatalErr
	}
	e, newIncarnations, err := m.verifier.open(payload)
	if errors.Is(err, ErrLostState) {
		m.stop(err)
	}
	if err != nil {
		return err
	}
	maps.Copy(m.newIncarnations, newIncarnations)
	var msg raftpb.Message
	if err := msg.Unmarshal(e.Payload); err != nil {
		return fmt.Errorf("consensus: malformed message: %w", err)
	}
	if msg.From != e.From || msg.To != m.settings.Identity.ID {
		return fmt.Errorf("consensus: a message from %x to %x in an envelope of %x", msg.From, msg.To, e.From)
	}
	if err := m.checkCommitted(msg); err != nil {
		m.stop(err)
		return err
	}
	if err := m.rawNode.Step(msg); err != nil {
		return fmt.Errorf("consensus: message from %x: %w", msg.From, err)
	}
	return nil
}

// checkCommitted compares the commit index of a leader's heartbeat with the log. The leader limits that index to the
// entries that this voter has acknowledged, so a log that ends before it has lost entries.
func (m *Machine) checkCommitted(msg raftpb.Message) error {
	last, err := m.storage.LastIndex()
	if err == nil && msg.Type == raftpb.MsgHeartbeat && msg.Commit > last && m.readyInFlight == nil {
		return fmt.Errorf("%w: %d are committed, it has %d", ErrLostState, msg.Commit, last)
	}
	return nil
}

// stop permanently stops this voter with an error.
func (m *Machine) stop(err error) {
	m.fatalErr = err
	m.leases = nil
}

// Propose proposes a change of policy. The ledger holds its outcome under its ID. ErrNoLeader means that the proposal
// was not accepted and must be sent to the leader.
func (m *Machine) Propose(p policy.Proposal) error {
	if m.leases == nil {
		return ErrNoLeader
	}
	encoded, err := cbor.Marshal(policy.Entry{Propose: &p})
	if err != nil {
		return fmt.Errorf("consensus: proposal %q: %w", p.ID, err)
	}
	if err := m.rawNode.Propose(encoded); err != nil {
		return fmt.Errorf("consensus: proposal %q: %w", p.ID, err)
	}
	return nil
}

// proposeEntries proposes entries derived from the state of the leases. A later Tick proposes a lost one again while it
// is still due.
func (m *Machine) proposeEntries(entries []policy.Entry) {
	for _, e := range entries {
		if encoded, err := cbor.Marshal(e); err == nil { // encoding these types never fails
			_ = m.rawNode.Propose(encoded) // fails if this voter no longer leads
		}
	}
}

// updateLeadership updates the leader and the lease table from Raft's status. A new leader does not know which entries
// of earlier terms are committed, so it grants leases only once an entry of its own term is applied (Raft, section 8).
func (m *Machine) updateLeadership(now Time) {
	status := m.rawNode.BasicStatus()
	m.leader = status.Lead
	if status.RaftState != raft.StateLeader {
		m.leases = nil
		m.failReads()
		return
	}
	if m.leases != nil && m.leaseTerm == status.Term {
		return
	}
	if term, err := m.storage.Term(m.appliedIndex); err == nil && term == status.Term {
		m.leases = policy.NewLeaseTable(now, status.Term, m.settings.Terms)
		m.leaseTerm = status.Term
	}
}

// isMember reports whether this voter belongs to the applied configuration.
func (m *Machine) isMember() bool { return slices.Contains(m.verifier.members, m.settings.Identity.ID) }

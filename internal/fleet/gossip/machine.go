// Package gossip replicates state among all sidecars of a fleet with the epidemic algorithms of Demers et al. 1987. It
// combines the packages membership and replication in one deterministic state machine and decides what is sent to which
// member and when:
//
//   - Rumors: changed items and members are piggybacked on membership's probes and acks, and are also sent to a few
//     random members in separate gossip rounds.
//   - Anti-entropy: each probe and ack carries checksums of the sender's store. If they differ from the receiver's, the
//     receiver sends its digest and receives the items in the buckets that differ (push-pull).
//   - Snapshots: a member that starts or was partitioned fetches the complete state of a peer before it counts as
//     caught up.
//   - Confirmation: an operator's call is acknowledged once some other members hold it.
//
// The number of bytes that a member sends per second is limited, independently of the fleet's size. The package has no
// clock, socket or goroutine, so that a thousand sidecars can be simulated in one process.
package gossip

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/failuredetector"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// Time is a reading of the host's monotonic clock.
type Time = time.Duration

const (
	defaultCatchUpTimeout = 2 * time.Second
	// stallThreshold is the time without a Tick after which the process is assumed to have been stopped, or starved of
	// processor time, while the rest of the fleet continued.
	stallThreshold = 3 * time.Second
	expiryInterval = time.Second // between two scans for expired items
)

// Settings configures a Machine.
type Settings struct {
	Membership     membership.Settings
	Label          string        // label of the fleet; packets of other fleets are rejected
	CatchUpTimeout time.Duration // after which the machine continues without a snapshot; default 2 s
	// Predecessors are the addresses of the process that this one replaces, as in an upgrade. The machine requests a
	// snapshot from each address, and waits for it even if another member has responded: in a partition, the
	// predecessor may hold operators' calls that no other member has.
	Predecessors []string
}

// Datagram is a payload to send to an address.
type Datagram struct {
	To      string
	Payload []byte
}

// Actions lists what the owner of a Machine has to do after an event.
type Actions struct {
	Send          []Datagram
	Fetch         []string // addresses to fetch a snapshot from; the owner calls ReceiveSnapshot for each
	Changes       []membership.Change
	Updated       []replication.Key // items in the store that were changed by data of peers
	Phases        []Phase           // phases entered, in order
	Confirmations []Confirmation
	ReportServers []string // servers on which this sidecar has to report to the complete fleet
}

// Counters count events since a machine's start.
type Counters struct {
	Packets, Bytes     uint64 // sent
	Received           uint64 // packets of this fleet
	Malformed          uint64 `json:"Bad"` // packets and items that could not be decoded or are invalid
	Foreign            uint64 // packets of another fleet or format
	Throttled          uint64 `json:"Held"` // packets and rumors not sent because a limit was reached
	SnapshotsRequested uint64 `json:"Fetches"`
	SnapshotsServed    uint64 `json:"Serves"`
	ItemRequests       uint64 `json:"Wants"` // of anti-entropy
	Recovered          uint64 // items updated by packets of a peer within antiEntropyInterval of a request to it
}

// Machine is the gossip state machine of one member. Its owner passes in datagrams (Receive), snapshots
// (ReceiveSnapshot) and the time (Tick), and performs the Actions that TakeActions returns. A Machine must not be used
// by two goroutines at once.
type Machine struct {
	// Members and Store are read-only for callers, with one exception: a caller may write this sidecar's own items to
	// the Store, and then passes their keys to Broadcast or BroadcastUrgent.
	Members *membership.Machine
	Store   *replication.Store

	settings Settings
	rng      *rand.Rand
	quorum   failuredetector.ReportQuorum
	counters Counters
	actions  Actions

	rumors        []rumor
	rumorsAdded   int  // number of rumors added so far; orders rumors by age
	urgentPending bool // rumors with evidence were added since the last gossip round
	nextRound     Time // time of the next gossip round

	peers              map[string]*peerState // by name
	membersRequestedAt Time

	pendingConfirms []pendingConfirm
	confirmsStarted uint64

	// Token bucket, in bytes, that limits the send rate.
	tokens          float64
	tokensUpdatedAt Time

	lastTick   Time
	lastExpiry Time

	phase                   Phase
	phaseSince              Time
	nextFetch               Time
	unsynced                map[string]bool // by address that has responded: true if the member there is not synced
	predecessors            []string        // addresses whose response is still awaited
	syncedResponse          bool            // a synced member has responded
	minUnrefutedIncarnation uint32          // lowest own incarnation whose report as dead starts a catch-up

	successor      string            // address of the later process that has taken over the name; "": none
	pendingForward []replication.Key // keys of the items changed since they were last forwarded to the successor
}

// New returns a machine in phase CatchingUp, or Bootstrapped if it has neither seeds nor predecessors. saved holds the
// items that a former process has stored on disk, and may be empty.
func New(now replication.Now, settings Settings, saved []replication.Item) *Machine {
	settings.CatchUpTimeout = cmp.Or(settings.CatchUpTimeout, defaultCatchUpTimeout)
	m := &Machine{
		Members:         membership.New(now.Time, settings.Membership),
		settings:        settings,
		rng:             rand.New(rand.NewPCG(settings.Membership.Seed, ^settings.Membership.IncarnationNonce)),
		peers:           map[string]*peerState{},
		tokens:          maxBurstBytes,
		tokensUpdatedAt: now.Time,
		lastTick:        now.Time,
		phaseSince:      now.Time,
		unsynced:        map[string]bool{},
		predecessors:    slices.Clone(settings.Predecessors),
	}
	self, _ := m.Members.Self()
	m.Store = replication.New(self.Name, self.ProcessIncarnation)
	for _, item := range saved {
		m.mergeItem(now, item, "")
	}
	if len(settings.Membership.Peers) == 0 && len(m.predecessors) == 0 {
		m.enterPhase(now.Time, Bootstrapped)
	}
	return m
}

// Counters returns the current values of the counters.
func (m *Machine) Counters() Counters { return m.counters }

// TakeActions returns and clears the actions accumulated since the last call.
func (m *Machine) TakeActions() Actions {
	actions := m.actions
	m.actions = Actions{}
	return actions
}

// Tick runs the work that is due at the given time. The owner calls it about every 50 ms.
func (m *Machine) Tick(now replication.Now) {
	if now.Time-m.lastTick >= stallThreshold && m.phase != CatchingUp {
		m.enterPhase(now.Time, CatchingUp)
	}
	m.lastTick = now.Time
	m.Members.Tick(now.Time)
	m.flushMembership(now, membership.Member{})
	if now.Time-m.lastExpiry >= expiryInterval {
		m.lastExpiry = now.Time
		m.Store.Expire(now)
	}
	m.gossipRound(now, false)
	m.retryConfirms(now)
	m.requestSnapshots(now)
}

// Receive handles a datagram from an address. The error wraps ErrForeign or ErrMalformed; a datagram with such an error
// has no effect on the state.
func (m *Machine) Receive(now replication.Now, from string, payload []byte) error {
	p, err := DecodePacket(payload, m.settings.Label)
	if errors.Is(err, ErrForeign) {
		m.counters.Foreign++
		return err
	}
	if err != nil {
		m.counters.Malformed++
		return err
	}
	m.counters.Received++
	if self, _ := m.Members.Self(); p.From.Name == self.Name && p.From.ProcessIncarnation == self.ProcessIncarnation {
		return nil // sent by this process itself
	}
	m.mergeMembers(now, p.From, p.Members)
	m.receiveProbe(now, from, p)
	updated := m.mergeItems(now, p.Items, p.From.Name)
	for _, note := range p.Notes {
		m.receiveNote(now.Time, p.From.Name, note)
	}
	m.receiveAntiEntropy(now, from, p)
	if s := m.peers[p.From.Name]; s != nil && now.Time-s.requestedAt < antiEntropyInterval && s.requestedAt > 0 {
		m.counters.Recovered += uint64(updated)
	}
	m.flushMembership(now, p.From)
	m.forwardToSuccessor(now, m.pendingForward)
	m.retryConfirms(now)
	m.gossipRound(now, m.urgentPending)
	return nil
}

// receiveProbe passes the membership message of a packet to Members, unless it acknowledges a ping of Confirm.
func (m *Machine) receiveProbe(now replication.Now, from string, p Packet) {
	switch {
	case p.Probe == nil:
	case p.Probe.Kind == membership.Ack && p.Probe.Seq&confirmSeqBit != 0:
		m.handleConfirmAck(p.Probe.Seq, p.From.Name)
	default:
		m.Members.Receive(now.Time, from, p.From.Name, p.From.ProcessIncarnation, *p.Probe)
	}
}

// Leave announces to some members that this one leaves. A member that has been replaced by a successor instead forwards
// all its items to the successor.
func (m *Machine) Leave(now replication.Now) {
	if m.successor != "" {
		m.forwardToSuccessor(now, m.Store.Keys())
		return
	}
	m.Members.Leave()
	for _, to := range m.Members.SamplePresent(gossipFanout) {
		members := m.Members.Broadcasts(maxPacketMembers, membership.Member{})
		m.send(now.Time, to.Address, Packet{Members: members})
	}
}

// Suspicions returns the fleet's suspicions of servers, worst first. servers is the number of servers in this sidecar's
// own endpoint list.
func (m *Machine) Suspicions(now replication.Now, servers int) []replication.Suspicion {
	return m.Store.Suspicions(now, m.isPresent, m.Members.NumPresent(), servers)
}

func (m *Machine) isPresent(name string) bool {
	member, known := m.Members.Member(name)
	return known && member.Present()
}

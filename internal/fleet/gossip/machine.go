// Package gossip keeps the replicated state of all sidecars of a fleet equal, by the epidemic algorithms of Demers et
// al. 1987. It joins membership and replication in one stepped state machine, and decides what is sent to whom, and
// when:
//
//   - Rumors: changed items and members travel piggyback on membership's probes and acks, and in gossip rounds of their
//     own to a few random members.
//   - Anti-entropy: each probe and ack carries sums of what its sender holds. Where they differ, the receiver sends its
//     digest and gets the items whose buckets differ (push-pull).
//   - Snapshots: a member that starts, or was cut off, fetches all that a peer holds before it counts as caught up.
//   - Confirmation: an operator's call is acknowledged once some other members hold it.
//
// What a member sends is bounded in bytes a second, whatever the fleet's size. The package has no clock, socket or
// goroutine, so that a thousand sidecars can be stepped in one process.
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
	// stallThreshold is the time without a Tick after which the process must have been stopped, or had no processor,
	// while the fleet went on.
	stallThreshold = 3 * time.Second
	expiryInterval = time.Second // between two searches for expired items
)

// Settings configure a Machine.
type Settings struct {
	Membership     membership.Settings
	Label          string        // of the fleet; packets of other fleets are rejected
	CatchUpTimeout time.Duration // after which it goes on without a snapshot; default 2 s
	// Predecessors are the addresses of the process that this one replaces, as in an upgrade. It is asked first, and
	// waited for even if another member has answered: in a partition it may hold operators' calls that no other has.
	Predecessors []string
}

// Datagram is a payload for an address.
type Datagram struct {
	To      string
	Payload []byte
}

// Actions are what the owner of a Machine is to do after an event.
type Actions struct {
	Send          []Datagram
	Fetch         []string // addresses to fetch a snapshot from; a ReceiveSnapshot follows for each
	Changes       []membership.Change
	Updated       []replication.Key // items that peers have changed in the store
	Phases        []Phase           // that were entered, in order
	Confirmations []Confirmation
	ReportServers []string // servers on which this sidecar is to report to the whole fleet
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
	Recovered          uint64 // items received in response to ItemRequests
}

// Machine is one member's state machine. Its owner passes in datagrams (Receive), snapshots (ReceiveSnapshot) and the
// time (Tick), and carries out what TakeActions returns. It must not be used by two goroutines at once.
type Machine struct {
	// Members and Store are to be read alone. A caller that writes an item of this sidecar's own to the Store passes
	// its key to Broadcast or BroadcastUrgent.
	Members *membership.Machine
	Store   *replication.Store

	settings Settings
	rng      *rand.Rand
	quorum   failuredetector.ReportQuorum
	counters Counters
	actions  Actions

	rumors        []rumor
	rumorsAdded   int  // orders rumors by age
	urgentPending bool // evidence is among the rumors
	nextRound     Time // of gossip

	peers              map[string]*peerState // by name
	membersRequestedAt Time

	pendingConfirms []pendingConfirm
	confirmsStarted uint64

	// The token bucket of the bound on what is sent, in bytes.
	tokens          float64
	tokensUpdatedAt Time

	lastTick   Time
	lastExpiry Time

	phase                   Phase
	phaseSince              Time
	nextFetch               Time
	unsynced                map[string]bool // addresses that have answered: true where they are not synced themselves
	predecessors            []string        // that are still waited for
	syncedResponse          bool            // a synced member has answered
	minUnrefutedIncarnation uint32          // least incarnation in which being held for dead is not known yet

	successor      string            // address of the later incarnation that has taken the name; "": none
	pendingForward []replication.Key // changed since the last packet to the successor
}

// New returns a machine that is catching up. saved is the state that a former incarnation has left on disk, and may be
// empty.
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

// TakeActions returns what is to be done since the last call.
func (m *Machine) TakeActions() Actions {
	actions := m.actions
	m.actions = Actions{}
	return actions
}

// Tick does what is due at a time. It is to be called about every 50 ms.
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

// Receive takes in a datagram from an address. The error wraps ErrForeign or ErrMalformed; nothing of such a datagram
// is used.
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
		return nil // its own, come back
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

// receiveProbe passes the membership message of a packet on, unless it answers a ping of Confirm.
func (m *Machine) receiveProbe(now replication.Now, from string, p Packet) {
	switch {
	case p.Probe == nil:
	case p.Probe.Kind == membership.Ack && p.Probe.Seq&confirmSeqBit != 0:
		m.handleConfirmAck(p.Probe.Seq, p.From.Name)
	default:
		m.Members.Receive(now.Time, from, p.From.Name, p.From.ProcessIncarnation, *p.Probe)
	}
}

// Leave announces to some members that this one leaves. A member that a successor has replaced forwards all that it
// holds to the successor instead.
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

// Suspicions returns the servers that the fleet suspects, the worst first. servers is the number of servers in this
// sidecar's own list.
func (m *Machine) Suspicions(now replication.Now, servers int) []replication.Suspicion {
	return m.Store.Suspicions(now, m.isPresent, m.Members.NumPresent(), servers)
}

func (m *Machine) isPresent(name string) bool {
	member, known := m.Members.Member(name)
	return known && member.Present()
}

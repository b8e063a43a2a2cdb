// Package gossip decides what sidecars tell each other, when, and whom: news on the messages that membership sends and on
// some of its own, what was missed by comparing sums, and all of it for one that comes or comes back. It puts membership
// and replication together into one stepped machine without clock, socket or goroutine, so that a thousand sidecars can be
// stepped in one process.
package gossip

import (
	"cmp"
	"errors"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"milletramp.example/milletramp/internal/fleet/failuredetector"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// Time is a reading of the host's monotonic clock.
type Time = time.Duration

// How news is passed on.
const (
	gossipInterval      = 100 * time.Millisecond // while there is any
	urgentInterval      = 20 * time.Millisecond  // where there is evidence among it
	gossipFanout        = 3                      // members at a time
	retransmitMult      = 3                      // and for each doubling of the fleet, that one piece is sent
	antiEntropyInterval = time.Second            // that what was missed is asked for, and given, at most
	maxReplyPackets     = 4                      // datagrams with it
	maxRumors           = 4096                   // pieces that are on their way; what is beyond is found by the sums
)

// The bound of what a sidecar sends, in datagrams: a second's mean, and at once. It does not grow with the fleet.
// Danger: probes and their answers go out beyond it, as a member that cannot send them is taken for gone; there are as
// many of them as the fleet's probes, which one sidecar meets no more often for being in a larger fleet.
const (
	MaxBytesPerSecond = 32 << 10 // a second
	maxBurstBytes     = 16 << 10
)

// How a sidecar sees to it that others hold what it says yes to.
const (
	confirmReplicas      = 3                      // others that are to hold it
	confirmRetryInterval = 200 * time.Millisecond // between two tries
	confirmTimeout       = 500 * time.Millisecond // until it is said that fewer do; the staff is owed an answer in 1 s, on a busy machine too
	confirmSeqBit        = 1 << 63                // of the sequence numbers of such tries, which are not membership's
)

// How a sidecar catches up.
const (
	stallThreshold        = 3 * time.Second        // without a Tick: the process was stopped, or had no processor
	fetchInterval         = 250 * time.Millisecond // a peer is asked for all it holds, until one has given it
	fetchFanout           = 3                      // peers at a time at most
	isolatedFetchInterval = time.Second            // by one that has given up waiting, until somebody answers
)

// Phase is how far a sidecar has caught up with the fleet.
type Phase uint8

// The phases.
const (
	CatchingUp   Phase = iota // it asks for what the fleet holds
	Synced                    // it holds that
	Bootstrapped              // nobody holds anything: all have started anew
	Isolated                  // nobody has answered in time; it goes by what it knows
	numPhases
)

var phaseNames = [numPhases]string{"catching up", "whole", "fresh", "alone"}

// String implements fmt.Stringer.
func (p Phase) String() string {
	if p < numPhases {
		return phaseNames[p]
	}
	return fmt.Sprintf("phase %d", uint8(p))
}

// Settings are what a Machine is told at its start.
type Settings struct {
	Membership     membership.Settings
	Label          string
	CatchUpTimeout time.Duration // after which it goes by what it knows; usual: 2 s
	// Predecessors are the addresses of the process that this one replaces, as in an upgrade. It is asked first, and waited for even if
	// another has answered: in a cut it may hold calls of the staff that nobody else has heard of.
	Predecessors []string
}

const defaultCatchUpTimeout = 2 * time.Second

// Datagram is bytes for an address.
type Datagram struct {
	To      string
	Payload []byte
}

// Actions are what is to be done after an event.
type Actions struct {
	Send          []Datagram
	Fetch         []string // addresses to get a snapshot from; Fetched follows for each
	Changes       []membership.Change
	Updated       []replication.Key // what peers' words have changed in the copy
	Phases        []Phase           // that was gone through
	Confirmations []Confirmation
	ReportServers []string // servers of which the own notes are to be said to everybody
}

// Confirmation is how many others hold a piece that Confirm was asked for.
type Confirmation struct {
	Key     replication.Key
	Holders int
	Asked   int // 0: there is nobody to ask
}

// pendingConfirm is a piece that others are to hold.
type pendingConfirm struct {
	key      replication.Key
	seq      uint64
	asked    map[string]bool // addresses
	holders  map[string]bool // names
	nextTry  Time
	deadline Time
}

// Figures count what a machine has done since its start.
type Figures struct {
	Packets, Bytes   uint64 // sent
	Received         uint64 // packets
	Malformed        uint64 `json:"Bad"` // packets and pieces that could not be read or be true
	Foreign          uint64 // packets of another fleet or format
	Throttled        uint64 `json:"Held"` // times that the bound on bytes held something back
	Fetches, Serves  uint64 // snapshots asked for and given
	Wants, Recovered uint64 // times that what was missed was asked for, and pieces that came so
}

// rumor is a piece of state on its way.
type rumor struct {
	key           replication.Key
	transmitsLeft int // times
	order         int // in the order in which they came
}

// peerState is what is known of how a peer's copy compares.
type peerState struct {
	sums          [replication.NumKinds]uint64
	sumsAt        Time // when it last told its sums
	equalAt       Time // when they were last those of the own copy
	requestedAt   Time // what was missed
	repliedAt     Time
	membersSentAt Time // the members were given
}

// Machine is one sidecar's part in the fleet.
type Machine struct {
	settings        Settings
	rng             *rand.Rand
	Members         *membership.Machine // to be read
	Store           *replication.Store  // to be read; what this sidecar itself has to say goes through Tell
	rumors          []rumor
	rumorsAdded     int
	peers           map[string]*peerState
	confirms        []pendingConfirm
	confirmsStarted uint64
	quorum          failuredetector.ReportQuorum
	figures         Figures
	actions         Actions

	tokens             float64
	tokensAt           Time
	tickedAt           Time
	nextRound          Time // next
	urgent             bool // there is evidence among the news
	membersRequestedAt Time // for members
	expiredAt          Time
	phase              Phase
	phaseSince         Time              // of the phase
	nextFetch          Time              // next
	unsynced           map[string]bool   // peers that answered and are catching up themselves
	predecessors       []string          // of Settings, as long as they are waited for
	syncedAnswer       bool              // one that is whole has answered
	successor          string            // address of the life that bears this one's name; "": none
	unforwarded        []replication.Key // to the heir: what was heard since it was last sent anything
	refutedIncarnation uint32
}

// New returns a machine that catches up first. warm is what a former life has left on disk; it may be nil.
func New(now replication.Now, set Settings, warm []replication.Item) *Machine {
	set.CatchUpTimeout = cmp.Or(set.CatchUpTimeout, defaultCatchUpTimeout)
	m := &Machine{settings: set, rng: rand.New(rand.NewPCG(set.Membership.Seed, ^set.Membership.LifeNonce)),
		Members: membership.New(now.Time, set.Membership), peers: map[string]*peerState{}, unsynced: map[string]bool{}, predecessors: slices.Clone(set.Predecessors),
		tokens: maxBurstBytes, tokensAt: now.Time, tickedAt: now.Time, phaseSince: now.Time}
	self, _ := m.Members.Self()
	m.Store = replication.New(self.Name, self.Life)
	for _, item := range warm {
		m.mergeItem(now, item, "")
	}
	if len(set.Membership.Peers) == 0 && len(m.predecessors) == 0 {
		m.enterPhase(now.Time, Bootstrapped)
	}
	return m
}

// Phase tells how far this sidecar has caught up, and since when.
func (m *Machine) Phase() (Phase, Time) { return m.phase, m.phaseSince }

// Figures returns what was counted.
func (m *Machine) Figures() Figures { return m.figures }

// TakeActions takes what is to be done.
func (m *Machine) TakeActions() Actions {
	out := m.actions
	m.actions = Actions{}
	return out
}

func (m *Machine) enterPhase(now Time, p Phase) {
	m.phase, m.phaseSince = p, now
	if p == CatchingUp {
		clear(m.unsynced)
		m.nextFetch, m.syncedAnswer = now, false
	} else {
		m.Members.MarkJoined()
	}
	m.actions.Phases = append(m.actions.Phases, p)
}

// Broadcast has a piece that this sidecar itself has changed in its copy be passed on.
func (m *Machine) Broadcast(key replication.Key) {
	m.rumors = slices.DeleteFunc(m.rumors, func(r rumor) bool { return r.key == key })
	if len(m.rumors) >= maxRumors {
		m.figures.Throttled++
		return
	}
	m.rumorsAdded++
	times := bits.Len(uint(m.Members.NumPresent()))
	if key.Kind != replication.KindRow {
		times *= retransmitMult
	}
	m.rumors = append(m.rumors, rumor{key, times, m.rumorsAdded})
}

// mergeItem merges one piece.
func (m *Machine) mergeItem(now replication.Now, item replication.Item, from string) (news bool) {
	key, err := item.Key()
	if err == nil {
		news, err = m.Store.Merge(now, item, from)
	}
	if err != nil {
		m.figures.Malformed++
		return false
	}
	switch {
	case news:
		if m.Broadcast(key); m.successor != "" && len(m.unforwarded) < maxRumors {
			m.unforwarded = append(m.unforwarded, key)
		}
		m.urgent = m.urgent || key.Kind == replication.KindRow
		m.actions.Updated = append(m.actions.Updated, key)
	case key.Kind == replication.KindRow: // Danger: rows come by the hundred when much fails; what others have told needs no telling
		if i := slices.IndexFunc(m.rumors, func(r rumor) bool { return r.key == key }); i >= 0 {
			m.rumors[i].transmitsLeft--
		}
	}
	return news
}

func (m *Machine) mergeItems(now replication.Now, items []cbor.RawMessage, from string) (news int) {
	for _, text := range items {
		var item replication.Item
		if err := decMode.Unmarshal(text, &item); err != nil {
			m.figures.Malformed++
			continue
		}
		if m.mergeItem(now, item, from) {
			news++
		}
	}
	return news
}

// mergeMembers takes in what a peer says of members, and of itself.
func (m *Machine) mergeMembers(now replication.Now, from membership.Member, list []membership.Member) {
	self, _ := m.Members.Self()
	if err := m.Members.Merge(now.Time, append([]membership.Member{from}, list...), from.Name); err != nil {
		m.figures.Malformed++
	}
	m.adoptLife()
	for _, said := range list {
		// Others have counted it as gone: they have gone on without it.
		if said.Name == self.Name && said.Life == self.Life && said.State == membership.Dead && said.Incarnation >= m.refutedIncarnation && m.phase != CatchingUp {
			m.refutedIncarnation = said.Incarnation + 1
			m.enterPhase(now.Time, CatchingUp)
		}
	}
}

// adoptLife has the copy go under the life that membership has come to.
func (m *Machine) adoptLife() {
	if self, bears := m.Members.Self(); bears {
		m.Store.SetLife(self.Life)
	}
}

// Receive takes in a datagram.
func (m *Machine) Receive(now replication.Now, from string, text []byte) error {
	p, err := DecodePacket(text, m.settings.Label)
	switch {
	case errors.Is(err, ErrForeign):
		m.figures.Foreign++
		return err
	case err != nil:
		m.figures.Malformed++
		return err
	}
	m.figures.Received++
	if self, _ := m.Members.Self(); p.From.Name == self.Name && p.From.Life == self.Life {
		return nil // its own, come back
	}
	m.mergeMembers(now, p.From, p.Members)
	if p.Probe != nil && p.Probe.Kind == membership.Ack && p.Probe.Seq&confirmSeqBit != 0 {
		m.confirmAcked(p.Probe.Seq, p.From.Name)
	} else if p.Probe != nil {
		m.Members.Receive(now.Time, from, p.From.Name, p.From.Life, *p.Probe)
	}
	news := m.mergeItems(now, p.Items, p.From.Name)
	for _, n := range p.Notes {
		m.receiveNote(now.Time, p.From.Name, n)
	}
	if p.Sums != nil {
		m.compareSums(now, p.From.Name, from, *p.Sums, p.MembersDigest)
	}
	if p.WantMembers {
		m.sendMembers(now, p.From, from)
	}
	if p.WantMissing != nil {
		m.sendMissing(now, p.From.Name, from, *p.WantMissing, p.WantReply)
	}
	if c := m.peers[p.From.Name]; c != nil && now.Time-c.requestedAt < antiEntropyInterval && c.requestedAt > 0 {
		m.figures.Recovered += uint64(news)
	}
	m.flushMembership(now, p.From)
	m.forwardToSuccessor(now, m.unforwarded)
	m.retryConfirms(now)
	m.gossipRound(now, m.urgent)
	return nil
}

// SendNote tells the collectors of a server what this sidecar has noted of it.
func (m *Machine) SendNote(now Time, n failuredetector.Note) {
	self, bears := m.Members.Self()
	if !bears {
		return
	}
	names, places := []string{self.Name}, map[string]string{}
	for _, p := range m.Members.Members() {
		if p.Present() {
			names = append(names, p.Name)
			places[p.Name] = p.Address
		}
	}
	for _, to := range failuredetector.Collectors(n.Server, names) {
		if to == self.Name {
			m.receiveNote(now, self.Name, n)
		} else {
			m.sendPacket(now, places[to], Packet{Notes: []failuredetector.Note{n}}, false)
		}
	}
}

// receiveNote takes in a note of a sidecar.
func (m *Machine) receiveNote(now Time, from string, n failuredetector.Note) {
	switch n.Kind {
	case failuredetector.NoteLate:
		self, _ := m.Members.Self()
		for _, owner := range m.quorum.AddLate(now, n.Server, from, m.Members.NumPresent()) {
			if owner == self.Name {
				m.actions.ReportServers = append(m.actions.ReportServers, n.Server)
			} else if o, known := m.Members.Member(owner); known && o.Present() {
				m.sendPacket(now, o.Address, Packet{Notes: []failuredetector.Note{{Server: n.Server, Kind: failuredetector.NoteReport}}}, false)
			}
		}
	case failuredetector.NoteAnswered:
		m.quorum.Clear(n.Server)
	case failuredetector.NoteReport:
		m.actions.ReportServers = append(m.actions.ReportServers, n.Server)
	}
}

func (m *Machine) peer(name string) *peerState {
	c := m.peers[name]
	if c == nil {
		c = &peerState{}
		m.peers[name] = c
	}
	return c
}

// compareSums asks for what a peer's copy has and the own one has not.
func (m *Machine) compareSums(now replication.Now, name, address string, sums [replication.NumKinds]uint64, roll uint64) {
	digest := m.Store.Digest()
	c := m.peer(name)
	if roll != m.Members.Digest() && !m.Members.HasBroadcasts() && now.Time-m.membersRequestedAt >= antiEntropyInterval {
		m.membersRequestedAt = now.Time
		m.sendPacket(now.Time, address, Packet{WantMembers: true, Members: m.Members.SampleAll(maxPacketMembers)}, false)
	}
	if c.sums, c.sumsAt = sums, now.Time; sums == digest.PerKind() {
		c.equalAt = now.Time
		return
	}
	// Danger: while news is on its way copies differ everywhere, and all would ask all for what is about to come.
	if len(m.rumors) > 0 || c.requestedAt > 0 && now.Time-c.requestedAt < antiEntropyInterval {
		return
	}
	c.requestedAt = max(now.Time, 1)
	m.figures.Wants++
	m.sendPacket(now.Time, address, Packet{WantMissing: &digest}, false)
}

// sendMembers gives a peer some of the members, drawn anew each time.
func (m *Machine) sendMembers(now replication.Now, to membership.Member, address string) {
	c := m.peer(to.Name)
	if c.membersSentAt > 0 && now.Time-c.membersSentAt < antiEntropyInterval {
		return
	}
	c.membersSentAt = max(now.Time, 1)
	for list := m.Members.SampleAll(maxReplyPackets * maxPacketMembers); len(list) > 0; {
		n := min(len(list), maxPacketMembers)
		m.sendPacket(now.Time, address, Packet{Members: list[:n]}, false)
		list = list[n:]
	}
}

// sendMissing gives a peer what its copy lacks, a part at a time, and asks back for what the own one may lack.
func (m *Machine) sendMissing(now replication.Now, name, address string, theirs replication.Digest, back bool) {
	c := m.peer(name)
	if c.repliedAt > 0 && now.Time-c.repliedAt < antiEntropyInterval {
		return
	}
	c.repliedAt = max(now.Time, 1)
	ours := m.Store.Digest()
	var keys []replication.Key
	for _, k := range m.Store.Keys() {
		if b := k.Bucket(); ours[k.Kind][b] != theirs[k.Kind][b] {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 { // not always the same ones, where not all find room
		at := m.rng.IntN(len(keys))
		keys = append(slices.Clone(keys[at:]), keys[:at]...)
	}
	for range maxReplyPackets {
		var p Packet
		if keys = m.appendItems(now, &p, keys); len(p.Items) == 0 {
			break
		}
		m.sendPacket(now.Time, address, p, false)
	}
	if !back && ours != theirs {
		m.sendPacket(now.Time, address, Packet{WantMissing: &ours, WantReply: true}, false)
	}
}

// appendItems puts pieces into a packet as long as there is room, and returns those that found none.
func (m *Machine) appendItems(now replication.Now, p *Packet, keys []replication.Key) (rest []replication.Key) {
	room := MaxPacketBytes - m.encodedSize(*p)
	for i, key := range keys {
		item, ok := m.Store.Item(now, key)
		if !ok {
			continue
		}
		text, err := encMode.Marshal(item)
		if err != nil || len(text) > MaxPacketBytes/2 {
			m.figures.Malformed++ // such a piece goes by snapshot only
			continue
		}
		if len(text) > room {
			return keys[i:]
		}
		room -= len(text)
		p.Items = append(p.Items, text)
	}
	return nil
}

// maxForwardPackets is so many datagrams that a socket's usual buffer holds them all.
const maxForwardPackets = 64

// itemsHeaderBytes is what the list of pieces takes beside them, at the most.
const itemsHeaderBytes = 8

func (m *Machine) encodedSize(p Packet) int {
	self, _ := m.Members.Self()
	p.Format, p.Label, p.From = Format, m.settings.Label, self
	text, err := p.Encode()
	if err != nil {
		return MaxPacketBytes
	}
	return len(text) + itemsHeaderBytes
}

// sendPacket sends a packet. What is not due may be held back by the bound on bytes; then it is not sent at all.
func (m *Machine) sendPacket(now Time, to string, p Packet, due bool) bool {
	self, bears := m.Members.Self()
	if !bears {
		return false // another life speaks under the name
	}
	p.Format, p.Label, p.From = Format, m.settings.Label, self
	text, err := p.Encode()
	if err != nil || len(text) > MaxPacketBytes {
		m.figures.Malformed++
		return false
	}
	m.tokens = min(m.tokens+(now-m.tokensAt).Seconds()*MaxBytesPerSecond, maxBurstBytes)
	m.tokensAt = now
	if !due && m.tokens < float64(len(text)) {
		m.figures.Throttled++
		return false
	}
	m.tokens = max(m.tokens-float64(len(text)), -maxBurstBytes)
	m.figures.Packets++
	m.figures.Bytes += uint64(len(text))
	m.actions.Send = append(m.actions.Send, Datagram{to, text})
	return true
}

// flushMembership does what membership asks for, with news on it. from is whose message led to it; it may be nobody.
func (m *Machine) flushMembership(now replication.Now, from membership.Member) {
	sends, changes := m.Members.TakeOutput()
	for _, c := range changes {
		m.memberChanged(c)
	}
	for _, s := range sends {
		sums := m.Store.Digest().PerKind()
		p := Packet{Probe: &s.Message, Sums: &sums, MembersDigest: m.Members.Digest(), Members: m.Members.Broadcasts(maxPacketMembers, from)}
		m.appendRumors(now, &p)
		m.sendPacket(now.Time, s.To, p, true)
	}
}

// memberChanged takes in news of a member.
func (m *Machine) memberChanged(c membership.Change) {
	m.actions.Changes = append(m.actions.Changes, c)
	if c.Superseded {
		m.successor, m.unforwarded = c.Member.Address, m.Store.Keys()
		return
	}
	if c.Previous.Life != c.Member.Life {
		m.Store.MarkDead(c.Member.Name, c.Previous.Life)
	}
	switch c.Member.State {
	case membership.Left:
		m.Store.MarkDead(c.Member.Name, c.Member.Life)
		delete(m.peers, c.Member.Name)
	case membership.Dead:
		// Danger: it may live on. Were its rows dropped, an older version that another sidecar still passes on would come back
		// as news. They count for nothing while it is not here, and fade.
		delete(m.peers, c.Member.Name)
	}
}

// appendRumors puts pieces on their way into a packet, those sent least first.
func (m *Machine) appendRumors(now replication.Now, p *Packet) {
	if len(m.rumors) == 0 {
		return
	}
	slices.SortFunc(m.rumors, func(a, b rumor) int {
		return cmp.Or(cmp.Compare(b.transmitsLeft, a.transmitsLeft), cmp.Compare(b.order, a.order))
	})
	keys := make([]replication.Key, len(m.rumors))
	for i, r := range m.rumors {
		keys[i] = r.key
	}
	sent := len(keys) - len(m.appendItems(now, p, keys))
	for i := range sent {
		m.rumors[i].transmitsLeft--
	}
	m.rumors = slices.DeleteFunc(m.rumors, func(r rumor) bool { return r.transmitsLeft <= 0 })
}

// Tick has the machine do what is due. It is to be called about each 50 ms.
func (m *Machine) Tick(now replication.Now) {
	if now.Time-m.tickedAt >= stallThreshold && m.phase != CatchingUp {
		m.enterPhase(now.Time, CatchingUp) // the fleet has gone on meanwhile
	}
	m.tickedAt = now.Time
	m.Members.Tick(now.Time)
	m.flushMembership(now, membership.Member{})
	if now.Time-m.expiredAt >= time.Second {
		m.expiredAt = now.Time
		m.Store.Expire(now)
	}
	m.gossipRound(now, false)
	m.retryConfirms(now)
	m.requestSnapshots(now)
}

// gossipRound passes news on, where there is any and it is time.
func (m *Machine) gossipRound(now replication.Now, urgent bool) {
	if now.Time >= m.nextRound-m.urgentAdvance(urgent) && (len(m.rumors) > 0 || m.Members.HasBroadcasts()) {
		m.nextRound, m.urgent = now.Time+gossipInterval, false
		for _, to := range m.Members.SamplePresent(gossipFanout) {
			p := Packet{Members: m.Members.Broadcasts(maxPacketMembers, membership.Member{})}
			before := slices.Clone(m.rumors)
			if m.appendRumors(now, &p); len(p.Items)+len(p.Members) == 0 {
				break
			}
			if !m.sendPacket(now.Time, to.Address, p, false) {
				m.rumors = before
				break
			}
		}
	}
}

// urgentAdvance is how much sooner than usual what is urgent is passed on.
func (m *Machine) urgentAdvance(urgent bool) Time {
	if urgent {
		return gossipInterval - urgentInterval
	}
	return 0
}

// BroadcastUrgent has a row that this sidecar has just written be passed on, at once.
func (m *Machine) BroadcastUrgent(now replication.Now, key replication.Key) {
	m.Broadcast(key)
	m.urgent = true
	m.gossipRound(now, true)
}

// Confirm sees to it that some others hold a piece, and says how many do when enough do or time is over. It is what a yes
// to the staff waits for. Danger: a sidecar that says yes and dies would take its word along.
func (m *Machine) Confirm(now replication.Now, key replication.Key) {
	m.confirmsStarted++
	m.confirms = append(m.confirms, pendingConfirm{key: key, seq: m.confirmsStarted | confirmSeqBit, asked: map[string]bool{}, holders: map[string]bool{},
		nextTry: now.Time, deadline: now.Time + confirmTimeout})
	m.retryConfirms(now)
}

// retryConfirms tries those that have not answered, and others.
func (m *Machine) retryConfirms(now replication.Now) {
	m.confirms = slices.DeleteFunc(m.confirms, func(c pendingConfirm) bool {
		enough := min(confirmReplicas, m.Members.NumPresent()-1)
		if len(c.holders) >= enough || now.Time >= c.deadline {
			m.actions.Confirmations = append(m.actions.Confirmations, Confirmation{c.key, len(c.holders), len(c.asked)})
			return true
		}
		return false
	})
	for i := range m.confirms {
		c := &m.confirms[i]
		if now.Time < c.nextTry {
			continue
		}
		c.nextTry = now.Time + confirmRetryInterval
		for _, to := range m.Members.SamplePresent(2 * confirmReplicas) {
			if c.holders[to.Name] || len(c.holders)+1 > confirmReplicas {
				continue
			}
			p := Packet{Probe: &membership.Message{Kind: membership.Ping, Seq: c.seq, Target: to.Name}}
			m.appendItems(now, &p, []replication.Key{c.key})
			if m.sendPacket(now.Time, to.Address, p, true) {
				c.asked[to.Address] = true
			}
		}
	}
}

// confirmAcked takes in that a member holds what a try brought.
func (m *Machine) confirmAcked(seq uint64, by string) {
	for i := range m.confirms {
		if m.confirms[i].seq == seq {
			m.confirms[i].holders[by] = true
		}
	}
}

// requestSnapshots asks peers for all they hold until one that is whole has answered, or all have said that they have nothing.
func (m *Machine) requestSnapshots(now replication.Now) {
	switch {
	case m.phase == CatchingUp && now.Time-m.phaseSince >= m.settings.CatchUpTimeout:
		if m.predecessors = nil; m.syncedAnswer { // all but the one that it replaces has been heard
			m.enterPhase(now.Time, Synced)
			return
		}
		m.enterPhase(now.Time, Isolated)
		m.nextFetch = now.Time + isolatedFetchInterval
		return
	case m.phase != CatchingUp && m.phase != Isolated, now.Time < m.nextFetch:
		return
	}
	if m.nextFetch = now.Time + fetchInterval; m.phase == Isolated {
		m.nextFetch = now.Time + isolatedFetchInterval // others may be there by now
	}
	places := slices.Clone(m.settings.Membership.Peers)
	for _, p := range m.Members.Members() {
		if p.Present() {
			places = append(places, p.Address)
		}
	}
	slices.Sort(places)
	places = slices.DeleteFunc(slices.Compact(places), func(a string) bool { return a == m.settings.Membership.Address })
	m.rng.Shuffle(len(places), func(i, j int) { places[i], places[j] = places[j], places[i] })
	for _, a := range append(m.predecessors, places[:min(len(places), fetchFanout)]...) {
		m.figures.Fetches++
		m.actions.Fetch = append(m.actions.Fetch, a)
	}
}

// ReceiveSnapshot takes in a snapshot that was asked for, or why there is none.
func (m *Machine) ReceiveSnapshot(now replication.Now, from string, text []byte, failed error) error {
	waited := len(m.predecessors)
	m.predecessors = slices.DeleteFunc(m.predecessors, func(a string) bool { return a == from })
	if failed != nil {
		if waited > len(m.predecessors) { // it has ended; another may have answered before
			m.snapshotAnswered(now, "", false)
		}
		return failed
	}
	if waited > len(m.predecessors) { // it need not have heard, and gives the rest of what it hears to whom it knows of
		m.sendPacket(now.Time, from, Packet{}, true)
	}
	s, err := DecodeSnapshot(text, m.settings.Label)
	if err != nil {
		m.figures.Malformed++
		return err
	}
	m.mergeMembers(now, s.From, s.Members)
	m.mergeItems(now, s.Items, s.From.Name)
	m.flushMembership(now, membership.Member{})
	m.snapshotAnswered(now, from, s.Synced)
	return nil
}

// snapshotAnswered has it be ready once it may. from is the address of one that has answered, and whole says whether it vouches for its
// copy.
func (m *Machine) snapshotAnswered(now replication.Now, from string, whole bool) {
	if m.phase != CatchingUp && m.phase != Isolated {
		return
	}
	if from != "" {
		m.unsynced[from] = !whole
	}
	if m.syncedAnswer = m.syncedAnswer || whole; len(m.predecessors) > 0 {
		return
	}
	switch {
	case m.syncedAnswer:
		m.enterPhase(now.Time, Synced)
	case m.phase == CatchingUp && !slices.ContainsFunc(m.settings.Membership.Peers, func(a string) bool {
		return a != m.settings.Membership.Address && !m.unsynced[a]
	}): // Danger: one that has not answered may hold all that there is
		m.enterPhase(now.Time, Bootstrapped)
	case m.phase == Isolated && m.allPresentAnswered():
		m.enterPhase(now.Time, Synced) // nobody who is there holds more
	}
}

// allPresentAnswered tells whether all who are here, one other at least, have answered.
func (m *Machine) allPresentAnswered() bool {
	here := 0
	for _, p := range m.Members.Members() {
		if p.Present() {
			if here++; !m.unsynced[p.Address] {
				return false
			}
		}
	}
	return here > 0
}

// EncodeSnapshot returns all that this sidecar holds, for one that asks for it. One whose name another life bears hears nothing any more,
// and does not vouch for its copy; its successor may need what it holds.
func (m *Machine) EncodeSnapshot(now replication.Now) ([]byte, error) {
	self, bears := m.Members.Self()
	s := Snapshot{Format: Format, Label: m.settings.Label, From: self, Synced: bears && (m.phase == Synced || m.phase == Bootstrapped), Members: m.Members.Members()}
	room := MaxSnapshotBytes / 2 // the members are in the other half
	for _, key := range m.Store.Keys() {
		item, ok := m.Store.Item(now, key)
		if !ok {
			continue
		}
		text, err := encMode.Marshal(item)
		if err != nil {
			return nil, fmt.Errorf("snapshot: %v of server %q: %w", key.Kind, key.Server, err)
		}
		if room -= len(text); room < 0 {
			break
		}
		s.Items = append(s.Items, text)
	}
	m.figures.Serves++
	return s.Encode()
}

// forwardToSuccessor sends pieces to the life that bears this one's name, if there is one, as far as mostBequest datagrams take them. Danger:
// others may not have heard of that one yet, and go on telling this one; what only this one knows the other would not obey.
func (m *Machine) forwardToSuccessor(now replication.Now, keys []replication.Key) {
	if m.successor == "" || len(keys) == 0 {
		return
	}
	m.unforwarded = nil
	self, _ := m.Members.Self()
	for range maxForwardPackets {
		p := Packet{Format: Format, Label: m.settings.Label, From: self}
		if keys = m.appendItems(now, &p, keys); len(p.Items) == 0 {
			return
		}
		text, err := p.Encode()
		if err != nil || len(text) > MaxPacketBytes {
			m.figures.Malformed++
			return
		}
		m.figures.Packets++
		m.figures.Bytes += uint64(len(text))
		m.actions.Send = append(m.actions.Send, Datagram{m.successor, text})
	}
}

// Leave says to some members that this sidecar goes. One whose name another life bears gives that all that it holds, once more.
func (m *Machine) Leave(now replication.Now) {
	if m.successor != "" {
		m.forwardToSuccessor(now, m.Store.Keys())
		return
	}
	m.Members.Leave()
	for _, to := range m.Members.SamplePresent(gossipFanout) {
		m.sendPacket(now.Time, to.Address, Packet{Members: m.Members.Broadcasts(maxPacketMembers, membership.Member{})}, true)
	}
}

// Suspicions is of which servers the fleet speaks ill, the worst first, where the own list has so many.
func (m *Machine) Suspicions(now replication.Now, servers int) []replication.Suspicion {
	here := func(owner string) bool {
		o, known := m.Members.Member(owner)
		return known && o.Present()
	}
	return m.Store.Suspicions(now, here, m.Members.NumPresent(), servers)
}

// Divergence is how a peer's copy compares to the own one.
type Divergence struct {
	Name  string
	Known bool          // it has told its sums
	Equal bool          // and they were those of the own copy
	For   time.Duration // since they last were; 0: they are
	Kinds []replication.Kind
}

// Divergences tells for each member that counts how its copy compares, by name.
func (m *Machine) Divergences(now Time) []Divergence {
	ours := m.Store.Digest().PerKind()
	var lags []Divergence
	for _, p := range m.Members.Members() {
		if !p.Present() {
			continue
		}
		l := Divergence{Name: p.Name}
		if c := m.peers[p.Name]; c != nil && c.sumsAt > 0 {
			l.Known, l.Equal = true, c.equalAt == c.sumsAt
			if !l.Equal {
				l.For = now - c.equalAt
			}
			for k := range replication.NumKinds {
				if c.sums[k] != ours[k] && !l.Equal {
					l.Kinds = append(l.Kinds, k)
				}
			}
		}
		lags = append(lags, l)
	}
	return lags
}

package membership

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings are what a Machine is told at its start. The zero value of a time stands for the usual one.
type Settings struct {
	Name       string
	Address    string   // where others reach it
	Peers      []string // addresses to find the fleet by; the own one may be among them
	Seed       uint64
	LifeNonce  uint64 // of this life: drawn anew for each
	LifeNumber uint64 // of this life at least, such as its start's Unix time; raised above those of former lives

	ProbeInterval  time.Duration // between two probes, where this sidecar is well; usual: 1 s
	AckTimeout     time.Duration // for an answer, before others are asked to try; usual: 300 ms
	Retention      time.Duration // what is held of one that is gone or left is kept; usual: 10 min
	RejoinInterval time.Duration // between two tries at a peer that nobody has heard of, or that is gone; usual: 5 s
}

// The bounds of what a Machine holds and does.
const (
	defaultProbeInterval  = time.Second
	defaultAckTimeout     = 300 * time.Millisecond
	defaultRetention      = 10 * time.Minute
	defaultRejoinInterval = 5 * time.Second

	indirectProbers        = 3    // members that are asked to try one that does not answer
	suspicionMult          = 4    // intervals and decades of members that a suspicion lasts at least
	suspicionMaxMult       = 6    // times as long that it lasts while nobody else has it
	suspicionConfirmations = 2    // others whose suspicion brings it down to the least
	maxLocalHealth         = 8    // of the score of how well this sidecar itself does
	retransmitMult         = 4    // decades of members that each news is passed on for
	maxMembers             = 4096 // that are held, gone ones included
	maxRelays              = 64   // tries for others at a time
	recentContactIntervals = 2    // intervals for which something heard from a member itself holds its end up
)

// MessageKind is a kind of message.
type MessageKind uint8

// The kinds of messages.
const (
	Ping    MessageKind = iota + 1 // answer with Ack
	Ack                            // of the Seq in the ping
	PingReq                        // ping Target for me, and pass its Ack on
	Nack                           // the one asked for has not answered me so far
)

// Message is what a sidecar says to another for the sake of membership. What travels along is not its business.
type Message struct {
	Kind          MessageKind `cbor:"1,keyasint"`
	Seq           uint64      `cbor:"2,keyasint"`
	Target        string      `cbor:"3,keyasint,omitempty"` // Ping: whom it is for; Ask: whom to ping; "": whoever is there
	TargetAddress string      `cbor:"4,keyasint,omitempty"` // Ask: where
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To      string // an address
	Message Message
}

// Change is news of a member, for logs and for what is held by member.
type Change struct {
	Member     Member
	Previous   Member // State is states where it was not known
	Superseded bool   // of this sidecar itself: another life bears its name now
}

// peer is a member and what this sidecar has of it.
type peer struct {
	Member
	stateSince  Time // of its state here
	lastContact Time // something from itself, in this life
	deadline    Time // Suspect: when it counts as gone
	suspectedAt Time // since
	suspectedBy map[string]bool
}

// probe is the try in hand.
type probe struct {
	name       string
	seq        uint64
	indirect   bool // others
	indirectAt Time
	deadline   Time
	nacks      int // others that were asked and said that they have no answer either
	probers    int // others that were asked
}

// relay is a try for another member.
type relay struct {
	requester    string // its address
	requesterSeq uint64 // its own
	deadline     Time   // then it is told that there is no answer yet
	nackSent     bool
}

// broadcast is what is held of a member and is to be passed on.
type broadcast struct {
	name          string
	transmitsLeft int // times
}

// Machine is one sidecar's part in the membership.
type Machine struct {
	settings      Settings
	rng           *rand.Rand
	self          Member
	superseded    bool // another life bears the name
	joined        bool // has heard what the fleet holds of its own name
	peers         map[string]*peer
	present       []string // names of those that count, in order
	notAlive      []string // and of those that are not plainly alive
	probeOrder    []string // whom to try next
	lastSeq       uint64
	probe         *probe
	relays        map[uint64]relay
	nextProbe     Time // probe
	nextRejoin    Time // next try at one not known or gone
	localHealth   int
	broadcasts    []broadcast
	changes       []Change
	outgoing      []Outgoing
	version       uint64 // counts what changes the sum
	digestVersion uint64 // the version that sum is of
	digest        uint64
}

// New returns a machine that knows of nobody.
func New(now Time, set Settings) *Machine {
	set.ProbeInterval = cmp.Or(set.ProbeInterval, defaultProbeInterval)
	set.AckTimeout = cmp.Or(set.AckTimeout, defaultAckTimeout)
	set.Retention = cmp.Or(set.Retention, defaultRetention)
	set.RejoinInterval = cmp.Or(set.RejoinInterval, defaultRejoinInterval)
	m := &Machine{settings: set, rng: rand.New(rand.NewPCG(set.Seed, set.LifeNonce)), peers: map[string]*peer{},
		relays: map[uint64]relay{},
		self:   Member{Name: set.Name, Address: set.Address, Life: Life{max(set.LifeNumber, 1), set.LifeNonce}}}
	m.nextProbe = now + Time(m.rng.Float64()*float64(set.ProbeInterval)) // not all that start together at once
	m.enqueueBroadcast(m.self.Name)
	return m
}

// Self is what this sidecar says of itself, and whether it still may: not once another life bears its name.
func (m *Machine) Self() (self Member, bears bool) { return m.self, !m.superseded }

// MarkJoined says that this sidecar has heard what the fleet holds. From then on it takes a higher life under its own name
// for another process, not for its former life.
func (m *Machine) MarkJoined() { m.joined = true }

// Members lists what is held of all others, in the order of their names.
func (m *Machine) Members() []Member {
	list := make([]Member, 0, len(m.peers))
	for _, p := range m.peers {
		list = append(list, p.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Member is what is held of one, itself included.
func (m *Machine) Member(name string) (Member, bool) {
	if name == m.self.Name {
		return m.self, true
	}
	if p := m.peers[name]; p != nil {
		return p.Member, true
	}
	return Member{}, false
}

// NumPresent counts the members that the fleet counts on, this sidecar included.
func (m *Machine) NumPresent() int { return len(m.present) + 1 }

// LocalHealth tells how badly this sidecar itself does, from 0 to mostSick: answers of others that it did not get.
func (m *Machine) LocalHealth() int { return m.localHealth }

// LastContact is when something last came from a member itself, in its present life.
func (m *Machine) LastContact(name string) (Time, bool) {
	if p := m.peers[name]; p != nil && p.lastContact > 0 {
		return p.lastContact, true
	}
	return 0, false
}

// SamplePresent draws up to n members that the fleet counts on, not this sidecar.
func (m *Machine) SamplePresent(n int) []Member {
	list := make([]Member, 0, n)
	for _, i := range m.rng.Perm(len(m.present))[:min(n, len(m.present))] {
		list = append(list, m.peers[m.present[i]].Member)
	}
	return list
}

// TakeOutput takes what is to be done: messages to send and changes to take in.
func (m *Machine) TakeOutput() (sends []Outgoing, changes []Change) {
	sends, changes = m.outgoing, m.changes
	m.outgoing, m.changes = nil, nil
	return sends, changes
}

func (m *Machine) send(to string, message Message) {
	m.outgoing = append(m.outgoing, Outgoing{to, message})
}

// Broadcasts takes up to n members whose state is to be passed on, those passed on least first. What is held of the one that it
// goes to goes first, where it is not what that says of itself: one that is thought gone must hear of it to say that it is
// not, and one that has started again must hear of its former life. to may be the zero Member.
func (m *Machine) Broadcasts(n int, to Member) []Member {
	list := make([]Member, 0, n)
	if p := m.peers[to.Name]; p != nil && p.Compare(to) > 0 && n > 0 {
		list = append(list, p.Member)
	}
	slices.SortStableFunc(m.broadcasts, func(a, b broadcast) int { return cmp.Compare(b.transmitsLeft, a.transmitsLeft) })
	for i := 0; i < len(m.broadcasts) && len(list) < n; i++ {
		if member, ok := m.Member(m.broadcasts[i].name); ok && (len(list) == 0 || list[0].Name != member.Name) {
			list = append(list, member)
			m.broadcasts[i].transmitsLeft--
		}
	}
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(x broadcast) bool { return x.transmitsLeft <= 0 })
	return list
}

// HasBroadcasts tells whether there is news to be passed on.
func (m *Machine) HasBroadcasts() bool { return len(m.broadcasts) > 0 }

// Digest is the same for machines that hold the same of all members, themselves included.
func (m *Machine) Digest() uint64 {
	if m.digestVersion != m.version {
		m.digest, m.digestVersion = m.computeDigest(), m.version
	}
	return m.digest
}

func (m *Machine) computeDigest() (sum uint64) {
	add := func(p Member) {
		var h xxhash.Digest
		h.Reset()
		_, _ = h.WriteString(p.Name) // a Digest never fails
		_, _ = h.Write([]byte{0, byte(p.State)})
		_, _ = h.WriteString(p.Address)
		for _, x := range [...]uint64{p.Life.Number, p.Life.Nonce, uint64(p.Incarnation)} {
			_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, x))
		}
		sum += h.Sum64()
	}
	for _, p := range m.peers {
		if p.Present() { // those that are gone are forgotten at different times
			add(p.Member)
		}
	}
	if !m.superseded && m.self.Present() {
		add(m.self)
	}
	return sum
}

// SampleAll draws up to n members, whatever is held of them.
func (m *Machine) SampleAll(n int) []Member {
	list := m.Members()
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// enqueueBroadcast has what is held of a member be passed on. Each news is passed on for some times that grow with the logarithm
// of the fleet: so all have it with near certainty, and what one sidecar sends does not grow with the fleet.
func (m *Machine) enqueueBroadcast(name string) {
	m.version++
	if m.superseded && name == m.self.Name {
		return
	}
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(x broadcast) bool { return x.name == name })
	m.broadcasts = append(m.broadcasts, broadcast{name, int(math.Ceil(retransmitMult * math.Log10(float64(len(m.peers)+2)+1)))})
}

// Merge takes in what a peer says of members. What cannot be is passed over with its reason.
func (m *Machine) Merge(now Time, list []Member, from string) (err error) {
	for _, said := range list {
		if bad := said.validate(); bad != nil {
			err = cmp.Or(err, bad)
			continue
		}
		if said.Name == m.self.Name {
			m.mergeSelf(said)
			continue
		}
		m.mergePeer(now, said, from)
	}
	return err
}

// mergeSelf takes in what others hold of this sidecar. Danger: what is held of its former life must not pass for its own,
// and a process that starts beside this one under the same name, as in an upgrade, must not fight with it for ever.
func (m *Machine) mergeSelf(said Member) {
	switch c := said.Life.Compare(m.self.Life); {
	case c < 0: // a former life: what is said of this one goes before it
		m.enqueueBroadcast(m.self.Name)
	case c == 0:
		if !m.superseded && said.State != m.self.State && said.Incarnation >= m.self.Incarnation && m.self.State != Left {
			m.self.Incarnation = said.Incarnation + 1
			m.adjustLocalHealth(1)
			m.enqueueBroadcast(m.self.Name)
		}
	case !m.superseded && (!m.joined || m.isFormerLife(said)):
		m.self.Life.Number, m.self.Incarnation = said.Life.Number+1, 0
		m.enqueueBroadcast(m.self.Name)
	case !m.superseded: // the younger one bears the name
		former := m.self
		m.superseded = true
		m.version++
		m.broadcasts = slices.DeleteFunc(m.broadcasts, func(x broadcast) bool { return x.name == m.self.Name })
		m.changes = append(m.changes, Change{Member: said, Previous: former, Superseded: true})
	}
}

// isFormerLife tells whether a later life under the own name has ended, though its number is the higher one, as the clock of
// day has gone back since. No other process can have this one's address.
func (m *Machine) isFormerLife(said Member) bool {
	return said.Address == m.self.Address || !said.Present()
}

func (m *Machine) mergePeer(now Time, said Member, from string) {
	p := m.peers[said.Name]
	if p == nil {
		if len(m.peers) >= maxMembers {
			return
		}
		p = &peer{Member: Member{Name: said.Name, State: numStates}}
		m.peers[said.Name] = p
	}
	if p.State == Suspect && said.State == Suspect && said.Life == p.Life && said.Incarnation == p.Incarnation {
		m.confirmSuspicion(p, from)
	}
	if p.State != numStates && said.Compare(p.Member) <= 0 {
		return
	}
	former := p.Member
	p.Member, p.stateSince = said, now
	if former.Life != said.Life {
		p.lastContact = 0
	}
	if said.State == Suspect {
		p.suspectedAt, p.suspectedBy = now, map[string]bool{from: true}
		p.deadline = now + m.suspicionTimeout(0)
	} else {
		p.suspectedBy = nil
	}
	m.rebuildLists()
	m.enqueueBroadcast(said.Name)
	m.changes = append(m.changes, Change{Member: said, Previous: former})
}

// suspicionTimeout is how long a suspicion lasts that n others share.
func (m *Machine) suspicionTimeout(n int) time.Duration {
	least := suspicionMult * max(1, math.Log10(float64(len(m.present)+1))) * float64(m.settings.ProbeInterval)
	share := min(1, math.Log(float64(n)+1)/math.Log(suspicionConfirmations+1))
	return time.Duration(least * (suspicionMaxMult - (suspicionMaxMult-1)*share))
}

// confirmSuspicion counts another one's suspicion.
func (m *Machine) confirmSuspicion(p *peer, from string) {
	if p.suspectedBy[from] || len(p.suspectedBy) > suspicionConfirmations {
		return
	}
	p.suspectedBy[from] = true
	p.deadline = p.suspectedAt + m.suspicionTimeout(len(p.suspectedBy)-1)
	m.enqueueBroadcast(p.Name)
}

// rebuildLists lists the members that count, and those that are not plainly alive.
func (m *Machine) rebuildLists() {
	m.present, m.notAlive = m.present[:0], m.notAlive[:0]
	for name, p := range m.peers {
		if p.Present() {
			m.present = append(m.present, name)
		}
		if p.State != Alive {
			m.notAlive = append(m.notAlive, name)
		}
	}
	slices.Sort(m.present)
	slices.Sort(m.notAlive)
}

func (m *Machine) adjustLocalHealth(by int) {
	m.localHealth = min(max(m.localHealth+by, 0), maxLocalHealth)
}

// scaleByLocalHealth is a time, longer while this sidecar does badly. Danger: one that is slow itself takes all others for gone.
func (m *Machine) scaleByLocalHealth(d time.Duration) time.Duration {
	return d * time.Duration(m.localHealth+1)
}

// Receive takes in a message that came from a member's address.
func (m *Machine) Receive(now Time, from, name string, life Life, message Message) {
	if p := m.peers[name]; p != nil && p.Life == life {
		p.lastContact = max(now, 1)
	}
	switch message.Kind {
	case Ping:
		// Danger: a process that took the address of one that is gone would answer for it.
		if message.Target == "" || message.Target == m.self.Name && !m.superseded {
			m.send(from, Message{Kind: Ack, Seq: message.Seq})
		}
	case PingReq:
		if len(m.relays) < maxRelays && message.TargetAddress != "" {
			m.lastSeq++
			m.relays[m.lastSeq] = relay{requester: from, requesterSeq: message.Seq, deadline: now + m.settings.AckTimeout}
			m.send(message.TargetAddress, Message{Kind: Ping, Seq: m.lastSeq, Target: message.Target})
		}
	case Ack:
		if r, ok := m.relays[message.Seq]; ok {
			delete(m.relays, message.Seq)
			m.send(r.requester, Message{Kind: Ack, Seq: r.requesterSeq})
		}
		if m.probe != nil && message.Seq == m.probe.seq {
			m.probe = nil
			m.adjustLocalHealth(-1)
		}
	case Nack:
		if m.probe != nil && message.Seq == m.probe.seq {
			m.probe.nacks++
		}
	}
}

// Tick has the machine do what is due. It is to be called some times an Interval.
func (m *Machine) Tick(now Time) {
	for seq, r := range m.relays {
		switch {
		case now >= r.deadline && !r.nackSent:
			r.nackSent, r.deadline = true, now+m.settings.ProbeInterval
			m.relays[seq] = r
			m.send(r.requester, Message{Kind: Nack, Seq: r.requesterSeq})
		case now >= r.deadline:
			delete(m.relays, seq)
		}
	}
	m.expire(now)
	if m.superseded {
		return
	}
	m.advanceProbe(now)
	if now >= m.nextProbe {
		m.nextProbe = now + m.scaleByLocalHealth(m.settings.ProbeInterval)
		m.startProbe(now)
	}
	if now >= m.nextRejoin {
		m.nextRejoin = now + m.settings.RejoinInterval
		m.rejoin()
	}
}

// expire takes in that time has run out for suspected members, and forgets those long gone.
func (m *Machine) expire(now Time) {
	for _, name := range slices.Clone(m.notAlive) {
		p := m.peers[name]
		switch {
		case p.State == Suspect && now >= p.deadline:
			// Danger: a sidecar that all hear and that hears all, but whose own messages get lost, would bury everyone.
			if len(p.suspectedBy) <= 1 && p.suspectedBy[m.self.Name] && p.lastContact > 0 && now-p.lastContact < m.scaleByLocalHealth(recentContactIntervals*m.settings.ProbeInterval) {
				continue
			}
			gone := p.Member
			gone.State = Dead
			m.mergePeer(now, gone, m.self.Name)
		case !p.Present() && now-p.stateSince >= m.settings.Retention:
			delete(m.peers, name)
			m.rebuildLists()
		}
	}
}

// advanceProbe goes on with the try in hand: others are asked, and at its end the member is suspected.
func (m *Machine) advanceProbe(now Time) {
	t := m.probe
	if t == nil {
		return
	}
	p := m.peers[t.name]
	if p == nil || !p.Present() {
		m.probe = nil
		return
	}
	if !t.indirect && now >= t.indirectAt {
		t.indirect = true
		for _, other := range m.SamplePresent(indirectProbers + 1) {
			if other.Name != t.name && t.probers < indirectProbers {
				t.probers++
				m.send(other.Address, Message{Kind: PingReq, Seq: t.seq, Target: t.name, TargetAddress: p.Address})
			}
		}
	}
	if now < t.deadline {
		return
	}
	// Those that were asked and said nothing at all: the fault is likely here.
	m.adjustLocalHealth(max(t.probers-t.nacks, 1))
	m.probe = nil
	suspect := p.Member
	suspect.State = Suspect // where it is one already, that tells nothing new
	m.mergePeer(now, suspect, m.self.Name)
}

// startProbe tries the next member of the ring. Each has its turn within two rounds.
func (m *Machine) startProbe(now Time) {
	if m.probe != nil {
		return
	}
	for len(m.present) > 0 {
		if len(m.probeOrder) == 0 {
			m.probeOrder = slices.Clone(m.present)
			m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
		}
		name := m.probeOrder[0]
		m.probeOrder = m.probeOrder[1:]
		p := m.peers[name]
		if p == nil || !p.Present() {
			continue
		}
		m.lastSeq++
		m.probe = &probe{name: name, seq: m.lastSeq, indirectAt: now + m.scaleByLocalHealth(m.settings.AckTimeout), deadline: now + m.scaleByLocalHealth(m.settings.ProbeInterval)}
		m.send(p.Address, Message{Kind: Ping, Seq: m.lastSeq, Target: name})
		return
	}
}

// rejoin tries one that the operator's file names and nobody has told of, or one that is gone: a cut that heals leaves
// two fleets that know of each other as gone.
func (m *Machine) rejoin() {
	known := map[string]bool{m.self.Address: true}
	var places []string
	for _, p := range m.peers {
		known[p.Address] = known[p.Address] || p.Present()
		if p.State == Dead {
			places = append(places, p.Address)
		}
	}
	for _, a := range m.settings.Peers {
		if !known[a] {
			places = append(places, a)
		}
	}
	slices.Sort(places)
	if places = slices.Compact(places); len(places) > 0 {
		m.lastSeq++
		m.send(places[m.rng.IntN(len(places))], Message{Kind: Ping, Seq: m.lastSeq})
	}
}

// Leave says that this sidecar goes. What it says goes along with the messages that follow.
func (m *Machine) Leave() {
	if !m.superseded {
		m.self.State = Left
		m.enqueueBroadcast(m.self.Name)
	}
}

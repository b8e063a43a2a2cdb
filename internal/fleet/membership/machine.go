package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// peer is what this member holds of another one.
type peer struct {
	Member
	stateSince  Time
	lastContact Time // when a message last came from its present process; 0: never

	// While the peer is a suspect:
	suspectedAt Time
	deadline    Time            // when it is declared dead
	suspectedBy map[string]bool // names of those that suspect it, up to suspicionConfirmations+1
}

// Machine is one member's state machine. Its owner passes in messages (Receive, Merge) and the time (Tick), and carries
// out what TakeOutput returns. It must not be used by two goroutines at once.
type Machine struct {
	settings   Settings
	rng        *rand.Rand
	self       Member
	superseded bool // a later process has taken the name
	joined     bool // see MarkJoined

	peers    map[string]*peer // by name
	present  []string         // names of the peers that are present, sorted
	notAlive []string         // names of the peers that are not Alive, sorted

	lastSeq     uint64   // of the probes and relayed pings that were sent
	probe       *probe   // in flight; nil: none
	probeOrder  []string // peers still to be probed in this round
	relays      map[uint64]relay
	nextProbe   Time
	nextRejoin  Time
	localHealth int // 0: healthy, up to maxLocalHealth

	broadcasts []broadcast
	changes    []Change
	outgoing   []Outgoing

	version       uint64 // of the state that the digest covers
	digestVersion uint64 // the version that digest was computed at
	digest        uint64
}

// New returns a machine that knows of no other member.
func New(now Time, settings Settings) *Machine {
	settings = settings.withDefaults()
	m := &Machine{
		settings: settings,
		rng:      rand.New(rand.NewPCG(settings.Seed, settings.IncarnationNonce)),
		peers:    map[string]*peer{},
		relays:   map[uint64]relay{},
		self: Member{
			Name:               settings.Name,
			Address:            settings.Address,
			ProcessIncarnation: ProcessIncarnation{settings.IncarnationNumber, settings.IncarnationNonce},
		},
	}
	// A random phase, so that members that start together do not probe together.
	m.nextProbe = now + Time(m.rng.Float64()*float64(settings.ProbeInterval))
	m.enqueueBroadcast(m.self.Name)
	return m
}

// Self returns this member's own state, and whether it still bears its name: it does until a later process takes it.
func (m *Machine) Self() (self Member, ownsName bool) { return m.self, !m.superseded }

// MarkJoined tells the machine that it has received the fleet's state. Until then a process of a higher number under
// its own name is its former one; from then on it is another process.
func (m *Machine) MarkJoined() { m.joined = true }

// Members returns all other members that are kept, dead ones included, sorted by name.
func (m *Machine) Members() []Member {
	list := make([]Member, 0, len(m.peers))
	for _, p := range m.peers {
		list = append(list, p.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Member returns the member of a name, which may be this one.
func (m *Machine) Member(name string) (Member, bool) {
	if name == m.self.Name {
		return m.self, true
	}
	if p := m.peers[name]; p != nil {
		return p.Member, true
	}
	return Member{}, false
}

// NumPresent returns the number of members that are present, this one included.
func (m *Machine) NumPresent() int { return len(m.present) + 1 }

// LocalHealth returns Lifeguard's local health score, from 0 (healthy) to 8. Failed probes, missing nacks and
// suspicions of this member itself raise it, acks lower it. Timeouts and intervals grow with it.
func (m *Machine) LocalHealth() int { return m.localHealth }

// LastContact returns when a message last came from a member's present process.
func (m *Machine) LastContact(name string) (Time, bool) {
	if p := m.peers[name]; p != nil && p.lastContact > 0 {
		return p.lastContact, true
	}
	return 0, false
}

// SamplePresent draws up to n present members, without this one.
func (m *Machine) SamplePresent(n int) []Member {
	list := make([]Member, 0, n)
	for _, i := range m.rng.Perm(len(m.present))[:min(n, len(m.present))] {
		list = append(list, m.peers[m.present[i]].Member)
	}
	return list
}

// SampleAll draws up to n members in any state, without this one.
func (m *Machine) SampleAll(n int) []Member {
	list := m.Members()
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// TakeOutput returns the messages to send and the changes since the last call.
func (m *Machine) TakeOutput() (outgoing []Outgoing, changes []Change) {
	outgoing, changes = m.outgoing, m.changes
	m.outgoing, m.changes = nil, nil
	return outgoing, changes
}

func (m *Machine) send(to string, message Message) {
	m.outgoing = append(m.outgoing, Outgoing{to, message})
}

// Tick does what is due at a time. It is to be called several times a probe interval.
func (m *Machine) Tick(now Time) {
	m.expireRelays(now)
	m.expirePeers(now)
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

// Leave marks this member as leaving. The state travels with the messages that are sent afterwards.
func (m *Machine) Leave() {
	if m.superseded {
		return
	}
	m.self.State = Left
	m.enqueueBroadcast(m.self.Name)
}

func (m *Machine) adjustLocalHealth(delta int) {
	m.localHealth = min(max(m.localHealth+delta, 0), maxLocalHealth)
}

// scaleByLocalHealth stretches a duration while this member is unhealthy: a member that is slow itself would otherwise
// take all others for dead (Lifeguard, section IV-A).
func (m *Machine) scaleByLocalHealth(d time.Duration) time.Duration {
	return d * time.Duration(m.localHealth+1)
}

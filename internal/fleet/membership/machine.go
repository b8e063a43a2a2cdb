package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// peer is the state that this machine holds for another member.
type peer struct {
	Member
	stateSince  Time
	lastContact Time // when its current process last sent a message; 0: never

	// The fields below are set only while the peer is a suspect.
	suspectedAt Time
	deadline    Time            // time at which it is declared dead
	suspectedBy map[string]bool // names of the members that suspect it, at most suspicionConfirmations+1
}

// Machine is the membership state machine of one member. The caller passes in messages (Receive, Merge) and the time
// (Tick), sends the messages that TakeOutput returns and handles its changes. A Machine must not be used by two
// goroutines at once.
type Machine struct {
	settings   Settings
	rng        *rand.Rand
	self       Member
	superseded bool // a later process has taken over this member's name
	joined     bool // set by MarkJoined

	peers    map[string]*peer // by name
	present  []string         // names of the peers that are present, sorted
	notAlive []string         // names of the peers that are not Alive, sorted

	lastSeq     uint64   // last sequence number of the probes and relayed pings sent
	probe       *probe   // probe in flight; nil: none
	probeOrder  []string // names of the peers still to be probed in this round
	relays      map[uint64]relay
	nextProbe   Time
	nextRejoin  Time
	localHealth int // 0: healthy, up to maxLocalHealth

	broadcasts []broadcast
	changes    []Change
	outgoing   []Outgoing

	version       uint64 // incremented when the state that the digest covers may have changed
	digestVersion uint64 // version for which digest was computed
	digest        uint64
}

// New returns a machine whose member list contains only this member.
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
	// A random initial delay prevents members that start together from probing in lockstep.
	m.nextProbe = now + Time(m.rng.Float64()*float64(settings.ProbeInterval))
	m.enqueueBroadcast(m.self.Name)
	return m
}

// Self returns this member's own state, and whether it still owns its name: false once a later process has taken it
// over.
func (m *Machine) Self() (self Member, ownsName bool) { return m.self, !m.superseded }

// MarkJoined marks the machine as having received the fleet's state. Before the call, a process with a higher number
// under the machine's own name is treated as its former process; after it, a present one at another address is treated
// as a later process that takes over the name.
func (m *Machine) MarkJoined() { m.joined = true }

// Members returns all other members that are retained, including dead members, sorted by name.
func (m *Machine) Members() []Member {
	list := make([]Member, 0, len(m.peers))
	for _, p := range m.peers {
		list = append(list, p.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Member returns the member with the given name, which may be this member's own.
func (m *Machine) Member(name string) (Member, bool) {
	if name == m.self.Name {
		return m.self, true
	}
	if p := m.peers[name]; p != nil {
		return p.Member, true
	}
	return Member{}, false
}

// NumPresent returns the number of present members, including this one.
func (m *Machine) NumPresent() int { return len(m.present) + 1 }

// LocalHealth returns Lifeguard's local health score, from 0 (healthy) to 8. Failed probes, missing nacks and
// suspicions of this member raise the score, acks lower it. Timeouts and intervals grow with the score.
func (m *Machine) LocalHealth() int { return m.localHealth }

// LastContact returns when a message of a member's current process was last received, and false if none was.
func (m *Machine) LastContact(name string) (Time, bool) {
	if p := m.peers[name]; p != nil && p.lastContact > 0 {
		return p.lastContact, true
	}
	return 0, false
}

// SamplePresent returns up to n random present members other than this one.
func (m *Machine) SamplePresent(n int) []Member {
	list := make([]Member, 0, n)
	for _, i := range m.rng.Perm(len(m.present))[:min(n, len(m.present))] {
		list = append(list, m.peers[m.present[i]].Member)
	}
	return list
}

// SampleAll returns up to n random members, in any state, other than this one.
func (m *Machine) SampleAll(n int) []Member {
	list := m.Members()
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// TakeOutput returns and clears the messages to send and the membership changes since the last call.
func (m *Machine) TakeOutput() (outgoing []Outgoing, changes []Change) {
	outgoing, changes = m.outgoing, m.changes
	m.outgoing, m.changes = nil, nil
	return outgoing, changes
}

func (m *Machine) send(to string, message Message) {
	m.outgoing = append(m.outgoing, Outgoing{to, message})
}

// Tick runs the work that is due at the given time. The caller invokes it several times per probe interval.
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

// Leave marks this member as Left. Messages sent afterwards carry the new state.
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

// scaleByLocalHealth lengthens a duration while this member is unhealthy. Otherwise a slow member would declare all
// others dead (Lifeguard, section IV-A).
func (m *Machine) scaleByLocalHealth(d time.Duration) time.Duration {
	return d * time.Duration(m.localHealth+1)
}

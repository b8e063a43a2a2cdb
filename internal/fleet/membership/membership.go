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
	Name    string
	Address string   // where others reach it
	Peers   []string // addresses to find the fleet by; the own one may be among them
	Seed    uint64
	Nonce   uint64 // of this life: drawn anew for each
	Number  uint64 // of this life at least, such as its start's Unix time; raised above those of former lives

	Interval time.Duration // between two probes, where this sidecar is well; usual: 1 s
	Timeout  time.Duration // for an answer, before others are asked to try; usual: 300 ms
	Forget   time.Duration // what is held of one that is gone or left is kept; usual: 10 min
	Seek     time.Duration // between two tries at a peer that nobody has heard of, or that is gone; usual: 5 s
}

// The bounds of what a Machine holds and does.
const (
	usualInterval = time.Second
	usualTimeout  = 300 * time.Millisecond
	usualForget   = 10 * time.Minute
	usualSeek     = 5 * time.Second

	askOthers    = 3    // members that are asked to try one that does not answer
	suspectFor   = 4    // intervals and decades of members that a suspicion lasts at least
	suspectMore  = 6    // times as long that it lasts while nobody else has it
	confirms     = 2    // others whose suspicion brings it down to the least
	mostSick     = 8    // of the score of how well this sidecar itself does
	spreadTimes  = 4    // decades of members that each news is passed on for
	mostMembers  = 4096 // that are held, gone ones included
	mostRelays   = 64   // tries for others at a time
	heardExcuses = 2    // intervals for which something heard from a member itself holds its end up
)

// Kind is a kind of message.
type Kind uint8

// The kinds of messages.
const (
	Ping    Kind = iota + 1 // answer with Ack
	Ack                     // of the Seq in the ping
	Ask                     // ping Target for me, and pass its Ack on
	NoReply                 // the one asked for has not answered me so far
)

// Message is what a sidecar says to another for the sake of membership. What travels along is not its business.
type Message struct {
	Kind   Kind   `cbor:"1,keyasint"`
	Seq    uint64 `cbor:"2,keyasint"`
	Target string `cbor:"3,keyasint,omitempty"` // Ping: whom it is for; Ask: whom to ping; "": whoever is there
	At     string `cbor:"4,keyasint,omitempty"` // Ask: where
}

// Send is a message to be sent.
type Send struct {
	To      string // an address
	Message Message
}

// Change is news of a member, for logs and for what is held by member.
type Change struct {
	Member Member
	Former Member // State is states where it was not known
	Own    bool   // of this sidecar itself: another life bears its name now
}

// peer is a member and what this sidecar has of it.
type peer struct {
	Member
	since   Time // of its state here
	heard   Time // something from itself, in this life
	until   Time // Suspect: when it counts as gone
	suspect Time // since
	by      map[string]bool
}

// probe is the try in hand.
type probe struct {
	name   string
	seq    uint64
	asked  bool // others
	askAt  Time
	endAt  Time
	misses int // others that were asked and said that they have no answer either
	wanted int // others that were asked
}

// relay is a try for another member.
type relay struct {
	to    string // its address
	seq   uint64 // its own
	until Time   // then it is told that there is no answer yet
	told  bool
}

// news is what is held of a member and is to be passed on.
type news struct {
	name string
	left int // times
}

// Machine is one sidecar's part in the membership.
type Machine struct {
	set     Settings
	rng     *rand.Rand
	self    Member
	yields  bool // another life bears the name
	joined  bool // has heard what the fleet holds of its own name
	peers   map[string]*peer
	here    []string // names of those that count, in order
	doubted []string // and of those that are not plainly alive
	ring    []string // whom to try next
	seq     uint64
	probe   *probe
	relays  map[uint64]relay
	next    Time // probe
	seek    Time // next try at one not known or gone
	sick    int
	news    []news
	changes []Change
	sends   []Send
	version uint64 // counts what changes the sum
	summed  uint64 // the version that sum is of
	sum     uint64
}

// New returns a machine that knows of nobody.
func New(now Time, set Settings) *Machine {
	set.Interval = cmp.Or(set.Interval, usualInterval)
	set.Timeout = cmp.Or(set.Timeout, usualTimeout)
	set.Forget = cmp.Or(set.Forget, usualForget)
	set.Seek = cmp.Or(set.Seek, usualSeek)
	m := &Machine{set: set, rng: rand.New(rand.NewPCG(set.Seed, set.Nonce)), peers: map[string]*peer{},
		relays: map[uint64]relay{},
		self:   Member{Name: set.Name, Address: set.Address, Life: Life{max(set.Number, 1), set.Nonce}}}
	m.next = now + Time(m.rng.Float64()*float64(set.Interval)) // not all that start together at once
	m.spread(m.self.Name)
	return m
}

// Self is what this sidecar says of itself, and whether it still may: not once another life bears its name.
func (m *Machine) Self() (self Member, bears bool) { return m.self, !m.yields }

// Joined says that this sidecar has heard what the fleet holds. From then on it takes a higher life under its own name
// for another process, not for its former life.
func (m *Machine) Joined() { m.joined = true }

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

// Here counts the members that the fleet counts on, this sidecar included.
func (m *Machine) Here() int { return len(m.here) + 1 }

// Sick tells how badly this sidecar itself does, from 0 to mostSick: answers of others that it did not get.
func (m *Machine) Sick() int { return m.sick }

// Heard is when something last came from a member itself, in its present life.
func (m *Machine) Heard(name string) (Time, bool) {
	if p := m.peers[name]; p != nil && p.heard > 0 {
		return p.heard, true
	}
	return 0, false
}

// Some draws up to n members that the fleet counts on, not this sidecar.
func (m *Machine) Some(n int) []Member {
	list := make([]Member, 0, n)
	for _, i := range m.rng.Perm(len(m.here))[:min(n, len(m.here))] {
		list = append(list, m.peers[m.here[i]].Member)
	}
	return list
}

// Out takes what is to be done: messages to send and changes to take in.
func (m *Machine) Out() (sends []Send, changes []Change) {
	sends, changes = m.sends, m.changes
	m.sends, m.changes = nil, nil
	return sends, changes
}

func (m *Machine) send(to string, message Message) { m.sends = append(m.sends, Send{to, message}) }

// News takes up to n members whose state is to be passed on, those passed on least first. What is held of the one that it
// goes to goes first, where it is not what that says of itself: one that is thought gone must hear of it to say that it is
// not, and one that has started again must hear of its former life. to may be the zero Member.
func (m *Machine) News(n int, to Member) []Member {
	list := make([]Member, 0, n)
	if p := m.peers[to.Name]; p != nil && p.Compare(to) > 0 && n > 0 {
		list = append(list, p.Member)
	}
	slices.SortStableFunc(m.news, func(a, b news) int { return cmp.Compare(b.left, a.left) })
	for i := 0; i < len(m.news) && len(list) < n; i++ {
		if member, ok := m.Member(m.news[i].name); ok && (len(list) == 0 || list[0].Name != member.Name) {
			list = append(list, member)
			m.news[i].left--
		}
	}
	m.news = slices.DeleteFunc(m.news, func(x news) bool { return x.left <= 0 })
	return list
}

// Waiting tells whether there is news to be passed on.
func (m *Machine) Waiting() bool { return len(m.news) > 0 }

// Sum is the same for machines that hold the same of all members, themselves included.
func (m *Machine) Sum() uint64 {
	if m.summed != m.version {
		m.sum, m.summed = m.total(), m.version
	}
	return m.sum
}

func (m *Machine) total() (sum uint64) {
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
		if p.Here() { // those that are gone are forgotten at different times
			add(p.Member)
		}
	}
	if !m.yields && m.self.Here() {
		add(m.self)
	}
	return sum
}

// Draw draws up to n members, whatever is held of them.
func (m *Machine) Draw(n int) []Member {
	list := m.Members()
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// spread has what is held of a member be passed on. Each news is passed on for some times that grow with the logarithm
// of the fleet: so all have it with near certainty, and what one sidecar sends does not grow with the fleet.
func (m *Machine) spread(name string) {
	m.version++
	if m.yields && name == m.self.Name {
		return
	}
	m.news = slices.DeleteFunc(m.news, func(x news) bool { return x.name == name })
	m.news = append(m.news, news{name, int(math.Ceil(spreadTimes * math.Log10(float64(len(m.peers)+2)+1)))})
}

// Merge takes in what a peer says of members. What cannot be is passed over with its reason.
func (m *Machine) Merge(now Time, list []Member, from string) (err error) {
	for _, said := range list {
		if bad := said.check(); bad != nil {
			err = cmp.Or(err, bad)
			continue
		}
		if said.Name == m.self.Name {
			m.mergeSelf(said)
			continue
		}
		m.merge(now, said, from)
	}
	return err
}

// mergeSelf takes in what others hold of this sidecar. Danger: what is held of its former life must not pass for its own,
// and a process that starts beside this one under the same name, as in an upgrade, must not fight with it for ever.
func (m *Machine) mergeSelf(said Member) {
	switch c := said.Life.Compare(m.self.Life); {
	case c < 0: // a former life: what is said of this one goes before it
		m.spread(m.self.Name)
	case c == 0:
		if !m.yields && said.State != m.self.State && said.Incarnation >= m.self.Incarnation && m.self.State != Left {
			m.self.Incarnation = said.Incarnation + 1
			m.sicker(1)
			m.spread(m.self.Name)
		}
	case !m.yields && (!m.joined || m.former(said)):
		m.self.Life.Number, m.self.Incarnation = said.Life.Number+1, 0
		m.spread(m.self.Name)
	case !m.yields: // the younger one bears the name
		former := m.self
		m.yields = true
		m.version++
		m.news = slices.DeleteFunc(m.news, func(x news) bool { return x.name == m.self.Name })
		m.changes = append(m.changes, Change{Member: said, Former: former, Own: true})
	}
}

// former tells whether a later life under the own name has ended, though its number is the higher one, as the clock of
// day has gone back since. No other process can have this one's address.
func (m *Machine) former(said Member) bool { return said.Address == m.self.Address || !said.Here() }

func (m *Machine) merge(now Time, said Member, from string) {
	p := m.peers[said.Name]
	if p == nil {
		if len(m.peers) >= mostMembers {
			return
		}
		p = &peer{Member: Member{Name: said.Name, State: states}}
		m.peers[said.Name] = p
	}
	if p.State == Suspect && said.State == Suspect && said.Life == p.Life && said.Incarnation == p.Incarnation {
		m.confirm(p, from)
	}
	if p.State != states && said.Compare(p.Member) <= 0 {
		return
	}
	former := p.Member
	p.Member, p.since = said, now
	if former.Life != said.Life {
		p.heard = 0
	}
	if said.State == Suspect {
		p.suspect, p.by = now, map[string]bool{from: true}
		p.until = now + m.suspicion(0)
	} else {
		p.by = nil
	}
	m.recount()
	m.spread(said.Name)
	m.changes = append(m.changes, Change{Member: said, Former: former})
}

// suspicion is how long a suspicion lasts that n others share.
func (m *Machine) suspicion(n int) time.Duration {
	least := suspectFor * max(1, math.Log10(float64(len(m.here)+1))) * float64(m.set.Interval)
	share := min(1, math.Log(float64(n)+1)/math.Log(confirms+1))
	return time.Duration(least * (suspectMore - (suspectMore-1)*share))
}

// confirm counts another one's suspicion.
func (m *Machine) confirm(p *peer, from string) {
	if p.by[from] || len(p.by) > confirms {
		return
	}
	p.by[from] = true
	p.until = p.suspect + m.suspicion(len(p.by)-1)
	m.spread(p.Name)
}

// recount lists the members that count, and those that are not plainly alive.
func (m *Machine) recount() {
	m.here, m.doubted = m.here[:0], m.doubted[:0]
	for name, p := range m.peers {
		if p.Here() {
			m.here = append(m.here, name)
		}
		if p.State != Alive {
			m.doubted = append(m.doubted, name)
		}
	}
	slices.Sort(m.here)
	slices.Sort(m.doubted)
}

func (m *Machine) sicker(by int) { m.sick = min(max(m.sick+by, 0), mostSick) }

// pace is a time, longer while this sidecar does badly. Danger: one that is slow itself takes all others for gone.
func (m *Machine) pace(d time.Duration) time.Duration { return d * time.Duration(m.sick+1) }

// Receive takes in a message that came from a member's address.
func (m *Machine) Receive(now Time, from, name string, life Life, message Message) {
	if p := m.peers[name]; p != nil && p.Life == life {
		p.heard = max(now, 1)
	}
	switch message.Kind {
	case Ping:
		// Danger: a process that took the address of one that is gone would answer for it.
		if message.Target == "" || message.Target == m.self.Name && !m.yields {
			m.send(from, Message{Kind: Ack, Seq: message.Seq})
		}
	case Ask:
		if len(m.relays) < mostRelays && message.At != "" {
			m.seq++
			m.relays[m.seq] = relay{to: from, seq: message.Seq, until: now + m.set.Timeout}
			m.send(message.At, Message{Kind: Ping, Seq: m.seq, Target: message.Target})
		}
	case Ack:
		if r, ok := m.relays[message.Seq]; ok {
			delete(m.relays, message.Seq)
			m.send(r.to, Message{Kind: Ack, Seq: r.seq})
		}
		if m.probe != nil && message.Seq == m.probe.seq {
			m.probe = nil
			m.sicker(-1)
		}
	case NoReply:
		if m.probe != nil && message.Seq == m.probe.seq {
			m.probe.misses++
		}
	}
}

// Tick has the machine do what is due. It is to be called some times an Interval.
func (m *Machine) Tick(now Time) {
	for seq, r := range m.relays {
		switch {
		case now >= r.until && !r.told:
			r.told, r.until = true, now+m.set.Interval
			m.relays[seq] = r
			m.send(r.to, Message{Kind: NoReply, Seq: r.seq})
		case now >= r.until:
			delete(m.relays, seq)
		}
	}
	m.end(now)
	if m.yields {
		return
	}
	m.step(now)
	if now >= m.next {
		m.next = now + m.pace(m.set.Interval)
		m.begin(now)
	}
	if now >= m.seek {
		m.seek = now + m.set.Seek
		m.find()
	}
}

// end takes in that time has run out for suspected members, and forgets those long gone.
func (m *Machine) end(now Time) {
	for _, name := range slices.Clone(m.doubted) {
		p := m.peers[name]
		switch {
		case p.State == Suspect && now >= p.until:
			// Danger: a sidecar that all hear and that hears all, but whose own messages get lost, would bury everyone.
			if len(p.by) <= 1 && p.by[m.self.Name] && p.heard > 0 && now-p.heard < m.pace(heardExcuses*m.set.Interval) {
				continue
			}
			gone := p.Member
			gone.State = Gone
			m.merge(now, gone, m.self.Name)
		case !p.Here() && now-p.since >= m.set.Forget:
			delete(m.peers, name)
			m.recount()
		}
	}
}

// step goes on with the try in hand: others are asked, and at its end the member is suspected.
func (m *Machine) step(now Time) {
	t := m.probe
	if t == nil {
		return
	}
	p := m.peers[t.name]
	if p == nil || !p.Here() {
		m.probe = nil
		return
	}
	if !t.asked && now >= t.askAt {
		t.asked = true
		for _, other := range m.Some(askOthers + 1) {
			if other.Name != t.name && t.wanted < askOthers {
				t.wanted++
				m.send(other.Address, Message{Kind: Ask, Seq: t.seq, Target: t.name, At: p.Address})
			}
		}
	}
	if now < t.endAt {
		return
	}
	// Those that were asked and said nothing at all: the fault is likely here.
	m.sicker(max(t.wanted-t.misses, 1))
	m.probe = nil
	suspect := p.Member
	suspect.State = Suspect // where it is one already, that tells nothing new
	m.merge(now, suspect, m.self.Name)
}

// begin tries the next member of the ring. Each has its turn within two rounds.
func (m *Machine) begin(now Time) {
	if m.probe != nil {
		return
	}
	for len(m.here) > 0 {
		if len(m.ring) == 0 {
			m.ring = slices.Clone(m.here)
			m.rng.Shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
		}
		name := m.ring[0]
		m.ring = m.ring[1:]
		p := m.peers[name]
		if p == nil || !p.Here() {
			continue
		}
		m.seq++
		m.probe = &probe{name: name, seq: m.seq, askAt: now + m.pace(m.set.Timeout), endAt: now + m.pace(m.set.Interval)}
		m.send(p.Address, Message{Kind: Ping, Seq: m.seq, Target: name})
		return
	}
}

// find tries one that the operator's file names and nobody has told of, or one that is gone: a cut that heals leaves
// two fleets that know of each other as gone.
func (m *Machine) find() {
	known := map[string]bool{m.self.Address: true}
	var places []string
	for _, p := range m.peers {
		known[p.Address] = known[p.Address] || p.Here()
		if p.State == Gone {
			places = append(places, p.Address)
		}
	}
	for _, a := range m.set.Peers {
		if !known[a] {
			places = append(places, a)
		}
	}
	slices.Sort(places)
	if places = slices.Compact(places); len(places) > 0 {
		m.seq++
		m.send(places[m.rng.IntN(len(places))], Message{Kind: Ping, Seq: m.seq})
	}
}

// Leave says that this sidecar goes. What it says goes along with the messages that follow.
func (m *Machine) Leave() {
	if !m.yields {
		m.self.State = Left
		m.spread(m.self.Name)
	}
}

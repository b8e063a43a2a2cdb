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
	gossipEvery = 100 * time.Millisecond // while there is any
	urgentEvery = 20 * time.Millisecond  // where there is evidence among it
	gossipTo    = 3                      // members at a time
	passTimes   = 3                      // and for each doubling of the fleet, that one piece is sent
	wantEvery   = time.Second            // that what was missed is asked for, and given, at most
	mostReplies = 4                      // datagrams with it
	mostRumors  = 4096                   // pieces that are on their way; what is beyond is found by the sums
)

// The bound of what a sidecar sends, in datagrams: a second's mean, and at once. It does not grow with the fleet.
// Danger: probes and their answers go out beyond it, as a member that cannot send them is taken for gone; there are as
// many of them as the fleet's probes, which one sidecar meets no more often for being in a larger fleet.
const (
	MostBytes = 32 << 10 // a second
	mostBurst = 16 << 10
)

// How a sidecar sees to it that others hold what it says yes to.
const (
	confirmBy    = 3                      // others that are to hold it
	confirmEvery = 200 * time.Millisecond // between two tries
	confirmFor   = 500 * time.Millisecond // until it is said that fewer do; the staff is owed an answer in 1 s, on a busy machine too
	confirmBit   = 1 << 63                // of the sequence numbers of such tries, which are not membership's
)

// How a sidecar catches up.
const (
	stalled    = 3 * time.Second        // without a Tick: the process was stopped, or had no processor
	fetchEvery = 250 * time.Millisecond // a peer is asked for all it holds, until one has given it
	fetchAt    = 3                      // peers at a time at most
	aloneEvery = time.Second            // by one that has given up waiting, until somebody answers
)

// Phase is how far a sidecar has caught up with the fleet.
type Phase uint8

// The phases.
const (
	Catching Phase = iota // it asks for what the fleet holds
	Whole                 // it holds that
	Fresh                 // nobody holds anything: all have started anew
	Alone                 // nobody has answered in time; it goes by what it knows
	phases
)

var phaseNames = [phases]string{"catching up", "whole", "fresh", "alone"}

// String implements fmt.Stringer.
func (p Phase) String() string {
	if p < phases {
		return phaseNames[p]
	}
	return fmt.Sprintf("phase %d", uint8(p))
}

// Settings are what a Machine is told at its start.
type Settings struct {
	Membership membership.Settings
	Label      string
	CatchUp    time.Duration // after which it goes by what it knows; usual: 2 s
	// Before are the addresses of the process that this one replaces, as in an upgrade. It is asked first, and waited for even if
	// another has answered: in a cut it may hold calls of the staff that nobody else has heard of.
	Before []string
}

const usualCatchUp = 2 * time.Second

// Datagram is bytes for an address.
type Datagram struct {
	To   string
	Text []byte
}

// Actions are what is to be done after an event.
type Actions struct {
	Send    []Datagram
	Fetch   []string // addresses to get a snapshot from; Fetched follows for each
	Changes []membership.Change
	News    []replication.Key // what peers' words have changed in the copy
	Phase   []Phase           // that was gone through
	Held    []Held
	Speak   []string // servers of which the own notes are to be said to everybody
}

// Held is how many others hold a piece that Confirm was asked for.
type Held struct {
	Key   replication.Key
	By    int
	Asked int // 0: there is nobody to ask
}

// confirm is a piece that others are to hold.
type confirm struct {
	key   replication.Key
	seq   uint64
	asked map[string]bool // addresses
	by    map[string]bool // names
	next  Time
	until Time
}

// Figures count what a machine has done since its start.
type Figures struct {
	Packets, Bytes   uint64 // sent
	Received         uint64 // packets
	Bad              uint64 // packets and pieces that could not be read or be true
	Foreign          uint64 // packets of another fleet or format
	Held             uint64 // times that the bound on bytes held something back
	Fetches, Serves  uint64 // snapshots asked for and given
	Wants, Recovered uint64 // times that what was missed was asked for, and pieces that came so
}

// rumor is a piece of state on its way.
type rumor struct {
	key  replication.Key
	left int // times
	born int // in the order in which they came
}

// contact is what is known of how a peer's copy compares.
type contact struct {
	sums   [replication.NumKinds]uint64
	heard  Time // when it last told its sums
	same   Time // when they were last those of the own copy
	asked  Time // what was missed
	given  Time
	rolled Time // the members were given
}

// Machine is one sidecar's part in the fleet.
type Machine struct {
	set      Settings
	rng      *rand.Rand
	Members  *membership.Machine // to be read
	Store    *replication.Store  // to be read; what this sidecar itself has to say goes through Tell
	rumors   []rumor
	count    int
	contacts map[string]*contact
	confirms []confirm
	tries    uint64
	quorum   failuredetector.ReportQuorum
	figures  Figures
	out      Actions

	tokens  float64
	filled  Time
	ticked  Time
	gossip  Time // next
	urgent  bool // there is evidence among the news
	called  Time // for members
	faded   Time
	phase   Phase
	since   Time              // of the phase
	fetch   Time              // next
	empty   map[string]bool   // peers that answered and are catching up themselves
	before  []string          // of Settings, as long as they are waited for
	learnt  bool              // one that is whole has answered
	heir    string            // address of the life that bears this one's name; "": none
	owed    []replication.Key // to the heir: what was heard since it was last sent anything
	wasGone uint32
}

// New returns a machine that catches up first. warm is what a former life has left on disk; it may be nil.
func New(now replication.Now, set Settings, warm []replication.Item) *Machine {
	set.CatchUp = cmp.Or(set.CatchUp, usualCatchUp)
	m := &Machine{set: set, rng: rand.New(rand.NewPCG(set.Membership.Seed, ^set.Membership.LifeNonce)),
		Members: membership.New(now.Time, set.Membership), contacts: map[string]*contact{}, empty: map[string]bool{}, before: slices.Clone(set.Before),
		tokens: mostBurst, filled: now.Time, ticked: now.Time, since: now.Time}
	self, _ := m.Members.Self()
	m.Store = replication.New(self.Name, self.Life)
	for _, item := range warm {
		m.take(now, item, "")
	}
	if len(set.Membership.Peers) == 0 && len(m.before) == 0 {
		m.enter(now.Time, Fresh)
	}
	return m
}

// Phase tells how far this sidecar has caught up, and since when.
func (m *Machine) Phase() (Phase, Time) { return m.phase, m.since }

// Figures returns what was counted.
func (m *Machine) Figures() Figures { return m.figures }

// Out takes what is to be done.
func (m *Machine) Out() Actions {
	out := m.out
	m.out = Actions{}
	return out
}

func (m *Machine) enter(now Time, p Phase) {
	m.phase, m.since = p, now
	if p == Catching {
		clear(m.empty)
		m.fetch, m.learnt = now, false
	} else {
		m.Members.MarkJoined()
	}
	m.out.Phase = append(m.out.Phase, p)
}

// Tell has a piece that this sidecar itself has changed in its copy be passed on.
func (m *Machine) Tell(key replication.Key) {
	m.rumors = slices.DeleteFunc(m.rumors, func(r rumor) bool { return r.key == key })
	if len(m.rumors) >= mostRumors {
		m.figures.Held++
		return
	}
	m.count++
	times := bits.Len(uint(m.Members.NumPresent()))
	if key.Kind != replication.KindRow {
		times *= passTimes
	}
	m.rumors = append(m.rumors, rumor{key, times, m.count})
}

// take merges one piece.
func (m *Machine) take(now replication.Now, item replication.Item, from string) (news bool) {
	key, err := item.Key()
	if err == nil {
		news, err = m.Store.Merge(now, item, from)
	}
	if err != nil {
		m.figures.Bad++
		return false
	}
	switch {
	case news:
		if m.Tell(key); m.heir != "" && len(m.owed) < mostRumors {
			m.owed = append(m.owed, key)
		}
		m.urgent = m.urgent || key.Kind == replication.KindRow
		m.out.News = append(m.out.News, key)
	case key.Kind == replication.KindRow: // Danger: rows come by the hundred when much fails; what others have told needs no telling
		if i := slices.IndexFunc(m.rumors, func(r rumor) bool { return r.key == key }); i >= 0 {
			m.rumors[i].left--
		}
	}
	return news
}

func (m *Machine) takeAll(now replication.Now, items []cbor.RawMessage, from string) (news int) {
	for _, text := range items {
		var item replication.Item
		if err := reading.Unmarshal(text, &item); err != nil {
			m.figures.Bad++
			continue
		}
		if m.take(now, item, from) {
			news++
		}
	}
	return news
}

// merge takes in what a peer says of members, and of itself.
func (m *Machine) merge(now replication.Now, from membership.Member, list []membership.Member) {
	self, _ := m.Members.Self()
	if err := m.Members.Merge(now.Time, append([]membership.Member{from}, list...), from.Name); err != nil {
		m.figures.Bad++
	}
	m.live()
	for _, said := range list {
		// Others have counted it as gone: they have gone on without it.
		if said.Name == self.Name && said.Life == self.Life && said.State == membership.Dead && said.Incarnation >= m.wasGone && m.phase != Catching {
			m.wasGone = said.Incarnation + 1
			m.enter(now.Time, Catching)
		}
	}
}

// live has the copy go under the life that membership has come to.
func (m *Machine) live() {
	if self, bears := m.Members.Self(); bears {
		m.Store.SetLife(self.Life)
	}
}

// Receive takes in a datagram.
func (m *Machine) Receive(now replication.Now, from string, text []byte) error {
	p, err := DecodePacket(text, m.set.Label)
	switch {
	case errors.Is(err, errForeign):
		m.figures.Foreign++
		return err
	case err != nil:
		m.figures.Bad++
		return err
	}
	m.figures.Received++
	if self, _ := m.Members.Self(); p.From.Name == self.Name && p.From.Life == self.Life {
		return nil // its own, come back
	}
	m.merge(now, p.From, p.Members)
	if p.Probe != nil && p.Probe.Kind == membership.Ack && p.Probe.Seq&confirmBit != 0 {
		m.confirmed(p.Probe.Seq, p.From.Name)
	} else if p.Probe != nil {
		m.Members.Receive(now.Time, from, p.From.Name, p.From.Life, *p.Probe)
	}
	news := m.takeAll(now, p.Items, p.From.Name)
	for _, n := range p.Notes {
		m.noted(now.Time, p.From.Name, n)
	}
	if p.Sums != nil {
		m.compare(now, p.From.Name, from, *p.Sums, p.Roll)
	}
	if p.Call {
		m.roll(now, p.From, from)
	}
	if p.Want != nil {
		m.answer(now, p.From.Name, from, *p.Want, p.Back)
	}
	if c := m.contacts[p.From.Name]; c != nil && now.Time-c.asked < wantEvery && c.asked > 0 {
		m.figures.Recovered += uint64(news)
	}
	m.settle(now, p.From)
	m.bequeath(now, m.owed)
	m.confirm(now)
	m.spread(now, m.urgent)
	return nil
}

// Note tells the collectors of a server what this sidecar has noted of it.
func (m *Machine) Note(now Time, n failuredetector.Note) {
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
			m.noted(now, self.Name, n)
		} else {
			m.post(now, places[to], Packet{Notes: []failuredetector.Note{n}}, false)
		}
	}
}

// noted takes in a note of a sidecar.
func (m *Machine) noted(now Time, from string, n failuredetector.Note) {
	switch n.Kind {
	case failuredetector.NoteLate:
		self, _ := m.Members.Self()
		for _, owner := range m.quorum.AddLate(now, n.Server, from, m.Members.NumPresent()) {
			if owner == self.Name {
				m.out.Speak = append(m.out.Speak, n.Server)
			} else if o, known := m.Members.Member(owner); known && o.Present() {
				m.post(now, o.Address, Packet{Notes: []failuredetector.Note{{Server: n.Server, Kind: failuredetector.NoteReport}}}, false)
			}
		}
	case failuredetector.NoteAnswered:
		m.quorum.Clear(n.Server)
	case failuredetector.NoteReport:
		m.out.Speak = append(m.out.Speak, n.Server)
	}
}

func (m *Machine) contact(name string) *contact {
	c := m.contacts[name]
	if c == nil {
		c = &contact{}
		m.contacts[name] = c
	}
	return c
}

// compare asks for what a peer's copy has and the own one has not.
func (m *Machine) compare(now replication.Now, name, address string, sums [replication.NumKinds]uint64, roll uint64) {
	digest := m.Store.Digest()
	c := m.contact(name)
	if roll != m.Members.Digest() && !m.Members.HasBroadcasts() && now.Time-m.called >= wantEvery {
		m.called = now.Time
		m.post(now.Time, address, Packet{Call: true, Members: m.Members.SampleAll(mostNews)}, false)
	}
	if c.sums, c.heard = sums, now.Time; sums == digest.PerKind() {
		c.same = now.Time
		return
	}
	// Danger: while news is on its way copies differ everywhere, and all would ask all for what is about to come.
	if len(m.rumors) > 0 || c.asked > 0 && now.Time-c.asked < wantEvery {
		return
	}
	c.asked = max(now.Time, 1)
	m.figures.Wants++
	m.post(now.Time, address, Packet{Want: &digest}, false)
}

// roll gives a peer some of the members, drawn anew each time.
func (m *Machine) roll(now replication.Now, to membership.Member, address string) {
	c := m.contact(to.Name)
	if c.rolled > 0 && now.Time-c.rolled < wantEvery {
		return
	}
	c.rolled = max(now.Time, 1)
	for list := m.Members.SampleAll(mostReplies * mostNews); len(list) > 0; {
		n := min(len(list), mostNews)
		m.post(now.Time, address, Packet{Members: list[:n]}, false)
		list = list[n:]
	}
}

// answer gives a peer what its copy lacks, a part at a time, and asks back for what the own one may lack.
func (m *Machine) answer(now replication.Now, name, address string, theirs replication.Digest, back bool) {
	c := m.contact(name)
	if c.given > 0 && now.Time-c.given < wantEvery {
		return
	}
	c.given = max(now.Time, 1)
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
	for range mostReplies {
		var p Packet
		if keys = m.fill(now, &p, keys); len(p.Items) == 0 {
			break
		}
		m.post(now.Time, address, p, false)
	}
	if !back && ours != theirs {
		m.post(now.Time, address, Packet{Want: &ours, Back: true}, false)
	}
}

// fill puts pieces into a packet as long as there is room, and returns those that found none.
func (m *Machine) fill(now replication.Now, p *Packet, keys []replication.Key) (rest []replication.Key) {
	room := MostPacket - m.size(*p)
	for i, key := range keys {
		item, ok := m.Store.Item(now, key)
		if !ok {
			continue
		}
		text, err := writing.Marshal(item)
		if err != nil || len(text) > MostPacket/2 {
			m.figures.Bad++ // such a piece goes by snapshot only
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

// mostBequest is so many datagrams that a socket's usual buffer holds them all.
const mostBequest = 64

// itemsHead is what the list of pieces takes beside them, at the most.
const itemsHead = 8

func (m *Machine) size(p Packet) int {
	self, _ := m.Members.Self()
	p.Format, p.Label, p.From = Format, m.set.Label, self
	text, err := p.Encode()
	if err != nil {
		return MostPacket
	}
	return len(text) + itemsHead
}

// post sends a packet. What is not due may be held back by the bound on bytes; then it is not sent at all.
func (m *Machine) post(now Time, to string, p Packet, due bool) bool {
	self, bears := m.Members.Self()
	if !bears {
		return false // another life speaks under the name
	}
	p.Format, p.Label, p.From = Format, m.set.Label, self
	text, err := p.Encode()
	if err != nil || len(text) > MostPacket {
		m.figures.Bad++
		return false
	}
	m.tokens = min(m.tokens+(now-m.filled).Seconds()*MostBytes, mostBurst)
	m.filled = now
	if !due && m.tokens < float64(len(text)) {
		m.figures.Held++
		return false
	}
	m.tokens = max(m.tokens-float64(len(text)), -mostBurst)
	m.figures.Packets++
	m.figures.Bytes += uint64(len(text))
	m.out.Send = append(m.out.Send, Datagram{to, text})
	return true
}

// settle does what membership asks for, with news on it. from is whose message led to it; it may be nobody.
func (m *Machine) settle(now replication.Now, from membership.Member) {
	sends, changes := m.Members.TakeOutput()
	for _, c := range changes {
		m.changed(c)
	}
	for _, s := range sends {
		sums := m.Store.Digest().PerKind()
		p := Packet{Probe: &s.Message, Sums: &sums, Roll: m.Members.Digest(), Members: m.Members.Broadcasts(mostNews, from)}
		m.fillRumors(now, &p)
		m.post(now.Time, s.To, p, true)
	}
}

// changed takes in news of a member.
func (m *Machine) changed(c membership.Change) {
	m.out.Changes = append(m.out.Changes, c)
	if c.Superseded {
		m.heir, m.owed = c.Member.Address, m.Store.Keys()
		return
	}
	if c.Previous.Life != c.Member.Life {
		m.Store.MarkDead(c.Member.Name, c.Previous.Life)
	}
	switch c.Member.State {
	case membership.Left:
		m.Store.MarkDead(c.Member.Name, c.Member.Life)
		delete(m.contacts, c.Member.Name)
	case membership.Dead:
		// Danger: it may live on. Were its rows dropped, an older version that another sidecar still passes on would come back
		// as news. They count for nothing while it is not here, and fade.
		delete(m.contacts, c.Member.Name)
	}
}

// fillRumors puts pieces on their way into a packet, those sent least first.
func (m *Machine) fillRumors(now replication.Now, p *Packet) {
	if len(m.rumors) == 0 {
		return
	}
	slices.SortFunc(m.rumors, func(a, b rumor) int { return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(b.born, a.born)) })
	keys := make([]replication.Key, len(m.rumors))
	for i, r := range m.rumors {
		keys[i] = r.key
	}
	sent := len(keys) - len(m.fill(now, p, keys))
	for i := range sent {
		m.rumors[i].left--
	}
	m.rumors = slices.DeleteFunc(m.rumors, func(r rumor) bool { return r.left <= 0 })
}

// Tick has the machine do what is due. It is to be called about each 50 ms.
func (m *Machine) Tick(now replication.Now) {
	if now.Time-m.ticked >= stalled && m.phase != Catching {
		m.enter(now.Time, Catching) // the fleet has gone on meanwhile
	}
	m.ticked = now.Time
	m.Members.Tick(now.Time)
	m.settle(now, membership.Member{})
	if now.Time-m.faded >= time.Second {
		m.faded = now.Time
		m.Store.Expire(now)
	}
	m.spread(now, false)
	m.confirm(now)
	m.catchUp(now)
}

// spread passes news on, where there is any and it is time.
func (m *Machine) spread(now replication.Now, urgent bool) {
	if now.Time >= m.gossip-m.hurry(urgent) && (len(m.rumors) > 0 || m.Members.HasBroadcasts()) {
		m.gossip, m.urgent = now.Time+gossipEvery, false
		for _, to := range m.Members.SamplePresent(gossipTo) {
			p := Packet{Members: m.Members.Broadcasts(mostNews, membership.Member{})}
			before := slices.Clone(m.rumors)
			if m.fillRumors(now, &p); len(p.Items)+len(p.Members) == 0 {
				break
			}
			if !m.post(now.Time, to.Address, p, false) {
				m.rumors = before
				break
			}
		}
	}
}

// hurry is how much sooner than usual what is urgent is passed on.
func (m *Machine) hurry(urgent bool) Time {
	if urgent {
		return gossipEvery - urgentEvery
	}
	return 0
}

// Spoke has a row that this sidecar has just written be passed on, at once.
func (m *Machine) Spoke(now replication.Now, key replication.Key) {
	m.Tell(key)
	m.urgent = true
	m.spread(now, true)
}

// Confirm sees to it that some others hold a piece, and says how many do when enough do or time is over. It is what a yes
// to the staff waits for. Danger: a sidecar that says yes and dies would take its word along.
func (m *Machine) Confirm(now replication.Now, key replication.Key) {
	m.tries++
	m.confirms = append(m.confirms, confirm{key: key, seq: m.tries | confirmBit, asked: map[string]bool{}, by: map[string]bool{},
		next: now.Time, until: now.Time + confirmFor})
	m.confirm(now)
}

// confirm tries those that have not answered, and others.
func (m *Machine) confirm(now replication.Now) {
	m.confirms = slices.DeleteFunc(m.confirms, func(c confirm) bool {
		enough := min(confirmBy, m.Members.NumPresent()-1)
		if len(c.by) >= enough || now.Time >= c.until {
			m.out.Held = append(m.out.Held, Held{c.key, len(c.by), len(c.asked)})
			return true
		}
		return false
	})
	for i := range m.confirms {
		c := &m.confirms[i]
		if now.Time < c.next {
			continue
		}
		c.next = now.Time + confirmEvery
		for _, to := range m.Members.SamplePresent(2 * confirmBy) {
			if c.by[to.Name] || len(c.by)+1 > confirmBy {
				continue
			}
			p := Packet{Probe: &membership.Message{Kind: membership.Ping, Seq: c.seq, Target: to.Name}}
			m.fill(now, &p, []replication.Key{c.key})
			if m.post(now.Time, to.Address, p, true) {
				c.asked[to.Address] = true
			}
		}
	}
}

// confirmed takes in that a member holds what a try brought.
func (m *Machine) confirmed(seq uint64, by string) {
	for i := range m.confirms {
		if m.confirms[i].seq == seq {
			m.confirms[i].by[by] = true
		}
	}
}

// catchUp asks peers for all they hold until one that is whole has answered, or all have said that they have nothing.
func (m *Machine) catchUp(now replication.Now) {
	switch {
	case m.phase == Catching && now.Time-m.since >= m.set.CatchUp:
		if m.before = nil; m.learnt { // all but the one that it replaces has been heard
			m.enter(now.Time, Whole)
			return
		}
		m.enter(now.Time, Alone)
		m.fetch = now.Time + aloneEvery
		return
	case m.phase != Catching && m.phase != Alone, now.Time < m.fetch:
		return
	}
	if m.fetch = now.Time + fetchEvery; m.phase == Alone {
		m.fetch = now.Time + aloneEvery // others may be there by now
	}
	places := slices.Clone(m.set.Membership.Peers)
	for _, p := range m.Members.Members() {
		if p.Present() {
			places = append(places, p.Address)
		}
	}
	slices.Sort(places)
	places = slices.DeleteFunc(slices.Compact(places), func(a string) bool { return a == m.set.Membership.Address })
	m.rng.Shuffle(len(places), func(i, j int) { places[i], places[j] = places[j], places[i] })
	for _, a := range append(m.before, places[:min(len(places), fetchAt)]...) {
		m.figures.Fetches++
		m.out.Fetch = append(m.out.Fetch, a)
	}
}

// Fetched takes in a snapshot that was asked for, or why there is none.
func (m *Machine) Fetched(now replication.Now, from string, text []byte, failed error) error {
	waited := len(m.before)
	m.before = slices.DeleteFunc(m.before, func(a string) bool { return a == from })
	if failed != nil {
		if waited > len(m.before) { // it has ended; another may have answered before
			m.caught(now, "", false)
		}
		return failed
	}
	if waited > len(m.before) { // it need not have heard, and gives the rest of what it hears to whom it knows of
		m.post(now.Time, from, Packet{}, true)
	}
	s, err := DecodeSnapshot(text, m.set.Label)
	if err != nil {
		m.figures.Bad++
		return err
	}
	m.merge(now, s.From, s.Members)
	m.takeAll(now, s.Items, s.From.Name)
	m.settle(now, membership.Member{})
	m.caught(now, from, s.Whole)
	return nil
}

// caught has it be ready once it may. from is the address of one that has answered, and whole says whether it vouches for its
// copy.
func (m *Machine) caught(now replication.Now, from string, whole bool) {
	if m.phase != Catching && m.phase != Alone {
		return
	}
	if from != "" {
		m.empty[from] = !whole
	}
	if m.learnt = m.learnt || whole; len(m.before) > 0 {
		return
	}
	switch {
	case m.learnt:
		m.enter(now.Time, Whole)
	case m.phase == Catching && !slices.ContainsFunc(m.set.Membership.Peers, func(a string) bool {
		return a != m.set.Membership.Address && !m.empty[a]
	}): // Danger: one that has not answered may hold all that there is
		m.enter(now.Time, Fresh)
	case m.phase == Alone && m.askedAll():
		m.enter(now.Time, Whole) // nobody who is there holds more
	}
}

// askedAll tells whether all who are here, one other at least, have answered.
func (m *Machine) askedAll() bool {
	here := 0
	for _, p := range m.Members.Members() {
		if p.Present() {
			if here++; !m.empty[p.Address] {
				return false
			}
		}
	}
	return here > 0
}

// Serve returns all that this sidecar holds, for one that asks for it. One whose name another life bears hears nothing any more,
// and does not vouch for its copy; its successor may need what it holds.
func (m *Machine) Serve(now replication.Now) ([]byte, error) {
	self, bears := m.Members.Self()
	s := Snapshot{Format: Format, Label: m.set.Label, From: self, Whole: bears && (m.phase == Whole || m.phase == Fresh), Members: m.Members.Members()}
	room := MostSnapshot / 2 // the members are in the other half
	for _, key := range m.Store.Keys() {
		item, ok := m.Store.Item(now, key)
		if !ok {
			continue
		}
		text, err := writing.Marshal(item)
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

// bequeath sends pieces to the life that bears this one's name, if there is one, as far as mostBequest datagrams take them. Danger:
// others may not have heard of that one yet, and go on telling this one; what only this one knows the other would not obey.
func (m *Machine) bequeath(now replication.Now, keys []replication.Key) {
	if m.heir == "" || len(keys) == 0 {
		return
	}
	m.owed = nil
	self, _ := m.Members.Self()
	for range mostBequest {
		p := Packet{Format: Format, Label: m.set.Label, From: self}
		if keys = m.fill(now, &p, keys); len(p.Items) == 0 {
			return
		}
		text, err := p.Encode()
		if err != nil || len(text) > MostPacket {
			m.figures.Bad++
			return
		}
		m.figures.Packets++
		m.figures.Bytes += uint64(len(text))
		m.out.Send = append(m.out.Send, Datagram{m.heir, text})
	}
}

// Leave says to some members that this sidecar goes. One whose name another life bears gives that all that it holds, once more.
func (m *Machine) Leave(now replication.Now) {
	if m.heir != "" {
		m.bequeath(now, m.Store.Keys())
		return
	}
	m.Members.Leave()
	for _, to := range m.Members.SamplePresent(gossipTo) {
		m.post(now.Time, to.Address, Packet{Members: m.Members.Broadcasts(mostNews, membership.Member{})}, true)
	}
}

// Doubts is of which servers the fleet speaks ill, the worst first, where the own list has so many.
func (m *Machine) Doubts(now replication.Now, servers int) []replication.Suspicion {
	here := func(owner string) bool {
		o, known := m.Members.Member(owner)
		return known && o.Present()
	}
	return m.Store.Suspicions(now, here, m.Members.NumPresent(), servers)
}

// Lag is how a peer's copy compares to the own one.
type Lag struct {
	Name   string
	Known  bool          // it has told its sums
	Same   bool          // and they were those of the own copy
	For    time.Duration // since they last were; 0: they are
	Differ []replication.Kind
}

// Lags tells for each member that counts how its copy compares, by name.
func (m *Machine) Lags(now Time) []Lag {
	ours := m.Store.Digest().PerKind()
	var lags []Lag
	for _, p := range m.Members.Members() {
		if !p.Present() {
			continue
		}
		l := Lag{Name: p.Name}
		if c := m.contacts[p.Name]; c != nil && c.heard > 0 {
			l.Known, l.Same = true, c.same == c.heard
			if !l.Same {
				l.For = now - c.same
			}
			for k := range replication.NumKinds {
				if c.sums[k] != ours[k] && !l.Same {
					l.Differ = append(l.Differ, k)
				}
			}
		}
		lags = append(lags, l)
	}
	return lags
}

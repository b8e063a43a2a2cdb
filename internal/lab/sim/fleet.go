package sim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/fleet/failuredetector"
	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// Fleet has the sidecars of a run hold in common what they see of nodes. Their messages go over the emulated network: what
// cuts a zone off cuts them too.
type Fleet struct {
	Drop float64                         // share of messages that are lost
	Cut  func(at Time, a, b int) bool    // whether nothing passes between two sidecars; nil: as the zones' links are
	Part int                             // one node in so many is lied about; 0: all are
	Lies func(at Time, sidecar int) bool // whether a sidecar says that every node fails, whatever it sees; nil: none does
	Sent struct{ Messages, Bytes uint64 }
}

// Time is a time of the run.
type Time = time.Duration

const (
	fleetTick  = 50 * time.Millisecond // between two steps of a sidecar's part in the fleet
	fetchLasts = time.Second           // a snapshot is waited for
	bootOrigin = 1_700_000_000_000     // the clock of day at a run's start, Unix milliseconds
	namedPeers = 5                     // sidecars that each is told of from the start
)

// member is a sidecar's part in the fleet.
type member struct {
	c        *sidecar
	machine  *gossip.Machine
	recorder *failuredetector.Recorder
	rng      *rand.Rand
	life     int32
	doubted  map[string]bool // by the fleet's word, as the decider was told
}

// hearer is a decider that takes the fleet's word, and says what it sees.
type hearer interface {
	SetObserver(o balance.Observer)
	SetSuspected(reports []balance.PeerReport)
}

func sidecarAddress(i int32) string { return fmt.Sprintf("a%d", i) }

// join begins the part of a sidecar that has just started.
func (c *sidecar) join() {
	f := c.w.opt.Fleet
	if f == nil {
		return
	}
	var peers []string
	for i := range min(namedPeers, c.w.p.Scenario.Fleet.Sidecars) {
		peers = append(peers, sidecarAddress(int32(i)))
	}
	rng := rand.New(rand.NewPCG(c.w.p.Seed, uint64(c.i)<<32|uint64(c.life)))
	now := c.fleetNow()
	m := &member{c: c, recorder: failuredetector.New(rng.Uint64()), rng: rng, life: c.life, doubted: map[string]bool{}}
	m.machine = gossip.New(now, gossip.Settings{Label: "lab", Membership: membership.Settings{Name: fmt.Sprintf("n%d", c.i),
		Address: sidecarAddress(c.i), Peers: peers, Seed: rng.Uint64(), LifeNonce: rng.Uint64() | 1, LifeNumber: uint64(now.Wall)}}, nil)
	c.member = m
	if h, ok := c.decider.(hearer); ok {
		h.SetObserver(m)
	}
	c.w.after(time.Duration(rng.Int64N(int64(fleetTick))), m.tick)
}

func (c *sidecar) fleetNow() replication.Now {
	return replication.Now{Time: c.w.now + epoch, Wall: bootOrigin + c.w.now.Milliseconds()}
}

// after has something be done later.
func (w *world) after(wait time.Duration, do func()) {
	w.q.push(event{at: w.now + wait, kind: evDo, do: do})
}

// alive tells whether the part's sidecar still lives the life that it began in.
func (m *member) alive() bool { return !m.c.down && m.c.life == m.life }

func (m *member) tick() {
	if !m.alive() {
		return
	}
	m.machine.Tick(m.c.fleetNow())
	m.write()
	m.act()
	m.tell()
	m.c.w.after(fleetTick, m.tick)
}

// Observe implements balance.Observer.
func (m *member) Observe(endpoint string, s balance.Observation) {
	note, due := m.recorder.Observe(m.c.w.now+epoch, endpoint, failuredetector.Outcome(s))
	if due {
		m.machine.SendNote(m.c.w.now+epoch, note)
	}
	if s == balance.ObservedSilence || s == balance.ObservedRefusal {
		m.write()
	}
	m.act()
}

// write has the fleet know what this sidecar has seen.
func (m *member) write() {
	now, w := m.c.fleetNow(), m.c.w
	entries := m.recorder.DueRows(now.Time, m.machine.Members.NumPresent())
	if lies := w.opt.Fleet.Lies; lies != nil && lies(w.now, int(m.c.i)) {
		entries = nil
		for i, n := range w.nodes {
			if n.listed && w.now%(500*time.Millisecond) < fleetTick && i%max(w.opt.Fleet.Part, 1) == 0 {
				entries = append(entries, failuredetector.Row{Server: n.ID, Evidence: replication.Evidence{Tries: 9, Silent: 9}})
			}
		}
	}
	for _, e := range entries {
		n := w.byID[e.Server]
		key, err := m.machine.Store.WriteRow(now, e.Server, m.boot(n), e.Evidence)
		if err == nil {
			m.machine.BroadcastUrgent(now, key)
		}
	}
}

// boot is the start of a node's process as this sidecar's list has it.
func (m *member) boot(n int32) int64 {
	if started := m.c.list[n].Started; started > 0 {
		return bootOrigin + (started - epoch).Milliseconds()
	}
	return 0
}

// tell has the decider know what the fleet says.
func (m *member) tell() {
	h, ok := m.c.decider.(hearer)
	if !ok {
		return
	}
	w, now := m.c.w, m.c.fleetNow()
	doubts := m.machine.Suspicions(now, len(m.c.list))
	var words []balance.PeerReport
	said := map[string]bool{}
	for _, d := range doubts {
		n, known := w.byID[d.Server]
		if known && d.Boot == m.boot(n) {
			words = append(words, balance.PeerReport{ID: d.Server, WrittenAt: d.Newest})
			said[d.Server] = true
		}
	}
	h.SetSuspected(words)
	since := map[string]Time{}
	for _, word := range words {
		since[word.ID] = word.WrittenAt
	}
	m.recorder.SetSuspected(now.Time, since)
	m.doubted = said
	m.c.learn()
}

// act carries out what the machine asks for.
func (m *member) act() {
	w := m.c.w
	out := m.machine.TakeActions()
	for _, d := range out.Send {
		w.opt.Fleet.Sent.Messages++
		w.opt.Fleet.Sent.Bytes += uint64(len(d.Payload))
		if to := w.member(d.To); to != nil && m.passes(to) {
			w.after(m.way(to), func() {
				if to.alive() {
					_ = to.machine.Receive(to.c.fleetNow(), sidecarAddress(m.c.i), d.Payload) // what it thinks of it is in its figures
					to.act()
				}
			})
		}
	}
	for _, from := range out.Fetch {
		m.fetch(from)
	}
	if len(out.ReportServers) > 0 {
		for _, server := range out.ReportServers {
			m.recorder.RequestReport(w.now+epoch, server)
		}
		m.write()
		m.act()
	}
	if slices.ContainsFunc(out.Updated, func(k replication.Key) bool { return k.Kind == replication.KindRow }) {
		m.tell()
	}
}

// member is the part at an address, nil where none lives.
func (w *world) member(address string) *member {
	i, err := strconv.Atoi(strings.TrimPrefix(address, "a"))
	if err != nil || i < 0 || i >= len(w.sidecars) || w.sidecars[i].down {
		return nil
	}
	return w.sidecars[i].member
}

// passes tells whether a message gets from one part to another.
func (m *member) passes(to *member) bool {
	w, f := m.c.w, m.c.w.opt.Fleet
	cut := m.c.zone != to.c.zone && (w.cut[m.c.zone] || w.cut[to.c.zone])
	if f.Cut != nil {
		cut = f.Cut(w.now, int(m.c.i), int(to.c.i))
	}
	return !cut && m.rng.Float64() >= f.Drop
}

// way draws the time of a message.
func (m *member) way(to *member) time.Duration {
	net := m.c.w.p.Scenario.Network
	base := net.Same
	if m.c.zone != to.c.zone {
		base = net.Cross
	}
	return time.Duration(float64(base) * (1 + net.Jitter*(2*m.rng.Float64()-1)))
}

// fetch gets a snapshot from an address.
func (m *member) fetch(from string) {
	w, done := m.c.w, false
	finish := func(text []byte, failed error) {
		if !done && m.alive() {
			done = true
			_ = m.machine.ReceiveSnapshot(m.c.fleetNow(), from, text, failed) // as above
			m.act()
		}
	}
	w.after(fetchLasts, func() { finish(nil, errors.New("no answer")) })
	to := w.member(from)
	if to == nil || !m.passes(to) {
		return
	}
	w.after(m.way(to), func() {
		if !to.alive() {
			return
		}
		if text, err := to.machine.EncodeSnapshot(to.c.fleetNow()); err == nil && to.passes(m) {
			w.after(m.way(to), func() { finish(text, nil) })
		}
	})
}

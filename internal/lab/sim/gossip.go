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
	DropShare    float64                                  // share of messages that are lost
	LinkCut      func(at time.Duration, a, b int) bool    // whether nothing passes between two sidecars; nil: as the zones' links are
	FalseEvery   int                                      // one node in so many is lied about; 0: all are
	FalseReports func(at time.Duration, sidecar int) bool // whether a sidecar says that every node fails, whatever it sees; nil: none does
	Sent         struct{ Messages, Bytes uint64 }
}

const (
	fleetTick       = 50 * time.Millisecond // between two steps of a sidecar's part in the fleet
	snapshotTimeout = time.Second           // a snapshot is waited for
	bootOrigin      = 1_700_000_000_000     // the clock of day at a run's start, Unix milliseconds
	seedPeers       = 5                     // sidecars that each is told of from the start
)

// member is a sidecar's part in the fleet.
type member struct {
	sidecar     *sidecar
	machine     *gossip.Machine
	recorder    *failuredetector.Recorder
	random      *rand.Rand
	incarnation int32
	suspected   map[string]bool // by the fleet's word, as the decider was told
}

// sharingPolicy is a decider that takes the fleet's word, and says what it sees.
type sharingPolicy interface {
	SetObserver(o balance.Observer)
	SetSuspected(reports []balance.PeerReport)
}

func sidecarAddress(i int32) string { return fmt.Sprintf("a%d", i) }

// joinFleet begins the part of a sidecar that has just started.
func (c *sidecar) joinFleet() {
	f := c.simulation.options.Fleet
	if f == nil {
		return
	}
	var peers []string
	for i := range min(seedPeers, c.simulation.plan.Scenario.Fleet.Sidecars) {
		peers = append(peers, sidecarAddress(int32(i)))
	}
	rng := rand.New(rand.NewPCG(c.simulation.plan.Seed, uint64(c.index)<<32|uint64(c.incarnation)))
	now := c.fleetNow()
	m := &member{sidecar: c, recorder: failuredetector.New(rng.Uint64()), random: rng, incarnation: c.incarnation, suspected: map[string]bool{}}
	m.machine = gossip.New(now, gossip.Settings{Label: "lab", Membership: membership.Settings{Name: fmt.Sprintf("n%d", c.index),
		Address: sidecarAddress(c.index), Peers: peers, Seed: rng.Uint64(), LifeNonce: rng.Uint64() | 1, LifeNumber: uint64(now.Wall)}}, nil)
	c.member = m
	if h, ok := c.policy.(sharingPolicy); ok {
		h.SetObserver(m)
	}
	c.simulation.after(time.Duration(rng.Int64N(int64(fleetTick))), m.tick)
}

func (c *sidecar) fleetNow() replication.Now {
	return replication.Now{Time: c.simulation.now + epoch, Wall: bootOrigin + c.simulation.now.Milliseconds()}
}

// after has something be done later.
func (w *simulation) after(wait time.Duration, do func()) {
	w.scheduleAfter(wait, callbackDue{do})
}

// isCurrent tells whether the part's sidecar still lives the life that it began in.
func (m *member) isCurrent() bool { return !m.sidecar.down && m.sidecar.incarnation == m.incarnation }

func (m *member) tick() {
	if !m.isCurrent() {
		return
	}
	m.machine.Tick(m.sidecar.fleetNow())
	m.publishObservations()
	m.performActions()
	m.applySuspicions()
	m.sidecar.simulation.after(fleetTick, m.tick)
}

// Observe implements balance.Observer.
func (m *member) Observe(endpoint string, s balance.Observation) {
	note, due := m.recorder.Observe(m.sidecar.simulation.now+epoch, endpoint, failuredetector.Outcome(s))
	if due {
		m.machine.SendNote(m.sidecar.simulation.now+epoch, note)
	}
	if s == balance.ObservedSilence || s == balance.ObservedRefusal {
		m.publishObservations()
	}
	m.performActions()
}

// publishObservations has the fleet know what this sidecar has seen.
func (m *member) publishObservations() {
	now, w := m.sidecar.fleetNow(), m.sidecar.simulation
	entries := m.recorder.DueRows(now.Time, m.machine.Members.NumPresent())
	if lies := w.options.Fleet.FalseReports; lies != nil && lies(w.now, int(m.sidecar.index)) {
		entries = nil
		for i, n := range w.servers {
			if n.listed && w.now%(500*time.Millisecond) < fleetTick && i%max(w.options.Fleet.FalseEvery, 1) == 0 {
				entries = append(entries, failuredetector.Row{Server: n.ID, Evidence: replication.Evidence{Tries: 9, Silent: 9}})
			}
		}
	}
	for _, e := range entries {
		n := w.serverByID[e.Server]
		key, err := m.machine.Store.WriteRow(now, e.Server, m.bootTime(n), e.Evidence)
		if err == nil {
			m.machine.BroadcastUrgent(now, key)
		}
	}
}

// bootTime is the start of a node's process as this sidecar's list has it.
func (m *member) bootTime(n int32) int64 {
	if started := m.sidecar.endpoints[n].Started; started > 0 {
		return bootOrigin + (started - epoch).Milliseconds()
	}
	return 0
}

// applySuspicions has the decider know what the fleet says.
func (m *member) applySuspicions() {
	h, ok := m.sidecar.policy.(sharingPolicy)
	if !ok {
		return
	}
	w, now := m.sidecar.simulation, m.sidecar.fleetNow()
	doubts := m.machine.Suspicions(now, len(m.sidecar.endpoints))
	var words []balance.PeerReport
	said := map[string]bool{}
	for _, d := range doubts {
		n, known := w.serverByID[d.Server]
		if known && d.Boot == m.bootTime(n) {
			words = append(words, balance.PeerReport{ID: d.Server, WrittenAt: d.Newest})
			said[d.Server] = true
		}
	}
	h.SetSuspected(words)
	since := map[string]time.Duration{}
	for _, word := range words {
		since[word.ID] = word.WrittenAt
	}
	m.recorder.SetSuspected(now.Time, since)
	m.suspected = said
	m.sidecar.detectLosses()
}

// performActions carries out what the machine asks for.
func (m *member) performActions() {
	w := m.sidecar.simulation
	out := m.machine.TakeActions()
	for _, d := range out.Send {
		w.options.Fleet.Sent.Messages++
		w.options.Fleet.Sent.Bytes += uint64(len(d.Payload))
		if to := w.memberAt(d.To); to != nil && m.isDelivered(to) {
			w.after(m.drawDelay(to), func() {
				if to.isCurrent() {
					_ = to.machine.Receive(to.sidecar.fleetNow(), sidecarAddress(m.sidecar.index), d.Payload) // what it thinks of it is in its figures
					to.performActions()
				}
			})
		}
	}
	for _, from := range out.Fetch {
		m.fetchSnapshot(from)
	}
	if len(out.ReportServers) > 0 {
		for _, server := range out.ReportServers {
			m.recorder.RequestReport(w.now+epoch, server)
		}
		m.publishObservations()
		m.performActions()
	}
	if slices.ContainsFunc(out.Updated, func(k replication.Key) bool { return k.Kind == replication.KindRow }) {
		m.applySuspicions()
	}
}

// memberAt is the part at an address, nil where none lives.
func (w *simulation) memberAt(address string) *member {
	i, err := strconv.Atoi(strings.TrimPrefix(address, "a"))
	if err != nil || i < 0 || i >= len(w.sidecars) || w.sidecars[i].down {
		return nil
	}
	return w.sidecars[i].member
}

// isDelivered tells whether a message gets from one part to another.
func (m *member) isDelivered(to *member) bool {
	w, f := m.sidecar.simulation, m.sidecar.simulation.options.Fleet
	cut := m.sidecar.zone != to.sidecar.zone && (w.zoneCut[m.sidecar.zone] || w.zoneCut[to.sidecar.zone])
	if f.LinkCut != nil {
		cut = f.LinkCut(w.now, int(m.sidecar.index), int(to.sidecar.index))
	}
	return !cut && m.random.Float64() >= f.DropShare
}

// drawDelay draws the time of a message.
func (m *member) drawDelay(to *member) time.Duration {
	net := m.sidecar.simulation.plan.Scenario.Network
	base := net.Same
	if m.sidecar.zone != to.sidecar.zone {
		base = net.Cross
	}
	return time.Duration(float64(base) * (1 + net.Jitter*(2*m.random.Float64()-1)))
}

// fetchSnapshot gets a snapshot from an address.
func (m *member) fetchSnapshot(from string) {
	w, done := m.sidecar.simulation, false
	finish := func(text []byte, failed error) {
		if !done && m.isCurrent() {
			done = true
			_ = m.machine.ReceiveSnapshot(m.sidecar.fleetNow(), from, text, failed) // as above
			m.performActions()
		}
	}
	w.after(snapshotTimeout, func() { finish(nil, errors.New("no answer")) })
	to := w.memberAt(from)
	if to == nil || !m.isDelivered(to) {
		return
	}
	w.after(m.drawDelay(to), func() {
		if !to.isCurrent() {
			return
		}
		if text, err := to.machine.EncodeSnapshot(to.sidecar.fleetNow()); err == nil && to.isDelivered(m) {
			w.after(m.drawDelay(to), func() { finish(text, nil) })
		}
	})
}

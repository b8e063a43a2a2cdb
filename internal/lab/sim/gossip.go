package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/fleet/failuredetector"
	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// Fleet has the sidecars of a run share their observations of servers by gossip. The messages go over the simulated
// network, where a zone that is cut off loses them too.
type Fleet struct {
	// DropShare is the share of messages that are lost.
	DropShare float64

	// LinkCut reports whether nothing passes between two sidecars. If it is nil, zones that are cut off decide.
	LinkCut func(at time.Duration, a, b int) bool

	// FalseReports reports whether a sidecar reports that servers fail, whatever it observes. If it is nil, none does.
	FalseReports func(at time.Duration, sidecar int) bool

	// FalseEvery limits false reports to one server in so many. For 0 they concern all.
	FalseEvery int

	// Sent counts the messages of all sidecars.
	Sent struct{ Messages, Bytes uint64 }
}

const (
	gossipInterval  = 50 * time.Millisecond // between two ticks of a member
	seedPeers       = 5                     // sidecars that each knows from the start
	wallClockAtZero = 1_700_000_000_000     // Unix milliseconds at the start of a run

	falseReportInterval = 500 * time.Millisecond // between two false reports of a sidecar
	falseReportAttempts = 9                      // that a false report claims
)

// sharingPolicy is a policy that hands out its observations and takes in which servers the fleet suspects.
type sharingPolicy interface {
	SetObserver(o balance.Observer)
	SetSuspected(reports []balance.PeerReport)
}

// member is the part of a sidecar's process in the fleet.
type member struct {
	sidecar     *sidecar
	incarnation int32 // of the sidecar
	machine     *gossip.Machine
	recorder    *failuredetector.Recorder
	random      *rand.Rand
	suspected   map[string]bool // servers, by the policy's latest update
}

// joinFleet makes the member of a process that has just started, if there is a fleet.
func (sc *sidecar) joinFleet() {
	s := sc.simulation
	if s.options.Fleet == nil {
		return
	}
	random := rand.New(rand.NewPCG(s.plan.Seed, uint64(sc.index)<<32|uint64(sc.incarnation)))
	m := &member{
		sidecar:     sc,
		incarnation: sc.incarnation,
		recorder:    failuredetector.New(random.Uint64()),
		random:      random,
		suspected:   map[string]bool{},
	}
	now := m.now()
	m.machine = gossip.New(now, gossip.Settings{
		Label: "lab",
		Membership: membership.Settings{
			Name:              fmt.Sprintf("n%d", sc.index),
			Address:           memberAddress(sc.index),
			Peers:             s.seedAddresses(),
			Seed:              random.Uint64(),
			IncarnationNonce:  random.Uint64() | 1, // 0 is not valid
			IncarnationNumber: uint64(now.Wall),
		},
	}, nil)
	sc.member = m
	if policy, ok := sc.policy.(sharingPolicy); ok {
		policy.SetObserver(m)
	}
	firstTick := time.Duration(random.Int64N(int64(gossipInterval)))
	s.scheduleAfter(firstTick, gossipTicked{m})
}

// seedAddresses returns the addresses that each member knows from the start.
func (s *simulation) seedAddresses() []string {
	var addresses []string
	for i := range min(seedPeers, s.plan.Scenario.Fleet.Sidecars) {
		addresses = append(addresses, memberAddress(int32(i)))
	}
	return addresses
}

// now is the present time on the fleet's clocks.
func (m *member) now() replication.Now {
	s := m.sidecar.simulation
	return replication.Now{Time: s.policyNow(), Wall: wallClockAtZero + s.now.Milliseconds()}
}

// isCurrent reports whether the process that the member belongs to still runs.
func (m *member) isCurrent() bool { return !m.sidecar.down && m.sidecar.incarnation == m.incarnation }

// gossipTicked is the time of a member's next tick.
type gossipTicked struct{ member *member }

func (e gossipTicked) handle(s *simulation) {
	m := e.member
	if !m.isCurrent() {
		return
	}
	m.machine.Tick(m.now())
	m.publishObservations()
	m.performActions()
	m.updatePolicy()
	s.scheduleAfter(gossipInterval, gossipTicked{m})
}

// Observe implements balance.Observer.
func (m *member) Observe(endpoint string, observation balance.Observation) {
	now := m.now().Time
	note, due := m.recorder.Observe(now, endpoint, failuredetector.Outcome(observation))
	if due {
		m.machine.SendNote(now, note)
	}
	if observation == balance.ObservedNoResponse || observation == balance.ObservedConnectFailure {
		m.publishObservations()
	}
	m.performActions()
}

// publishObservations writes what the sidecar has observed to the store that members replicate.
func (m *member) publishObservations() {
	s, now := m.sidecar.simulation, m.now()
	rows := m.recorder.DueRows(now.Time, m.machine.Members.NumPresent())
	if reportsFalsely := s.options.Fleet.FalseReports; reportsFalsely != nil &&
		reportsFalsely(s.now, int(m.sidecar.index)) {
		rows = s.falseRows()
	}
	for _, row := range rows {
		boot := m.bootTime(s.serverByID[row.Server])
		key, err := m.machine.Store.WriteRow(now, row.Server, boot, row.Evidence)
		if err == nil {
			m.machine.BroadcastUrgent(now, key)
		}
	}
}

// falseRows returns reports of failing servers for a sidecar that reports falsely, at the intervals for them.
func (s *simulation) falseRows() []failuredetector.Row {
	if s.now%falseReportInterval >= gossipInterval {
		return nil
	}
	every := max(s.options.Fleet.FalseEvery, 1)
	evidence := replication.Evidence{Attempts: falseReportAttempts, Unanswered: falseReportAttempts}
	var rows []failuredetector.Row
	for i, srv := range s.servers {
		if srv.listed && i%every == 0 {
			rows = append(rows, failuredetector.Row{Server: srv.ID, Evidence: evidence})
		}
	}
	return rows
}

// bootTime returns the start of a server's process by the sidecar's endpoint list, in Unix milliseconds, or 0.
func (m *member) bootTime(srv *server) int64 {
	started := m.sidecar.endpoints[srv].Started
	if started <= 0 {
		return 0
	}
	return wallClockAtZero + (started - epoch).Milliseconds()
}

// updatePolicy hands the servers that the fleet suspects to the policy and the recorder.
func (m *member) updatePolicy() {
	policy, ok := m.sidecar.policy.(sharingPolicy)
	if !ok {
		return
	}
	now := m.now()
	var reports []balance.PeerReport
	suspected := map[string]bool{}
	suspectedSince := map[string]replication.Time{}
	for _, suspicion := range m.machine.Suspicions(now, len(m.sidecar.endpoints)) {
		srv, known := m.sidecar.simulation.serverByID[suspicion.Server]
		if !known || suspicion.Boot != m.bootTime(srv) { // it concerns an earlier process
			continue
		}
		reports = append(reports, balance.PeerReport{ID: srv.ID, WrittenAt: suspicion.LastBad})
		suspected[srv.ID] = true
		suspectedSince[srv.ID] = suspicion.LastBad
	}
	policy.SetSuspected(reports)
	m.recorder.SetSuspected(now.Time, suspectedSince)
	m.suspected = suspected
	m.sidecar.detectLosses()
}

// performActions carries out what the gossip machine asks for.
func (m *member) performActions() {
	actions := m.machine.TakeActions()
	for _, datagram := range actions.Send {
		m.send(datagram)
	}
	for _, address := range actions.Fetch {
		m.fetchSnapshot(address)
	}
	if len(actions.ReportServers) > 0 {
		for _, srv := range actions.ReportServers {
			m.recorder.RequestReport(m.now().Time, srv)
		}
		m.publishObservations()
		m.performActions()
	}
	if slices.ContainsFunc(actions.Updated, isRow) {
		m.updatePolicy()
	}
}

func isRow(key replication.Key) bool { return key.Kind == replication.KindRow }

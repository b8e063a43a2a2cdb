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

// Fleet configures the sidecars of a run to share their observations of servers by gossip. Messages use the simulated
// network, which also drops them between a zone that is cut off and the others.
type Fleet struct {
	// DropShare is the fraction of messages that are lost, from 0 to 1.
	DropShare float64

	// LinkCut reports whether the link between two sidecars is cut. If it is nil, a link is cut if
	// the network between the two zones is.
	LinkCut func(at time.Duration, a, b int) bool

	// FalseReports reports whether a sidecar reports server failures regardless of its observations. If it is nil, no
	// sidecar does.
	FalseReports func(at time.Duration, sidecar int) bool

	// FalseEvery limits false reports to one in FalseEvery servers. If it is 0, they cover all servers.
	FalseEvery int

	// Sent counts the messages sent by all sidecars and their bytes.
	Sent struct{ Messages, Bytes uint64 }
}

const (
	gossipInterval  = 50 * time.Millisecond // time between two ticks of a member
	seedPeers       = 5                     // number of sidecars configured as initial peers of each sidecar
	wallClockAtZero = 1_700_000_000_000     // Unix milliseconds at the start of a run

	falseReportInterval = 500 * time.Millisecond // time between two false reports of a sidecar
	falseReportAttempts = 9                      // number of unanswered attempts in a false report
)

// sharingPolicy is a policy that publishes its observations and accepts the set of servers suspected by the fleet.
type sharingPolicy interface {
	SetObserver(o balance.Observer)
	SetSuspected(reports []balance.PeerReport)
}

// member is a sidecar process as a participant in the fleet.
type member struct {
	sidecar     *sidecar
	incarnation int32 // the sidecar's incarnation
	machine     *gossip.Machine
	recorder    *failuredetector.Recorder
	random      *rand.Rand
	suspected   map[string]bool // servers suspected as of the latest policy update
}

// joinFleet creates the member of a sidecar process that has just started, if the run has a fleet.
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

// seedAddresses returns the addresses of the initial peers of each member.
func (s *simulation) seedAddresses() []string {
	var addresses []string
	for i := range min(seedPeers, s.plan.Scenario.Fleet.Sidecars) {
		addresses = append(addresses, memberAddress(int32(i)))
	}
	return addresses
}

// now returns the current time on the fleet's clocks.
func (m *member) now() replication.Now {
	s := m.sidecar.simulation
	return replication.Now{Time: s.policyNow(), Wall: wallClockAtZero + s.now.Milliseconds()}
}

// isCurrent reports whether the sidecar process that the member belongs to is still running.
func (m *member) isCurrent() bool { return !m.sidecar.down && m.sidecar.incarnation == m.incarnation }

// gossipTicked is the event that a member's next tick is due.
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

// publishObservations writes the sidecar's observations to the replicated store.
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

// falseRows returns the rows of a sidecar that reports server failures falsely. It returns none except once per
// falseReportInterval.
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

// bootTime returns the start time of a server's process from the sidecar's endpoint list, in Unix milliseconds, or 0 if
// it is unknown.
func (m *member) bootTime(srv *server) int64 {
	started := m.sidecar.endpoints[srv].Started
	if started <= 0 {
		return 0
	}
	return wallClockAtZero + (started - epoch).Milliseconds()
}

// updatePolicy passes the servers suspected by the fleet to the policy and the recorder.
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
		if !known || suspicion.Boot != m.bootTime(srv) { // the suspicion refers to an earlier process
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

// performActions carries out the actions requested by the gossip state machine.
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

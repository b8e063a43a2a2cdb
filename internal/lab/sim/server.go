package sim

import (
	"math/rand/v2"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/node"
	"milletramp.example/milletramp/internal/lab/plan"
	"milletramp.example/milletramp/internal/lab/record"
)

type server struct {
	*node.Server
	plan.Machine
	down                bool
	vanished            bool
	incarnation         int32 // counts its processes
	connections         int
	wakeAt              time.Duration // when evNode is due; -1: not
	listedState         balance.State // as discovery has it
	startedAt           time.Duration
	listed              bool
	earlierWork         float64 // by its former processes
	brokenRequestShare  float64 // share of requests behind which its links break
	brokenResponseShare float64 // share of answers in which they break
}

// startProcess gives a machine a new process.
func (w *simulation) startProcess(m *server, started time.Duration) {
	s := w.plan.Scenario.Fleet
	spec := m.Spec
	spec.Started = started
	m.startedAt = started
	pod := w.pods[m.Cell]
	if pod == nil {
		pod = node.NewPod(w.plan.Window())
		w.pods[m.Cell] = pod
	}
	old := m.Server
	m.Server = node.NewServer(node.New(spec, w.now), pod, s.KeyGain, s.KeyFor.Std(), s.KeysPerCore*spec.Cores,
		rand.New(rand.NewPCG(w.plan.Seed, uint64(len(w.servers))<<20+uint64(m.incarnation))))
	if old != nil { // what is wrong with a machine outlives its process
		m.Server.Faults = old.Faults
		m.earlierWork += old.Done()
	}
	m.incarnation++
	m.connections = 0
}

func (w *simulation) endpoint(n int32) balance.Endpoint {
	m := w.servers[n]
	e := balance.Endpoint{ID: m.ID, Zone: w.plan.Scenario.Fleet.Zones[m.Zone], Kind: m.Kind, PodGroup: m.Cell, State: m.listedState,
		Weight: m.Size}
	if m.startedAt > 0 {
		e.Started = m.startedAt + epoch
	}
	return e
}

// attemptArrived is the arrival of an attempt's last byte at its server.
type attemptArrived struct{ attempt *attempt }

func (e attemptArrived) happen(s *simulation) { s.arriveAtServer(e.attempt) }

// arriveAtServer is the arrival of an attempt's last byte at its node.
func (w *simulation) arriveAtServer(a *attempt) {
	c := a.request.sidecar
	m := w.servers[a.server]
	if a.serverIncarnation != m.incarnation || m.down { // its process has ended meanwhile
		if !a.ended && !w.isCutOff(c, a.server) {
			s := record.Broken
			if a.newConnection {
				s = record.NotReached
			}
			w.scheduleAfter(w.drawDelay(c, a.server), attemptEnded{attempt: a, status: s})
		}
		return
	}
	if w.isCutOff(c, a.server) {
		c.noteLoss(a.server, a.request.workload.Class)
	}
	if w.isCutOff(c, a.server) || a.ended && a.endedAt <= a.firstByteAt && a.newConnection { // given up before the connection was there
		return
	}
	w.record(record.Event{At: a.firstByteAt, Kind: record.Sent, Request: a.request.id, Attempt: a.number, Sidecar: c.index, Node: a.server})
	a.Work = a.request.workload.Work
	extra := 0.0
	if a.newConnection {
		extra = w.plan.Scenario.Fleet.HandshakeWork.Std().Seconds()
	}
	w.record(record.Event{Kind: record.Arrived, Request: a.request.id, Attempt: a.number, Sidecar: c.index, Node: a.server, Work: a.Work,
		Effect: a.request.id})
	if a.ended { // called off on the way
		return
	}
	effect := uint64(0)
	if w.plan.Scenario.Classes[a.request.workload.Class].Effect == "deduplicated" {
		effect = a.request.id
	}
	a.Owner = a
	switch m.Arrive(w.now, &a.Job, a.request.workload.Class, a.request.workload.Key, effect, extra) {
	case node.TurnedAway:
		w.record(record.Event{Kind: record.Replied, Request: a.request.id, Attempt: a.number, Node: a.server, Status: record.Rejected})
		w.scheduleAfter(w.drawDelay(c, a.server), attemptEnded{attempt: a, status: record.Rejected})
	case node.Swallowed:
		c.noteLoss(a.server, a.request.workload.Class)
	case node.Known:
		a.atServer, a.known = true, true
		w.record(record.Event{Kind: record.Deduplicated, Request: a.request.id, Attempt: a.number, Node: a.server})
	default:
		a.atServer = true
		w.record(record.Event{Kind: record.Ran, Request: a.request.id, Attempt: a.number, Sidecar: c.index, Node: a.server})
	}
	if m.brokenRequestShare > 0 && w.random.Float64() < m.brokenRequestShare {
		w.scheduleAfter(w.drawDelay(c, a.server), attemptEnded{attempt: a, status: record.Broken})
		w.cancelAtServer(a)
		return
	}
	w.advanceServer(a.server)
}

// serverDue is a time at which a server has something to do.
type serverDue struct{ server int32 }

func (e serverDue) happen(s *simulation) {
	s.servers[e.server].wakeAt = -1
	s.advanceServer(e.server)
}

// advanceServer has a node do what is due and asks for its next time.
func (w *simulation) advanceServer(n int32) {
	m := w.servers[n]
	for _, j := range m.Step(w.now) {
		a := j.Owner.(*attempt)
		a.atServer = false
		w.tokens++
		s, ending := record.Served, m.Ending()
		if ending != node.Answered {
			s = record.Failed
		}
		w.record(record.Event{Kind: record.Replied, Request: a.request.id, Attempt: a.number, Node: n, Status: s, Token: w.tokens,
			Work: j.Work})
		if m.brokenResponseShare > 0 && w.random.Float64() < m.brokenResponseShare {
			s = record.Broken
		}
		if !w.isCutOff(a.request.sidecar, n) {
			w.scheduleAfter(w.drawDelay(a.request.sidecar, n), attemptEnded{attempt: a, status: s, token: w.tokens})
		}
	}
	if next := m.Next(); next >= 0 && (m.wakeAt < 0 || next < m.wakeAt) {
		m.wakeAt = max(next, w.now+1)
		w.scheduleAt(m.wakeAt, serverDue{n})
	}
}

// cancelArrived is a server's notice that a response is no longer wanted.
type cancelArrived struct{ attempt *attempt }

func (e cancelArrived) happen(s *simulation) { s.cancelAtServer(e.attempt) }

// cancelAtServer is a node that learns that its answer is not wanted any more.
func (w *simulation) cancelAtServer(a *attempt) {
	m := w.servers[a.server]
	if !a.atServer || a.serverIncarnation != m.incarnation || !w.plan.Scenario.Fleet.StopsWork || w.isCutOff(a.request.sidecar, a.server) {
		return
	}
	a.atServer = false
	m.Cancel(w.now, &a.Job)
	w.advanceServer(a.server)
}

// stopProcess ends a node's process: its connections break.
func (w *simulation) stopProcess(n int32) {
	m := w.servers[n]
	if m.down {
		return
	}
	for _, j := range m.Drop(w.now) {
		a := j.Owner.(*attempt)
		a.atServer = false
		if !w.isCutOff(a.request.sidecar, n) {
			w.scheduleAfter(w.drawDelay(a.request.sidecar, n), attemptEnded{attempt: a, status: record.Broken})
		}
	}
	m.down = true
	m.connections = 0
}

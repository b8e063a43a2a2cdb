package sim

import (
	"math/rand/v2"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/runplan"
	"milletramp.example/milletramp/internal/lab/servermodel"
)

// noWakeScheduled is the wakeAt of a server without a scheduled serverDue event.
const noWakeScheduled time.Duration = -1

// deduplicated is the scenario's effect value for classes whose repeated requests are recognized by a pod group.
const deduplicated = "deduplicated"

// server is a machine of the plan together with its current process.
type server struct {
	*servermodel.Server // the current process, or the last one
	runplan.Machine
	simulation          *simulation
	index               int32
	incarnation         int32         // number of processes started so far
	startedAt           time.Duration // start time of the process; 0: long before the run
	down                bool          // whether no process is running
	vanished            bool          // whether the network drops all traffic to and from the machine
	listed              bool          // whether discovery has ever listed the server
	listedState         balance.State // state in discovery's endpoint list
	connections         int           // open connections from all sidecars
	wakeAt              time.Duration // time of the next serverDue event, or noWakeScheduled
	earlierWork         float64       // work done by earlier processes, in seconds on a standard core
	brokenRequestShare  float64       // share of requests after which the connection breaks
	brokenResponseShare float64       // share of responses during which the connection breaks
}

// addServer adds a machine. Its process runs from the start of the run unless the plan starts it later.
func (s *simulation) addServer(machine runplan.Machine) {
	fromStart := machine.StartsAt == 0
	srv := &server{
		Machine:     machine,
		simulation:  s,
		index:       int32(len(s.servers)),
		down:        !fromStart,
		listed:      fromStart,
		listedState: balance.Ready,
		wakeAt:      noWakeScheduled,
	}
	s.servers = append(s.servers, srv)
	s.serverByID[machine.ID] = srv
	srv.newProcess(0)
	if fromStart {
		srv.recordStart()
	}
}

// newProcess replaces the server's process with a new, idle one. The machine's faults are retained.
func (srv *server) newProcess(startedAt time.Duration) {
	s := srv.simulation
	fleet := &s.plan.Scenario.Fleet
	srv.startedAt = startedAt
	spec := srv.Spec
	spec.StartedAt = startedAt
	stream := uint64(len(s.servers))<<20 + uint64(srv.incarnation)
	random := rand.New(rand.NewPCG(s.plan.Seed, stream))
	previous := srv.Server
	processor := servermodel.NewProcessor(spec, s.now)
	keys := servermodel.KeySettings{
		Saving:   fleet.CacheSaving,
		Lifetime: fleet.CacheTTL.Std(),
		Max:      fleet.CacheKeysPerCore * spec.Cores,
	}
	srv.Server = servermodel.NewServer(processor, s.pod(srv.PodGroup), keys, random)
	if previous != nil {
		srv.Faults = previous.Faults
		srv.earlierWork += previous.CompletedWork()
	}
	srv.incarnation++
	srv.connections = 0
}

// pod returns the state shared by the servers of a pod group.
func (s *simulation) pod(group int) *servermodel.Pod {
	pod := s.pods[group]
	if pod == nil {
		pod = servermodel.NewPod(s.plan.DedupeWindow())
		s.pods[group] = pod
	}
	return pod
}

func (srv *server) recordStart() {
	capacity := float64(srv.Spec.Cores) * srv.Spec.Speed
	srv.simulation.record(record.Event{Kind: record.NodeStarted, Node: srv.index, Capacity: capacity,
		Boot: srv.startedAt})
}

// startProcess starts a new process and adds it to discovery's endpoint list.
func (srv *server) startProcess() {
	srv.newProcess(max(srv.simulation.now, 1)) // 0 would mean long before the run
	srv.down, srv.listed = false, true
	srv.recordStart()
	srv.simulation.notifyAll(srv, balance.Ready)
}

// stopProcess stops the server's process and breaks its connections.
func (srv *server) stopProcess() {
	if srv.down {
		return
	}
	s := srv.simulation
	for _, job := range srv.Abort(s.now) {
		a := job.Owner.(*attempt)
		a.atServer = false
		if !a.isCutOff() {
			a.endAfter(a.drawDelay(), record.Broken)
		}
	}
	srv.down = true
	srv.connections = 0
}

// receive handles an attempt whose last byte has arrived.
func (srv *server) receive(a *attempt) {
	s := srv.simulation
	a.Owner = a
	switch srv.offer(a) {
	case servermodel.Rejected:
		s.record(record.Event{Kind: record.Replied, Request: a.request.id, Attempt: a.number, Node: srv.index,
			Status: record.Rejected})
		a.endAfter(a.drawDelay(), record.Rejected)
	case servermodel.Lost:
		a.noteLoss()
	case servermodel.Deduplicated:
		a.atServer = true
		s.record(record.Event{Kind: record.Deduplicated, Request: a.request.id, Attempt: a.number, Node: srv.index})
	default:
		a.atServer = true
		s.record(record.Event{Kind: record.Ran, Request: a.request.id, Attempt: a.number,
			Sidecar: a.request.sidecar.index, Node: srv.index})
	}
	if srv.brokenRequestShare > 0 && s.network.random.Float64() < srv.brokenRequestShare {
		a.endAfter(a.drawDelay(), record.Broken)
		srv.cancel(a)
		return
	}
	srv.completeDueJobs()
}

// offer submits an attempt's job to the server model.
func (srv *server) offer(a *attempt) servermodel.Admission {
	scenario := srv.simulation.plan.Scenario
	requested := &a.request.workload
	arrival := servermodel.Arrival{Class: requested.Class, Key: requested.Key}
	if a.newConnection {
		arrival.HandshakeWork = scenario.Fleet.HandshakeWork.Std().Seconds()
	}
	if scenario.Classes[requested.Class].Effect == deduplicated {
		arrival.Effect = a.request.id
	}
	return srv.Arrive(srv.simulation.now, &a.Job, arrival)
}

// serverDue is the event that a server may have jobs to complete.
type serverDue struct{ server *server }

func (e serverDue) handle(*simulation) {
	e.server.wakeAt = noWakeScheduled
	e.server.completeDueJobs()
}

// completeDueJobs replies to the attempts whose jobs are done and schedules the next serverDue event.
func (srv *server) completeDueJobs() {
	s := srv.simulation
	for _, job := range srv.Advance(s.now) {
		srv.reply(job.Owner.(*attempt))
	}
	next := srv.NextEvent()
	if next >= 0 && (srv.wakeAt == noWakeScheduled || next < srv.wakeAt) {
		srv.wakeAt = max(next, s.now+1)
		s.scheduleAt(srv.wakeAt, serverDue{srv})
	}
}

// reply sends the response to an attempt whose job is complete.
func (srv *server) reply(a *attempt) {
	s := srv.simulation
	a.atServer = false
	s.lastToken++
	token := s.lastToken
	status := record.Served
	if srv.DrawOutcome() != servermodel.Succeeded {
		status = record.Failed
	}
	s.record(record.Event{Kind: record.Replied, Request: a.request.id, Attempt: a.number, Node: srv.index,
		Status: status, Token: token, Work: a.Work})
	if srv.brokenResponseShare > 0 && s.network.random.Float64() < srv.brokenResponseShare {
		status = record.Broken
	}
	if !a.isCutOff() {
		s.scheduleAfter(a.drawDelay(), attemptEnded{a, status, token})
	}
}

// cancelArrived is the event that the cancellation of an attempt arrives at its server.
type cancelArrived struct{ attempt *attempt }

func (e cancelArrived) handle(*simulation) { e.attempt.server.cancel(e.attempt) }

// cancel drops an attempt's job if the scenario's servers stop cancelled work.
func (srv *server) cancel(a *attempt) {
	s := srv.simulation
	stops := s.plan.Scenario.Fleet.StopsCancelled
	if !a.atServer || a.serverIncarnation != srv.incarnation || !stops || a.isCutOff() {
		return
	}
	a.atServer = false
	srv.Cancel(s.now, &a.Job)
	srv.completeDueJobs()
}

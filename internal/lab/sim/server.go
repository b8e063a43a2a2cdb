package sim

import (
	"math/rand/v2"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/runplan"
	"milletramp.example/milletramp/internal/lab/servermodel"
)

// noWakeScheduled is the wakeAt of a server that has nothing to do.
const noWakeScheduled time.Duration = -1

// deduplicated is the effect of classes whose repeats a pod recognizes, in a scenario's words.
const deduplicated = "deduplicated"

// server is a machine of the plan with the process that runs on it.
type server struct {
	*servermodel.Server // of the process that runs, or ran last
	runplan.Machine
	simulation          *simulation
	index               int32
	incarnation         int32         // counts its processes
	startedAt           time.Duration // of its process; 0: long ago
	down                bool          // no process runs
	vanished            bool          // nothing passes to or from its machine
	listed              bool          // discovery has had it on its list
	listedState         balance.State // as discovery has it
	connections         int           // open ones, of all sidecars
	wakeAt              time.Duration // when its next serverDue happens, or noWakeScheduled
	earlierWork         float64       // of its earlier processes, in seconds on a standard core
	brokenRequestShare  float64       // of requests after which the connection breaks
	brokenResponseShare float64       // of responses in which it breaks
}

// addServer adds a machine. Its process runs from the start unless it is born later.
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

// newProcess replaces the server's process by an empty one. The machine's faults stay.
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

// pod returns what the servers of a pod group share.
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

// startProcess starts a new process and has discovery list it.
func (srv *server) startProcess() {
	srv.newProcess(max(srv.simulation.now, 1)) // 0 would be long ago
	srv.down, srv.listed = false, true
	srv.recordStart()
	srv.simulation.notifyAll(srv, balance.Ready)
}

// stopProcess ends the server's process. Its connections break.
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

// receive takes in an attempt whose last byte has arrived.
func (srv *server) receive(a *attempt) {
	s := srv.simulation
	a.Owner = a
	switch srv.offer(a) {
	case servermodel.Rejected:
		s.record(record.Event{Kind: record.Replied, Request: a.request.id, Attempt: a.number, Node: srv.index,
			Status: record.Rejected})
		a.endAfter(a.drawDelay(), record.Rejected)
	case servermodel.Swallowed:
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

// offer hands an attempt's job to the model of the server.
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

// serverDue is a time at which a server may have jobs to complete.
type serverDue struct{ server *server }

func (e serverDue) handle(*simulation) {
	e.server.wakeAt = noWakeScheduled
	e.server.completeDueJobs()
}

// completeDueJobs responds to what is done by now and schedules when the server is due next.
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

// reply sends the response to an attempt whose job is done.
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

// cancelArrived is a server's notice that the response to an attempt is no longer wanted.
type cancelArrived struct{ attempt *attempt }

func (e cancelArrived) handle(*simulation) { e.attempt.server.cancel(e.attempt) }

// cancel lets go of an attempt's job, where the scenario's servers stop cancelled work.
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

// Package sim plays a plan in simulated time: a discrete-event world of clients, nodes, discovery and network around the
// real decision module, which it drives through its Actions. There are no sockets, no sleeping and no goroutines; the
// same plan gives the same events to the byte.
package sim

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/node"
	"milletramp.example/milletramp/internal/lab/plan"
	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/workload"
)

// Policy is what decides for one sidecar: the decision module, or a baseline policy.
type Policy interface {
	Request(now balance.Time, r balance.Request)
	Result(now balance.Time, r balance.Result)
	ClientGone(now balance.Time, id balance.RequestID)
	Endpoints(now balance.Time, kind balance.ListKind, list []balance.Endpoint)
	Timer(now balance.Time, token uint64)
}

// View is the true state of the world, for baseline policies that cheat.
type View interface {
	// ResponseTime is how long a request of some work would take at a node now, in seconds, infinite where it cannot be served.
	ResponseTime(sidecar int, endpoint string, class int, work float64) float64
}

// NewPolicyFunc makes the decider of a sidecar.
type NewPolicyFunc func(set balance.Settings, act balance.Actions, view View) (Policy, error)

// NewModule is the decision module itself.
func NewModule(set balance.Settings, act balance.Actions, _ View) (Policy, error) {
	return balance.New(set, act)
}

// Defects says how a sidecar's network part is broken, for mutants; the zero value is whole.
type Defects struct {
	LoseEvery      int           // one answer in so many is never given
	DuplicateEvery int           // one in so many is given twice
	InventEvery    int           // one refusal in so many is turned into an answer that no node made
	HoldBack       bool          // refusals and failures are given only just before the client's time is over
	Delay          time.Duration // refusals and failures come so much after the deadline
	ListDelay      time.Duration // the list is told to the module so much later than discovery told it
}

// Options are the parts of a run.
type Options struct {
	NewPolicy NewPolicyFunc // nil: Module
	Sink      record.Sink
	Defects   Defects
	Fleet     *Fleet                                           // nil: each sidecar is alone
	Progress  func(at time.Duration)                           // each simulated second; may be nil
	Log       func(at time.Duration, sidecar int, line string) // what the module says; may be nil
}

// Result is what a run tells of itself; everything else goes to the sink.
type Result struct {
	Events   uint64 // handled
	Requests uint64
}

const (
	epoch              = 24 * time.Hour         // of the module's clock, which takes times up to 0 for long ago
	deadlineMargin     = 5 * time.Millisecond   // kept free before the client's deadline, as the real sidecar does
	sidecarRestartTime = 300 * time.Millisecond // of a sidecar
)

type simulation struct {
	scheduler
	plan         *plan.Plan
	options      Options
	random       *rand.Rand // of the network
	result       Result
	openRequests int

	sidecars        []*sidecar
	servers         []*server
	serverByID      map[string]int32
	pods            map[int]*node.Pod
	zoneCut         []bool // by zone
	discoverySilent bool   // discovery
	requestCount    uint64
	tokens          uint64
	recorded        record.Event
	counts          struct{ refusals, answers int }
}

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

type sidecar struct {
	simulation       *simulation
	index            int32
	zone             int
	incarnation      int32
	down             bool
	policy           Policy
	source           *workload.Source
	nextRequest      workload.Request
	clientRandom     *rand.Rand
	requests         map[balance.RequestID]*request
	idle             [][]idleConnection // by node
	lastResponse     []time.Duration
	notifications    []notification // from discovery, not yet heard
	endpoints        map[int32]balance.Endpoint
	lastNotification time.Duration
	losses           []loss // at nodes that lose now
	member           *member
}

type idleConnection struct {
	since       time.Duration
	incarnation int32
}

type notification struct {
	at       time.Duration
	server   int32
	endpoint balance.Endpoint
}

type request struct {
	workload         workload.Request
	id               uint64
	firstID          uint64
	sidecar          *sidecar
	incarnation      int32
	deadline         time.Duration // the final answer is due
	completed        bool
	attemptsInFlight int
	attempts         []*attempt
}

type attempt struct {
	node.Job
	request           *request
	server            int32
	number            uint8
	ended             bool // for its sidecar
	newConnection     bool // on a new connection
	serverIncarnation int32
	startedAt         time.Duration
	firstByteAt       time.Duration // first byte
	endedAt           time.Duration // ended at
	known             bool
	atServer          bool
}

// Run plays a plan to its end, or until ctx is done.
func Run(ctx context.Context, p *plan.Plan, opt Options) (Result, error) {
	if opt.NewPolicy == nil {
		opt.NewPolicy = NewModule
	}
	if opt.Sink == nil {
		opt.Sink = record.Sinks{}
	}
	w := &simulation{plan: p, options: opt, random: rand.New(rand.NewPCG(p.Seed, 0x0e7)), serverByID: map[string]int32{}, pods: map[int]*node.Pod{},
		zoneCut: make([]bool, len(p.Scenario.Fleet.Zones))}
	if err := w.build(); err != nil {
		return w.result, err
	}
	most := p.Scenario.Length.Std()
	for _, c := range p.Scenario.Classes {
		most = max(most, p.Scenario.Length.Std()+c.Deadline.Std()+time.Second)
	}
	second := time.Duration(0)
	for {
		at, ok := w.nextTime()
		if !ok || at > most || at >= p.Scenario.Length.Std() && w.openRequests == 0 && at >= p.Last {
			break
		}
		next := w.advance()
		if w.now >= second {
			if ctx.Err() != nil {
				return w.result, fmt.Errorf("interrupted at %v of %v: %w", w.now, p.Scenario.Length.Std(), context.Cause(ctx))
			}
			if opt.Progress != nil {
				opt.Progress(w.now)
			}
			second += time.Second
		}
		w.result.Events++
		next.happen(w)
	}
	for i, m := range w.servers {
		w.record(record.Event{Kind: record.NodeWork, Node: int32(i), Work: m.earlierWork + m.Done()})
	}
	return w.result, nil
}

func (w *simulation) build() error {
	s := w.plan.Scenario
	for i, m := range w.plan.Machines {
		w.serverByID[m.ID] = int32(i)
		n := &server{Machine: m, wakeAt: -1, listedState: balance.Ready, down: m.Born > 0, listed: m.Born == 0}
		w.servers = append(w.servers, n)
		w.startProcess(n, 0)
		if m.Born == 0 {
			w.record(record.Event{Kind: record.NodeStarted, Node: int32(i), Capacity: float64(m.Spec.Cores) * m.Spec.Speed})
		}
	}
	keys := workload.NewZipf(s.Load.Keys, s.Load.Zipf)
	for i := range s.Fleet.Sidecars {
		c := &sidecar{simulation: w, index: int32(i), zone: i % len(s.Fleet.Zones), source: workload.NewSource(s, i, w.plan.Seed, keys),
			clientRandom: rand.New(rand.NewPCG(w.plan.Seed, uint64(i)+0xc11e47)), endpoints: map[int32]balance.Endpoint{}}
		w.sidecars = append(w.sidecars, c)
		for n, m := range w.servers {
			if m.listed {
				c.endpoints[int32(n)] = w.endpoint(int32(n))
			}
		}
		if err := c.start(); err != nil {
			return fmt.Errorf("sidecar %d: %w", i, err)
		}
		c.scheduleArrival()
	}
	for i := range w.plan.Acts {
		w.scheduleAt(w.plan.Acts[i].At, planActDue{&w.plan.Acts[i]})
	}
	return nil
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

func (w *simulation) record(e record.Event) {
	if e.At == 0 {
		e.At = w.now
	}
	w.recorded = e
	w.options.Sink.Record(&w.recorded)
}

// drawDelay draws the time between a sidecar and a node, one way.
func (w *simulation) drawDelay(c *sidecar, n int32) time.Duration {
	net := w.plan.Scenario.Network
	base := net.Same
	if c.zone != w.servers[n].Zone {
		base = net.Cross
	}
	return time.Duration(float64(base) * (1 + net.Jitter*(2*w.random.Float64()-1)))
}

// isCutOff tells whether nothing passes between a sidecar and a node.
func (w *simulation) isCutOff(c *sidecar, n int32) bool {
	m := w.servers[n]
	return m.vanished || c.zone != m.Zone && (w.zoneCut[c.zone] || w.zoneCut[m.Zone])
}

// The events of the simulation.
type (
	// clientArrived is the next arrival at a sidecar.
	clientArrived struct{ sidecar *sidecar }

	// retryDue is a client's retry.
	retryDue struct {
		sidecar  *sidecar
		workload workload.Request
		firstID  uint64
	}

	// deadlineExpired is the end of the time for a request's final response.
	deadlineExpired struct{ request *request }

	// clientLeft is a client that no longer waits for its response.
	clientLeft struct{ request *request }

	// timerFired is the end of a policy's timer.
	timerFired struct {
		sidecar     *sidecar
		incarnation int32
		token       uint64
	}

	// attemptArrived is the arrival of an attempt's last byte at its server.
	attemptArrived struct{ attempt *attempt }

	// attemptEnded is the end of an attempt for its sidecar.
	attemptEnded struct {
		attempt *attempt
		status  record.Status
		token   uint64 // names the response; 0 without one
	}

	// cancelArrived is a server's notice that a response is no longer wanted.
	cancelArrived struct{ attempt *attempt }

	// serverDue is a time at which a server has something to do.
	serverDue struct{ server int32 }

	// notificationArrived is a notification of discovery that reaches a sidecar.
	notificationArrived struct{ sidecar *sidecar }

	// notificationRecorded is the notification of a sidecar whose policy is notified later.
	notificationRecorded struct {
		sidecar *sidecar
		server  int32
		state   record.State
	}

	// planActDue is an act of the plan.
	planActDue struct{ act *plan.Act }

	// sidecarRestarted is the start of a crashed sidecar's next process.
	sidecarRestarted struct{ sidecar *sidecar }

	// delayedResponse is a final response that a seeded defect has delayed.
	delayedResponse struct {
		request *request
		status  record.Status
	}

	// callbackDue is a call that was scheduled.
	callbackDue struct{ call func() }
)

func (e clientArrived) happen(s *simulation) {
	s.receiveRequest(e.sidecar, e.sidecar.nextRequest, 0)
	e.sidecar.scheduleArrival()
}

func (e retryDue) happen(s *simulation) {
	s.receiveRequest(e.sidecar, e.workload, e.firstID)
	s.openRequests--
}

func (e deadlineExpired) happen(s *simulation) { s.expire(e.request) }

func (e clientLeft) happen(s *simulation) { s.abandon(e.request) }

func (e timerFired) happen(s *simulation) {
	if e.sidecar.down || e.sidecar.incarnation != e.incarnation {
		return
	}
	e.sidecar.policy.Timer(s.now+epoch, e.token)
	e.sidecar.detectLosses()
}

func (e attemptArrived) happen(s *simulation) { s.arriveAtServer(e.attempt) }

func (e attemptEnded) happen(s *simulation) { s.completeAttempt(e.attempt, e.status, e.token) }

func (e cancelArrived) happen(s *simulation) { s.cancelAtServer(e.attempt) }

func (e serverDue) happen(s *simulation) {
	s.servers[e.server].wakeAt = -1
	s.advanceServer(e.server)
}

func (e notificationArrived) happen(*simulation) { e.sidecar.receiveNotifications() }

func (e notificationRecorded) happen(s *simulation) {
	s.record(record.Event{Kind: record.Notified, Sidecar: e.sidecar.index, Node: e.server, State: e.state})
}

func (e planActDue) happen(s *simulation) { s.applyAct(e.act) }

func (e sidecarRestarted) happen(*simulation) {
	if err := e.sidecar.start(); err != nil {
		panic(fmt.Sprintf("sim: sidecar %d does not start again: %v", e.sidecar.index, err)) // its settings were good before
	}
}

func (e delayedResponse) happen(*simulation) { e.request.sidecar.respond(e.request, e.status, 0, 0) }

func (e callbackDue) happen(*simulation) { e.call() }

// scheduleArrival has the sidecar's next arrival come.
func (c *sidecar) scheduleArrival() {
	if a, ok := c.source.Next(); ok {
		c.nextRequest = a
		c.simulation.scheduleAt(a.At, clientArrived{c})
	}
}

// start begins a life of the sidecar, with the list as it last had it.
func (c *sidecar) start() error {
	w := c.simulation
	c.down = false
	c.incarnation++
	c.requests = map[balance.RequestID]*request{}
	c.idle, c.losses = make([][]idleConnection, len(w.servers)), nil
	c.lastResponse = make([]time.Duration, len(w.servers))
	set := w.plan.Settings(int(c.index))
	set.Seed += uint64(c.incarnation) << 32
	var err error
	if c.policy, err = w.options.NewPolicy(set, c, w); err != nil {
		return err
	}
	c.joinFleet()
	var list []balance.Endpoint
	for n := range w.servers {
		if e, ok := c.endpoints[int32(n)]; ok {
			list = append(list, e)
		}
	}
	c.policy.Endpoints(w.now+epoch, balance.ListRemembered, list)
	return nil
}

// receiveRequest is a client's try.
func (w *simulation) receiveRequest(c *sidecar, a workload.Request, first uint64) {
	w.requestCount++
	w.result.Requests++
	r := &request{workload: a, id: w.requestCount, firstID: first, sidecar: c, incarnation: c.incarnation}
	if first == 0 {
		r.firstID = r.id
	}
	r.deadline = w.now + a.Timeout - deadlineMargin
	w.record(record.Event{Kind: record.Requested, Request: r.id, FirstRequest: r.firstID, Sidecar: c.index,
		Class: uint8(a.Class), Tenant: int32(a.Tenant), Wait: a.Timeout, Work: a.Work, Effect: r.id})
	if c.down {
		w.record(record.Event{Kind: record.Answered, Request: r.id, Sidecar: c.index, Status: record.NotReached})
		r.completed = true
		w.retryLater(r, workload.Unreachable, 0)
		return
	}
	w.openRequests++
	c.requests[balance.RequestID(r.id)] = r
	w.scheduleAt(r.deadline, deadlineExpired{r})
	if a.LeavesAfter > 0 {
		w.scheduleAfter(a.LeavesAfter, clientLeft{r})
	}
	c.policy.Request(w.now+epoch, balance.Request{ID: balance.RequestID(r.id), Class: a.Class, Tenant: a.Tenant,
		Timeout: a.Timeout - deadlineMargin, Retry: a.RetriesMade > 0})
}

// retryLater has a client make its next try, where it does.
func (w *simulation) retryLater(r *request, how workload.Outcome, after time.Duration) {
	if next, ok := workload.Retry(w.plan.Scenario, r.workload, w.now, how, after, r.sidecar.clientRandom); ok {
		w.openRequests++ // a try that is to come keeps the day open
		w.scheduleAt(next.At, retryDue{r.sidecar, next, r.firstID})
	}
}

// expire ends what is out for a request, and answers for a decider that left it without.
func (w *simulation) expire(r *request) {
	if r.incarnation != r.sidecar.incarnation || r.sidecar.down {
		return
	}
	for _, a := range r.attempts {
		if !a.ended {
			w.cutShort(a, record.TimedOut)
		}
	}
	if !r.completed && w.options.Defects.Delay == 0 {
		r.sidecar.respond(r, record.Failed, 0, 0)
		r.sidecar.policy.ClientGone(w.now+epoch, balance.RequestID(r.id))
	}
	r.sidecar.releaseIfDone(r)
}

func (w *simulation) abandon(r *request) {
	if r.completed || r.incarnation != r.sidecar.incarnation || r.sidecar.down {
		return
	}
	r.completed = true
	w.openRequests--
	w.record(record.Event{Kind: record.ClientLeft, Request: r.id, Sidecar: r.sidecar.index})
	r.sidecar.policy.ClientGone(w.now+epoch, balance.RequestID(r.id))
	for _, a := range r.attempts {
		if !a.ended {
			r.sidecar.Cancel(balance.RequestID(r.id), int(a.number))
		}
	}
	r.sidecar.releaseIfDone(r)
	w.retryLater(r, workload.Failed, 0)
}

// respond gives a request its final answer. The first counts.
func (c *sidecar) respond(r *request, s record.Status, token uint64, after time.Duration) {
	w := c.simulation
	if r.completed {
		return
	}
	w.counts.answers++
	host := &w.options.Defects
	if host.LoseEvery > 0 && w.counts.answers%host.LoseEvery == 0 {
		r.completed = true
		w.openRequests--
		return
	}
	r.completed = true
	w.openRequests--
	w.record(record.Event{Kind: record.Answered, Request: r.id, Sidecar: c.index, Status: s, Token: token, RetryAfter: after})
	if host.DuplicateEvery > 0 && w.counts.answers%host.DuplicateEvery == 0 {
		w.record(record.Event{Kind: record.Answered, Request: r.id, Sidecar: c.index, Status: record.Failed})
	}
	switch s {
	case record.Rejected:
		w.retryLater(r, workload.Rejected, after)
	case record.Failed:
		w.retryLater(r, workload.Failed, 0)
	}
}

// reject is an answer that the decider words itself.
func (c *sidecar) reject(id balance.RequestID, s record.Status, after time.Duration) {
	r := c.requests[id]
	if r == nil || r.completed {
		return
	}
	host := &c.simulation.options.Defects
	c.simulation.counts.refusals++
	switch {
	case host.InventEvery > 0 && c.simulation.counts.refusals%host.InventEvery == 0:
		c.respond(r, record.Served, 1<<63, 0)
	case host.HoldBack:
		c.simulation.scheduleAt(max(c.simulation.now, r.deadline-deadlineMargin), delayedResponse{r, s})
		return
	case host.Delay > 0:
		c.simulation.scheduleAt(r.deadline+deadlineMargin+host.Delay, delayedResponse{r, s})
		return
	default:
		c.respond(r, s, 0, after)
	}
	c.releaseIfDone(r)
}

func (c *sidecar) releaseIfDone(r *request) {
	if r.completed && r.attemptsInFlight == 0 {
		delete(c.requests, balance.RequestID(r.id))
	}
}

// Send implements balance.Actions, as do the methods after it.
func (c *sidecar) Send(id balance.RequestID, endpoint string, within time.Duration) {
	w := c.simulation
	r := c.requests[id]
	if r == nil {
		return
	}
	a := &attempt{request: r, server: w.serverByID[endpoint], number: uint8(len(r.attempts)), startedAt: w.now, firstByteAt: -1}
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	m := w.servers[a.server]
	way := w.drawDelay(c, a.server)
	a.serverIncarnation = m.incarnation
	end := r.deadline
	if r.completed || w.now >= end {
		w.scheduleAfter(0, attemptEnded{attempt: a, status: record.Cancelled})
		return
	}
	if c.acquireIdle(a.server) {
		a.firstByteAt = w.now
		w.scheduleAfter(way, attemptArrived{a})
		return
	}
	a.newConnection = true
	up := time.Duration(w.plan.Scenario.Fleet.HandshakeRTTs * 2 * float64(way))
	switch connect := w.plan.Scenario.Network.Connect.Std(); {
	case within > 0 && up > within:
		w.scheduleAfter(within, attemptEnded{attempt: a, status: record.Cancelled})
	case w.isCutOff(c, a.server):
		c.noteLoss(a.server, r.workload.Class)
		w.scheduleAfter(connect, attemptEnded{attempt: a, status: record.NotReached})
	case m.down || m.connections >= w.plan.Scenario.Fleet.ConnCap:
		w.scheduleAfter(2*way, attemptEnded{attempt: a, status: record.NotReached})
	default:
		m.connections++
		a.firstByteAt = w.now + up
		w.scheduleAfter(up+way, attemptArrived{a})
	}
}

// acquireIdle takes the longest idle connection to a node that is still good, as the real pool does.
func (c *sidecar) acquireIdle(n int32) bool {
	m, rest := c.simulation.servers[n], c.simulation.plan.Scenario.Fleet.IdleClose.Std()/2
	idle := c.idle[n]
	for len(idle) > 0 {
		k := idle[0]
		idle = idle[1:]
		if k.incarnation == m.incarnation && !m.down || c.simulation.isCutOff(c, n) && k.incarnation == m.incarnation {
			if c.simulation.now-k.since < rest {
				c.idle[n] = idle
				return true
			}
			m.connections--
		}
	}
	c.idle[n] = idle
	return false
}

// closeIdle closes a node's idle connections.
func (c *sidecar) closeIdle(n int32) {
	m := c.simulation.servers[n]
	for _, k := range c.idle[n] {
		if k.incarnation == m.incarnation {
			m.connections--
		}
	}
	c.idle[n] = c.idle[n][:0]
}

// Cancel calls an attempt off.
func (c *sidecar) Cancel(id balance.RequestID, n int) {
	r := c.requests[id]
	if r == nil || n < 0 || n >= len(r.attempts) || r.attempts[n].ended {
		return
	}
	c.simulation.scheduleAfter(0, attemptEnded{attempt: r.attempts[n], status: record.Cancelled})
}

// Reject answers that a retry does no harm.
func (c *sidecar) Reject(id balance.RequestID, after time.Duration) {
	c.reject(id, record.Rejected, after)
}

// Fail answers without a promise.
func (c *sidecar) Fail(id balance.RequestID) { c.reject(id, record.Failed, 0) }

// Timer asks for a Timer event.
func (c *sidecar) Timer(after time.Duration, token uint64) {
	c.simulation.scheduleAfter(max(after, time.Microsecond), timerFired{c, c.incarnation, token})
}

// Subscribe does nothing: discovery pushes.
func (c *sidecar) Subscribe() {}

// Log passes a line on.
func (c *sidecar) Log(text string) {
	if c.simulation.options.Log != nil {
		c.simulation.options.Log(c.simulation.now, int(c.index), text)
	}
}

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

// cutShort ends an attempt from the sidecar's side.
func (w *simulation) cutShort(a *attempt, s record.Status) { w.completeAttempt(a, s, 0) }

// completeAttempt is the end of an attempt for its sidecar.
func (w *simulation) completeAttempt(a *attempt, s record.Status, token uint64) {
	c := a.request.sidecar
	if a.ended || a.request.incarnation != c.incarnation || c.down {
		return
	}
	a.ended, a.endedAt = true, w.now
	r := a.request
	r.attemptsInFlight--
	m := w.servers[a.server]
	alive := a.serverIncarnation == m.incarnation && !m.down
	outcome := balance.Served
	switch s {
	case record.Served:
		c.lastResponse[a.server] = w.now
		c.respond(r, record.Served, token, 0)
	case record.Rejected:
		outcome = balance.Saturated
		c.lastResponse[a.server] = w.now
	case record.Failed:
		outcome = balance.Errored
		c.lastResponse[a.server] = w.now
	case record.Broken:
		outcome = balance.Reset
		c.closeIdle(a.server)
	case record.NotReached:
		outcome = balance.ConnectFailed
		c.closeIdle(a.server)
	case record.Cancelled:
		outcome = balance.Cancelled
	case record.TimedOut:
		outcome = balance.TimedOut
		if c.lastResponse[a.server] < a.startedAt {
			c.closeIdle(a.server)
		}
	}
	switch {
	case s == record.Served || s == record.Rejected || s == record.Failed:
		if alive {
			c.idle[a.server] = append(c.idle[a.server], idleConnection{w.now, a.serverIncarnation})
		}
	case s == record.Broken:
		if alive {
			m.connections--
		}
	case s == record.Cancelled || s == record.TimedOut:
		if alive && a.firstByteAt >= 0 {
			m.connections--
		}
		w.scheduleAfter(w.drawDelay(c, a.server), cancelArrived{a})
	}
	if (s == record.Cancelled || s == record.TimedOut) && (a.firstByteAt < 0 || a.firstByteAt > w.now) {
		// Not a byte of it was written: the real sidecar tells these apart.
		if outcome = balance.ConnectFailed; s == record.Cancelled {
			outcome = balance.NotSent
		}
	}
	w.record(record.Event{Kind: record.AttemptEnded, Request: r.id, Attempt: a.number, Sidecar: c.index, Node: a.server, Status: s})
	c.policy.Result(w.now+epoch, balance.Result{ID: balance.RequestID(r.id), Attempt: int(a.number), Endpoint: m.ID,
		Outcome: outcome, Took: w.now - a.startedAt, Finished: r.completed})
	c.detectLosses()
	c.releaseIfDone(r)
}

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

// receiveNotifications takes in what discovery has told.
func (c *sidecar) receiveNotifications() {
	w := c.simulation
	if w.discoverySilent || c.down {
		return
	}
	var list []balance.Endpoint
	for len(c.notifications) > 0 && c.notifications[0].at <= w.now {
		t := c.notifications[0]
		c.notifications = c.notifications[1:]
		c.endpoints[t.server] = t.endpoint
		if t.endpoint.State == balance.Removed {
			delete(c.endpoints, t.server)
			c.closeIdle(t.server)
		}
		list = append(list, t.endpoint)
		if w.options.Defects.ListDelay == 0 {
			w.record(record.Event{Kind: record.Notified, Sidecar: c.index, Node: t.server, State: stateOf(t.endpoint.State)})
		}
	}
	if len(list) > 0 {
		c.policy.Endpoints(w.now+epoch, balance.ListChanges, list)
	}
}

func stateOf(s balance.State) record.State {
	return map[balance.State]record.State{balance.Ready: record.Serving, balance.Draining: record.Draining,
		balance.Removed: record.Gone}[s]
}

// notify has discovery tell all sidecars of a node.
func (w *simulation) notify(n int32, s balance.State) {
	w.servers[n].listedState = s
	notice := w.plan.Scenario.Notice
	for _, c := range w.sidecars {
		at := w.now + notice.From.Std() + time.Duration(w.random.Float64()*float64(notice.To-notice.From))
		c.lastNotification = max(c.lastNotification, at)
		c.notifications = append(c.notifications, notification{c.lastNotification, n, w.endpoint(n)})
		w.scheduleAt(c.lastNotification+w.options.Defects.ListDelay, notificationArrived{c})
		if w.options.Defects.ListDelay > 0 { // the sidecar is told now, whatever it does with it
			w.scheduleAt(c.lastNotification, notificationRecorded{c, n, stateOf(s)})
		}
	}
}

// applyAct does an act of the plan.
func (w *simulation) applyAct(a *plan.Act) {
	n := int32(a.Node)
	switch a.Op {
	case plan.CutZone:
		w.zoneCut[a.Node] = a.On
		return
	case plan.Silence:
		if w.discoverySilent = a.On; !a.On {
			for _, c := range w.sidecars {
				w.scheduleAfter(w.plan.Scenario.Notice.From.Std(), notificationArrived{c})
			}
		}
		return
	case plan.CutWatch, plan.BackWatch, plan.MoveWatch:
		// What the sidecar hears is the same: its network part sees to that, and the socket plane shows it.
		return
	case plan.RestartSidecar:
		w.crashSidecar(w.sidecars[n])
		return
	case plan.Over:
		w.record(record.Event{Kind: record.FaultOver})
		return
	}
	m := w.servers[n]
	switch a.Op {
	case plan.Start, plan.Restart:
		w.startProcess(m, max(w.now, 1))
		m.down, m.listed = false, true
		w.record(record.Event{Kind: record.NodeStarted, Node: n,
			Capacity: float64(m.Spec.Cores) * m.Spec.Speed, Boot: m.startedAt})
		w.notify(n, balance.Ready)
	case plan.Drain:
		w.notify(n, balance.Draining)
	case plan.Remove:
		w.stopProcess(n)
		w.notify(n, balance.Removed)
	case plan.Crash:
		w.stopProcess(n)
	case plan.Vanish:
		m.vanished = a.On
	case plan.Slow:
		m.Node.Slow(w.now, a.Value)
		w.advanceServer(n)
	case plan.Swallow:
		m.Faults.Swallow[a.Class] = a.On
	case plan.TurnAway:
		m.Faults.TurnAway[a.Class] = a.On
	case plan.Stray:
		m.Faults.Stray = a.Value
	case plan.Errors:
		m.Faults.Errors = a.Value
	case plan.Garble:
		m.Faults.Garble = a.Value
	case plan.CutRequests:
		m.brokenRequestShare = a.Value
	case plan.CutAnswers:
		m.brokenResponseShare = a.Value
	}
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

// crashSidecar ends a sidecar with all it holds, and starts it again.
func (w *simulation) crashSidecar(c *sidecar) {
	if c.down {
		return
	}
	c.down = true
	w.record(record.Event{Kind: record.SidecarDown, Sidecar: c.index})
	for n := range w.servers {
		c.closeIdle(int32(n))
	}
	held := c.requests
	c.requests = map[balance.RequestID]*request{}
	for _, id := range slices.Sorted(maps.Keys(held)) { // in order: maps have none
		r := held[id]
		for _, a := range r.attempts {
			if !a.ended {
				a.ended = true
				if m := w.servers[a.server]; a.serverIncarnation == m.incarnation && !m.down && a.firstByteAt >= 0 {
					m.connections--
				}
				w.scheduleAfter(w.drawDelay(c, a.server), cancelArrived{a})
			}
		}
		if !r.completed {
			r.completed = true
			w.openRequests--
			w.retryLater(r, workload.Failed, 0)
		}
	}
	w.scheduleAfter(sidecarRestartTime, sidecarRestarted{c})
}

// ResponseTime implements View.
func (w *simulation) ResponseTime(sidecar int, endpoint string, class int, work float64) float64 {
	n := w.serverByID[endpoint]
	m, c := w.servers[n], w.sidecars[sidecar]
	if m.down || w.isCutOff(c, n) || m.Faults.Swallow[class] || m.Faults.TurnAway[class] || m.listedState != balance.Ready {
		return math.Inf(1)
	}
	net := w.plan.Scenario.Network.Same.Std()
	if c.zone != m.Zone {
		net = w.plan.Scenario.Network.Cross.Std()
	}
	return m.Backlog(work) + 2*net.Seconds()
}

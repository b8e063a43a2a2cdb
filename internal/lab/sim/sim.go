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

// Decider is what decides for one sidecar: the decision module, or a baseline policy.
type Decider interface {
	Request(now balance.Time, r balance.Request)
	Result(now balance.Time, r balance.Result)
	ClientGone(now balance.Time, id balance.RequestID)
	Endpoints(now balance.Time, kind balance.ListKind, list []balance.Endpoint)
	Timer(now balance.Time, token uint64)
}

// View is the true state of the world, for baseline policies that cheat.
type View interface {
	// Wait is how long a request of some work would take at a node now, in seconds, infinite where it cannot be served.
	Wait(sidecar int, endpoint string, class int, work float64) float64
}

// Maker makes the decider of a sidecar.
type Maker func(set balance.Settings, act balance.Actions, view View) (Decider, error)

// Module is the decision module itself.
func Module(set balance.Settings, act balance.Actions, _ View) (Decider, error) {
	return balance.New(set, act)
}

// Host says how a sidecar's network part is broken, for mutants; the zero value is whole.
type Host struct {
	Lose      int           // one answer in so many is never given
	Twice     int           // one in so many is given twice
	Invent    int           // one refusal in so many is turned into an answer that no node made
	HoldBack  bool          // refusals and failures are given only just before the client's time is over
	Late      time.Duration // refusals and failures come so much after the deadline
	StaleList time.Duration // the list is told to the module so much later than discovery told it
}

// Options are the parts of a run.
type Options struct {
	Make     Maker // nil: Module
	Sink     record.Sink
	Host     Host
	Fleet    *Fleet                                           // nil: each sidecar is alone
	Progress func(at time.Duration)                           // each simulated second; may be nil
	Log      func(at time.Duration, sidecar int, line string) // what the module says; may be nil
}

// Result is what a run tells of itself; everything else goes to the sink.
type Result struct {
	Events   uint64 // handled
	Requests uint64
}

const (
	epoch        = 24 * time.Hour         // of the module's clock, which takes times up to 0 for long ago
	answerMargin = 5 * time.Millisecond   // kept free before the client's deadline, as the real sidecar does
	restartTime  = 300 * time.Millisecond // of a sidecar
)

type world struct {
	p    *plan.Plan
	opt  Options
	rng  *rand.Rand // of the network
	q    queue
	now  time.Duration
	res  Result
	open int

	sidecars []*sidecar
	nodes    []*machine
	byID     map[string]int32
	pods     map[int]*node.Pod
	cut      []bool // by zone
	silent   bool   // discovery
	requests uint64
	tokens   uint64
	rec      record.Event
	counts   struct{ refusals, answers int }
}

type machine struct {
	*node.Server
	plan.Machine
	down   bool
	mute   bool
	life   int32 // counts its processes
	conns  int
	wakeAt time.Duration // when evNode is due; -1: not
	state  balance.State // as discovery has it
	boot   time.Duration
	listed bool
	worked float64 // by its former processes
	cutAsk float64 // share of requests behind which its links break
	cutAns float64 // share of answers in which they break
}

type sidecar struct {
	w        *world
	i        int32
	zone     int
	life     int32
	down     bool
	decider  Decider
	source   *workload.Source
	next     workload.Request
	clients  *rand.Rand
	requests map[balance.RequestID]*request
	idle     [][]idleConn // by node
	heard    []time.Duration
	told     []change // from discovery, not yet heard
	list     map[int32]balance.Endpoint
	lastTold time.Duration
	losses   []loss // at nodes that lose now
	member   *member
}

type idleConn struct {
	since time.Duration
	life  int32
}

type change struct {
	at    time.Duration
	node  int32
	entry balance.Endpoint
}

type request struct {
	ask      workload.Request
	id       uint64
	first    uint64
	side     *sidecar
	life     int32
	deadline time.Duration // the final answer is due
	over     bool
	out      int
	attempts []*attempt
}

type attempt struct {
	node.Job
	req    *request
	to     int32
	n      uint8
	ended  bool // for its sidecar
	fresh  bool // on a new connection
	life   int32
	sent   time.Duration
	begun  time.Duration // first byte
	over   time.Duration // ended at
	known  bool
	atNode bool
}

// Run plays a plan to its end, or until ctx is done.
func Run(ctx context.Context, p *plan.Plan, opt Options) (Result, error) {
	if opt.Make == nil {
		opt.Make = Module
	}
	if opt.Sink == nil {
		opt.Sink = record.Sinks{}
	}
	w := &world{p: p, opt: opt, rng: rand.New(rand.NewPCG(p.Seed, 0x0e7)), byID: map[string]int32{}, pods: map[int]*node.Pod{},
		cut: make([]bool, len(p.Scenario.Fleet.Zones))}
	if err := w.build(); err != nil {
		return w.res, err
	}
	most := p.Scenario.Length.Std()
	for _, c := range p.Scenario.Classes {
		most = max(most, p.Scenario.Length.Std()+c.Deadline.Std()+time.Second)
	}
	second := time.Duration(0)
	for len(w.q.heap) > 0 {
		e := w.q.pop()
		if e.at > most || e.at >= p.Scenario.Length.Std() && w.open == 0 && e.at >= p.Last {
			break
		}
		w.now = e.at
		if w.now >= second {
			if ctx.Err() != nil {
				return w.res, fmt.Errorf("interrupted at %v of %v: %w", w.now, p.Scenario.Length.Std(), context.Cause(ctx))
			}
			if opt.Progress != nil {
				opt.Progress(w.now)
			}
			second += time.Second
		}
		w.res.Events++
		w.handle(&e)
	}
	for i, m := range w.nodes {
		w.emit(record.Event{Kind: record.NodeWork, Node: int32(i), Work: m.worked + m.Done()})
	}
	return w.res, nil
}

func (w *world) build() error {
	s := w.p.Scenario
	for i, m := range w.p.Machines {
		w.byID[m.ID] = int32(i)
		n := &machine{Machine: m, wakeAt: -1, state: balance.Ready, down: m.Born > 0, listed: m.Born == 0}
		w.nodes = append(w.nodes, n)
		w.raise(n, 0)
		if m.Born == 0 {
			w.emit(record.Event{Kind: record.NodeStarted, Node: int32(i), Capacity: float64(m.Spec.Cores) * m.Spec.Speed})
		}
	}
	keys := workload.NewZipf(s.Load.Keys, s.Load.Zipf)
	for i := range s.Fleet.Sidecars {
		c := &sidecar{w: w, i: int32(i), zone: i % len(s.Fleet.Zones), source: workload.NewSource(s, i, w.p.Seed, keys),
			clients: rand.New(rand.NewPCG(w.p.Seed, uint64(i)+0xc11e47)), list: map[int32]balance.Endpoint{}}
		w.sidecars = append(w.sidecars, c)
		for n, m := range w.nodes {
			if m.listed {
				c.list[int32(n)] = w.entry(int32(n))
			}
		}
		if err := c.start(); err != nil {
			return fmt.Errorf("sidecar %d: %w", i, err)
		}
		c.ask()
	}
	for i := range w.p.Acts {
		w.q.push(event{at: w.p.Acts[i].At, kind: evAct, a: int32(i)})
	}
	return nil
}

// raise gives a machine a new process.
func (w *world) raise(m *machine, started time.Duration) {
	s := w.p.Scenario.Fleet
	spec := m.Spec
	spec.Started = started
	m.boot = started
	pod := w.pods[m.Cell]
	if pod == nil {
		pod = node.NewPod(w.p.Window())
		w.pods[m.Cell] = pod
	}
	old := m.Server
	m.Server = node.NewServer(node.New(spec, w.now), pod, s.KeyGain, s.KeyFor.Std(), s.KeysPerCore*spec.Cores,
		rand.New(rand.NewPCG(w.p.Seed, uint64(len(w.nodes))<<20+uint64(m.life))))
	if old != nil { // what is wrong with a machine outlives its process
		m.Server.Faults = old.Faults
		m.worked += old.Done()
	}
	m.life++
	m.conns = 0
}

func (w *world) entry(n int32) balance.Endpoint {
	m := w.nodes[n]
	e := balance.Endpoint{ID: m.ID, Zone: w.p.Scenario.Fleet.Zones[m.Zone], Kind: m.Kind, PodGroup: m.Cell, State: m.state,
		Weight: m.Size}
	if m.boot > 0 {
		e.Started = m.boot + epoch
	}
	return e
}

func (w *world) emit(e record.Event) {
	if e.At == 0 {
		e.At = w.now
	}
	w.rec = e
	w.opt.Sink.Record(&w.rec)
}

// way draws the time between a sidecar and a node, one way.
func (w *world) way(c *sidecar, n int32) time.Duration {
	net := w.p.Scenario.Network
	base := net.Same
	if c.zone != w.nodes[n].Zone {
		base = net.Cross
	}
	return time.Duration(float64(base) * (1 + net.Jitter*(2*w.rng.Float64()-1)))
}

// mute tells whether nothing passes between a sidecar and a node.
func (w *world) mute(c *sidecar, n int32) bool {
	m := w.nodes[n]
	return m.mute || c.zone != m.Zone && (w.cut[c.zone] || w.cut[m.Zone])
}

func (w *world) handle(e *event) {
	switch e.kind {
	case evAsk:
		c := w.sidecars[e.a]
		w.request(c, c.next, 0)
		c.ask()
	case evAgain:
		w.request(e.req.side, e.req.ask, e.req.first)
		w.open--
	case evDeadline:
		w.deadline(e.req)
	case evLeave:
		w.leave(e.req)
	case evTimer:
		if c := w.sidecars[e.a]; !c.down && c.life == e.b {
			c.decider.Timer(w.now+epoch, e.token)
			c.learn()
		}
	case evReach:
		w.reach(e.att)
	case evBack:
		w.back(e.att, record.Status(e.status), e.token)
	case evCancel:
		w.cancelled(e.att)
	case evNode:
		w.nodes[e.a].wakeAt = -1
		w.step(e.a)
	case evTold:
		w.sidecars[e.a].hear()
	case evAct:
		w.act(&w.p.Acts[e.a])
	case evUp:
		c := w.sidecars[e.a]
		if err := c.start(); err != nil {
			panic(fmt.Sprintf("sim: sidecar %d does not start again: %v", e.a, err)) // its settings were good before
		}
	case evNote:
		w.emit(record.Event{Kind: record.Notified, Sidecar: e.a, Node: e.b, State: record.State(e.status)})
	case evDo:
		e.do()
	case evLate:
		e.req.side.answer(e.req, record.Status(e.status), 0, 0)
	}
}

// ask has the sidecar's next arrival come.
func (c *sidecar) ask() {
	if a, ok := c.source.Next(); ok {
		c.next = a
		c.w.q.push(event{at: a.At, kind: evAsk, a: c.i})
	}
}

// start begins a life of the sidecar, with the list as it last had it.
func (c *sidecar) start() error {
	w := c.w
	c.down = false
	c.life++
	c.requests = map[balance.RequestID]*request{}
	c.idle, c.losses = make([][]idleConn, len(w.nodes)), nil
	c.heard = make([]time.Duration, len(w.nodes))
	set := w.p.Settings(int(c.i))
	set.Seed += uint64(c.life) << 32
	var err error
	if c.decider, err = w.opt.Make(set, c, w); err != nil {
		return err
	}
	c.join()
	var list []balance.Endpoint
	for n := range w.nodes {
		if e, ok := c.list[int32(n)]; ok {
			list = append(list, e)
		}
	}
	c.decider.Endpoints(w.now+epoch, balance.ListRemembered, list)
	return nil
}

// request is a client's try.
func (w *world) request(c *sidecar, a workload.Request, first uint64) {
	w.requests++
	w.res.Requests++
	r := &request{ask: a, id: w.requests, first: first, side: c, life: c.life}
	if first == 0 {
		r.first = r.id
	}
	r.deadline = w.now + a.Timeout - answerMargin
	w.emit(record.Event{Kind: record.Requested, Request: r.id, FirstRequest: r.first, Sidecar: c.i,
		Class: uint8(a.Class), Tenant: int32(a.Tenant), Wait: a.Timeout, Work: a.Work, Effect: r.id})
	if c.down {
		w.emit(record.Event{Kind: record.Answered, Request: r.id, Sidecar: c.i, Status: record.NotReached})
		r.over = true
		w.again(r, workload.Unreachable, 0)
		return
	}
	w.open++
	c.requests[balance.RequestID(r.id)] = r
	w.q.push(event{at: r.deadline, kind: evDeadline, req: r})
	if a.LeavesAfter > 0 {
		w.q.push(event{at: w.now + a.LeavesAfter, kind: evLeave, req: r})
	}
	c.decider.Request(w.now+epoch, balance.Request{ID: balance.RequestID(r.id), Class: a.Class, Tenant: a.Tenant,
		Timeout: a.Timeout - answerMargin, Retry: a.RetriesMade > 0})
}

// again has a client make its next try, where it does.
func (w *world) again(r *request, how workload.Outcome, after time.Duration) {
	if next, ok := workload.Retry(w.p.Scenario, r.ask, w.now, how, after, r.side.clients); ok {
		w.open++ // a try that is to come keeps the day open
		w.q.push(event{at: next.At, kind: evAgain, req: &request{ask: next, first: r.first, side: r.side}})
	}
}

// deadline ends what is out for a request, and answers for a decider that left it without.
func (w *world) deadline(r *request) {
	if r.life != r.side.life || r.side.down {
		return
	}
	for _, a := range r.attempts {
		if !a.ended {
			w.stop(a, record.TimedOut)
		}
	}
	if !r.over && w.opt.Host.Late == 0 {
		r.side.answer(r, record.Failed, 0, 0)
		r.side.decider.ClientGone(w.now+epoch, balance.RequestID(r.id))
	}
	r.side.forget(r)
}

func (w *world) leave(r *request) {
	if r.over || r.life != r.side.life || r.side.down {
		return
	}
	r.over = true
	w.open--
	w.emit(record.Event{Kind: record.ClientLeft, Request: r.id, Sidecar: r.side.i})
	r.side.decider.ClientGone(w.now+epoch, balance.RequestID(r.id))
	for _, a := range r.attempts {
		if !a.ended {
			r.side.Cancel(balance.RequestID(r.id), int(a.n))
		}
	}
	r.side.forget(r)
	w.again(r, workload.Failed, 0)
}

// answer gives a request its final answer. The first counts.
func (c *sidecar) answer(r *request, s record.Status, token uint64, after time.Duration) {
	w := c.w
	if r.over {
		return
	}
	w.counts.answers++
	host := &w.opt.Host
	if host.Lose > 0 && w.counts.answers%host.Lose == 0 {
		r.over = true
		w.open--
		return
	}
	r.over = true
	w.open--
	w.emit(record.Event{Kind: record.Answered, Request: r.id, Sidecar: c.i, Status: s, Token: token, RetryAfter: after})
	if host.Twice > 0 && w.counts.answers%host.Twice == 0 {
		w.emit(record.Event{Kind: record.Answered, Request: r.id, Sidecar: c.i, Status: record.Failed})
	}
	switch s {
	case record.Rejected:
		w.again(r, workload.Rejected, after)
	case record.Failed:
		w.again(r, workload.Failed, 0)
	}
}

// final is an answer that the decider words itself.
func (c *sidecar) final(id balance.RequestID, s record.Status, after time.Duration) {
	r := c.requests[id]
	if r == nil || r.over {
		return
	}
	host := &c.w.opt.Host
	c.w.counts.refusals++
	switch {
	case host.Invent > 0 && c.w.counts.refusals%host.Invent == 0:
		c.answer(r, record.Served, 1<<63, 0)
	case host.HoldBack:
		c.w.q.push(event{at: max(c.w.now, r.deadline-answerMargin), kind: evLate, req: r, status: uint8(s)})
		return
	case host.Late > 0:
		c.w.q.push(event{at: r.deadline + answerMargin + host.Late, kind: evLate, req: r, status: uint8(s)})
		return
	default:
		c.answer(r, s, 0, after)
	}
	c.forget(r)
}

func (c *sidecar) forget(r *request) {
	if r.over && r.out == 0 {
		delete(c.requests, balance.RequestID(r.id))
	}
}

// Send implements balance.Actions, as do the methods after it.
func (c *sidecar) Send(id balance.RequestID, endpoint string, within time.Duration) {
	w := c.w
	r := c.requests[id]
	if r == nil {
		return
	}
	a := &attempt{req: r, to: w.byID[endpoint], n: uint8(len(r.attempts)), sent: w.now, begun: -1}
	r.attempts = append(r.attempts, a)
	r.out++
	m := w.nodes[a.to]
	way := w.way(c, a.to)
	a.life = m.life
	end := r.deadline
	if r.over || w.now >= end {
		w.q.push(event{at: w.now, kind: evBack, att: a, status: uint8(record.Cancelled)})
		return
	}
	if c.takeIdle(a.to) {
		a.begun = w.now
		w.q.push(event{at: w.now + way, kind: evReach, att: a})
		return
	}
	a.fresh = true
	up := time.Duration(w.p.Scenario.Fleet.HandshakeRTTs * 2 * float64(way))
	switch connect := w.p.Scenario.Network.Connect.Std(); {
	case within > 0 && up > within:
		w.q.push(event{at: w.now + within, kind: evBack, att: a, status: uint8(record.Cancelled)})
	case w.mute(c, a.to):
		c.lost(a.to, r.ask.Class)
		w.q.push(event{at: w.now + connect, kind: evBack, att: a, status: uint8(record.NotReached)})
	case m.down || m.conns >= w.p.Scenario.Fleet.ConnCap:
		w.q.push(event{at: w.now + 2*way, kind: evBack, att: a, status: uint8(record.NotReached)})
	default:
		m.conns++
		a.begun = w.now + up
		w.q.push(event{at: w.now + up + way, kind: evReach, att: a})
	}
}

// takeIdle takes the longest idle connection to a node that is still good, as the real pool does.
func (c *sidecar) takeIdle(n int32) bool {
	m, rest := c.w.nodes[n], c.w.p.Scenario.Fleet.IdleClose.Std()/2
	idle := c.idle[n]
	for len(idle) > 0 {
		k := idle[0]
		idle = idle[1:]
		if k.life == m.life && !m.down || c.w.mute(c, n) && k.life == m.life {
			if c.w.now-k.since < rest {
				c.idle[n] = idle
				return true
			}
			m.conns--
		}
	}
	c.idle[n] = idle
	return false
}

// dropIdle closes a node's idle connections.
func (c *sidecar) dropIdle(n int32) {
	m := c.w.nodes[n]
	for _, k := range c.idle[n] {
		if k.life == m.life {
			m.conns--
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
	c.w.q.push(event{at: c.w.now, kind: evBack, att: r.attempts[n], status: uint8(record.Cancelled)})
}

// Reject answers that a retry does no harm.
func (c *sidecar) Reject(id balance.RequestID, after time.Duration) {
	c.final(id, record.Rejected, after)
}

// Fail answers without a promise.
func (c *sidecar) Fail(id balance.RequestID) { c.final(id, record.Failed, 0) }

// Timer asks for a Timer event.
func (c *sidecar) Timer(after time.Duration, token uint64) {
	c.w.q.push(event{at: c.w.now + max(after, time.Microsecond), kind: evTimer, a: c.i, b: c.life, token: token})
}

// Subscribe does nothing: discovery pushes.
func (c *sidecar) Subscribe() {}

// Log passes a line on.
func (c *sidecar) Log(text string) {
	if c.w.opt.Log != nil {
		c.w.opt.Log(c.w.now, int(c.i), text)
	}
}

// reach is the arrival of an attempt's last byte at its node.
func (w *world) reach(a *attempt) {
	c := a.req.side
	m := w.nodes[a.to]
	if a.life != m.life || m.down { // its process has ended meanwhile
		if !a.ended && !w.mute(c, a.to) {
			s := record.Broken
			if a.fresh {
				s = record.NotReached
			}
			w.q.push(event{at: w.now + w.way(c, a.to), kind: evBack, att: a, status: uint8(s)})
		}
		return
	}
	if w.mute(c, a.to) {
		c.lost(a.to, a.req.ask.Class)
	}
	if w.mute(c, a.to) || a.ended && a.over <= a.begun && a.fresh { // given up before the connection was there
		return
	}
	w.emit(record.Event{At: a.begun, Kind: record.Sent, Request: a.req.id, Attempt: a.n, Sidecar: c.i, Node: a.to})
	a.Work = a.req.ask.Work
	extra := 0.0
	if a.fresh {
		extra = w.p.Scenario.Fleet.HandshakeWork.Std().Seconds()
	}
	w.emit(record.Event{Kind: record.Arrived, Request: a.req.id, Attempt: a.n, Sidecar: c.i, Node: a.to, Work: a.Work,
		Effect: a.req.id})
	if a.ended { // called off on the way
		return
	}
	effect := uint64(0)
	if w.p.Scenario.Classes[a.req.ask.Class].Effect == "deduplicated" {
		effect = a.req.id
	}
	a.Owner = a
	switch m.Arrive(w.now, &a.Job, a.req.ask.Class, a.req.ask.Key, effect, extra) {
	case node.TurnedAway:
		w.emit(record.Event{Kind: record.Replied, Request: a.req.id, Attempt: a.n, Node: a.to, Status: record.Rejected})
		w.q.push(event{at: w.now + w.way(c, a.to), kind: evBack, att: a, status: uint8(record.Rejected)})
	case node.Swallowed:
		c.lost(a.to, a.req.ask.Class)
	case node.Known:
		a.atNode, a.known = true, true
		w.emit(record.Event{Kind: record.Deduplicated, Request: a.req.id, Attempt: a.n, Node: a.to})
	default:
		a.atNode = true
		w.emit(record.Event{Kind: record.Ran, Request: a.req.id, Attempt: a.n, Sidecar: c.i, Node: a.to})
	}
	if m.cutAsk > 0 && w.rng.Float64() < m.cutAsk {
		w.q.push(event{at: w.now + w.way(c, a.to), kind: evBack, att: a, status: uint8(record.Broken)})
		w.cancelled(a)
		return
	}
	w.step(a.to)
}

// step has a node do what is due and asks for its next time.
func (w *world) step(n int32) {
	m := w.nodes[n]
	for _, j := range m.Step(w.now) {
		a := j.Owner.(*attempt)
		a.atNode = false
		w.tokens++
		s, ending := record.Served, m.Ending()
		if ending != node.Answered {
			s = record.Failed
		}
		w.emit(record.Event{Kind: record.Replied, Request: a.req.id, Attempt: a.n, Node: n, Status: s, Token: w.tokens,
			Work: j.Work})
		if m.cutAns > 0 && w.rng.Float64() < m.cutAns {
			s = record.Broken
		}
		if !w.mute(a.req.side, n) {
			w.q.push(event{at: w.now + w.way(a.req.side, n), kind: evBack, att: a, status: uint8(s), token: w.tokens})
		}
	}
	if next := m.Next(); next >= 0 && (m.wakeAt < 0 || next < m.wakeAt) {
		m.wakeAt = max(next, w.now+1)
		w.q.push(event{at: m.wakeAt, kind: evNode, a: n})
	}
}

// stop ends an attempt from the sidecar's side.
func (w *world) stop(a *attempt, s record.Status) { w.back(a, s, 0) }

// back is the end of an attempt for its sidecar.
func (w *world) back(a *attempt, s record.Status, token uint64) {
	c := a.req.side
	if a.ended || a.req.life != c.life || c.down {
		return
	}
	a.ended, a.over = true, w.now
	r := a.req
	r.out--
	m := w.nodes[a.to]
	alive := a.life == m.life && !m.down
	outcome := balance.Served
	switch s {
	case record.Served:
		c.heard[a.to] = w.now
		c.answer(r, record.Served, token, 0)
	case record.Rejected:
		outcome = balance.Saturated
		c.heard[a.to] = w.now
	case record.Failed:
		outcome = balance.Errored
		c.heard[a.to] = w.now
	case record.Broken:
		outcome = balance.Reset
		c.dropIdle(a.to)
	case record.NotReached:
		outcome = balance.ConnectFailed
		c.dropIdle(a.to)
	case record.Cancelled:
		outcome = balance.Cancelled
	case record.TimedOut:
		outcome = balance.TimedOut
		if c.heard[a.to] < a.sent {
			c.dropIdle(a.to)
		}
	}
	switch {
	case s == record.Served || s == record.Rejected || s == record.Failed:
		if alive {
			c.idle[a.to] = append(c.idle[a.to], idleConn{w.now, a.life})
		}
	case s == record.Broken:
		if alive {
			m.conns--
		}
	case s == record.Cancelled || s == record.TimedOut:
		if alive && a.begun >= 0 {
			m.conns--
		}
		w.q.push(event{at: w.now + w.way(c, a.to), kind: evCancel, att: a})
	}
	if (s == record.Cancelled || s == record.TimedOut) && (a.begun < 0 || a.begun > w.now) {
		// Not a byte of it was written: the real sidecar tells these apart.
		if outcome = balance.ConnectFailed; s == record.Cancelled {
			outcome = balance.NotSent
		}
	}
	w.emit(record.Event{Kind: record.AttemptEnded, Request: r.id, Attempt: a.n, Sidecar: c.i, Node: a.to, Status: s})
	c.decider.Result(w.now+epoch, balance.Result{ID: balance.RequestID(r.id), Attempt: int(a.n), Endpoint: m.ID,
		Outcome: outcome, Took: w.now - a.sent, Finished: r.over})
	c.learn()
	c.forget(r)
}

// cancelled is a node that learns that its answer is not wanted any more.
func (w *world) cancelled(a *attempt) {
	m := w.nodes[a.to]
	if !a.atNode || a.life != m.life || !w.p.Scenario.Fleet.StopsWork || w.mute(a.req.side, a.to) {
		return
	}
	a.atNode = false
	m.Cancel(w.now, &a.Job)
	w.step(a.to)
}

// hear takes in what discovery has told.
func (c *sidecar) hear() {
	w := c.w
	if w.silent || c.down {
		return
	}
	var list []balance.Endpoint
	for len(c.told) > 0 && c.told[0].at <= w.now {
		t := c.told[0]
		c.told = c.told[1:]
		c.list[t.node] = t.entry
		if t.entry.State == balance.Removed {
			delete(c.list, t.node)
			c.dropIdle(t.node)
		}
		list = append(list, t.entry)
		if w.opt.Host.StaleList == 0 {
			w.emit(record.Event{Kind: record.Notified, Sidecar: c.i, Node: t.node, State: stateOf(t.entry.State)})
		}
	}
	if len(list) > 0 {
		c.decider.Endpoints(w.now+epoch, balance.ListChanges, list)
	}
}

func stateOf(s balance.State) record.State {
	return map[balance.State]record.State{balance.Ready: record.Serving, balance.Draining: record.Draining,
		balance.Removed: record.Gone}[s]
}

// tell has discovery tell all sidecars of a node.
func (w *world) tell(n int32, s balance.State) {
	w.nodes[n].state = s
	notice := w.p.Scenario.Notice
	for _, c := range w.sidecars {
		at := w.now + notice.From.Std() + time.Duration(w.rng.Float64()*float64(notice.To-notice.From))
		c.lastTold = max(c.lastTold, at)
		c.told = append(c.told, change{c.lastTold, n, w.entry(n)})
		w.q.push(event{at: c.lastTold + w.opt.Host.StaleList, kind: evTold, a: c.i})
		if w.opt.Host.StaleList > 0 { // the sidecar is told now, whatever it does with it
			w.q.push(event{at: c.lastTold, kind: evNote, a: c.i, b: n, status: uint8(stateOf(s))})
		}
	}
}

// act does an act of the plan.
func (w *world) act(a *plan.Act) {
	n := int32(a.Node)
	switch a.Op {
	case plan.CutZone:
		w.cut[a.Node] = a.On
		return
	case plan.Silence:
		if w.silent = a.On; !a.On {
			for _, c := range w.sidecars {
				w.q.push(event{at: w.now + w.p.Scenario.Notice.From.Std(), kind: evTold, a: c.i})
			}
		}
		return
	case plan.CutWatch, plan.BackWatch, plan.MoveWatch:
		// What the sidecar hears is the same: its network part sees to that, and the socket plane shows it.
		return
	case plan.RestartSidecar:
		w.kill(w.sidecars[n])
		return
	case plan.Over:
		w.emit(record.Event{Kind: record.FaultOver})
		return
	}
	m := w.nodes[n]
	switch a.Op {
	case plan.Start, plan.Restart:
		w.raise(m, max(w.now, 1))
		m.down, m.listed = false, true
		w.emit(record.Event{Kind: record.NodeStarted, Node: n,
			Capacity: float64(m.Spec.Cores) * m.Spec.Speed, Boot: m.boot})
		w.tell(n, balance.Ready)
	case plan.Drain:
		w.tell(n, balance.Draining)
	case plan.Remove:
		w.end(n)
		w.tell(n, balance.Removed)
	case plan.Crash:
		w.end(n)
	case plan.Vanish:
		m.mute = a.On
	case plan.Slow:
		m.Node.Slow(w.now, a.Value)
		w.step(n)
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
		m.cutAsk = a.Value
	case plan.CutAnswers:
		m.cutAns = a.Value
	}
}

// end ends a node's process: its connections break.
func (w *world) end(n int32) {
	m := w.nodes[n]
	if m.down {
		return
	}
	for _, j := range m.Drop(w.now) {
		a := j.Owner.(*attempt)
		a.atNode = false
		if !w.mute(a.req.side, n) {
			w.q.push(event{at: w.now + w.way(a.req.side, n), kind: evBack, att: a, status: uint8(record.Broken)})
		}
	}
	m.down = true
	m.conns = 0
}

// kill ends a sidecar with all it holds, and starts it again.
func (w *world) kill(c *sidecar) {
	if c.down {
		return
	}
	c.down = true
	w.emit(record.Event{Kind: record.SidecarDown, Sidecar: c.i})
	for n := range w.nodes {
		c.dropIdle(int32(n))
	}
	held := c.requests
	c.requests = map[balance.RequestID]*request{}
	for _, id := range slices.Sorted(maps.Keys(held)) { // in order: maps have none
		r := held[id]
		for _, a := range r.attempts {
			if !a.ended {
				a.ended = true
				if m := w.nodes[a.to]; a.life == m.life && !m.down && a.begun >= 0 {
					m.conns--
				}
				w.q.push(event{at: w.now + w.way(c, a.to), kind: evCancel, att: a})
			}
		}
		if !r.over {
			r.over = true
			w.open--
			w.again(r, workload.Failed, 0)
		}
	}
	w.q.push(event{at: w.now + restartTime, kind: evUp, a: c.i})
}

// Wait implements View.
func (w *world) Wait(sidecar int, endpoint string, class int, work float64) float64 {
	n := w.byID[endpoint]
	m, c := w.nodes[n], w.sidecars[sidecar]
	if m.down || w.mute(c, n) || m.Faults.Swallow[class] || m.Faults.TurnAway[class] || m.state != balance.Ready {
		return math.Inf(1)
	}
	net := w.p.Scenario.Network.Same.Std()
	if c.zone != m.Zone {
		net = w.p.Scenario.Network.Cross.Std()
	}
	return m.Backlog(work) + 2*net.Seconds()
}

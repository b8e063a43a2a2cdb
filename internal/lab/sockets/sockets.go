// Package sockets plays a plan in real time on loopback: real sidecar processes between stand-in clients, nodes,
// discovery and links. Nothing in it knows what a sidecar decides.
package sockets

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/runplan"
	"milletramp.example/milletramp/internal/lab/servermodel"
	"milletramp.example/milletramp/internal/lab/workload"
	"milletramp.example/milletramp/internal/standin"
)

// Options are the parts of a run.
type Options struct {
	Command    []string // of one sidecar, which reads PROXY_CONFIG
	Sink       record.Sink
	Progress   func(at time.Duration) // about each second; may be nil
	SidecarLog io.Writer              // what sidecars log; may be nil
}

// Result is what a run tells of itself.
type Result struct {
	MaxSendDelay   time.Duration // the latest request was sent so much behind its time
	MaxRSS         int           // kB resident of the largest sidecar at the end
	MaxDescriptors int           // descriptors of the one with most at the end
}

const (
	readyTimeout     = 10 * time.Second
	shutdownTimeout  = 8 * time.Second // from SIGTERM to the end of a sidecar
	responseGrace    = 250 * time.Millisecond
	maxResponseDelay = 50 * time.Millisecond // answers later than this after the client's time are breaches
)

// ResponseSlack is how late an answer may be on this plane before the checker calls it late.
const ResponseSlack = maxResponseDelay

// run is a running day.
type run struct {
	plan      *runplan.Plan
	options   Options
	log       *standin.Log
	requests  *standin.RequestRegistry
	rng       *rand.Rand
	directory string

	servers           []*standin.Node
	listeners         []net.Listener // of nodes that have not begun
	serverAddresses   []string       // of nodes, kept over restarts
	startTimes        []time.Duration
	pods              map[int]*servermodel.Pod
	incarnations      []int
	links             [][]*standin.Link // by sidecar and node
	isolatedZones     []bool
	isolatedServers   []bool
	requestCutShares  []float64 // by node
	responseCutShares []float64
	discoveries       []*standin.Discovery
	sidecars          []*process
	clients           []*standin.Clients
	lastNotices       []time.Duration
	restarts          sync.WaitGroup
}

// Run plays a plan to its end. What it started has ended when it returns, also after an error.
func Run(ctx context.Context, p *runplan.Plan, opt Options) (res Result, err error) {
	if err := checkDescriptorLimit(p); err != nil {
		return res, err
	}
	dir, err := os.MkdirTemp("", "milletramp-lab-")
	if err != nil {
		return res, fmt.Errorf("lab: %w", err)
	}
	defer os.RemoveAll(dir)
	r := &run{plan: p, options: opt, log: standin.NewLog(), requests: standin.NewRequestRegistry(), directory: dir,
		rng: rand.New(rand.NewPCG(p.Seed, 0x50c7)), pods: map[int]*servermodel.Pod{}, isolatedZones: make([]bool, len(p.Scenario.Fleet.Zones)),
		isolatedServers: make([]bool, len(p.Machines)), requestCutShares: make([]float64, len(p.Machines)), responseCutShares: make([]float64, len(p.Machines)), incarnations: make([]int, len(p.Machines)), startTimes: make([]time.Duration, len(p.Machines)),
		lastNotices: make([]time.Duration, p.Scenario.Fleet.Sidecars)}
	defer r.close()
	if err := r.build(ctx); err != nil {
		return res, err
	}
	if err := r.play(ctx, &res); err != nil {
		return res, err
	}
	r.recordEvents()
	return res, nil
}

// checkDescriptorLimit says whether the machine allows as many descriptors as the plan needs.
func checkDescriptorLimit(p *runplan.Plan) error {
	f := p.Scenario.Fleet
	need := uint64(len(p.Machines)*(f.Sidecars+1)*2 + f.Sidecars*600 + int(p.Scenario.Rate()*2))
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("descriptor limit: %w", err)
	}
	if limit.Cur < need && limit.Max > limit.Cur {
		limit.Cur = min(need, limit.Max)
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit) // the check below tells
	}
	if limit.Cur < need {
		return fmt.Errorf("%d descriptors allowed, this scenario needs about %d on the socket plane: raise the limit (ulimit -n) or use --plane sim",
			limit.Cur, need)
	}
	return nil
}

func (r *run) build(ctx context.Context) error {
	s := r.plan.Scenario
	for i, m := range r.plan.Machines {
		n := standin.NewNode(standin.NodeOptions{Number: int32(i), Requests: r.requests, Log: r.log, ConnCap: s.Fleet.ConnCap,
			Handshake: s.Fleet.HandshakeWork.Std(), IdleTimeout: s.Fleet.IdleClose.Std(), StopsOnCancel: s.Fleet.StopsWork})
		// Each node has an IP address of its own, so that no outgoing connection takes its port while it is down.
		l, err := net.Listen("tcp", loopbackAddress(serverNetwork, i))
		if err != nil {
			return fmt.Errorf("node %d: %w", i, err)
		}
		r.servers, r.serverAddresses = append(r.servers, n), append(r.serverAddresses, l.Addr().String())
		if m.StartsAt > 0 {
			_ = l.Close()
			l = nil
		}
		r.listeners = append(r.listeners, l)
	}
	serverIndex := func(uid string) int32 {
		return int32(slices.IndexFunc(r.plan.Machines, func(m runplan.Machine) bool { return m.ID == uid }))
	}
	for i := range s.Fleet.Sidecars {
		var links []*standin.Link
		for n := range r.plan.Machines {
			k, err := standin.NewLink(standin.SidecarIP(i), r.serverAddresses[n], r.linkCondition(i, n), r.plan.Seed+uint64(i*1000+n))
			if err != nil {
				return err
			}
			links = append(links, k)
		}
		r.links = append(r.links, links)
		var first []standin.Entry
		for n, m := range r.plan.Machines {
			if m.StartsAt == 0 {
				first = append(first, r.entry(i, n, record.Serving))
			}
		}
		d, err := standin.NewDiscovery(int32(i), first, r.log, serverIndex)
		if err != nil {
			return err
		}
		r.discoveries = append(r.discoveries, d)
		address, err := reservePort(loopbackAddress(sidecarNetwork, i))
		if err != nil {
			return fmt.Errorf("sidecar %d: %w", i, err)
		}
		r.sidecars = append(r.sidecars, &process{address: address, name: fmt.Sprintf("n%d", i), command: r.options.Command, log: r.options.SidecarLog,
			configFile: filepath.Join(r.directory, fmt.Sprintf("n%d.json", i))})
	}
	var starting sync.WaitGroup
	errs := make(chan error, len(r.sidecars))
	for i := range r.sidecars {
		starting.Add(1)
		go func() {
			defer starting.Done()
			errs <- r.startSidecar(ctx, i)
		}()
	}
	starting.Wait()
	close(errs)
	var joined error
	for err := range errs {
		joined = errors.Join(joined, err)
	}
	return joined
}

// linkCondition is the condition of the link between a sidecar and a node as things stand.
func (r *run) linkCondition(i, n int) standin.LinkCondition {
	net := r.plan.Scenario.Network
	zone, at := i%len(r.plan.Scenario.Fleet.Zones), r.plan.Machines[n].Zone
	condition := standin.LinkCondition{ResetAfter: r.requestCutShares[n], Truncate: r.responseCutShares[n], Delay: net.Same.Std(), JitterFraction: net.Jitter, HandshakeRoundTrips: r.plan.Scenario.Fleet.HandshakeRTTs,
		Blackhole: r.isolatedServers[n] || zone != at && (r.isolatedZones[zone] || r.isolatedZones[at])}
	if zone != at {
		condition.Delay = net.Cross.Std()
	}
	return condition
}

// updateLinks sets all links anew. Each may take some time.
func (r *run) updateLinks() {
	var updates sync.WaitGroup
	for i := range r.links {
		for n := range r.links[i] {
			condition := r.linkCondition(i, n)
			updates.Add(1)
			go func() {
				defer updates.Done()
				r.links[i][n].SetCondition(condition)
			}()
		}
	}
	updates.Wait()
}

func (r *run) entry(i, n int, state record.State) standin.Entry {
	m := r.plan.Machines[n]
	e := standin.Entry{UID: m.ID, Endpoint: r.links[min(i, len(r.links)-1)][n].Address(), AZ: r.plan.Scenario.Fleet.Zones[m.Zone],
		Model: m.Kind, PodGroup: m.PodGroup, State: standin.States[state], Capacity: m.Weight}
	if r.startTimes[n] > 0 {
		e.BootMS = r.log.Start().Add(r.startTimes[n]).UnixMilli()
	}
	return e
}

// startServer begins a process of a node.
func (r *run) startServer(n int, l net.Listener, started time.Duration) {
	m, f := r.plan.Machines[n], r.plan.Scenario.Fleet
	spec := m.Spec
	spec.StartedAt = started
	pod := r.pods[m.PodGroup]
	if pod == nil {
		pod = servermodel.NewPod(r.plan.DedupeWindow())
		r.pods[m.PodGroup] = pod
	}
	r.startTimes[n] = started
	r.incarnations[n]++
	keys := servermodel.KeySettings{Saving: f.KeyGain, Lifetime: f.KeyFor.Std(), Max: f.KeysPerCore * spec.Cores}
	r.servers[n].Start(l, servermodel.NewServer(servermodel.NewProcessor(spec, r.log.Now()), pod, keys,
		rand.New(rand.NewPCG(r.plan.Seed, uint64(n)<<20+uint64(r.incarnations[n])))))
	r.log.Add(record.Event{Kind: record.NodeStarted, Node: int32(n), Capacity: float64(spec.Cores) * spec.Speed, Boot: started})
}

// startSidecar starts a sidecar and waits until it is ready.
func (r *run) startSidecar(ctx context.Context, i int) error {
	p := r.sidecars[i]
	if err := p.start(sidecarConfig(r.plan, i, p.address, r.discoveries[i].Address(), r.discoveries[i].Snapshot())); err != nil {
		return fmt.Errorf("sidecar %s: %w", p.name, err)
	}
	if err := p.waitReady(ctx, p.address); err != nil {
		return fmt.Errorf("sidecar %s: %w", p.name, err)
	}
	return nil
}

// restartSidecar kills a sidecar and starts it again. Its clients hold back meanwhile, as a request to a process that is not
// there is not taken; what crosses the end on a connection goes down with it.
func (r *run) restartSidecar(ctx context.Context, i int) error {
	r.clients[i].SetAddress("")
	r.sidecars[i].kill()
	r.log.Add(record.Event{Kind: record.SidecarDown, Sidecar: int32(i)})
	if err := r.startSidecar(ctx, i); err != nil {
		return err
	}
	r.log.Add(record.Event{Kind: record.SidecarDown, Sidecar: int32(i)})
	r.clients[i].SetAddress(r.sidecars[i].address)
	return nil
}

// play runs the day.
func (r *run) play(ctx context.Context, res *Result) error {
	s := r.plan.Scenario
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	keys := workload.NewZipf(s.Load.Keys, s.Load.Zipf)
	var ids atomic.Uint64
	for i := range r.sidecars {
		c := standin.NewClients(standin.ClientOptions{Sidecar: int32(i), Scenario: s, Requests: r.requests, Log: r.log, IDs: &ids,
			ResponseGrace: responseGrace}, r.plan.Seed)
		c.SetAddress(r.sidecars[i].address)
		r.clients = append(r.clients, c)
	}
	r.log.Begin() // the day begins now, and with it the nodes' clocks
	for i, l := range r.listeners {
		if l != nil {
			r.startServer(i, l, 0)
		}
	}
	r.listeners = nil
	for i := range r.sidecars {
		r.sidecars[i].notifyUnexpectedExit(func(err error) { cancel(fmt.Errorf("sidecar n%d ended: %w", i, err)) })
	}
	var running sync.WaitGroup
	delays := make([]time.Duration, len(r.clients))
	for i, c := range r.clients {
		running.Add(1)
		go func() {
			defer running.Done()
			delays[i] = c.Run(ctx, workload.NewSource(s, i, r.plan.Seed, keys))
		}()
	}
	actionsDone := make(chan struct{})
	go func() {
		defer close(actionsDone)
		r.runActions(ctx, cancel)
	}()
	clientsDone := make(chan struct{})
	go func() {
		running.Wait()
		close(clientsDone)
	}()
	progressTicker := time.NewTicker(time.Second)
	defer progressTicker.Stop()
	for done := false; !done; {
		select {
		case <-clientsDone:
			done = true
		case <-progressTicker.C:
			if r.options.Progress != nil {
				r.options.Progress(r.log.Now())
			}
		}
	}
	<-actionsDone
	r.restarts.Wait()
	if err := context.Cause(ctx); err != nil {
		return fmt.Errorf("interrupted at %v of %v: %w", r.log.Now().Round(time.Millisecond), s.Length.Std(), err)
	}
	for _, l := range delays {
		res.MaxSendDelay = max(res.MaxSendDelay, l)
	}
	for _, p := range r.sidecars {
		rss, open := p.resourceUsage()
		res.MaxRSS, res.MaxDescriptors = max(res.MaxRSS, rss), max(res.MaxDescriptors, open)
	}
	return r.stopSidecars()
}

// stopSidecars ends the sidecars as a planned restart would, and has them finish.
func (r *run) stopSidecars() error {
	var joined error
	var stopping sync.WaitGroup
	var mu sync.Mutex
	for _, p := range r.sidecars {
		stopping.Add(1)
		go func() {
			defer stopping.Done()
			if err := p.shutdown(shutdownTimeout); err != nil {
				mu.Lock()
				joined = errors.Join(joined, fmt.Errorf("sidecar %s: %w", p.name, err))
				mu.Unlock()
			}
		}()
	}
	stopping.Wait()
	return joined
}

// close ends whatever is left.
func (r *run) close() {
	for _, p := range r.sidecars {
		p.kill()
	}
	for _, d := range r.discoveries {
		d.Close()
	}
	for _, n := range r.servers {
		n.Kill()
	}
	for _, l := range r.listeners {
		if l != nil {
			_ = l.Close()
		}
	}
	var closing sync.WaitGroup
	for _, links := range r.links {
		for _, k := range links {
			closing.Add(1)
			go func() {
				defer closing.Done()
				k.Close()
			}()
		}
	}
	closing.Wait()
}

// recordEvents hands the record to the sink, in the order of time.
func (r *run) recordEvents() {
	events := r.log.Events()
	slices.SortStableFunc(events, func(a, b record.Event) int { return cmp.Compare(a.At, b.At) })
	for i := range events {
		r.options.Sink.Record(&events[i])
	}
	for i, n := range r.servers {
		r.options.Sink.Record(&record.Event{At: r.log.Now(), Kind: record.NodeWork, Node: int32(i), Work: n.Worked()})
	}
}

// runActions does the plan's acts in their time.
func (r *run) runActions(ctx context.Context, fail context.CancelCauseFunc) {
	for _, a := range r.plan.Actions {
		t := time.NewTimer(max(a.At-r.log.Now(), 0))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		if err := r.apply(ctx, a, fail); err != nil {
			fail(err)
			return
		}
	}
}

func (r *run) apply(ctx context.Context, a runplan.Action, fail context.CancelCauseFunc) error {
	n := a.Node
	changeServer := func(do func(s *servermodel.Server, now time.Duration)) { r.servers[n].Change(do) }
	switch a.Kind {
	case runplan.FaultOver:
		r.log.Add(record.Event{Kind: record.FaultOver})
	case runplan.CutZone:
		r.isolatedZones[n] = a.On
		r.updateLinks()
	case runplan.IsolateNode:
		r.isolatedServers[n] = a.On
		r.updateLinks()
	case runplan.CutRequestShare:
		r.requestCutShares[n] = a.Value
		r.updateLinks()
	case runplan.CutResponseShare:
		r.responseCutShares[n] = a.Value
		r.updateLinks()
	case runplan.SilenceDiscovery:
		for _, d := range r.discoveries {
			d.SetStalled(a.On)
		}
	case runplan.CutWatch:
		for _, d := range r.discoveries {
			d.TruncateNext()
		}
	case runplan.RewindWatch:
		for _, d := range r.discoveries {
			d.Rollback()
		}
	case runplan.MoveWatch:
		return r.moveDiscovery()
	case runplan.RestartSidecar:
		r.restarts.Add(1)
		go func() { // acts of this moment are not to wait for it
			defer r.restarts.Done()
			if err := r.restartSidecar(ctx, n); err != nil {
				fail(err)
			}
		}()
	case runplan.StartNode, runplan.RestartNode:
		l, err := net.Listen("tcp", r.serverAddresses[n])
		if err != nil {
			return fmt.Errorf("node %d: %w", n, err)
		}
		r.startServer(n, l, max(r.log.Now(), 1))
		r.notify(n, record.Serving)
	case runplan.DrainNode:
		r.notify(n, record.Draining)
	case runplan.RemoveNode:
		r.servers[n].Kill()
		r.notify(n, record.Gone)
	case runplan.CrashNode:
		r.servers[n].Kill()
	case runplan.SlowNode:
		changeServer(func(s *servermodel.Server, now time.Duration) { s.SetSlowdown(now, a.Value) })
	case runplan.LoseClass:
		changeServer(func(s *servermodel.Server, _ time.Duration) { s.Faults.SwallowedClasses[a.Class] = a.On })
	case runplan.RejectClass:
		changeServer(func(s *servermodel.Server, _ time.Duration) { s.Faults.RejectedClasses[a.Class] = a.On })
	case runplan.LoseShare:
		changeServer(func(s *servermodel.Server, _ time.Duration) { s.Faults.LossShare = a.Value })
	case runplan.ErrorShare:
		changeServer(func(s *servermodel.Server, _ time.Duration) { s.Faults.ErrorShare = a.Value })
	case runplan.GarbleShare:
		changeServer(func(s *servermodel.Server, _ time.Duration) { s.Faults.MalformedShare = a.Value })
	}
	return nil
}

// oldWatchLifetime is how long a discovery that has moved leaves its old connections open.
const oldWatchLifetime = 1500 * time.Millisecond

// moveDiscovery has every discovery move, and tells the sidecars by a reload.
func (r *run) moveDiscovery() error {
	for i, d := range r.discoveries {
		if err := d.Move(oldWatchLifetime); err != nil {
			return err
		}
		p := r.sidecars[i]
		if err := p.reload(sidecarConfig(r.plan, i, p.address, d.Address(), d.Snapshot())); err != nil {
			return fmt.Errorf("sidecar %s: %w", p.name, err)
		}
	}
	return nil
}

// notify has every sidecar's discovery tell of a node, some time later and in order.
func (r *run) notify(n int, state record.State) {
	notice := r.plan.Scenario.Notice
	for i, d := range r.discoveries {
		at := r.log.Now() + notice.From.Std() + time.Duration(r.rng.Float64()*float64(notice.To-notice.From))
		r.lastNotices[i] = max(r.lastNotices[i]+time.Millisecond, at)
		e := r.entry(i, n, state)
		time.AfterFunc(r.lastNotices[i]-r.log.Now(), func() { d.Publish(e) })
	}
}

// The second numbers of the loopback addresses of nodes and sidecars.
const serverNetwork, sidecarNetwork = 10, 20

// loopbackAddress is an address on loopback of its own, with any port.
func loopbackAddress(network, i int) string {
	return fmt.Sprintf("127.%d.%d.%d:0", network, i/200, 1+i%200)
}

// reservePort finds a port at an address that nobody listens at.
func reservePort(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// copyLines passes a sidecar's log on, line by line, with its name.
func copyLines(to io.Writer, from io.Reader, name string) (last string) {
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		last = lines.Text()
		if to != nil {
			fmt.Fprintf(to, "%s %s\n", name, last)
		}
	}
	return last
}

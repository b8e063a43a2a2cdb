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
	Command  []string // of one sidecar, which reads PROXY_CONFIG
	Sink     record.Sink
	Progress func(at time.Duration) // about each second; may be nil
	Sidecars io.Writer              // what sidecars log; may be nil
}

// Result is what a run tells of itself.
type Result struct {
	Late     time.Duration // the latest request was sent so much behind its time
	MostRSS  int           // kB resident of the largest sidecar at the end
	MostOpen int           // descriptors of the one with most at the end
}

const (
	readyWithin = 10 * time.Second
	endWithin   = 8 * time.Second // from SIGTERM to the end of a sidecar
	patience    = 250 * time.Millisecond
	lateMost    = 50 * time.Millisecond // answers later than this after the client's time are breaches
)

// Slack is how late an answer may be on this plane before the checker calls it late.
const Slack = lateMost

// world is a running day.
type world struct {
	p    *runplan.Plan
	opt  Options
	log  *standin.Log
	book *standin.RequestRegistry
	rng  *rand.Rand
	dir  string

	nodes    []*standin.Node
	listen   []net.Listener // of nodes that have not begun
	addr     []string       // of nodes, kept over restarts
	starts   []time.Duration
	pods     map[int]*servermodel.Pod
	lives    []int
	links    [][]*standin.Link // by sidecar and node
	cut      []bool
	mute     []bool
	cutAsk   []float64 // by node
	cutAns   []float64
	disc     []*standin.Discovery
	side     []*process
	clients  []*standin.Clients
	told     []time.Duration
	restarts sync.WaitGroup
}

// Run plays a plan to its end. What it started has ended when it returns, also after an error.
func Run(ctx context.Context, p *runplan.Plan, opt Options) (res Result, err error) {
	if err := enough(p); err != nil {
		return res, err
	}
	dir, err := os.MkdirTemp("", "milletramp-lab-")
	if err != nil {
		return res, fmt.Errorf("lab: %w", err)
	}
	defer os.RemoveAll(dir)
	w := &world{p: p, opt: opt, log: standin.NewLog(), book: standin.NewRequestRegistry(), dir: dir,
		rng: rand.New(rand.NewPCG(p.Seed, 0x50c7)), pods: map[int]*servermodel.Pod{}, cut: make([]bool, len(p.Scenario.Fleet.Zones)),
		mute: make([]bool, len(p.Machines)), cutAsk: make([]float64, len(p.Machines)), cutAns: make([]float64, len(p.Machines)), lives: make([]int, len(p.Machines)), starts: make([]time.Duration, len(p.Machines)),
		told: make([]time.Duration, p.Scenario.Fleet.Sidecars)}
	defer w.close()
	if err := w.build(ctx); err != nil {
		return res, err
	}
	if err := w.play(ctx, &res); err != nil {
		return res, err
	}
	w.report()
	return res, nil
}

// enough says whether the machine allows as many descriptors as the plan needs.
func enough(p *runplan.Plan) error {
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

func (w *world) build(ctx context.Context) error {
	s := w.p.Scenario
	for i, m := range w.p.Machines {
		n := standin.NewNode(standin.NodeOptions{Number: int32(i), Requests: w.book, Log: w.log, ConnCap: s.Fleet.MaxConns,
			Handshake: s.Fleet.HandshakeWork.Std(), IdleTimeout: s.Fleet.IdleClose.Std(), StopsOnCancel: s.Fleet.StopsCancelled})
		// Each node has an IP address of its own, so that no outgoing connection takes its port while it is down.
		l, err := net.Listen("tcp", host(nodeNet, i))
		if err != nil {
			return fmt.Errorf("node %d: %w", i, err)
		}
		w.nodes, w.addr = append(w.nodes, n), append(w.addr, l.Addr().String())
		if m.StartsAt > 0 {
			_ = l.Close()
			l = nil
		}
		w.listen = append(w.listen, l)
	}
	number := func(uid string) int32 {
		return int32(slices.IndexFunc(w.p.Machines, func(m runplan.Machine) bool { return m.ID == uid }))
	}
	for i := range s.Fleet.Sidecars {
		var links []*standin.Link
		for n := range w.p.Machines {
			k, err := standin.NewLink(standin.SidecarIP(i), w.addr[n], w.way(i, n), w.p.Seed+uint64(i*1000+n))
			if err != nil {
				return err
			}
			links = append(links, k)
		}
		w.links = append(w.links, links)
		var first []standin.Entry
		for n, m := range w.p.Machines {
			if m.StartsAt == 0 {
				first = append(first, w.entry(i, n, record.Serving))
			}
		}
		d, err := standin.NewDiscovery(int32(i), first, w.log, number)
		if err != nil {
			return err
		}
		w.disc = append(w.disc, d)
		address, err := free(host(sideNet, i))
		if err != nil {
			return fmt.Errorf("sidecar %d: %w", i, err)
		}
		w.side = append(w.side, &process{address: address, name: fmt.Sprintf("n%d", i), command: w.opt.Command, log: w.opt.Sidecars,
			file: filepath.Join(w.dir, fmt.Sprintf("n%d.json", i))})
	}
	var starting sync.WaitGroup
	failures := make(chan error, len(w.side))
	for i := range w.side {
		starting.Add(1)
		go func() {
			defer starting.Done()
			failures <- w.start(ctx, i)
		}()
	}
	starting.Wait()
	close(failures)
	var all error
	for err := range failures {
		all = errors.Join(all, err)
	}
	return all
}

// way is the condition of the link between a sidecar and a node as things stand.
func (w *world) way(i, n int) standin.LinkCondition {
	net := w.p.Scenario.Network
	zone, at := i%len(w.p.Scenario.Fleet.Zones), w.p.Machines[n].Zone
	way := standin.LinkCondition{ResetAfter: w.cutAsk[n], Truncate: w.cutAns[n], Delay: net.SameZone.Std(), JitterFraction: net.Jitter, HandshakeRoundTrips: w.p.Scenario.Fleet.HandshakeRTTs,
		Blackhole: w.mute[n] || zone != at && (w.cut[zone] || w.cut[at])}
	if zone != at {
		way.Delay = net.CrossZone.Std()
	}
	return way
}

// rewire sets all links anew. Each may take some time.
func (w *world) rewire() {
	var all sync.WaitGroup
	for i := range w.links {
		for n := range w.links[i] {
			way := w.way(i, n)
			all.Add(1)
			go func() {
				defer all.Done()
				w.links[i][n].SetCondition(way)
			}()
		}
	}
	all.Wait()
}

func (w *world) entry(i, n int, state record.State) standin.Entry {
	m := w.p.Machines[n]
	e := standin.Entry{UID: m.ID, Endpoint: w.links[min(i, len(w.links)-1)][n].Address(), AZ: w.p.Scenario.Fleet.Zones[m.Zone],
		Model: m.Kind, PodGroup: m.PodGroup, State: standin.States[state], Capacity: m.Weight}
	if w.starts[n] > 0 {
		e.BootMS = w.log.Start().Add(w.starts[n]).UnixMilli()
	}
	return e
}

// raise begins a process of a node.
func (w *world) raise(n int, l net.Listener, started time.Duration) {
	m, f := w.p.Machines[n], w.p.Scenario.Fleet
	spec := m.Spec
	spec.StartedAt = started
	pod := w.pods[m.PodGroup]
	if pod == nil {
		pod = servermodel.NewPod(w.p.DedupeWindow())
		w.pods[m.PodGroup] = pod
	}
	w.starts[n] = started
	w.lives[n]++
	keys := servermodel.KeySettings{Saving: f.CacheSaving, Lifetime: f.CacheTTL.Std(), Max: f.CacheKeysPerCore * spec.Cores}
	w.nodes[n].Start(l, servermodel.NewServer(servermodel.NewProcessor(spec, w.log.Now()), pod, keys,
		rand.New(rand.NewPCG(w.p.Seed, uint64(n)<<20+uint64(w.lives[n])))))
	w.log.Add(record.Event{Kind: record.NodeStarted, Node: int32(n), Capacity: float64(spec.Cores) * spec.Speed, Boot: started})
}

// start starts a sidecar and waits until it is ready.
func (w *world) start(ctx context.Context, i int) error {
	p := w.side[i]
	if err := p.start(config(w.p, i, p.address, w.disc[i].Address(), w.disc[i].Snapshot())); err != nil {
		return fmt.Errorf("sidecar %s: %w", p.name, err)
	}
	if err := p.ready(ctx, p.address); err != nil {
		return fmt.Errorf("sidecar %s: %w", p.name, err)
	}
	return nil
}

// restart kills a sidecar and starts it again. Its clients hold back meanwhile, as a request to a process that is not
// there is not taken; what crosses the end on a connection goes down with it.
func (w *world) restart(ctx context.Context, i int) error {
	w.clients[i].SetAddress("")
	w.side[i].kill()
	w.log.Add(record.Event{Kind: record.SidecarDown, Sidecar: int32(i)})
	if err := w.start(ctx, i); err != nil {
		return err
	}
	w.log.Add(record.Event{Kind: record.SidecarDown, Sidecar: int32(i)})
	w.clients[i].SetAddress(w.side[i].address)
	return nil
}

// play runs the day.
func (w *world) play(ctx context.Context, res *Result) error {
	s := w.p.Scenario
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	keys := workload.NewZipf(s.Load.Keys, s.Load.Zipf)
	var ids atomic.Uint64
	for i := range w.side {
		c := standin.NewClients(standin.ClientOptions{Sidecar: int32(i), Scenario: s, Requests: w.book, Log: w.log, IDs: &ids,
			ResponseGrace: patience}, w.p.Seed)
		c.SetAddress(w.side[i].address)
		w.clients = append(w.clients, c)
	}
	w.log.Begin() // the day begins now, and with it the nodes' clocks
	for i, l := range w.listen {
		if l != nil {
			w.raise(i, l, 0)
		}
	}
	w.listen = nil
	for i := range w.side {
		w.side[i].watch(func(err error) { cancel(fmt.Errorf("sidecar n%d ended: %w", i, err)) })
	}
	var running sync.WaitGroup
	late := make([]time.Duration, len(w.clients))
	for i, c := range w.clients {
		running.Add(1)
		go func() {
			defer running.Done()
			late[i] = c.Run(ctx, workload.NewSource(s, i, w.p.Seed, keys))
		}()
	}
	acting := make(chan struct{})
	go func() {
		defer close(acting)
		w.acts(ctx, cancel)
	}()
	over := make(chan struct{})
	go func() {
		running.Wait()
		close(over)
	}()
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for done := false; !done; {
		select {
		case <-over:
			done = true
		case <-beat.C:
			if w.opt.Progress != nil {
				w.opt.Progress(w.log.Now())
			}
		}
	}
	<-acting
	w.restarts.Wait()
	if err := context.Cause(ctx); err != nil {
		return fmt.Errorf("interrupted at %v of %v: %w", w.log.Now().Round(time.Millisecond), s.Length.Std(), err)
	}
	for _, l := range late {
		res.Late = max(res.Late, l)
	}
	for _, p := range w.side {
		rss, open := p.size()
		res.MostRSS, res.MostOpen = max(res.MostRSS, rss), max(res.MostOpen, open)
	}
	return w.stop()
}

// stop ends the sidecars as a planned restart would, and has them finish.
func (w *world) stop() error {
	var all error
	var ending sync.WaitGroup
	var mu sync.Mutex
	for _, p := range w.side {
		ending.Add(1)
		go func() {
			defer ending.Done()
			if err := p.finish(endWithin); err != nil {
				mu.Lock()
				all = errors.Join(all, fmt.Errorf("sidecar %s: %w", p.name, err))
				mu.Unlock()
			}
		}()
	}
	ending.Wait()
	return all
}

// close ends whatever is left.
func (w *world) close() {
	for _, p := range w.side {
		p.kill()
	}
	for _, d := range w.disc {
		d.Close()
	}
	for _, n := range w.nodes {
		n.Kill()
	}
	for _, l := range w.listen {
		if l != nil {
			_ = l.Close()
		}
	}
	var all sync.WaitGroup
	for _, links := range w.links {
		for _, k := range links {
			all.Add(1)
			go func() {
				defer all.Done()
				k.Close()
			}()
		}
	}
	all.Wait()
}

// report hands the record to the sink, in the order of time.
func (w *world) report() {
	events := w.log.Events()
	slices.SortStableFunc(events, func(a, b record.Event) int { return cmp.Compare(a.At, b.At) })
	for i := range events {
		w.opt.Sink.Record(&events[i])
	}
	for i, n := range w.nodes {
		w.opt.Sink.Record(&record.Event{At: w.log.Now(), Kind: record.NodeWork, Node: int32(i), Work: n.Worked()})
	}
}

// acts does the plan's acts in their time.
func (w *world) acts(ctx context.Context, fail context.CancelCauseFunc) {
	for _, a := range w.p.Actions {
		t := time.NewTimer(max(a.At-w.log.Now(), 0))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		if err := w.act(ctx, a, fail); err != nil {
			fail(err)
			return
		}
	}
}

func (w *world) act(ctx context.Context, a runplan.Action, fail context.CancelCauseFunc) error {
	n := a.Node
	change := func(do func(s *servermodel.Server, now time.Duration)) { w.nodes[n].Change(do) }
	switch a.Kind {
	case runplan.FaultOver:
		w.log.Add(record.Event{Kind: record.FaultOver})
	case runplan.CutZone:
		w.cut[n] = a.On
		w.rewire()
	case runplan.IsolateNode:
		w.mute[n] = a.On
		w.rewire()
	case runplan.CutRequestShare:
		w.cutAsk[n] = a.Value
		w.rewire()
	case runplan.CutResponseShare:
		w.cutAns[n] = a.Value
		w.rewire()
	case runplan.SilenceDiscovery:
		for _, d := range w.disc {
			d.SetStalled(a.On)
		}
	case runplan.CutWatch:
		for _, d := range w.disc {
			d.TruncateNext()
		}
	case runplan.RewindWatch:
		for _, d := range w.disc {
			d.Rollback()
		}
	case runplan.MoveWatch:
		return w.move()
	case runplan.RestartSidecar:
		w.restarts.Add(1)
		go func() { // acts of this moment are not to wait for it
			defer w.restarts.Done()
			if err := w.restart(ctx, n); err != nil {
				fail(err)
			}
		}()
	case runplan.StartNode, runplan.RestartNode:
		l, err := net.Listen("tcp", w.addr[n])
		if err != nil {
			return fmt.Errorf("node %d: %w", n, err)
		}
		w.raise(n, l, max(w.log.Now(), 1))
		w.tell(n, record.Serving)
	case runplan.DrainNode:
		w.tell(n, record.Draining)
	case runplan.RemoveNode:
		w.nodes[n].Kill()
		w.tell(n, record.Gone)
	case runplan.CrashNode:
		w.nodes[n].Kill()
	case runplan.SlowNode:
		change(func(s *servermodel.Server, now time.Duration) { s.SetSlowdown(now, a.Value) })
	case runplan.LoseClass:
		change(func(s *servermodel.Server, _ time.Duration) { s.Faults.SwallowedClasses[a.Class] = a.On })
	case runplan.RejectClass:
		change(func(s *servermodel.Server, _ time.Duration) { s.Faults.RejectedClasses[a.Class] = a.On })
	case runplan.LoseShare:
		change(func(s *servermodel.Server, _ time.Duration) { s.Faults.LossShare = a.Value })
	case runplan.ErrorShare:
		change(func(s *servermodel.Server, _ time.Duration) { s.Faults.ErrorShare = a.Value })
	case runplan.GarbleShare:
		change(func(s *servermodel.Server, _ time.Duration) { s.Faults.MalformedShare = a.Value })
	}
	return nil
}

// oldWatches is how long a discovery that has moved leaves its old connections open.
const oldWatches = 1500 * time.Millisecond

// move has every discovery move, and tells the sidecars by a reload.
func (w *world) move() error {
	for i, d := range w.disc {
		if err := d.Move(oldWatches); err != nil {
			return err
		}
		p := w.side[i]
		if err := p.reload(config(w.p, i, p.address, d.Address(), d.Snapshot())); err != nil {
			return fmt.Errorf("sidecar %s: %w", p.name, err)
		}
	}
	return nil
}

// tell has every sidecar's discovery tell of a node, some time later and in order.
func (w *world) tell(n int, state record.State) {
	notice := w.p.Scenario.DiscoveryDelay
	for i, d := range w.disc {
		at := w.log.Now() + notice.From.Std() + time.Duration(w.rng.Float64()*float64(notice.To-notice.From))
		w.told[i] = max(w.told[i]+time.Millisecond, at)
		e := w.entry(i, n, state)
		time.AfterFunc(w.told[i]-w.log.Now(), func() { d.Publish(e) })
	}
}

// The second numbers of the loopback addresses of nodes and sidecars.
const nodeNet, sideNet = 10, 20

// host is an address on loopback of its own, with any port.
func host(network, i int) string { return fmt.Sprintf("127.%d.%d.%d:0", network, i/200, 1+i%200) }

// free finds a port at an address that nobody listens at.
func free(address string) (string, error) {
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

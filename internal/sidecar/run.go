package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"milletramp.example/milletramp/internal/admin"
	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/downstream"
	"milletramp.example/milletramp/internal/hotrestart"
	"milletramp.example/milletramp/internal/netretry"
	"milletramp.example/milletramp/internal/proxy"
)

const memoryShare = 0.6 // of the limit that the heap may grow to; the rest is for what is not heap

// drainTimes say how a planned restart goes.
type drainTimes struct {
	acceptFor          time.Duration // new connections go on coming for 0.4 s after the restart is announced
	quietPeriod        time.Duration // and then none may be left waiting
	idleGrace          time.Duration // while a client that was about to use one can still open another
	unusedGrace        time.Duration // a connection that never had a request is left to bring one
	listTimeout        time.Duration // the list may take, beside another process
	successorIdleGrace time.Duration // and clients' connections that idle are left to end by themselves
	maxDeadline        time.Duration // the most that a deadline counts for in the time until the process may be killed
}

// Run is the sidecar, from its configuration to the end of its last request after stop is done. At each reload it
// reads its configuration again. join begins its part in the fleet; nil: it can have none.
func Run(stop context.Context, reload <-chan os.Signal, c *config.Config, log *slog.Logger, join JoinFunc) error {
	return run(stop, reload, c, log, join, drainTimes{acceptFor: 450 * time.Millisecond, quietPeriod: 25 * time.Millisecond,
		idleGrace: 300 * time.Millisecond, unusedGrace: 300 * time.Millisecond, listTimeout: time.Second,
		successorIdleGrace: downstream.IdleTimeout + 200*time.Millisecond, maxDeadline: proxy.MaxKillDeadline}, hooks{started: func(*operator) {}})
}

// run is Run with the times and hooks of a test. It starts and ends all goroutines of the process; what is deferred here
// ends in reverse: the server, the part in the fleet, the console, the entry for other processes, and last the loops.
func run(stop context.Context, reload <-chan os.Signal, c *config.Config, log *slog.Logger, join JoinFunc, times drainTimes,
	with hooks) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(float64(c.MemoryMB<<20) * memoryShare))

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h, err := proxy.NewEventLoop(ctx, c, newSocketBudget(c).UpstreamConns, log, nil)
	if err != nil {
		return err
	}
	h.Upstream().SetDial(with.dial)
	p := &process{config: c, log: log, times: times, hooks: with, loop: h}
	p.startLoops(ctx, reload)
	defer p.background.Wait()
	defer cancel()

	// Other processes may call the console as soon as they see this one, so it listens first.
	calls, err := p.listenForCalls(stop)
	if err != nil {
		return unlessStopped(stop, err)
	}
	if calls != nil {
		defer calls.Close()
	}
	p.operator = &operator{loop: h, metrics: h.Metrics(), group: joinProcessGroup(c, log)}
	defer func() { _ = p.operator.group.member.Leave() }() // what is left binds nobody
	if calls != nil {
		defer startAdmin(calls, p.operator, log)()
	}
	hasPredecessor := len(p.operator.group.member.Others()) > 0
	if err := p.operator.inherit(ctx); err != nil {
		return err
	}
	leave, err := p.operator.joinFleet(stop, c, log, join)
	if err != nil {
		return err
	}
	defer leave()
	if hasPredecessor && !p.awaitServers(stop) {
		return nil
	}
	inner, err := p.hooks.listenWithRetry(stop, func() (*net.TCPListener, error) { return downstream.ListenShared(c.Listen, log) })
	if err != nil {
		return unlessStopped(stop, err)
	}
	defer inner.Close()
	p.startServing(ctx, inner, hasPredecessor)
	if err := p.awaitStop(stop); err != nil {
		return err
	}
	return p.drain()
}

// process is a running sidecar. Only run and what it calls use it.
type process struct {
	config     *config.Config
	log        *slog.Logger
	times      drainTimes
	hooks      hooks
	loop       *proxy.EventLoop
	background sync.WaitGroup // end with the context of run

	operator   *operator
	accepting  *downstream.DrainListener // accepts from the kernel
	conns      *downstream.Listener      // holds the clients' connections
	handler    *proxy.Handler
	httpServer *http.Server
	served     chan error // gets what ended web.Serve, once
}

// startLoops starts the host's loop and the one that reloads the configuration, also while draining.
func (p *process) startLoops(ctx context.Context, reload <-chan os.Signal) {
	p.background.Add(2)
	go func() { // ends with ctx
		defer p.background.Done()
		p.loop.Run(ctx)
	}()
	go func() { // ends with ctx
		defer p.background.Done()
		for inUse := p.config; ; {
			select {
			case <-reload:
				inUse = p.reload(ctx, inUse)
			case <-ctx.Done():
				return
			}
		}
	}()
}

// listenForCalls opens the console's listener, nil where the configuration names no console.
func (p *process) listenForCalls(stop context.Context) (net.Listener, error) {
	if p.config.Console == "" {
		return nil, nil
	}
	calls, err := p.hooks.listenWithRetry(stop, func() (*net.TCPListener, error) { return downstream.Listen(p.config.Console) })
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return calls, nil
}

// awaitServers waits until servers are known, beside another process: the list that the platform wrote down is older
// than what the other process goes by, and a process that listens and has no servers rejects what the other one would
// serve. It returns false where the process was told to stop meanwhile.
func (p *process) awaitServers(stop context.Context) bool {
	select {
	case <-p.loop.FirstUpdate():
	case <-time.After(p.times.listTimeout):
	case <-stop.Done():
		return false
	}
	select {
	case <-p.loop.Ready():
		return true
	case <-stop.Done():
		return false
	}
}

// startServing serves the clients that connect to inner.
func (p *process) startServing(ctx context.Context, inner *net.TCPListener, hasPredecessor bool) {
	p.accepting = downstream.NewDrainListener(inner, p.hooks.accept, p.times.quietPeriod)
	if err := p.accepting.ShareConnections(); err != nil {
		p.log.Debug("the kernel chooses among the processes of this address", "err", err)
	}
	b := newSocketBudget(p.config)
	p.conns = downstream.NewListener(netretry.NewListener(p.accepting, p.log), b.ClientConns, b.KeepAliveConns, &p.loop.Metrics().UnservedConns)
	p.handler = proxy.NewHandler(p.config, p.loop, b.Requests)
	context.AfterFunc(p.handler.Shutdown(), p.conns.RetireAll)
	p.handler.SetPolicyGate(p.operator.gate)
	p.background.Add(1)
	go func() { // ends with ctx
		defer p.background.Done()
		p.operator.group.watch(ctx, func(shares int) {
			p.log.Info("processes of this sidecar", "count", shares)
			p.share(shares)
		})
	}()
	if hasPredecessor {
		p.operator.group.shares.Store(2)
		p.share(2)
	}
	p.httpServer = p.conns.HTTPServer(p.handler, p.log)
	p.httpServer.ConnContext = proxy.ConnContext
	p.served = make(chan error, 1)
	go func() { p.served <- p.httpServer.Serve(p.conns) }() // ends when drain closes the listener
	p.operator.server.Store(&clientServer{p.handler, p.conns})
	p.hooks.started(p.operator)
	p.log.Info("serving", "name", p.config.Name, "address", inner.Addr().String())
}

// awaitStop tells other processes that this one is ready, once it is, and waits until it is told to stop. It returns an
// error where serving ends before.
func (p *process) awaitStop(stop context.Context) error {
	for ready := p.loop.Ready(); ; {
		select {
		case err := <-p.served:
			return fmt.Errorf("serve: %w", err)
		case <-ready:
			p.setPhase(hotrestart.Ready, "the next process cannot take over from this one")
			p.operator.announced.Store(true)
			ready = nil
		case <-stop.Done():
			return nil
		}
	}
}

// setPhase tells other processes how far this one is. warning says what follows if that fails.
func (p *process) setPhase(phase hotrestart.Phase, warning string) {
	if err := p.operator.group.member.Update(func(s *hotrestart.State) { s.Phase = phase }); err != nil {
		p.log.Warn(warning, "err", err)
	}
}

// drain ends serving once all that was read has its answer. Connections that are waiting when the listener closes are
// reset, and what they sent is lost. So this goes on accepting and serving first, and only asks clients to close.
func (p *process) drain() error {
	p.handler.Drain(p.times.maxDeadline) // first: the time until the kill runs
	succeeded := p.operator.group.hasSuccessor()
	p.log.Info("draining", "succeeded", succeeded)
	p.setPhase(hotrestart.Draining, "the next process does not know that this one drains")
	accept, closeIdle := p.times.acceptFor, p.times.idleGrace
	if succeeded {
		accept, closeIdle = 0, p.times.successorIdleGrace // the next process takes what comes
		if err := p.accepting.RedirectToSuccessor(); err != nil {
			p.log.Warn("connections that come just now may be reset", "err", err)
		}
	}
	idleFrom := time.Now().Add(closeIdle)
	idle := time.AfterFunc(closeIdle, func() { p.conns.RetireIdle(p.times.unusedGrace) })
	defer idle.Stop()
	if err := p.accepting.Drain(accept); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	<-p.served
	p.awaitConnections(idleFrom)
	if err := p.httpServer.Close(); err != nil { // which holds nothing any more
		return fmt.Errorf("close: %w", err)
	}
	// The console closes next, and whoever passes an operator's call on to this process would be turned away. It has
	// nothing in hand that a call could still concern.
	if err := p.operator.group.member.Leave(); err != nil {
		p.log.Warn("the next process takes this one for a living one until it has ended", "err", err)
	}
	p.log.Info("drained")
	return nil
}

// awaitConnections waits until no client's connection is open; idle ones are ended from idleFrom on. http.Server.Shutdown
// reads what still comes on connections and drops it, and closes others under a request that was just read. So
// connections end one by one, each when it has answered, or has nothing to answer.
func (p *process) awaitConnections(idleFrom time.Time) {
	for p.conns.Counts().Open > 0 {
		switch {
		case p.handler.Shutdown().Err() != nil:
			p.conns.RetireAll()
		case time.Now().After(idleFrom):
			p.conns.RetireIdle(p.times.unusedGrace)
		}
		time.Sleep(p.times.quietPeriod)
	}
}

// unlessStopped returns err, with which the start failed, or nil where the process was told to stop meanwhile.
func unlessStopped(stop context.Context, err error) error {
	if stop.Err() != nil {
		return nil
	}
	return err
}

// startAdmin answers the calls that come to l, and returns what ends it.
func startAdmin(l net.Listener, staff *operator, log *slog.Logger) (stop func()) {
	calls := admin.New(l, staff, log)
	var over sync.WaitGroup
	over.Add(1)
	go func() {
		defer over.Done()
		if err := calls.Serve(); err != nil {
			log.Error("console ended", "err", err)
		}
	}()
	log.Info("console", "at", l.Addr().String())
	return func() {
		_ = calls.Close() // ends Serve, which tells
		over.Wait()
	}
}

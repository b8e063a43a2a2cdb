package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"milletramp.example/milletramp/internal/admin"
	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/downstream"
	"milletramp.example/milletramp/internal/hotrestart"
	"milletramp.example/milletramp/internal/netretry"
	"milletramp.example/milletramp/internal/proxy"
)

// process is a running sidecar. Only run and what it calls use it.
type process struct {
	config     *config.Config
	log        *slog.Logger
	times      drainTimes
	hooks      hooks
	loop       *proxy.EventLoop
	background sync.WaitGroup // goroutines that end with the context of run

	operator      *operator
	drainListener *downstream.DrainListener // accepts from the kernel
	conns         *downstream.Listener      // tracks the clients' connections
	handler       *proxy.Handler
	httpServer    *http.Server
	serveResult   chan error // gets what ended httpServer.Serve, once
}

// newProcess returns a process whose attempts and watches end with ctx.
func newProcess(ctx context.Context, c *config.Config, log *slog.Logger, times drainTimes,
	testHooks hooks) (*process, error) {
	loop, err := proxy.NewEventLoop(ctx, c, newSocketBudget(c).UpstreamConns, log, nil)
	if err != nil {
		return nil, err
	}
	loop.Upstream().SetDial(testHooks.dial)
	return &process{config: c, log: log, times: times, hooks: testHooks, loop: loop}, nil
}

// startLoops starts the event loop and the reloads, which go on while the process drains.
func (p *process) startLoops(ctx context.Context, reload <-chan os.Signal) {
	p.background.Add(2)
	go func() { // ends with ctx
		defer p.background.Done()
		p.loop.Run(ctx)
	}()
	go func() { // ends with ctx
		defer p.background.Done()
		p.handleReloads(ctx, reload)
	}()
}

// awaitServers waits until servers are known, while a predecessor serves: the list in the configuration is older than
// what the predecessor goes by, and a process that listens and knows no servers rejects what the predecessor would
// serve. It returns false where the process got the signal to stop meanwhile.
func (p *process) awaitServers(stop context.Context) bool {
	select {
	case <-p.loop.FirstUpdate():
	case <-time.After(p.times.firstListTimeout):
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

// startServing serves the clients that connect to listener.
func (p *process) startServing(ctx context.Context, listener *net.TCPListener, hasPredecessor bool) {
	p.drainListener = downstream.NewDrainListener(listener, p.hooks.accept, p.times.quietPeriod)
	if err := p.drainListener.ShareConnections(); err != nil {
		p.log.Debug("the kernel chooses among the processes of this address", "err", err)
	}
	budget := newSocketBudget(p.config)
	p.conns = downstream.NewListener(netretry.NewListener(p.drainListener, p.log), budget.ClientConns,
		budget.KeepAliveConns, &p.loop.Metrics().UnservedConns)
	p.handler = proxy.NewHandler(p.config, p.loop, budget.Requests)
	p.handler.SetPolicyGate(p.operator.gate)
	context.AfterFunc(p.handler.Shutdown(), p.conns.RetireAll)
	p.watchProcessGroup(ctx, hasPredecessor)
	p.httpServer = p.conns.HTTPServer(p.handler, p.log)
	p.httpServer.ConnContext = proxy.ConnContext
	p.serveResult = make(chan error, 1)
	go func() { p.serveResult <- p.httpServer.Serve(p.conns) }() // ends when drain closes the listener
	p.operator.server.Store(&clientServer{p.handler, p.conns})
	p.hooks.started(p.operator)
	p.log.Info("serving", "name", p.config.Name, "address", listener.Addr().String())
}

// watchProcessGroup shares the limits of the sidecar among its processes, and again each time that their number changes.
func (p *process) watchProcessGroup(ctx context.Context, hasPredecessor bool) {
	group := p.operator.group
	p.background.Add(1)
	go func() { // ends with ctx
		defer p.background.Done()
		group.watch(ctx, func(processes int) {
			p.log.Info("processes of this sidecar", "count", processes)
			p.setProcessCount(processes)
		})
	}()
	if hasPredecessor {
		group.processCount.Store(2)
		p.setProcessCount(2)
	}
}

// setProcessCount limits this process to its share where the sidecar is this many processes.
func (p *process) setProcessCount(processes int) {
	budget := newSocketBudget(p.config)
	p.handler.SetMaxInFlight(budget.Requests / processes)
	p.conns.SetLimits(budget.ClientConns/processes, max(budget.KeepAliveConns/processes, 1))
	p.loop.Upstream().SetMaxConns(budget.UpstreamConns / processes)
	setMemoryLimit(p.config, processes)
}

// awaitStop announces to other processes that this one is ready, once it is, and waits for the signal to stop. It
// returns an error where serving ends before.
func (p *process) awaitStop(stop context.Context) error {
	ready := p.loop.Ready()
	for {
		select {
		case err := <-p.serveResult:
			return fmt.Errorf("serve: %w", err)
		case <-ready:
			p.setPhase(hotrestart.Ready, "the next process cannot take over from this one")
			p.operator.readyAnnounced.Store(true)
			ready = nil
		case <-stop.Done():
			return nil
		}
	}
}

// setPhase announces to other processes how far this one is. consequence is logged if that fails.
func (p *process) setPhase(phase hotrestart.Phase, consequence string) {
	err := p.operator.group.member.Update(func(s *hotrestart.State) { s.Phase = phase })
	if err != nil {
		p.log.Warn(consequence, "err", err)
	}
}

// startAdminServer answers operators' calls that come to l, until stop is called.
func startAdminServer(l net.Listener, o *operator, log *slog.Logger) (stop func()) {
	server := admin.New(l, o, log)
	var serving sync.WaitGroup
	serving.Add(1)
	go func() { // ends when stop closes the server
		defer serving.Done()
		if err := server.Serve(); err != nil {
			log.Error("console ended", "err", err)
		}
	}()
	log.Info("console", "at", l.Addr().String())
	return func() {
		_ = server.Close() // its error is that of Serve, which is logged
		serving.Wait()
	}
}

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

// process is a running sidecar. It is used only by run and the functions that run calls.
type process struct {
	config     *config.Config
	log        *slog.Logger
	times      drainTimes
	hooks      hooks
	loop       *proxy.EventLoop
	background sync.WaitGroup // goroutines that end with the context of run

	operator      *operator
	drainListener *downstream.DrainListener // accepts connections from the kernel
	conns         *downstream.Listener      // tracks client connections
	handler       *proxy.Handler
	httpServer    *http.Server
	serveResult   chan error // receives the error of httpServer.Serve once
}

// newProcess returns a process whose attempts and discovery watches end with ctx.
func newProcess(ctx context.Context, c *config.Config, log *slog.Logger, times drainTimes,
	testHooks hooks) (*process, error) {
	loop, err := proxy.NewEventLoop(ctx, c, newSocketBudget(c).UpstreamConns, log, nil)
	if err != nil {
		return nil, err
	}
	loop.Upstream().SetDial(testHooks.dial)
	loop.Upstream().SetMaxBufferedBody(newMemoryBudget(c).ResponseBuffer)
	return &process{config: c, log: log, times: times, hooks: testHooks, loop: loop}, nil
}

// startLoops starts the event loop and the configuration reloader. Both keep running while the process drains.
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

// awaitServers is called while a predecessor serves. It waits up to firstListTimeout for the first endpoint list from
// discovery, because the list in the configuration is older than the one that the predecessor uses. It then waits until
// any endpoint list is available, because a process that listens without servers rejects requests that the predecessor
// would serve. It returns false if stop is done first.
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

// startServing starts to serve the clients that connect to listener.
func (p *process) startServing(ctx context.Context, listener *net.TCPListener, hasPredecessor bool) {
	p.drainListener = downstream.NewDrainListener(listener, p.hooks.accept, p.times.quietPeriod)
	if err := p.drainListener.ShareConnections(); err != nil {
		p.log.Debug("cannot remove the connection filter of the predecessor", "err", err)
	}
	budget := newSocketBudget(p.config)
	p.conns = downstream.NewListener(netretry.NewListener(p.drainListener, p.log), budget.ClientConns,
		budget.KeepAliveConns, &p.loop.Metrics().UnservedConns)
	p.conns.SetEndUnresponsiveResponse(p.loop.Upstream().EndUnresponsiveStream)
	p.handler = proxy.NewHandler(p.config, p.loop, budget.Requests)
	p.handler.SetPolicyGate(p.operator.gate)
	p.handler.SetStreamBuffer(newMemoryBudget(p.config).StreamBuffer)
	context.AfterFunc(p.handler.Shutdown(), p.conns.RetireAll)
	p.watchProcessGroup(ctx, hasPredecessor)
	p.httpServer = p.conns.HTTPServer(p.handler, p.log)
	p.httpServer.ConnContext = proxy.ConnContext
	p.serveResult = make(chan error, 1)
	go func() { p.serveResult <- p.httpServer.Serve(p.conns) }() // ends when the drain closes the listener
	p.operator.server.Store(&clientServer{p.handler, p.conns})
	p.hooks.started(p.operator)
	p.log.Info("serving", "name", p.config.Name, "address", listener.Addr().String())
}

// watchProcessGroup divides the limits of the sidecar among its processes, anew at each poll while there are others.
func (p *process) watchProcessGroup(ctx context.Context, hasPredecessor bool) {
	group := p.operator.group
	if hasPredecessor {
		group.processCount.Store(maxProcessCount)
		setMemoryLimit(p.config, maxProcessCount)
		p.divideLimits(group.others())
	}
	p.background.Add(1)
	go func() { // ends with ctx
		defer p.background.Done()
		group.watch(ctx, func(others []hotrestart.State, processes int, changed bool) {
			if changed {
				p.log.Info("number of sidecar processes changed", "count", processes)
				setMemoryLimit(p.config, processes)
			}
			p.divideLimits(others)
		})
	}()
}

// awaitStop waits until stop is done. It publishes to the process group that this process is ready once it has an
// endpoint list. It returns an error if serving ends first.
func (p *process) awaitStop(stop context.Context) error {
	ready := p.loop.Ready()
	for {
		select {
		case err := <-p.serveResult:
			return fmt.Errorf("serve: %w", err)
		case <-ready:
			p.setPhase(hotrestart.Ready,
				"cannot publish the ready phase: a successor cannot take over from this process")
			p.operator.readyAnnounced.Store(true)
			ready = nil
		case <-stop.Done():
			return nil
		}
	}
}

// setPhase publishes the phase of this process to the process group. If that fails, it logs consequence.
func (p *process) setPhase(phase hotrestart.Phase, consequence string) {
	err := p.operator.group.member.Update(func(s *hotrestart.State) { s.Phase = phase })
	if err != nil {
		p.log.Warn(consequence, "err", err)
	}
}

// startAdminServer serves operators' calls on l until stop is called.
func startAdminServer(l net.Listener, o *operator, log *slog.Logger) (stop func()) {
	server := admin.New(l, o, log)
	var serving sync.WaitGroup
	serving.Add(1)
	go func() { // ends when stop closes the server
		defer serving.Done()
		if err := server.Serve(); err != nil {
			log.Error("admin server failed", "err", err)
		}
	}()
	log.Info("admin server listening", "address", l.Addr().String())
	return func() {
		_ = server.Close() // Serve returns the same error, which is logged
		serving.Wait()
	}
}

package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/downstream"
	"milletramp.example/milletramp/internal/proxy"
)

// heapFraction is the part of the memory limit that the heap may grow to. The rest is for what is not heap.
const heapFraction = 0.6

// defaultDrainTimes are the times of a planned restart. Clients open connections for 0.4 s after it is announced.
var defaultDrainTimes = drainTimes{
	acceptPeriod:             450 * time.Millisecond,
	quietPeriod:              25 * time.Millisecond,
	idleGracePeriod:          300 * time.Millisecond,
	unusedGracePeriod:        300 * time.Millisecond,
	firstListTimeout:         time.Second,
	successorIdleGracePeriod: downstream.IdleTimeout + 200*time.Millisecond,
	maxKillDeadline:          proxy.MaxKillDeadline,
}

// Run runs a sidecar until the last response after stop is done. At each reload it reads its configuration again. join
// begins its part in a fleet; nil: it can have none.
func Run(stop context.Context, reload <-chan os.Signal, c *config.Config, log *slog.Logger, join JoinFunc) error {
	return run(stop, reload, c, log, join, defaultDrainTimes, hooks{started: func(*operator) {}})
}

// run is Run with the times and hooks of a test. What is deferred here ends in reverse: the listener, the part in the
// fleet, the admin server, the membership of the process group, and last the loops.
func run(stop context.Context, reload <-chan os.Signal, c *config.Config, log *slog.Logger, join JoinFunc,
	times drainTimes, testHooks hooks) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	setMemoryLimit(c, 1)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p, err := newProcess(ctx, c, log, times, testHooks)
	if err != nil {
		return err
	}
	p.startLoops(ctx, reload)
	defer p.background.Wait()
	defer cancel()

	// Other processes may call the admin server as soon as they see this one, so it listens first.
	adminListener, err := p.listenAdmin(stop)
	if err != nil {
		return errorUnlessStopped(stop, err)
	}
	if adminListener != nil {
		defer adminListener.Close()
	}
	p.operator = newOperator(p.loop, joinProcessGroup(c, log))
	defer func() { _ = p.operator.group.member.Leave() }() // state that is left has no effect
	if adminListener != nil {
		defer startAdminServer(adminListener, p.operator, log)()
	}
	hasPredecessor := p.operator.group.hasOthers()
	if err := p.operator.inheritAdminDown(ctx); err != nil {
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
	listener, err := p.listenClients(stop)
	if err != nil {
		return errorUnlessStopped(stop, err)
	}
	defer listener.Close()
	p.startServing(ctx, listener, hasPredecessor)
	if err := p.awaitStop(stop); err != nil {
		return err
	}
	return p.drain()
}

// setMemoryLimit sets the limit of the heap where the sidecar is this many processes.
func setMemoryLimit(c *config.Config, processes int) {
	debug.SetMemoryLimit(int64(float64(c.MemoryMB<<20) * heapFraction / float64(processes)))
}

// listenAdmin opens the listener of the admin server, nil where the configuration names no address for it.
func (p *process) listenAdmin(stop context.Context) (net.Listener, error) {
	if p.config.AdminAddress == "" {
		return nil, nil
	}
	l, err := p.hooks.listenWithRetry(stop, func() (*net.TCPListener, error) {
		return downstream.Listen(p.config.AdminAddress)
	})
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return l, nil
}

// listenClients opens the listener for the application, at an address that processes of the sidecar share.
func (p *process) listenClients(stop context.Context) (*net.TCPListener, error) {
	return p.hooks.listenWithRetry(stop, func() (*net.TCPListener, error) {
		return downstream.ListenShared(p.config.ListenAddress, p.log)
	})
}

// errorUnlessStopped returns err, with which the start failed, or nil where the process got the signal to stop meanwhile.
func errorUnlessStopped(stop context.Context, err error) error {
	if stop.Err() != nil {
		return nil
	}
	return err
}

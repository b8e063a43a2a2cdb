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

// heapFraction is the fraction of the memory limit that the heap may use. The rest is for memory outside the heap.
const heapFraction = 0.6

// defaultDrainTimes are the drain times of a planned restart. Clients may open connections for up to 0.4 s after the
// restart is announced.
var defaultDrainTimes = drainTimes{
	acceptPeriod:             450 * time.Millisecond,
	quietPeriod:              25 * time.Millisecond,
	idleGracePeriod:          300 * time.Millisecond,
	unusedGracePeriod:        300 * time.Millisecond,
	firstListTimeout:         time.Second,
	successorIdleGracePeriod: proxy.KillExemption,
	maxKillDeadline:          proxy.MaxKillDeadline,
}

// Run runs a sidecar until stop is done and the last response has been sent. It reloads the configuration at each
// signal on reload. join makes the sidecar a member of a fleet; nil if the program does not support fleets.
func Run(stop context.Context, reload <-chan os.Signal, c *config.Config, log *slog.Logger, join JoinFunc) error {
	return run(stop, reload, c, log, join, defaultDrainTimes, hooks{started: func(*operator) {}})
}

// run is Run with configurable drain times and test hooks. The deferred calls stop the components in reverse order of
// their start: the listener, the fleet participant, the admin server, the membership in the process group and, last,
// the event loop and the reloader.
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

	// Other processes may call the admin server as soon as they see this process, so it listens before the process
	// joins the group.
	adminListener, err := p.listenAdmin(stop)
	if err != nil {
		return errorUnlessStopped(stop, err)
	}
	if adminListener != nil {
		defer adminListener.Close()
	}
	p.operator = newOperator(p.loop, joinProcessGroup(c, log))
	defer func() { _ = p.operator.group.member.Leave() }() // state files that remain have no effect
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

// setMemoryLimit sets the runtime's memory limit to this process's share of the sidecar's heap.
func setMemoryLimit(c *config.Config, processes int) {
	debug.SetMemoryLimit(int64(float64(c.MemoryMB<<20) * heapFraction / float64(processes)))
}

// listenAdmin opens the listener of the admin server. It returns nil if the configuration has no admin address.
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

// listenClients opens the client listener on an address that the processes of the sidecar share.
func (p *process) listenClients(stop context.Context) (*net.TCPListener, error) {
	return p.hooks.listenWithRetry(stop, func() (*net.TCPListener, error) {
		return downstream.ListenShared(p.config.ListenAddress, p.log)
	})
}

// errorUnlessStopped returns err, the error of a failed start, or nil if stop is already done.
func errorUnlessStopped(stop context.Context, err error) error {
	if stop.Err() != nil {
		return nil
	}
	return err
}

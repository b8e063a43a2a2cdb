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
	"sync"
	"time"

	"milletramp.example/milletramp/internal/console"
	"milletramp.example/milletramp/internal/handover"
)

const memoryShare = 0.6 // of the limit that the heap may grow to; the rest is for what is not heap

// drainTimes say how a planned restart goes.
type drainTimes struct {
	accept    time.Duration // new connections go on coming for 0.4 s after the restart is announced
	quiet     time.Duration // and then none may be left waiting
	closeIdle time.Duration // while a client that was about to use one can still open another
	unused    time.Duration // a connection that never had a request is left to bring one
	listen    time.Duration // the list may take, beside another process
	idle      time.Duration // and clients' connections that idle are left to end by themselves
	deadline  time.Duration // the most that a deadline counts for in the time until the process may be killed
}

// Run is the sidecar, from its configuration to the end of its last request after stop is done. At each reload it
// reads its configuration again. join begins its part in the fleet; nil: it can have none.
func Run(stop context.Context, reload <-chan os.Signal, c *Config, log *slog.Logger, join Join) error {
	return run(stop, reload, c, log, join, drainTimes{accept: 450 * time.Millisecond, quiet: 25 * time.Millisecond,
		closeIdle: 300 * time.Millisecond, unused: 300 * time.Millisecond, listen: time.Second,
		idle: idleWithin + 200*time.Millisecond, deadline: killDeadline}, hooks{started: func(*ops) {}})
}

// run is Run with the times and hooks of a test.
func run(stop context.Context, reload <-chan os.Signal, c *Config, log *slog.Logger, join Join, times drainTimes,
	with hooks) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(float64(c.MemoryMB<<20) * memoryShare))

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h, err := newHost(ctx, c, log, nil)
	if err != nil {
		return err
	}
	h.upstream.pool.dial = with.dial
	var loop sync.WaitGroup
	loop.Add(2)
	go func() {
		defer loop.Done()
		h.run(ctx)
	}()
	go func() { // also while draining
		defer loop.Done()
		for inUse := c; ; {
			select {
			case <-reload:
				inUse = h.reload(ctx, inUse)
			case <-ctx.Done():
				return
			}
		}
	}()
	defer loop.Wait()
	defer cancel()

	// Other processes may call the console as soon as they see this one, so it listens first.
	var calls net.Listener
	if c.Console != "" {
		calls, err = with.listening(stop, func() (*net.TCPListener, error) { return listenPlainly(c.Console) })
		if err != nil {
			return endedBefore(stop, fmt.Errorf("console: %w", err))
		}
		defer calls.Close()
	}
	staff := &ops{host: h, figures: h.figures, family: joinFamily(c, log)}
	defer func() { _ = staff.family.member.Leave() }() // what is left binds nobody
	if calls != nil {
		defer startConsole(calls, staff, log)()
	}
	beside := len(staff.family.member.Others()) > 0
	if err := staff.join(ctx); err != nil {
		return err
	}
	leave, err := staff.joinFleet(stop, c, log, join)
	if err != nil {
		return err
	}
	defer leave()
	if beside { // the list that the platform wrote down is older than what the other process goes by
		select {
		case <-h.heard:
		case <-time.After(times.listen):
		case <-stop.Done():
			return nil
		}
		// A process that listens and has no servers refuses what the other one would serve.
		select {
		case <-h.ready:
		case <-stop.Done():
			return nil
		}
	}
	inner, err := with.listening(stop, func() (*net.TCPListener, error) { return listenShared(c.Listen, log) })
	if err != nil {
		return endedBefore(stop, err)
	}
	defer inner.Close()
	l := &drainListener{TCPListener: inner, accept: with.accept, quiet: times.quiet}
	if err := l.takeTurns(); err != nil {
		log.Debug("the kernel chooses among the processes of this address", "err", err)
	}
	s := newServer(c, h, l)
	s.gate = staff.gate
	loop.Add(1)
	go func() {
		defer loop.Done()
		staff.family.follow(ctx, func(shares int) {
			log.Info("processes of this sidecar", "count", shares)
			s.share(shares)
		})
	}()
	if beside {
		staff.family.shares.Store(2)
		s.share(2)
	}
	web := s.httpServer(log)
	ended := make(chan error, 1)
	go func() { ended <- web.Serve(s.conns) }()
	staff.server.Store(s)
	with.started(staff)
	log.Info("serving", "name", c.Name, "address", inner.Addr().String())
	for waiting := h.ready; ; {
		select {
		case err := <-ended:
			return fmt.Errorf("serve: %w", err)
		case <-waiting:
			if err := staff.family.member.Update(func(s *handover.State) { s.Phase = handover.Ready }); err != nil {
				log.Warn("the next process cannot take over from this one", "err", err)
			}
			staff.told.Store(true)
			waiting = nil
			continue
		case <-stop.Done():
		}
		break
	}
	// Connections that are waiting when the listener closes are reset, and what they sent is lost. So this
	// goes on accepting and serving first, and only asks clients to close.
	s.drain(times.deadline) // first: the time until the kill runs
	succeeded := staff.family.successor()
	log.Info("draining", "succeeded", succeeded)
	if err := staff.family.member.Update(func(s *handover.State) { s.Phase = handover.Draining }); err != nil {
		log.Warn("the next process does not know that this one drains", "err", err)
	}
	if succeeded {
		times.accept, times.closeIdle = 0, times.idle // the next process takes what comes
		if err := l.turnAway(); err != nil {
			log.Warn("connections that come just now may be reset", "err", err)
		}
	}
	closeIdle := time.Now().Add(times.closeIdle)
	idle := time.AfterFunc(times.closeIdle, func() { s.conns.retireIdle(times.unused) })
	defer idle.Stop()
	if err := l.drain(times.accept); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	<-ended
	// http.Server.Shutdown reads what still comes on connections and drops it, and closes others under a request
	// that was just read. So connections end one by one, each when it has answered, or has nothing to answer.
	for s.conns.held() > 0 {
		switch {
		case s.ending.Err() != nil:
			s.conns.retireAll()
		case time.Now().After(closeIdle):
			s.conns.retireIdle(times.unused)
		}
		time.Sleep(times.quiet)
	}
	if err := web.Close(); err != nil { // which holds nothing any more
		return fmt.Errorf("close: %w", err)
	}
	// The console closes next, and whoever passes a call of the staff on to this process would be turned away. It has
	// nothing in hand that a call could still concern.
	if err := staff.family.member.Leave(); err != nil {
		log.Warn("the next process takes this one for a living one until it has ended", "err", err)
	}
	log.Info("drained")
	return nil
}

// endedBefore returns err, with which the start failed, or nil where the process was told to stop meanwhile.
func endedBefore(stop context.Context, err error) error {
	if stop.Err() != nil {
		return nil
	}
	return err
}

// startConsole answers the calls that come to l, and returns what ends it.
func startConsole(l net.Listener, staff *ops, log *slog.Logger) (stop func()) {
	calls := console.New(l, staff, log)
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

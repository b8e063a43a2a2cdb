package sidecar

import (
	"fmt"
	"time"

	"milletramp.example/milletramp/internal/hotrestart"
)

// drainTimes are the time limits of a planned restart.
type drainTimes struct {
	acceptPeriod             time.Duration // minimum time for which new connections are accepted
	quietPeriod              time.Duration // length of a drain round, and interval between connection checks
	idleGracePeriod          time.Duration // wait before idle connections are closed, as clients may still send on them
	unusedGracePeriod        time.Duration // wait before a connection without any request is closed
	firstListTimeout         time.Duration // limit on the wait for the first endpoint list while a predecessor serves
	successorIdleGracePeriod time.Duration // used instead of idleGracePeriod if a successor accepts new connections
	maxKillDeadline          time.Duration // upper limit of the longest deadline, for the calculation of the kill time
}

// drain stops serving once every request that was read has its response. Closing the listener resets the connections in
// its accept queue, and their requests are lost. The process therefore first continues to accept and serve. Each
// response contains "Connection: close" and closes its connection.
func (p *process) drain() error {
	p.handler.Drain(p.times.maxKillDeadline) // called first, because the time until the kill is already running
	hasSuccessor := p.operator.group.hasSuccessor()
	p.log.Info("process is draining", "has_successor", hasSuccessor)
	p.setPhase(hotrestart.Draining, "cannot publish the draining phase to the process group")
	acceptPeriod, idleGracePeriod := p.times.acceptPeriod, p.times.idleGracePeriod
	if hasSuccessor {
		p.handler.RejectLateRequests()
		acceptPeriod, idleGracePeriod = 0, p.times.successorIdleGracePeriod
		if err := p.drainListener.RedirectToSuccessor(); err != nil {
			p.log.Warn("cannot redirect new connections to the successor: some may be reset", "err", err)
		}
	}
	idleFrom := time.Now().Add(idleGracePeriod)
	retireIdle := time.AfterFunc(idleGracePeriod, func() { p.conns.RetireIdle(p.times.unusedGracePeriod) })
	defer retireIdle.Stop()
	if err := p.drainListener.Drain(acceptPeriod); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	<-p.serveResult
	p.awaitConnections(idleFrom)
	if err := p.httpServer.Close(); err != nil { // all connections are closed by now
		return fmt.Errorf("close: %w", err)
	}
	// The process leaves the group before its admin server closes, as a call forwarded afterwards would fail. No
	// request is left that an operator's call could affect.
	if err := p.operator.group.member.Leave(); err != nil {
		p.log.Warn("cannot leave the process group: other processes regard this one as running until it exits",
			"err", err)
	}
	p.log.Info("process has drained")
	return nil
}

// awaitConnections waits until no client connection is open. From idleFrom on it closes idle connections.
// http.Server.Shutdown is not used: it would drop requests that still arrive on open connections, and close connections
// on which a request was just read.
func (p *process) awaitConnections(idleFrom time.Time) {
	for p.conns.Counts().Open > 0 {
		switch {
		case p.handler.Shutdown().Err() != nil:
			p.conns.RetireAll()
		case time.Now().After(idleFrom):
			p.conns.RetireIdle(p.times.unusedGracePeriod)
		}
		time.Sleep(p.times.quietPeriod)
	}
}

package sidecar

import (
	"fmt"
	"time"

	"milletramp.example/milletramp/internal/hotrestart"
)

// drainTimes are the times of a planned restart.
type drainTimes struct {
	acceptPeriod             time.Duration // new connections are accepted
	quietPeriod              time.Duration // of a round of the accept queue's drain, and between looks for open connections
	idleGracePeriod          time.Duration // idle connections are left, as their clients may still use them
	unusedGracePeriod        time.Duration // a connection that never had a request is left to bring one
	firstListTimeout         time.Duration // discovery may take to answer while a predecessor serves
	successorIdleGracePeriod time.Duration // idleGracePeriod where a successor takes new connections
	maxKillDeadline          time.Duration // of the longest deadline counts until the process may be killed
}

// drain ends serving once all that was read has its response. Connections that wait when the listener closes are reset,
// and what they sent is lost. So the process goes on accepting and serving first, and only asks clients to close.
func (p *process) drain() error {
	p.handler.Drain(p.times.maxKillDeadline) // first: the time until the kill runs
	hasSuccessor := p.operator.group.hasSuccessor()
	p.log.Info("draining", "succeeded", hasSuccessor)
	p.setPhase(hotrestart.Draining, "the next process does not know that this one drains")
	acceptPeriod, idleGracePeriod := p.times.acceptPeriod, p.times.idleGracePeriod
	if hasSuccessor {
		acceptPeriod, idleGracePeriod = 0, p.times.successorIdleGracePeriod
		if err := p.drainListener.RedirectToSuccessor(); err != nil {
			p.log.Warn("connections that come just now may be reset", "err", err)
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
	if err := p.httpServer.Close(); err != nil { // no connection is open any more
		return fmt.Errorf("close: %w", err)
	}
	// The admin server closes next, and a call that another process forwards would find nobody. This process has no
	// request that a call could still concern.
	if err := p.operator.group.member.Leave(); err != nil {
		p.log.Warn("the next process takes this one for a living one until it has ended", "err", err)
	}
	p.log.Info("drained")
	return nil
}

// awaitConnections waits until no client connection is open, and ends idle ones from idleFrom on. http.Server.Shutdown
// would drop what still comes on connections, and close others under a request that was just read.
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

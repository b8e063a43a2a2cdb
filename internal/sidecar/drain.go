package sidecar

import (
	"fmt"
	"time"

	"milletramp.example/milletramp/internal/hotrestart"
)

// drainTimes are the times of a planned restart.
type drainTimes struct {
	acceptFor          time.Duration // new connections are accepted
	quietPeriod        time.Duration // of a round of the accept queue's drain, and between looks for open connections
	idleGrace          time.Duration // idle connections are left, as their clients may still use them
	unusedGrace        time.Duration // a connection that never had a request is left to bring one
	listTimeout        time.Duration // discovery may take to answer while a predecessor serves
	successorIdleGrace time.Duration // idleGrace where a successor takes new connections
	maxDeadline        time.Duration // of the longest deadline counts until the process may be killed
}

// drain ends serving once all that was read has its response. Connections that wait when the listener closes are reset,
// and what they sent is lost. So the process goes on accepting and serving first, and only asks clients to close.
func (p *process) drain() error {
	p.handler.Drain(p.times.maxDeadline) // first: the time until the kill runs
	hasSuccessor := p.operator.group.hasSuccessor()
	p.log.Info("draining", "succeeded", hasSuccessor)
	p.setPhase(hotrestart.Draining, "the next process does not know that this one drains")
	acceptFor, idleGrace := p.times.acceptFor, p.times.idleGrace
	if hasSuccessor {
		acceptFor, idleGrace = 0, p.times.successorIdleGrace
		if err := p.accepting.RedirectToSuccessor(); err != nil {
			p.log.Warn("connections that come just now may be reset", "err", err)
		}
	}
	idleFrom := time.Now().Add(idleGrace)
	retireIdle := time.AfterFunc(idleGrace, func() { p.conns.RetireIdle(p.times.unusedGrace) })
	defer retireIdle.Stop()
	if err := p.accepting.Drain(acceptFor); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	<-p.served
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
			p.conns.RetireIdle(p.times.unusedGrace)
		}
		time.Sleep(p.times.quietPeriod)
	}
}

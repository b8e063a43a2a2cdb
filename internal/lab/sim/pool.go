package sim

import (
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

// idleConnection is a pooled connection of a sidecar that no attempt uses.
type idleConnection struct {
	since       time.Duration // time at which it became idle
	incarnation int32         // the server's incarnation
}

// acquireIdle removes the longest-idle usable connection to a server from the pool, as the real pool does, and reports
// whether there was one. A connection is usable for half the time after which a server closes it.
func (sc *sidecar) acquireIdle(srv *server) bool {
	s := sc.simulation
	idleTimeout := s.plan.Scenario.Fleet.IdleClose.Std() / 2
	for len(sc.idle[srv.index]) > 0 {
		oldest := sc.idle[srv.index][0]
		sc.idle[srv.index] = sc.idle[srv.index][1:]
		if oldest.incarnation != srv.incarnation || srv.down && !s.isCutOff(sc, srv) {
			continue
		}
		if s.now-oldest.since < idleTimeout {
			return true
		}
		srv.connections--
	}
	return false
}

// closeIdle closes the sidecar's idle connections to a server.
func (sc *sidecar) closeIdle(srv *server) {
	for _, idle := range sc.idle[srv.index] {
		if idle.incarnation == srv.incarnation {
			srv.connections--
		}
	}
	sc.idle[srv.index] = sc.idle[srv.index][:0]
}

// releaseConnection returns the connection of an ended attempt to the pool, or closes it. After a connection failure,
// or a timeout with no response from the server since the attempt started, it also closes the idle connections to the
// server.
func (a *attempt) releaseConnection(status record.Status) {
	sc, srv := a.request.sidecar, a.server
	switch status {
	case record.Served, record.Rejected, record.Failed:
		sc.lastResponse[srv.index] = sc.simulation.now
		if a.isServerAlive() {
			idle := idleConnection{since: sc.simulation.now, incarnation: a.serverIncarnation}
			sc.idle[srv.index] = append(sc.idle[srv.index], idle)
		}
	case record.NotReached:
		sc.closeIdle(srv)
	case record.Broken:
		sc.closeIdle(srv)
		if a.isServerAlive() {
			srv.connections--
		}
	case record.TimedOut:
		if sc.lastResponse[srv.index] < a.startedAt {
			sc.closeIdle(srv)
		}
		a.closeConnection()
	case record.Cancelled:
		a.closeConnection()
	}
}

// closeConnection closes the attempt's connection. The server is notified after the network delay.
func (a *attempt) closeConnection() {
	if a.isServerAlive() && a.firstByteAt >= 0 {
		a.server.connections--
	}
	a.request.sidecar.simulation.scheduleAfter(a.drawDelay(), cancelArrived{a})
}

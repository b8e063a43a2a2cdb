package sim

import (
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

// idleConnection is a connection of a sidecar that no attempt uses.
type idleConnection struct {
	since       time.Duration
	incarnation int32 // of the server
}

// acquireIdle takes the longest idle connection to a server that is still good, as the real pool does, and reports
// whether there is one. Connections are good for half the time after which a server closes them.
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

// releaseConnection returns the connection of an ended attempt to the pool, or closes it. Where it failed, the idle
// ones to the server are closed too.
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

// closeConnection closes the attempt's connection, of which the server learns later.
func (a *attempt) closeConnection() {
	if a.isServerAlive() && a.firstByteAt >= 0 {
		a.server.connections--
	}
	a.request.sidecar.simulation.scheduleAfter(a.drawDelay(), cancelArrived{a})
}

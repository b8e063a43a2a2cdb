package sim

import (
	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/plan"
	"milletramp.example/milletramp/internal/lab/record"
)

// planActDue is an act of the plan.
type planActDue struct{ act *plan.Act }

func (e planActDue) happen(s *simulation) {
	switch act := e.act; act.Op {
	case plan.CutZone:
		s.network.zoneCut[act.Node] = act.On
	case plan.Silence:
		s.pauseDiscovery(act.On)
	case plan.CutWatch, plan.BackWatch, plan.MoveWatch:
		// A sidecar's network part hides these from its policy. The socket backend plays them.
	case plan.RestartSidecar:
		s.sidecars[act.Node].crash()
	case plan.Over:
		s.record(record.Event{Kind: record.FaultOver})
	default:
		s.servers[act.Node].apply(act)
	}
}

// apply does an act that concerns the server: a change of its process, or the begin or end of a fault.
func (srv *server) apply(act *plan.Act) {
	s := srv.simulation
	switch act.Op {
	case plan.Start, plan.Restart:
		srv.startProcess()
	case plan.Drain:
		s.notifyAll(srv, balance.Draining)
	case plan.Remove:
		srv.stopProcess()
		s.notifyAll(srv, balance.Removed)
	case plan.Crash:
		srv.stopProcess()
	case plan.Vanish:
		srv.vanished = act.On
	case plan.Slow:
		srv.SetSlowdown(s.now, act.Value)
		srv.completeDueJobs()
	case plan.Swallow:
		srv.Faults.SwallowedClasses[act.Class] = act.On
	case plan.TurnAway:
		srv.Faults.RejectedClasses[act.Class] = act.On
	case plan.Stray:
		srv.Faults.LossShare = act.Value
	case plan.Errors:
		srv.Faults.ErrorShare = act.Value
	case plan.Garble:
		srv.Faults.MalformedShare = act.Value
	case plan.CutRequests:
		srv.brokenRequestShare = act.Value
	case plan.CutAnswers:
		srv.brokenResponseShare = act.Value
	}
}

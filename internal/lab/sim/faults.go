package sim

import (
	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/runplan"
)

// planActDue is an act of the plan.
type planActDue struct{ act *runplan.Action }

func (e planActDue) happen(s *simulation) {
	switch act := e.act; act.Kind {
	case runplan.CutZone:
		s.network.zoneCut[act.Node] = act.On
	case runplan.SilenceDiscovery:
		s.pauseDiscovery(act.On)
	case runplan.CutWatch, runplan.RewindWatch, runplan.MoveWatch:
		// A sidecar's network part hides these from its policy. The socket backend plays them.
	case runplan.RestartSidecar:
		s.sidecars[act.Node].crash()
	case runplan.FaultOver:
		s.record(record.Event{Kind: record.FaultOver})
	default:
		s.servers[act.Node].apply(act)
	}
}

// apply does an act that concerns the server: a change of its process, or the begin or end of a fault.
func (srv *server) apply(act *runplan.Action) {
	s := srv.simulation
	switch act.Kind {
	case runplan.StartNode, runplan.RestartNode:
		srv.startProcess()
	case runplan.DrainNode:
		s.notifyAll(srv, balance.Draining)
	case runplan.RemoveNode:
		srv.stopProcess()
		s.notifyAll(srv, balance.Removed)
	case runplan.CrashNode:
		srv.stopProcess()
	case runplan.IsolateNode:
		srv.vanished = act.On
	case runplan.SlowNode:
		srv.SetSlowdown(s.now, act.Value)
		srv.completeDueJobs()
	case runplan.LoseClass:
		srv.Faults.LostClasses[act.Class] = act.On
	case runplan.RejectClass:
		srv.Faults.RejectedClasses[act.Class] = act.On
	case runplan.LoseShare:
		srv.Faults.LossShare = act.Value
	case runplan.ErrorShare:
		srv.Faults.ErrorShare = act.Value
	case runplan.GarbleShare:
		srv.Faults.MalformedShare = act.Value
	case runplan.CutRequestShare:
		srv.brokenRequestShare = act.Value
	case runplan.CutResponseShare:
		srv.brokenResponseShare = act.Value
	}
}

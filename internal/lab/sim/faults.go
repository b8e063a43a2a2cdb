package sim

import (
	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/runplan"
)

// plannedActionDue is the event that an action of the plan is due.
type plannedActionDue struct{ action *runplan.Action }

func (e plannedActionDue) handle(s *simulation) {
	switch action := e.action; action.Kind {
	case runplan.CutZone:
		s.network.zoneCut[action.Node] = action.On
	case runplan.SilenceDiscovery:
		s.pauseDiscovery(action.On)
	case runplan.CutWatch, runplan.RewindWatch, runplan.MoveWatch:
		// The network part of a sidecar hides these from its policy. Only the socket backend carries them out.
	case runplan.RestartSidecar:
		s.sidecars[action.Node].crash()
	case runplan.FaultOver:
		s.record(record.Event{Kind: record.FaultOver})
	default:
		s.servers[action.Node].apply(action)
	}
}

// apply carries out an action on the server: a process change, or the start or end of a fault.
func (srv *server) apply(action *runplan.Action) {
	s := srv.simulation
	switch action.Kind {
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
		srv.vanished = action.On
	case runplan.SlowNode:
		srv.SetSlowdown(s.now, action.Value)
		srv.completeDueJobs()
	case runplan.LoseClass:
		srv.Faults.LostClasses[action.Class] = action.On
	case runplan.RejectClass:
		srv.Faults.RejectedClasses[action.Class] = action.On
	case runplan.LoseShare:
		srv.Faults.LossShare = action.Value
	case runplan.ErrorShare:
		srv.Faults.ErrorShare = action.Value
	case runplan.GarbleShare:
		srv.Faults.MalformedShare = action.Value
	case runplan.CutRequestShare:
		srv.brokenRequestShare = action.Value
	case runplan.CutResponseShare:
		srv.brokenResponseShare = action.Value
	}
}

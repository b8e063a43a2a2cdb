package sim

import (
	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/plan"
	"milletramp.example/milletramp/internal/lab/record"
)

// planActDue is an act of the plan.
type planActDue struct{ act *plan.Act }

func (e planActDue) happen(s *simulation) { s.applyAct(e.act) }

// applyAct does an act of the plan.
func (w *simulation) applyAct(a *plan.Act) {
	n := int32(a.Node)
	switch a.Op {
	case plan.CutZone:
		w.zoneCut[a.Node] = a.On
		return
	case plan.Silence:
		if w.discoverySilent = a.On; !a.On {
			for _, c := range w.sidecars {
				w.scheduleAfter(w.plan.Scenario.Notice.From.Std(), notificationArrived{c})
			}
		}
		return
	case plan.CutWatch, plan.BackWatch, plan.MoveWatch:
		// What the sidecar hears is the same: its network part sees to that, and the socket plane shows it.
		return
	case plan.RestartSidecar:
		w.crashSidecar(w.sidecars[n])
		return
	case plan.Over:
		w.record(record.Event{Kind: record.FaultOver})
		return
	}
	m := w.servers[n]
	switch a.Op {
	case plan.Start, plan.Restart:
		w.startProcess(m, max(w.now, 1))
		m.down, m.listed = false, true
		w.record(record.Event{Kind: record.NodeStarted, Node: n,
			Capacity: float64(m.Spec.Cores) * m.Spec.Speed, Boot: m.startedAt})
		w.notify(n, balance.Ready)
	case plan.Drain:
		w.notify(n, balance.Draining)
	case plan.Remove:
		w.stopProcess(n)
		w.notify(n, balance.Removed)
	case plan.Crash:
		w.stopProcess(n)
	case plan.Vanish:
		m.vanished = a.On
	case plan.Slow:
		m.Node.Slow(w.now, a.Value)
		w.advanceServer(n)
	case plan.Swallow:
		m.Faults.Swallow[a.Class] = a.On
	case plan.TurnAway:
		m.Faults.TurnAway[a.Class] = a.On
	case plan.Stray:
		m.Faults.Stray = a.Value
	case plan.Errors:
		m.Faults.Errors = a.Value
	case plan.Garble:
		m.Faults.Garble = a.Value
	case plan.CutRequests:
		m.brokenRequestShare = a.Value
	case plan.CutAnswers:
		m.brokenResponseShare = a.Value
	}
}

package sim

import (
	"math"

	"milletramp.example/milletramp/balance"
)

// Policy is what decides for one sidecar: the decision module, or a baseline policy.
type Policy interface {
	Request(now balance.Time, r balance.Request)
	Result(now balance.Time, r balance.Result)
	ClientGone(now balance.Time, id balance.RequestID)
	Endpoints(now balance.Time, kind balance.ListKind, list []balance.Endpoint)
	Timer(now balance.Time, token uint64)
}

// View is the true state of the world, for baseline policies that cheat.
type View interface {
	// ResponseTime is how long a request of some work would take at a node now, in seconds, infinite where it cannot be served.
	ResponseTime(sidecar int, endpoint string, class int, work float64) float64
}

// NewPolicyFunc makes the decider of a sidecar.
type NewPolicyFunc func(set balance.Settings, act balance.Actions, view View) (Policy, error)

// NewModule is the decision module itself.
func NewModule(set balance.Settings, act balance.Actions, _ View) (Policy, error) {
	return balance.New(set, act)
}

// ResponseTime implements View.
func (w *simulation) ResponseTime(sidecar int, endpoint string, class int, work float64) float64 {
	n := w.serverByID[endpoint]
	m, c := w.servers[n], w.sidecars[sidecar]
	if m.down || w.isCutOff(c, n) || m.Faults.Swallow[class] || m.Faults.TurnAway[class] || m.listedState != balance.Ready {
		return math.Inf(1)
	}
	net := w.plan.Scenario.Network.Same.Std()
	if c.zone != m.Zone {
		net = w.plan.Scenario.Network.Cross.Std()
	}
	return m.Backlog(work) + 2*net.Seconds()
}

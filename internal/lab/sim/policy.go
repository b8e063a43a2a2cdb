package sim

import (
	"math"
	"time"

	"milletramp.example/milletramp/balance"
)

// Policy balances the requests of one sidecar: the decision module, or a baseline policy.
type Policy interface {
	Request(now balance.Time, r balance.Request)
	Result(now balance.Time, r balance.Result)
	ClientGone(now balance.Time, id balance.RequestID)
	Endpoints(now balance.Time, kind balance.ListKind, list []balance.Endpoint)
	Timer(now balance.Time, token uint64)
}

// View is the true state of the servers, for baseline policies that are to know it.
type View interface {
	// ResponseTime returns how long a request of some work would take at a server now, in seconds, infinite where it
	// cannot be served.
	ResponseTime(sidecar int, endpoint string, class int, work float64) float64
}

// NewPolicyFunc makes the policy of a sidecar.
type NewPolicyFunc func(settings balance.Settings, actions balance.Actions, view View) (Policy, error)

// NewModule returns the decision module. It is a NewPolicyFunc.
func NewModule(settings balance.Settings, actions balance.Actions, _ View) (Policy, error) {
	return balance.New(settings, actions)
}

// ResponseTime implements View.
func (s *simulation) ResponseTime(sidecar int, endpoint string, class int, work float64) float64 {
	srv, sc := s.serverByID[endpoint], s.sidecars[sidecar]
	if srv.listedState != balance.Ready || !s.canServe(sc, srv, class) {
		return math.Inf(1)
	}
	delay := time.Duration(s.network.meanDelay(sc.zone, srv.Zone))
	return srv.Backlog(work) + 2*delay.Seconds()
}

// canServe reports whether a request of a class that a sidecar sends to a server now is served.
func (s *simulation) canServe(sc *sidecar, srv *server, class int) bool {
	responds := !srv.Faults.LostClasses[class] && !srv.Faults.RejectedClasses[class]
	return responds && !srv.down && !s.isCutOff(sc, srv)
}

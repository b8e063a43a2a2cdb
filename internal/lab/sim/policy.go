package sim

import (
	"math"
	"time"

	"milletramp.example/milletramp/balance"
)

// Policy balances the requests of one sidecar. It is the decision module or a baseline policy.
type Policy interface {
	Request(now balance.Time, r balance.Request)
	Result(now balance.Time, r balance.Result)
	ClientGone(now balance.Time, id balance.RequestID)
	Endpoints(now balance.Time, kind balance.ListKind, list []balance.Endpoint)
	Timer(now balance.Time, token uint64)
}

// View gives access to the true state of the servers, for baseline policies that use it.
type View interface {
	// ResponseTime returns the time in seconds that a request with the given work would take at a server now. It is
	// infinite if the server cannot serve the request.
	ResponseTime(sidecar int, endpoint string, class int, work float64) float64
}

// NewPolicyFunc creates the policy of a sidecar.
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

// canServe reports whether a server would serve a request of a class that a sidecar sends now.
func (s *simulation) canServe(sc *sidecar, srv *server, class int) bool {
	responds := !srv.Faults.LostClasses[class] && !srv.Faults.RejectedClasses[class]
	return responds && !srv.down && !s.isCutOff(sc, srv)
}

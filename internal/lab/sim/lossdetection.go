package sim

import (
	"math"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
)

// detectionShare is the fraction of a server's true loss share that a policy's estimate has to reach for the loss to
// count as detected.
const detectionShare = 0.5

// LossEstimator is a policy that estimates the share of a class's attempts that a server loses.
type LossEstimator interface {
	LossShare(now balance.Time, endpoint string, class int) float64
}

// Policies are checked for these interfaces at run time. These assertions fail to compile if a method of the decision
// module is renamed.
var (
	_ LossEstimator = (*balance.Balancer)(nil)
	_ sharingPolicy = (*balance.Balancer)(nil)
)

// loss describes a server that loses requests of a sidecar.
type loss struct {
	server   *server
	class    int           // class of the first lost request
	share    float64       // true share of lost requests of that class
	since    time.Duration // time of the first lost request
	attempts uint8         // lost attempts, capped at the maximum of the type
	detected bool
}

// trueLossShare returns the share of a class's requests from a sidecar that a server currently loses.
func (s *simulation) trueLossShare(sc *sidecar, srv *server, class int) float64 {
	if s.isCutOff(sc, srv) || srv.Faults.LostClasses[class] {
		return 1
	}
	return srv.Faults.LossShare
}

// noteLoss registers a request of the sidecar lost at a server. Detection time is measured from the first lost request.
func (sc *sidecar) noteLoss(srv *server, class int) {
	share := sc.simulation.trueLossShare(sc, srv, class)
	if _, ok := sc.policy.(LossEstimator); !ok || share == 0 {
		return
	}
	for i := range sc.losses {
		l := &sc.losses[i]
		if l.server != srv {
			continue
		}
		if l.attempts < math.MaxUint8 {
			l.attempts++
		}
		return
	}
	sc.losses = append(sc.losses, loss{server: srv, class: class, share: share, since: sc.simulation.now, attempts: 1})
}

// detectLosses records the losses that the sidecar now detects, and removes the losses of servers that have recovered.
func (sc *sidecar) detectLosses() {
	if len(sc.losses) == 0 || sc.down {
		return
	}
	remaining := sc.losses[:0]
	for _, l := range sc.losses {
		recovered := sc.simulation.trueLossShare(sc, l.server, l.class) == 0
		switch {
		case l.detected: // the detection is already recorded
		case recovered:
			sc.recordLoss(record.LossUndetected, &l)
		case sc.detects(&l):
			l.detected = true
			sc.recordLoss(record.LossDetected, &l)
		}
		if !recovered {
			remaining = append(remaining, l)
		}
	}
	sc.losses = remaining
}

// detects reports whether the fleet suspects the server, or the sidecar's policy estimates a sufficient loss share.
func (sc *sidecar) detects(l *loss) bool {
	if sc.member != nil && sc.member.suspected[l.server.ID] {
		return true
	}
	estimate := sc.policy.(LossEstimator).LossShare(sc.simulation.policyNow(), l.server.ID, l.class)
	return estimate >= detectionShare*l.share
}

func (sc *sidecar) recordLoss(kind record.Kind, l *loss) {
	s := sc.simulation
	s.record(record.Event{Kind: kind, Sidecar: sc.index, Node: l.server.index, Wait: s.now - l.since,
		Attempt: l.attempts})
}

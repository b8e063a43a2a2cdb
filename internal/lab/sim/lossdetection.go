package sim

import (
	"math"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
)

// detectionShare is the part of a server's true share of losses that a policy's estimate has to reach to count as
// detection.
const detectionShare = 0.5

// LossEstimator is a policy that estimates which share of a class's attempts a server loses.
type LossEstimator interface {
	LossShare(now balance.Time, endpoint string, class int) float64
}

// Policies are asked for these interfaces at run time. A method of the decision module that is renamed fails to
// compile here.
var (
	_ LossEstimator = (*balance.Balancer)(nil)
	_ sharingPolicy = (*balance.Balancer)(nil)
)

// loss is a server that loses requests of a sidecar.
type loss struct {
	server   *server
	class    int     // of the first request that was lost
	share    float64 // truly lost of that class
	since    time.Duration
	attempts uint8 // that were lost, at most what the type can hold
	detected bool
}

// trueLossShare returns the share of a class's requests from a sidecar that a server loses now.
func (s *simulation) trueLossShare(sc *sidecar, srv *server, class int) float64 {
	if s.isCutOff(sc, srv) || srv.Faults.LostClasses[class] {
		return 1
	}
	return srv.Faults.LossShare
}

// noteLoss notes that a request of the sidecar is lost at a server. The time until detection counts from the first.
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

// detectLosses records which losses the sidecar detects by now, and drops those of servers that have recovered.
func (sc *sidecar) detectLosses() {
	if len(sc.losses) == 0 || sc.down {
		return
	}
	remaining := sc.losses[:0]
	for _, l := range sc.losses {
		recovered := sc.simulation.trueLossShare(sc, l.server, l.class) == 0
		switch {
		case l.detected: // recorded before
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

// detects reports whether the fleet suspects the server of a loss, or the sidecar's policy estimates enough of it.
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

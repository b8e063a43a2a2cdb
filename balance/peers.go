package balance

import "time"

// This file holds what is exchanged with other sidecars of a fleet.

const (
	// maxSuspectedShare is the share of the ready weight that peers' reports may put behind the rest.
	maxSuspectedShare = 0.5
	// peerReportLifetime is how long after it was written a report counts.
	peerReportLifetime = 3 * time.Second
)

// SetObserver has an observer notified of what is observed at endpoints from now on; nil: nobody is. Nothing
// is decided by that.
func (b *Balancer) SetObserver(o Observer) { b.observer = o }

func (b *Balancer) notifyObserver(e *endpoint, s Observation) {
	if b.observer != nil {
		b.observer.Observe(e.ID, s)
	}
}

// SetSuspected replaces the endpoints that peers suspect, the worst first. These stay in use, behind all
// others. Reports may be false: they move maxSuspectedShare of the ready weight at most.
func (b *Balancer) SetSuspected(reports []PeerReport) {
	if len(reports) == 0 && b.suspectedCount == 0 {
		return
	}
	left := 0.0 // weight that may still be suspected
	for _, e := range b.listed {
		if e.suspicionWrittenAt = 0; e.State == Ready {
			left += maxSuspectedShare * e.Weight
		}
	}
	b.suspectedCount = 0
	for _, report := range reports {
		e := b.known[report.ID]
		if e == nil || e.State != Ready || e.Weight > left {
			continue
		}
		e.suspicionWrittenAt = report.WrittenAt
		left -= e.Weight
		b.suspectedCount++
	}
}

// suspectedByPeers reports whether a peer's report counts against e. It may be false, or old: an answer that
// this sidecar has had since goes before it, and so does a restart. It never readmits what was ejected here.
func (b *Balancer) suspectedByPeers(e *endpoint, now Time) bool {
	return e.suspicionWrittenAt > max(e.lastResponse, e.Started) && now-e.suspicionWrittenAt < peerReportLifetime
}

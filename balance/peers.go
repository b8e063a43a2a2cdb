package balance

import "time"

// This file contains the exchange of observations with other sidecars.

const (
	// maxSuspectedShare is the maximum share of the ready weight to which peer reports apply.
	maxSuspectedShare = 0.5
	// peerReportLifetime is the time from the writing of a report to its expiry.
	peerReportLifetime = 3 * time.Second
)

// SetObserver sets the observer of endpoints; nil removes it. The observer has no influence on decisions.
func (b *Balancer) SetObserver(o Observer) { b.observer = o }

func (b *Balancer) notifyObserver(e *endpoint, s Observation) {
	if b.observer != nil {
		b.observer.Observe(e.ID, s)
	}
}

// SetSuspected replaces the endpoints that peers suspect, in descending order of suspicion. Suspected
// endpoints are used only if no other endpoint can be selected. Reports may be false: they apply to at most
// maxSuspectedShare of the ready weight.
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

// suspectedByPeers reports whether a peer report against e is in force. Reports may be false or outdated: a
// later response to this sidecar or a restart overrides them. Reports never readmit an endpoint ejected here.
func (b *Balancer) suspectedByPeers(e *endpoint, now Time) bool {
	return e.suspicionWrittenAt > max(e.lastResponse, e.Started) && now-e.suspicionWrittenAt < peerReportLifetime
}

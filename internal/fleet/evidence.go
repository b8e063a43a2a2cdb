package fleet

import (
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/failuredetector"
	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// evidenceState is the loop's state of failure detection.
type evidenceState struct {
	recorder       *failuredetector.Recorder // holds this sidecar's own observations
	suspectedSince map[string]time.Duration  // by server: start of the current uninterrupted suspicion
	reported       bool                      // the last call of OnSuspicions had suspicions
}

// Observe records the outcome of an attempt of this sidecar at a server. It does not block; while the queue of the loop
// is full, observations are dropped.
func (f *Fleet) Observe(server string, outcome failuredetector.Outcome) {
	f.tryPost(func(now replication.Now) {
		if note, due := f.evidence.recorder.Observe(now.Time, server, outcome); due {
			f.machine.SendNote(now.Time, note)
		}
		if outcome == failuredetector.Silent || outcome == failuredetector.Refused {
			f.writeEvidence(now)
		}
	})
}

// handleEvidence writes the reports that collectors have requested, and evaluates changed evidence of peers.
func (f *Fleet) handleEvidence(actions gossip.Actions) {
	now := f.now()
	for _, server := range actions.ReportServers {
		f.evidence.recorder.RequestReport(now.Time, server)
	}
	if len(actions.ReportServers) > 0 {
		f.writeEvidence(now)
		f.carryOutActions()
	}
	if slices.ContainsFunc(actions.Updated, isRow) {
		f.updateSuspicions(now)
	}
}

func isRow(key replication.Key) bool { return key.Kind == replication.KindRow }

// writeEvidence writes the due rows to the replicated state and broadcasts them.
func (f *Fleet) writeEvidence(now replication.Now) {
	if _, ownsName := f.machine.Members.Self(); !ownsName {
		return
	}
	for _, row := range f.evidence.recorder.DueRows(now.Time, f.machine.Members.NumPresent()) {
		key, err := f.machine.Store.WriteRow(now, row.Server, f.servers.bootTimes[row.Server], row.Evidence)
		if err != nil {
			f.log.Debug("evidence row not written", "server", row.Server, "err", err)
			continue
		}
		f.machine.BroadcastUrgent(now, key)
	}
}

// updateSuspicions evaluates the evidence of all sidecars and calls OnSuspicions. Evidence on a server that is not in
// the sidecar's own endpoint list, or is there with another boot time, does not count.
func (f *Fleet) updateSuspicions(now replication.Now) {
	var suspicions []Suspicion
	lastBad := map[string]time.Duration{}
	suspectedSince := map[string]time.Duration{}
	for _, s := range f.machine.Suspicions(now, len(f.servers.list)) {
		if boot, listed := f.servers.bootTimes[s.Server]; !listed || boot != s.Boot {
			continue
		}
		suspicions = append(suspicions, Suspicion{ID: s.Server, Age: now.Time - s.LastBad})
		lastBad[s.Server] = s.LastBad
		suspectedSince[s.Server] = now.Time
		if since, known := f.evidence.suspectedSince[s.Server]; known {
			suspectedSince[s.Server] = since
		}
	}
	f.evidence.suspectedSince = suspectedSince
	f.evidence.recorder.SetSuspected(now.Time, lastBad)
	if len(suspicions) > 0 || f.evidence.reported {
		f.evidence.reported = len(suspicions) > 0
		f.callbacks.OnSuspicions(suspicions)
	}
}

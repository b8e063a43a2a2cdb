package checker

import (
	"slices"
	"time"
)

// minReadyPeers is the minimum number of other ready sidecars that checkReadyWhenSynced needs for a comparison. With
// fewer, it requires no calls.
const minReadyPeers = 2

// checkReadyWhenSynced requires that a sidecar that starts or restarts becomes ready only after it holds all calls that
// every other ready sidecar holds, except calls that are superseded by that time.
func checkReadyWhenSynced(r *Record) (violations []Violation) {
	checked := map[string]uint64{} // by sidecar: its latest incarnation that has been ready
	last := map[string]Snapshot{}  // by sidecar: its previous snapshot
	for _, s := range r.Snapshots {
		if s.Ready && checked[s.Sidecar] != s.Incarnation {
			checked[s.Sidecar] = s.Incarnation
			for server, calls := range commonCalls(last, s, r.SnapshotInterval) {
				violations = append(violations, r.missingCalls(s, server, calls)...)
			}
		}
		last[s.Sidecar] = s
	}
	return violations
}

// missingCalls returns a violation for each of the held calls on a server that a sidecar's snapshot does not contain.
// Calls superseded by the time of the snapshot are exempt.
func (r *Record) missingCalls(s Snapshot, server string, held []ActiveCall) (violations []Violation) {
	for _, call := range held {
		if !slices.Contains(s.Calls[server], call) && !r.isSuperseded(call.ID, s.At) {
			violations = append(violations, newViolation(RuleReadyWhenSynced, s.At,
				"%s is ready without call %s on server %s, which all other ready sidecars hold",
				s.Sidecar, call.ID, server))
		}
	}
	return violations
}

// commonCalls returns the calls, by server, that the last snapshots of all other running and ready sidecars have in
// common. It returns none if there are fewer than minReadyPeers such sidecars.
func commonCalls(last map[string]Snapshot, s Snapshot, interval time.Duration) map[string][]ActiveCall {
	var common map[string][]ActiveCall
	peers := 0
	for name, peer := range last {
		if name == s.Sidecar || !peer.Ready || s.At-peer.At > interval {
			continue
		}
		peers++
		if common == nil {
			common = cloneCalls(peer.Calls)
			continue
		}
		for server := range common {
			common[server] = slices.DeleteFunc(common[server], func(call ActiveCall) bool {
				return !slices.Contains(peer.Calls[server], call)
			})
		}
	}
	if peers < minReadyPeers {
		return nil
	}
	return common
}

// cloneCalls returns a deep copy of the calls.
func cloneCalls(calls map[string][]ActiveCall) map[string][]ActiveCall {
	clone := make(map[string][]ActiveCall, len(calls))
	for server, onServer := range calls {
		clone[server] = slices.Clone(onServer)
	}
	return clone
}

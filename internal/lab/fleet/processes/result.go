package processes

import (
	"slices"
	"sort"
	"time"

	"milletramp.example/milletramp/internal/lab/fleet/checker"
	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
)

const (
	recoveryTime    = 3 * time.Second // until an isolated or suspended sidecar participates in the fleet again
	propagationTime = 3 * time.Second // until an operator's call has reached all sidecars in the absence of faults
	// heavyLoss is the fraction of lost messages above which a sidecar counts as isolated.
	heavyLoss = 0.4
)

// result returns the record and the policy history. It sets the fields of the record that are computed from the plan
// and the options.
func (r *fleetRun) result() (record checker.Record, history PolicyHistory, err error) {
	c := r.recorder
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.failures) > 0 {
		return record, history, &FailuresError{Failures: c.failures}
	}
	record = c.record
	for _, s := range r.sidecars {
		record.Sidecars = append(record.Sidecars, s.name)
	}
	record.FaultsEnd = r.faultsEnd()
	record.ConvergenceTime = r.options.SettleTime
	record.SnapshotInterval = pollsPerSnapshotInterval * r.options.PollInterval
	sort.SliceStable(record.Snapshots, func(i, j int) bool { return record.Snapshots[i].At < record.Snapshots[j].At })
	sort.SliceStable(record.OperatorCalls, func(i, j int) bool {
		return record.OperatorCalls[i].At < record.OperatorCalls[j].At
	})
	record.Outages = r.outages()
	record.KnownSince = r.knownSince
	record.IsolatedBetween = r.isolatedBetween
	return record, c.policy, nil
}

// knownSince returns the earliest time at which a call could have reached the incarnation that the sidecar has at the
// given time. This is the time at which that incarnation first showed the call. If it has not shown the call, the time
// is propagationTime after the call, provided that the incarnation started before the call and no fault except clock
// faults was active within propagationTime of the call. Otherwise knownSince returns false.
func (r *fleetRun) knownSince(call checker.OperatorCall, sidecarName string, at time.Duration) (
	time.Duration, bool,
) {
	current, started := r.incarnationAt(sidecarName, at)
	if shown, ok := r.recorder.firstShownBy(call.ID, current); ok {
		return shown, true
	}
	if started > call.At {
		return 0, false
	}
	nearCall := func(f faultplan.Fault) bool {
		return f.Kind != faultplan.Clock && f.At < call.At+propagationTime && f.At+f.Duration+propagationTime > call.At
	}
	if slices.ContainsFunc(r.plan.Faults, nearCall) {
		return 0, false
	}
	return call.At + propagationTime, true
}

// incarnationAt returns a sidecar's last incarnation at a given time, and when it started.
func (r *fleetRun) incarnationAt(sidecarName string, at time.Duration) (last incarnation, started time.Duration) {
	i := r.sidecarIndex(sidecarName)
	if i < 0 {
		return incarnation{sidecar: sidecarName}, 0
	}
	return r.sidecars[i].incarnationAt(at)
}

// sidecarIndex returns a sidecar's index in the plan, or -1 if there is none with that name.
func (r *fleetRun) sidecarIndex(name string) int {
	return slices.IndexFunc(r.sidecars, func(s *sidecar) bool { return s.name == name })
}

// isolatedBetween reports whether a fault in the plan that isolates the sidecar (see isolates) is active between two
// times, or ended less than recoveryTime before the first of them. A cut isolates only the sidecars in its From list.
func (r *fleetRun) isolatedBetween(sidecarName string, from, to time.Duration) bool {
	index := r.sidecarIndex(sidecarName)
	return slices.ContainsFunc(r.plan.Faults, func(f faultplan.Fault) bool {
		overlaps := from < f.At+f.Duration+recoveryTime && to > f.At
		concerns := slices.Contains(f.From, index) || f.Kind != faultplan.Cut && slices.Contains(f.To, index)
		return isolates(f) && overlaps && concerns
	})
}

func isolates(f faultplan.Fault) bool {
	switch f.Kind {
	case faultplan.Cut, faultplan.Kill, faultplan.Suspend, faultplan.Throttle:
		return true
	case faultplan.Drop:
		return f.Amount > heavyLoss
	default:
		return false
	}
}

// outages returns the periods in which the plan has backends that do not respond.
func (r *fleetRun) outages() (spans []checker.Outage) {
	for _, f := range r.plan.Faults {
		if f.Kind != faultplan.Unresponsive {
			continue
		}
		for _, i := range f.From {
			spans = append(spans, checker.Outage{Server: serverName(i), From: f.At, To: f.At + f.Duration})
		}
	}
	return spans
}

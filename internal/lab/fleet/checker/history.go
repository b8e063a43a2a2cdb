package checker

import "time"

// checkNothingResurrected checks each incarnation of a sidecar for three requirements. After the sidecar shows a row of
// one incarnation of an owner, it shows no row of an earlier incarnation of that owner. The version of a row does not
// decrease. A call that is no longer in force does not reappear.
func checkNothingResurrected(r *Record) (violations []Violation) {
	histories := map[string]*history{}
	for i := range r.Snapshots {
		s := &r.Snapshots[i]
		h := histories[s.Sidecar]
		if h == nil || h.incarnation != s.Incarnation {
			h = newHistory(s.Sidecar, s.Incarnation)
			histories[s.Sidecar] = h
		}
		for _, row := range s.Rows {
			violations = append(violations, h.addRow(s.At, row)...)
		}
		for server, calls := range s.Calls {
			violations = append(violations, h.addCalls(s.At, server, calls)...)
		}
	}
	return violations
}

// history holds the state that one incarnation of a sidecar has shown so far.
type history struct {
	sidecar     string
	incarnation uint64

	latestOwner map[string]uint64 // by owner: its latest incarnation with a row shown
	rows        map[rowKey]rowVersion
	shownCalls  map[callKey]bool
	endedCalls  map[callKey]bool // shown in an earlier snapshot and missing from a later one
}

// rowKey identifies a row.
type rowKey struct {
	owner  string
	server string
}

// rowVersion is the version of a row and the owner's incarnation that wrote it.
type rowVersion struct {
	incarnation uint64
	version     uint64
}

// callKey identifies an operator's call.
type callKey struct {
	server string
	id     string
}

func newHistory(sidecar string, incarnation uint64) *history {
	return &history{
		sidecar:     sidecar,
		incarnation: incarnation,
		latestOwner: map[string]uint64{},
		rows:        map[rowKey]rowVersion{},
		shownCalls:  map[callKey]bool{},
		endedCalls:  map[callKey]bool{},
	}
}

// addRow checks a row of a snapshot against the rows shown before and records it.
func (h *history) addRow(at time.Duration, row Row) (violations []Violation) {
	key := rowKey{owner: row.Owner, server: row.Server}
	latest := h.latestOwner[row.Owner]
	previous := h.rows[key]
	switch {
	case row.Incarnation < latest:
		violations = append(violations, newViolation(RuleNothingResurrected, at,
			"%s shows a row of incarnation %d of %s after one of incarnation %d",
			h.sidecar, row.Incarnation, row.Owner, latest))
	case row.Incarnation == previous.incarnation && row.Version < previous.version:
		violations = append(violations, newViolation(RuleNothingResurrected, at,
			"%s shows version %d of %s's row on server %s after version %d",
			h.sidecar, row.Version, row.Owner, row.Server, previous.version))
	}
	h.latestOwner[row.Owner] = max(latest, row.Incarnation)
	h.rows[key] = rowVersion{incarnation: row.Incarnation, version: row.Version}
	return violations
}

// addCalls records the calls on a server in a snapshot and checks that none of them had ended before.
func (h *history) addCalls(at time.Duration, server string, calls []ActiveCall) (violations []Violation) {
	current := map[callKey]bool{}
	for _, call := range calls {
		key := callKey{server: server, id: call.ID}
		current[key] = true
		if h.endedCalls[key] {
			violations = append(violations, newViolation(RuleNothingResurrected, at,
				"%s shows call %s on server %s again after it had ended", h.sidecar, call.ID, server))
		}
		h.shownCalls[key] = true
	}
	for key := range h.shownCalls {
		if key.server == server && !current[key] {
			h.endedCalls[key] = true
		}
	}
	return violations
}

package checker

import "time"

// checkNothingResurrected requires of each incarnation of a sidecar: once it has shown a row of one incarnation of an
// owner, it shows none of an earlier one; the versions of a row do not go back; and a call that was no longer in force
// does not come back.
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

// history is what one incarnation of a sidecar has shown so far.
type history struct {
	sidecar     string
	incarnation uint64

	latestOwner map[string]uint64 // by owner: its latest incarnation of which a row was shown
	rows        map[rowKey]rowVersion
	shownCalls  map[callKey]bool
	endedCalls  map[callKey]bool // shown once, and then no longer
}

// rowKey names a row.
type rowKey struct {
	owner  string
	server string
}

// rowVersion orders the versions of one row.
type rowVersion struct {
	incarnation uint64
	version     uint64
}

// callKey names an operator's call.
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

// addRow adds a row of a snapshot, and checks it against the rows shown before.
func (h *history) addRow(at time.Duration, row Row) (violations []Violation) {
	key := rowKey{owner: row.Owner, server: row.Server}
	latest := h.latestOwner[row.Owner]
	previous := h.rows[key]
	switch {
	case row.Incarnation < latest:
		violations = append(violations, newViolation(RuleNothingResurrected, at,
			"%s shows a row of life %d of %s, it has shown one of %d", h.sidecar, row.Incarnation, row.Owner, latest))
	case row.Incarnation == previous.incarnation && row.Version < previous.version:
		violations = append(violations, newViolation(RuleNothingResurrected, at,
			"%s shows version %d of %s's row on %s, it has shown %d",
			h.sidecar, row.Version, row.Owner, row.Server, previous.version))
	}
	h.latestOwner[row.Owner] = max(latest, row.Incarnation)
	h.rows[key] = rowVersion{incarnation: row.Incarnation, version: row.Version}
	return violations
}

// addCalls adds the calls that a snapshot shows on a server, and checks that none had ended before.
func (h *history) addCalls(at time.Duration, server string, calls []ActiveCall) (violations []Violation) {
	current := map[callKey]bool{}
	for _, call := range calls {
		key := callKey{server: server, id: call.ID}
		current[key] = true
		if h.endedCalls[key] {
			violations = append(violations, newViolation(RuleNothingResurrected, at,
				"%s shows call %s on server %s again", h.sidecar, call.ID, server))
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

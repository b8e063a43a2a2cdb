package checker

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// checkCallsRemembered requires that, at the end, each acknowledged call is in force unless another acknowledged call
// superseded it, and that a server is administratively down exactly if a call in force sets it down.
func checkCallsRemembered(r *Record) (violations []Violation) {
	last := r.lastSnapshots()
	for _, server := range r.serversWithCalls() {
		want := r.expectedCalls(server)
		down := slices.ContainsFunc(want, func(c ActiveCall) bool { return c.Down })
		for _, name := range r.Sidecars {
			s := last[name]
			got := slices.Clone(s.Calls[server])
			sortByID(got)
			if !slices.Equal(got, want) {
				violations = append(violations, newViolation(RuleCallsRemembered, s.At,
					"%s shows calls %v on server %s, want %v", name, got, server, want))
			}
			if slices.Contains(s.AdminDown, server) != down {
				violations = append(violations, newViolation(RuleCallsRemembered, s.At,
					"%s shows server %s administratively down: %v, want %v", name, server, !down, down))
			}
		}
	}
	return violations
}

// serversWithCalls returns the servers with at least one acknowledged call, sorted by name.
func (r *Record) serversWithCalls() []string {
	servers := map[string]bool{}
	for _, call := range r.OperatorCalls {
		servers[call.Server] = true
	}
	return slices.Sorted(maps.Keys(servers))
}

// expectedCalls returns the calls on a server that have to be in force at the end, sorted by ID. These are the calls
// that are neither lost nor superseded by another acknowledged call.
func (r *Record) expectedCalls(server string) (expected []ActiveCall) {
	superseded := map[string]bool{}
	for _, call := range r.OperatorCalls {
		if call.Server == server && !r.isLost(call.ID) {
			for _, id := range call.KnownCalls {
				superseded[id] = true
			}
		}
	}
	for _, call := range r.OperatorCalls {
		if call.Server == server && !superseded[call.ID] && !r.isLost(call.ID) {
			expected = append(expected, ActiveCall{ID: call.ID, Down: call.Down})
		}
	}
	sortByID(expected)
	return expected
}

// isLost reports whether a call was lost with all sidecars that held it: it is one of LostCalls, and no sidecar's last
// snapshot contains it.
func (r *Record) isLost(id string) bool {
	if !r.LostCalls[id] {
		return false
	}
	for _, s := range r.lastSnapshots() {
		for _, calls := range s.Calls {
			if slices.ContainsFunc(calls, func(c ActiveCall) bool { return c.ID == id }) {
				return false
			}
		}
	}
	return true
}

// isSuperseded reports whether a call that supersedes the one with the given ID was acknowledged by the given time.
func (r *Record) isSuperseded(id string, by time.Duration) bool {
	return slices.ContainsFunc(r.OperatorCalls, func(call OperatorCall) bool {
		return call.At <= by && slices.Contains(call.KnownCalls, id)
	})
}

func sortByID(calls []ActiveCall) {
	slices.SortFunc(calls, func(a, b ActiveCall) int { return strings.Compare(a.ID, b.ID) })
}

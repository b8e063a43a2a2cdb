package checker

import (
	"slices"
	"time"
)

// The limits on suspicions.
const (
	// SuspicionDeadline is the time within which all sidecars have to suspect a server that becomes unresponsive.
	SuspicionDeadline = 4 * time.Second
	// MaxSuspicionLinger is how long a suspicion may last after the end of an outage, or without an outage.
	MaxSuspicionLinger = 6 * time.Second
	// ClearDeadline is how long a suspicion may last after a response of the server.
	ClearDeadline = 2 * time.Second
)

// checkOutagesSuspected requires that each sidecar shows a suspicion of a server within SuspicionDeadline after the
// server becomes unresponsive. Sidecars that are isolated in that period and outages shorter than it are exempt.
func checkOutagesSuspected(r *Record) (violations []Violation) {
	for _, outage := range r.Outages {
		deadline := outage.From + SuspicionDeadline
		if deadline > outage.To {
			continue
		}
		for _, name := range r.Sidecars {
			if !r.suspectedBetween(name, outage.Server, outage.From, deadline) &&
				!r.IsolatedBetween(name, outage.From, deadline) {
				violations = append(violations, newViolation(RuleOutagesSuspected, deadline,
					"%s did not suspect server %s, unresponsive from %v to %v",
					name, outage.Server, outage.From, outage.To))
			}
		}
	}
	return violations
}

// suspectedBetween reports whether a snapshot of a sidecar between two times shows a suspicion of a server.
func (r *Record) suspectedBetween(sidecar, server string, from, to time.Duration) bool {
	return slices.ContainsFunc(r.Snapshots, func(s Snapshot) bool {
		return s.Sidecar == sidecar && s.At >= from && s.At <= to && s.suspects(server)
	})
}

// checkSuspicionsCleared requires that no sidecar keeps suspecting a server that has been responsive for some time.
//
// If a server is so slow that the sidecars cancel all requests to it, they cannot distinguish it from an unresponsive
// one. A suspicion of such a server is valid as long as there are recently cancelled requests and the server has sent
// no response since the suspicion began.
func checkSuspicionsCleared(r *Record) (violations []Violation) {
	reported := map[sidecarServer]bool{}
	for i := range r.Snapshots {
		s := &r.Snapshots[i]
		for server, age := range s.Suspicions {
			key := sidecarServer{sidecar: s.Sidecar, server: server}
			if age < MaxSuspicionLinger || reported[key] || r.hadOutage(server, s.At) {
				continue
			}
			began := s.At - age
			cancelled := r.cancelledRecently(server, s.At)
			responded := r.respondedSince(server, began, s)
			if responded || !cancelled {
				reported[key] = true
				violations = append(violations, newViolation(RuleSuspicionsCleared, s.At,
					"%s has suspected server %s since %v (recently cancelled requests: %v, responded since: %v)",
					s.Sidecar, server, began, cancelled, responded))
			}
		}
	}
	return violations
}

// hadOutage reports whether a server has an outage at a time, or had one that ended at most MaxSuspicionLinger before.
func (r *Record) hadOutage(server string, at time.Duration) bool {
	return slices.ContainsFunc(r.Outages, func(outage Outage) bool {
		return outage.Server == server && at >= outage.From && at <= outage.To+MaxSuspicionLinger
	})
}

// cancelledRecently reports whether any sidecar cancelled a request to a server at most MaxSuspicionLinger before
// a time.
func (r *Record) cancelledRecently(server string, at time.Duration) bool {
	return slices.ContainsFunc(r.Outcomes, func(o Outcome) bool {
		return o.Server == server && !o.Responded && o.At >= at-MaxSuspicionLinger && o.At <= at
	})
}

// respondedSince reports whether a server has responded to a request after a suspicion began and at least ClearDeadline
// before the snapshot. Responses are ignored if the sidecar of the snapshot or the sidecar that received the response
// was isolated at any time between the response and the snapshot, because the information may not have arrived.
func (r *Record) respondedSince(server string, began time.Duration, s *Snapshot) bool {
	return slices.ContainsFunc(r.Outcomes, func(o Outcome) bool {
		return o.Server == server && o.Responded && o.At >= began && o.At <= s.At-ClearDeadline &&
			!r.IsolatedBetween(o.Sidecar, o.At, s.At) && !r.IsolatedBetween(s.Sidecar, o.At, s.At)
	})
}

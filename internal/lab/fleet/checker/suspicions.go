package checker

import (
	"slices"
	"time"
)

// The limits on suspicions.
const (
	// SuspicionDeadline is how long all sidecars have to suspect a server that has become unresponsive.
	SuspicionDeadline = 4 * time.Second
	// MaxSuspicionLinger is how long a suspicion may last after the outage that led to it, or without any.
	MaxSuspicionLinger = 6 * time.Second
	// ClearDeadline is how long a suspicion may outlast a response of the server.
	ClearDeadline = 2 * time.Second
)

// checkOutagesSuspected requires that each sidecar that took part throughout shows, within SuspicionDeadline, that it
// suspects a server that became unresponsive.
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
					"%s never doubted server %s, silent from %v to %v", name, outage.Server, outage.From, outage.To))
			}
		}
	}
	return violations
}

// suspectedBetween reports whether a sidecar showed between two times that it suspects a server.
func (r *Record) suspectedBetween(sidecar, server string, from, to time.Duration) bool {
	return slices.ContainsFunc(r.Snapshots, func(s Snapshot) bool {
		return s.Sidecar == sidecar && s.At >= from && s.At <= to && s.suspects(server)
	})
}

// checkSuspicionsCleared requires that no sidecar goes on suspecting a server that has been responsive for some time.
//
// A server that is so slow that sidecars cancel all that they send to it is unresponsive as far as any of them can
// know. Such a suspicion is supported by recent cancelled requests, while the server has answered nobody since it
// began.
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
					"%s has doubted server %s since %v; it was tried without an answer %v, and has answered since %v",
					s.Sidecar, server, began, cancelled, responded))
			}
		}
	}
	return violations
}

// hadOutage reports whether a server is in an outage at a time, or was until MaxSuspicionLinger before.
func (r *Record) hadOutage(server string, at time.Duration) bool {
	return slices.ContainsFunc(r.Outages, func(outage Outage) bool {
		return outage.Server == server && at >= outage.From && at <= outage.To+MaxSuspicionLinger
	})
}

// cancelledRecently reports whether a sidecar cancelled a request at a server in the MaxSuspicionLinger before a time.
func (r *Record) cancelledRecently(server string, at time.Duration) bool {
	return slices.ContainsFunc(r.Outcomes, func(o Outcome) bool {
		return o.Server == server && !o.Responded && o.At >= at-MaxSuspicionLinger && o.At <= at
	})
}

// respondedSince reports whether a server has answered a request since a suspicion began, so long before the snapshot
// that its sidecar should know: by ClearDeadline, with neither it nor the sidecar that was answered isolated since.
func (r *Record) respondedSince(server string, began time.Duration, s *Snapshot) bool {
	return slices.ContainsFunc(r.Outcomes, func(o Outcome) bool {
		return o.Server == server && o.Responded && o.At >= began && o.At <= s.At-ClearDeadline &&
			!r.IsolatedBetween(o.Sidecar, o.At, s.At) && !r.IsolatedBetween(s.Sidecar, o.At, s.At)
	})
}

package checker

import (
	"slices"
	"time"
)

// AdminDownGrace is how long a sidecar may still send requests to a server after a call that sets the server
// administratively down could have reached it.
const AdminDownGrace = time.Second

// sidecarServer identifies a pair of a sidecar and a server. The rules that use it as a key report only the first
// violation of each pair.
type sidecarServer struct {
	sidecar string
	server  string
}

// checkAdminDownObeyed requires that a sidecar sends no new requests to a server later than AdminDownGrace after a call
// that sets the server administratively down could have reached it.
func checkAdminDownObeyed(r *Record) (violations []Violation) {
	if r.KnownSince == nil {
		return nil
	}
	reported := map[sidecarServer]bool{}
	for _, attempt := range r.Attempts {
		key := sidecarServer{sidecar: attempt.Sidecar, server: attempt.Server}
		if reported[key] {
			continue
		}
		if call, known, broken := r.violatedCall(attempt); broken {
			reported[key] = true
			violations = append(violations, newViolation(RuleAdminDownObeyed, attempt.At,
				"%s sent a request to server %s, set administratively down at %v, known since %v",
				attempt.Sidecar, attempt.Server, call.At, known))
		}
	}
	return violations
}

// violatedCall returns the first call that an attempt violates, and when that call could have reached the sidecar.
func (r *Record) violatedCall(attempt Attempt) (_ OperatorCall, knownSince time.Duration, broken bool) {
	for i, call := range r.OperatorCalls {
		if call.Server != attempt.Server || !call.Down || call.At > attempt.At || r.isLost(call.ID) {
			continue
		}
		superseded := slices.ContainsFunc(r.OperatorCalls[i+1:], func(later OperatorCall) bool {
			return later.Server == call.Server && slices.Contains(later.KnownCalls, call.ID)
		})
		known, ok := r.KnownSince(call, attempt.Sidecar, attempt.At)
		if ok && !superseded && attempt.At > known+AdminDownGrace {
			return call, known, true
		}
	}
	return OperatorCall{}, 0, false
}

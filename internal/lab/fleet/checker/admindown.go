package checker

import (
	"slices"
	"time"
)

// AdminDownGrace is how long a sidecar that could know of a call may still send to the server.
const AdminDownGrace = time.Second

// sidecarServer names a sidecar's view of a server, of which a rule reports the first violation only.
type sidecarServer struct {
	sidecar string
	server  string
}

// checkAdminDownObeyed requires that no sidecar that could have known of a call for AdminDownGrace sends new requests
// to the server that the call took down.
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
				"%s sent to server %s, out since %v, known since %v", attempt.Sidecar, attempt.Server, call.At, known))
		}
	}
	return violations
}

// violatedCall returns the first call against which an attempt was sent, and since when its sidecar could know of it.
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

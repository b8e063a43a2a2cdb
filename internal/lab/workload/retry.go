package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"milletramp.example/milletramp/internal/lab/scenario"
)

// minRetryTimeout is the least time before its deadline at which a client makes a retry.
const minRetryTimeout = 10 * time.Millisecond

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes of a request.
const (
	Served   Outcome = iota
	Rejected         // a retry does no harm
	Failed
	Unreachable // no connection, or it broke before the request was written
)

// Retry returns the client's retry of a request that has ended, and whether it makes one. retryAfter is the response's
// Retry-After, 0 for none.
func Retry(s *scenario.Scenario, request Request, now time.Duration, outcome Outcome, retryAfter time.Duration,
	random *rand.Rand) (Request, bool) {
	class := &s.Classes[request.Class]
	if request.RetriesLeft == 0 || !mayRetry(class, outcome) {
		return Request{}, false
	}
	retry := request
	retry.At = now + drawBackoff(&s.Clients, request.RetriesMade, retryAfter, random)
	retry.RetriesLeft--
	retry.RetriesMade++
	retry.LeavesAfter = 0
	untilDeadline := request.FirstAt + class.Deadline.Std() - retry.At // the deadline is that of the first request
	retry.Timeout = min(request.Timeout, untilDeadline)
	if retry.Timeout < minRetryTimeout {
		return Request{}, false
	}
	return retry, true
}

// mayRetry reports whether a client may make a request of the class again after the outcome.
func mayRetry(class *scenario.Class, outcome Outcome) bool {
	switch outcome {
	case Served:
		return false
	case Failed:
		return class.Effect == "idempotent" || class.Effect == "deduplicated" && class.Scope == "all"
	default:
		return true
	}
}

// drawBackoff draws how long a client waits before a retry. Some clients honour Retry-After, up to a limit.
func drawBackoff(clients *scenario.Clients, retriesMade int, retryAfter time.Duration,
	random *rand.Rand) time.Duration {
	growth := math.Pow(clients.BackoffGrowth, float64(retriesMade))
	backoff := time.Duration(float64(clients.Backoff.Std()) * growth * (0.5 + random.Float64()))
	if retryAfter > 0 && random.Float64() < clients.HonourShare {
		backoff = max(backoff, min(retryAfter, clients.MaxRetryAfter.Std()))
	}
	return backoff
}

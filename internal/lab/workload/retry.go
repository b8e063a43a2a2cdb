package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"milletramp.example/milletramp/internal/lab/scenario"
)

// minRetryTimeout is the minimum timeout of a retry. A client with less time to its deadline does not retry.
const minRetryTimeout = 10 * time.Millisecond

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes of a request.
const (
	Served   Outcome = iota
	Rejected         // a retry is safe for every class
	Failed
	Unreachable // the connection failed before the request was written
)

// Retry returns the client's retry of a request that has ended, and false if the client does not retry. retryAfter is
// the Retry-After of the response, or 0 if it has none.
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
	untilDeadline := request.FirstAt + class.Deadline.Std() - retry.At // the deadline counts from the first request
	retry.Timeout = min(request.Timeout, untilDeadline)
	if retry.Timeout < minRetryTimeout {
		return Request{}, false
	}
	return retry, true
}

// mayRetry reports whether a client may retry a request of the class after the outcome.
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

// drawBackoff returns a random wait before a retry. A share of the clients honours Retry-After, up to a limit.
func drawBackoff(clients *scenario.Clients, retriesMade int, retryAfter time.Duration,
	random *rand.Rand) time.Duration {
	growth := math.Pow(clients.BackoffGrowth, float64(retriesMade))
	backoff := time.Duration(float64(clients.Backoff.Std()) * growth * (0.5 + random.Float64()))
	if retryAfter > 0 && random.Float64() < clients.HonourShare {
		backoff = max(backoff, min(retryAfter, clients.MaxRetryAfter.Std()))
	}
	return backoff
}

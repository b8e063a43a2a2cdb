package processes

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"milletramp.example/milletramp/internal/lab/fleet/checker"
)

// maxFailures limits the number of recorded failures, so that one cause does not flood the report.
const maxFailures = 10

// recorder collects the observations of the fleet. It is safe for concurrent use. The times that it sets itself are in
// chronological order, because it sets them under the lock.
type recorder struct {
	clock *planClock

	mu         sync.Mutex
	record     checker.Record
	policy     PolicyHistory
	firstShown map[string]map[incarnation]time.Duration // by id of the operator's call
	failures   []string
}

func newRecorder(clock *planClock) *recorder {
	return &recorder{clock: clock, firstShown: map[string]map[incarnation]time.Duration{}}
}

// restart sets the start of the plan to the current time and discards the record of the fleet's start.
func (c *recorder) restart() (started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record = checker.Record{}
	return c.clock.restart()
}

func (c *recorder) addSend(sidecarName, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := checker.Attempt{At: c.clock.now(), Sidecar: sidecarName, Server: server}
	c.record.Attempts = append(c.record.Attempts, attempt)
}

// addEnd records the end of an attempt at a server, and whether the server responded.
func (c *recorder) addEnd(sidecarName, server string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	end := checker.Outcome{At: c.clock.now(), Sidecar: sidecarName, Server: server, Responded: answered}
	c.record.Outcomes = append(c.record.Outcomes, end)
}

// addOperatorCall records a call that a sidecar has accepted. The call counts as acknowledged from now on, even if the
// operator does not receive the response, because it has already replaced earlier calls.
func (c *recorder) addOperatorCall(call checker.OperatorCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call.At = c.clock.now()
	c.record.OperatorCalls = append(c.record.OperatorCalls, call)
}

// addSnapshot records the status of an incarnation.
func (c *recorder) addSnapshot(by incarnation, snapshot checker.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, calls := range snapshot.Calls {
		for _, call := range calls {
			c.recordFirstShown(call.ID, by, snapshot.At)
		}
	}
	c.record.Snapshots = append(c.record.Snapshots, snapshot)
}

// recordFirstShown records the time at which an incarnation first showed a call. The caller holds c.mu.
func (c *recorder) recordFirstShown(call string, by incarnation, at time.Duration) {
	if c.firstShown[call] == nil {
		c.firstShown[call] = map[incarnation]time.Duration{}
	}
	if _, known := c.firstShown[call][by]; !known {
		c.firstShown[call][by] = at
	}
}

// firstShownBy returns the time at which an incarnation first showed an operator's call.
func (c *recorder) firstShownBy(call string, by incarnation) (at time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok = c.firstShown[call][by]
	return at, ok
}

// addLostCalls marks the calls that no running incarnation has shown as possibly lost with a killed process, and also
// the calls that they replaced, which may or may not be in force again.
func (c *recorder) addLostCalls(running map[incarnation]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.record.LostCalls == nil {
		c.record.LostCalls = map[string]bool{}
	}
	for _, call := range c.record.OperatorCalls {
		shown := false
		for by := range c.firstShown[call.ID] {
			shown = shown || running[by]
		}
		if shown {
			continue
		}
		c.record.LostCalls[call.ID] = true
		for _, replaced := range call.KnownCalls {
			c.record.LostCalls[replaced] = true
		}
	}
}

// addFailure records a failure of the run itself, or a sidecar's violation of a rule that is checked without the
// checker. It drops failures beyond maxFailures.
func (c *recorder) addFailure(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.failures) < maxFailures {
		at := fmt.Sprintf("%.2f s: ", c.clock.now().Seconds())
		c.failures = append(c.failures, at+fmt.Sprintf(format, args...))
	}
}

func (c *recorder) allFailures() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.failures)
}

// addServed records a served request, with the current time as the time of its response.
func (c *recorder) addServed(request ServedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request.Answered = c.clock.now()
	c.policy.Served = append(c.policy.Served, request)
}

func (c *recorder) addProposal(proposal Proposal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.policy.Proposals = append(c.policy.Proposals, proposal)
}

func (c *recorder) addContradiction(proposalID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.policy.Contradicted = append(c.policy.Contradicted, proposalID)
}

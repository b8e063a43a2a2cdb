package processes

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"milletramp.example/milletramp/internal/lab/fleet/checker"
)

// maxFailures bounds what one cause can fill the report with.
const maxFailures = 10

// recorder collects what is seen of the fleet. It is safe for concurrent use. What is noted with the time of its
// noting gets that time under the lock, so it is in the order of time.
type recorder struct {
	clock *planClock

	mu         sync.Mutex
	record     checker.Record
	policy     PolicyHistory
	firstShown map[string]map[incarnation]time.Duration // by id of an operator's call
	failures   []string
}

func newRecorder(clock *planClock) *recorder {
	return &recorder{clock: clock, firstShown: map[string]map[incarnation]time.Duration{}}
}

// restart has the plan's time begin, and forgets what was recorded while the fleet started.
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

// addEnd notes what became of a request at a server.
func (c *recorder) addEnd(sidecarName, server string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	end := checker.Outcome{At: c.clock.now(), Sidecar: sidecarName, Server: server, Answered: answered}
	c.record.Outcomes = append(c.record.Outcomes, end)
}

// addOperatorCall notes a call that a sidecar has taken. It counts as acknowledged from here on: the calls that it
// replaces are gone, whether the operator gets the response or not.
func (c *recorder) addOperatorCall(call checker.OperatorCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call.At = c.clock.now()
	c.record.OperatorCalls = append(c.record.OperatorCalls, call)
}

// addSnapshot notes what an incarnation showed.
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

// recordFirstShown is called with the lock held.
func (c *recorder) recordFirstShown(call string, by incarnation, at time.Duration) {
	if c.firstShown[call] == nil {
		c.firstShown[call] = map[incarnation]time.Duration{}
	}
	if _, known := c.firstShown[call][by]; !known {
		c.firstShown[call][by] = at
	}
}

// firstShownBy is when an incarnation first showed an operator's call.
func (c *recorder) firstShownBy(call string, by incarnation) (at time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok = c.firstShown[call][by]
	return at, ok
}

// addLostCalls notes the calls that no running incarnation has shown. They may be lost with a process that was
// killed, and then the calls that they replaced may be in force or not.
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

// addFailure notes a failure of the run itself, or of a sidecar against a rule that needs no checker.
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

// addServed notes a request that was served now.
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

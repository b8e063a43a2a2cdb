// Package checker checks the recorded events of a run against the rules that every sidecar must follow. It tracks the
// state of each request, of each starting node, and of the drain notices that each sidecar received. It derives this
// state only from events observed outside the sidecars and shares no code with the sidecar, the decision module or the
// backends.
//
// Each broken rule is reported as a Violation in the Verdict; the package returns no errors.
package checker

import (
	"fmt"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

// maxViolations is the maximum number of violations kept with their details; all violations are counted.
const maxViolations = 20

// requestRetention is how long an ended request is kept to detect events after its response.
const requestRetention = 10 * time.Second

// Checker checks events as they are recorded. It is a record.Sink and is not safe for concurrent use.
type Checker struct {
	limits          Limits
	requests        map[uint64]*request
	ended           []endedRequest                // ordered by time of the end
	drainingSince   map[sidecarNode]time.Duration // when a sidecar was notified that a node is draining or gone
	warming         map[int32]*warmingNode
	violationCounts map[Rule]int
	violations      []Violation
	requestCount    int
}

// sidecarNode identifies a node in the view of one sidecar.
type sidecarNode struct{ sidecar, node int32 }

type endedRequest struct {
	endedAt time.Duration
	id      uint64
}

// New returns a checker with the limits of a deployment.
func New(limits Limits) *Checker {
	return &Checker{
		limits:          limits,
		requests:        map[uint64]*request{},
		drainingSince:   map[sidecarNode]time.Duration{},
		warming:         map[int32]*warmingNode{},
		violationCounts: map[Rule]int{},
	}
}

// Record implements record.Sink.
func (c *Checker) Record(e *record.Event) {
	switch e.Kind {
	case record.Requested:
		c.requested(e)
	case record.Answered:
		c.checkResponse(e)
	case record.Sent:
		c.checkDrain(e)
		c.checkSent(e)
	case record.Arrived:
		c.checkSlowStart(e)
	case record.Notified:
		c.notified(e)
	case record.NodeStarted:
		c.nodeStarted(e)
	case record.SidecarDown:
		c.sidecarDown(e)
	case record.ClientLeft, record.Ran, record.Replied, record.AttemptEnded:
		if request := c.requests[e.Request]; request != nil {
			c.progressed(request, e)
		}
	}
}

// Verdict returns the result of a run that ended at the given time. It adds a violation for each request whose response
// is overdue by then.
func (c *Checker) Verdict(end time.Duration) Verdict {
	var lost []uint64
	for id, request := range c.requests {
		if request.open() && end > request.deadline()+c.limits.ResponseSlack {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		c.addViolation(end, RuleResponse, "request %d never got an answer", id)
	}
	return Verdict{Requests: c.requestCount, Counts: c.violationCounts, Violations: c.violations}
}

func (c *Checker) addViolation(at time.Duration, rule Rule, format string, args ...any) {
	c.violationCounts[rule]++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{at, rule, fmt.Sprintf(format, args...)})
	}
}

// requested starts tracking a request and drops those that ended more than requestRetention ago.
func (c *Checker) requested(e *record.Event) {
	c.requestCount++
	c.requests[e.Request] = &request{event: *e, idleSince: e.At}
	c.dropEnded(e.At)
}

// progressed handles events of a tracked request other than its start, its attempts being sent and its response.
func (c *Checker) progressed(request *request, e *record.Event) {
	switch e.Kind {
	case record.ClientLeft:
		c.abandon(request, e.At, e.Request)
	case record.Ran:
		c.checkRun(request, e)
	case record.Replied:
		request.replied(e)
	case record.AttemptEnded:
		request.attemptEnded(e)
	}
}

// notified records the node state that a sidecar was notified of. If there are several notices of a drain, the grace
// period starts with the first.
func (c *Checker) notified(e *record.Event) {
	key := sidecarNode{e.Sidecar, e.Node}
	if e.State == record.Serving {
		delete(c.drainingSince, key)
		return
	}
	if _, draining := c.drainingSince[key]; !draining {
		c.drainingSince[key] = e.At
	}
}

// sidecarDown abandons a sidecar's open requests and discards the drain notices it received. After a restart, the grace
// period starts with the next notice.
func (c *Checker) sidecarDown(e *record.Event) {
	for id, request := range c.requests {
		if request.event.Sidecar == e.Sidecar && request.open() {
			c.abandon(request, e.At, id)
		}
	}
	for key := range c.drainingSince {
		if key.sidecar == e.Sidecar {
			delete(c.drainingSince, key)
		}
	}
}

// abandon ends a request for which a response is no longer required.
func (c *Checker) abandon(request *request, at time.Duration, id uint64) {
	request.abandoned = true
	c.ended = append(c.ended, endedRequest{at, id})
}

// dropEnded drops the requests that ended more than requestRetention ago.
func (c *Checker) dropEnded(now time.Duration) {
	expired := 0
	for expired < len(c.ended) && now-c.ended[expired].endedAt > requestRetention {
		delete(c.requests, c.ended[expired].id)
		expired++
	}
	c.ended = c.ended[expired:]
}

package checker

import (
	"slices"

	"milletramp.example/milletramp/internal/lab/record"
)

// checkResponse checks a response that a client received.
func (c *Checker) checkResponse(e *record.Event) {
	request := c.requests[e.Request]
	if request == nil {
		c.addViolation(e.At, RuleGenuine, "an answer to request %d, which no client made or which ended long ago",
			e.Request)
		return
	}
	if e.Status == record.NotReached {
		c.abandon(request, e.At, e.Request)
		return
	}
	if request.abandoned {
		return
	}
	request.responses++
	if request.responses > 1 {
		c.addViolation(e.At, RuleResponse, "request %d has answer number %d", e.Request, request.responses)
		return
	}
	request.respondedAt = e.At
	c.ended = append(c.ended, endedRequest{e.At, e.Request})
	if late := e.At - request.deadline(); late > c.limits.ResponseSlack {
		c.addViolation(e.At, RuleResponse, "request %d is answered %v after its client's time", e.Request, late)
	}
	c.checkOutcome(request, e)
}

// checkOutcome checks the status of a request's first response.
func (c *Checker) checkOutcome(request *request, e *record.Event) {
	if e.Status == record.Served {
		if !slices.Contains(request.tokens, e.Token) {
			c.addViolation(e.At, RuleGenuine, "request %d is served with an answer that no node made for it", e.Request)
		}
		return
	}
	class := request.event.Class
	if e.Status == record.Rejected && !c.limits.Classes[class].MayReject && request.mayHaveRun() {
		c.addViolation(e.At, RuleEffect, "request %d of class %d is refused though it may have run", e.Request, class)
	}
	if idle := e.At - request.idleSince; !request.inFlight() && idle > c.limits.GiveUpGrace {
		c.addViolation(e.At, RulePrompt, "request %d is given up %v after anything was out for it", e.Request, idle)
	}
}

// checkDrain checks that an attempt is not sent to a node more than DrainGrace after the sidecar was notified of its
// drain.
func (c *Checker) checkDrain(e *record.Event) {
	since, draining := c.drainingSince[sidecarNode{e.Sidecar, e.Node}]
	if draining && e.At-since > c.limits.DrainGrace {
		c.addViolation(e.At, RuleDrain, "sidecar %d sends request %d to node %d %v after it was told to stop",
			e.Sidecar, e.Request, e.Node, e.At-since)
	}
}

// checkSent checks that a sent attempt belongs to a known request without a final response, allowing for SendGrace, and
// that it may follow the earlier attempts.
func (c *Checker) checkSent(e *record.Event) {
	request := c.requests[e.Request]
	if request == nil {
		c.addViolation(e.At, RuleGenuine, "node %d gets request %d, which no client made or which ended long ago",
			e.Node, e.Request)
		return
	}
	if request.responses > 0 && e.At > request.respondedAt+c.limits.SendGrace {
		c.addViolation(e.At, RuleEffect, "request %d is sent %v after its final answer",
			e.Request, e.At-request.respondedAt)
	}
	for _, earlier := range request.attempts {
		c.checkRetry(request, earlier, e)
	}
	request.attempts = append(request.attempts, attempt{number: e.Attempt, node: e.Node, sentAt: e.At})
}

// checkRetry checks that an attempt may follow an earlier one. The earlier one may have run unless its node
// rejected it.
func (c *Checker) checkRetry(request *request, earlier attempt, e *record.Event) {
	class := request.event.Class
	rules := c.limits.Classes[class]
	switch {
	case earlier.rejected, rules.Idempotent:
	case !rules.Deduplicated:
		c.addViolation(e.At, RuleEffect, "request %d of class %d goes out again though it may have run",
			e.Request, class)
	case rules.PodGroup(earlier.node) != rules.PodGroup(e.Node):
		c.addViolation(e.At, RuleEffect,
			"request %d of class %d goes to node %d, outside the group of node %d where it may have run",
			e.Request, class, e.Node, earlier.node)
	case e.At-earlier.sentAt > rules.DedupeWindow:
		c.addViolation(e.At, RuleEffect, "request %d of class %d goes out again after %v",
			e.Request, class, e.At-earlier.sentAt)
	}
}

// checkRun checks that a request that is not idempotent does not run more than once.
func (c *Checker) checkRun(request *request, e *record.Event) {
	request.runs++
	class := request.event.Class
	if request.runs > 1 && !c.limits.Classes[class].Idempotent {
		c.addViolation(e.At, RuleEffect, "request %d of class %d ran %d times", e.Request, class, request.runs)
	}
}

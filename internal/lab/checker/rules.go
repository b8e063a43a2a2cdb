package checker

import (
	"fmt"
	"time"
)

// Rule is the name of a rule, as printed in reports.
type Rule string

// The rules.
const (
	// RuleResponse: each accepted request gets exactly one final response, at most ResponseSlack after its client's
	// timeout.
	RuleResponse Rule = "answer"
	// RuleEffect: a request that may have run is retried or rejected only if its class allows it.
	RuleEffect Rule = "effect"
	// RuleDrain: no attempt is sent to a draining or gone node after the grace period.
	RuleDrain Rule = "drain"
	// RuleSlowStart: a node that has just started is not overloaded.
	RuleSlowStart Rule = "cold"
	// RulePrompt: a request that is given up gets its unsuccessful response within GiveUpGrace.
	RulePrompt Rule = "prompt"
	// RuleGenuine: each served response was returned by a node, and each request that is sent was made by a client.
	RuleGenuine Rule = "genuine"
)

// Rules lists all rules in the order of reports.
var Rules = []Rule{RuleResponse, RuleEffect, RuleDrain, RuleSlowStart, RulePrompt, RuleGenuine}

// RetryRules are the permitted actions for a request of one class that may have run.
type RetryRules struct {
	Idempotent   bool                 // it may run any number of times
	Deduplicated bool                 // it may be retried within DedupeWindow, on nodes of one PodGroup
	DedupeWindow time.Duration        // since the first byte of the first attempt that may have run
	PodGroup     func(node int32) int // returns the pod group of a node
	MayReject    bool                 // it may be rejected though it may have run
}

// Limits are the retry rules of a deployment's classes and the tolerances of the rules.
type Limits struct {
	Classes       []RetryRules
	ResponseSlack time.Duration // maximum time from the client's timeout to the final response
	DrainGrace    time.Duration // maximum time from a drain notice to an attempt sent to the node
	GiveUpGrace   time.Duration // maximum time from the last attempt's end or request's start to an unsuccessful reply
	SendGrace     time.Duration // maximum time from the final response to an attempt, such as a hedge in transit

	OverloadMultiple  float64       // permitted multiple of the work that a starting node can do within OverloadWindow
	OverloadWindow    time.Duration // window over which the work that reaches a node is summed
	OverloadSlack     float64       // work tolerated beyond the multiple, in seconds on a standard core
	SlowStartCapacity float64       // share of its full capacity that a node has when it starts
	SlowStartWindow   time.Duration // time in which its capacity grows to full capacity
}

// Violation is one violation of a rule.
type Violation struct {
	At     time.Duration
	Rule   Rule
	Detail string `json:"What"`
}

// String formats a violation as a line of a report.
func (v Violation) String() string {
	return fmt.Sprintf("%9.3fs %-7s %s", v.At.Seconds(), v.Rule, v.Detail)
}

// Verdict is the result of a run.
type Verdict struct {
	Requests   int          `json:"asked"`    // number of requests
	Counts     map[Rule]int `json:"breaches"` // number of violations per rule; rules without violations are absent
	Violations []Violation  `json:"first"`    // the first maxViolations violations
}

// Clean reports whether no rule was broken.
func (v Verdict) Clean() bool { return len(v.Counts) == 0 }

package checker

import (
	"fmt"
	"time"
)

// Rule names one of the binding rules. Its text is the one of reports.
type Rule string

// The rules.
const (
	// RuleResponse: each request taken gets exactly one final response, at most a slack after its client's timeout.
	RuleResponse Rule = "answer"
	// RuleEffect: a request that may have run is retried only as its class allows, and rejected only then.
	RuleEffect Rule = "effect"
	// RuleDrain: a node that drains or is gone gets nothing new, but for a grace period.
	RuleDrain Rule = "drain"
	// RuleSlowStart: no node that has just started is overloaded.
	RuleSlowStart Rule = "cold"
	// RulePrompt: a request that was given up is answered at once.
	RulePrompt Rule = "prompt"
	// RuleGenuine: no response is served that no node wrote, and no request is sent that no client made.
	RuleGenuine Rule = "genuine"
)

// Rules are all rules, in the order of reports.
var Rules = []Rule{RuleResponse, RuleEffect, RuleDrain, RuleSlowStart, RulePrompt, RuleGenuine}

// RetryRules says what may be done with a request of one class that may have run.
type RetryRules struct {
	Idempotent   bool                 // it may run any number of times
	Deduplicated bool                 // it may be retried within DedupeWindow, on nodes of one PodGroup
	DedupeWindow time.Duration        // from the first byte of the first attempt that may have run
	PodGroup     func(node int32) int // the group of a node
	MayReject    bool                 // it may be rejected though it may have run
}

// Limits are the classes of a deployment and how much the rules tolerate.
type Limits struct {
	Classes       []RetryRules
	ResponseSlack time.Duration // from the client's timeout to the final response
	DrainGrace    time.Duration // from the notice of a drain to the last request that a sidecar sends to the node
	GiveUpGrace   time.Duration // from the end of the last attempt in flight to the next attempt or the response
	SendGrace     time.Duration // from the final response to the last attempt: a hedged request may be on its way

	OverloadMultiple  float64       // of the work that a starting node can do within OverloadWindow
	OverloadWindow    time.Duration // over which the work that reaches a node is summed
	OverloadSlack     float64       // work tolerated beyond the multiple, in seconds on a standard core
	SlowStartCapacity float64       // share of its capacity that a node has when it starts
	SlowStartWindow   time.Duration // in which its capacity grows to the whole
}

// Violation is one rule broken once.
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
	Requests   int          `json:"asked"`    // requests seen
	Counts     map[Rule]int `json:"breaches"` // violations of each rule that was broken
	Violations []Violation  `json:"first"`    // the first ones
}

// Clean reports whether no rule was broken.
func (v Verdict) Clean() bool { return len(v.Counts) == 0 }

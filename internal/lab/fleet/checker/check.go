// Package checker checks a record of a fleet of sidecars against the rules that every fleet has to keep: the copies of
// the shared state converge, no acknowledged operator's call is lost, nothing that was superseded comes back, and no
// sidecar acts against what it could know.
//
// It reads only what was seen from outside: what each sidecar acknowledged, what it showed, and what it sent. It shares
// no code with the fleet, and works out by itself what each sidecar should have shown.
package checker

import (
	"fmt"
	"time"
)

// Rule is a rule that a fleet has to keep, in the words in which a violation is printed.
type Rule string

// The rules.
const (
	// RuleCopiesEqual requires that all sidecars hold the same copy of the shared state in the end.
	RuleCopiesEqual Rule = "copies equal"
	// RuleCallsRemembered requires that each acknowledged call is in force in the end, or a call that superseded it.
	RuleCallsRemembered Rule = "nothing acknowledged forgotten"
	// RuleNothingResurrected requires that no sidecar goes back to older state within one of its incarnations.
	RuleNothingResurrected Rule = "nothing resurrected"
	// RuleRowsWrittenByOwners requires that no sidecar shows a version of a row that its owner has not written.
	RuleRowsWrittenByOwners Rule = "rows written by their owners alone"
	// RuleAdminDownObeyed requires that no new request goes to a server that is known to be administratively down.
	RuleAdminDownObeyed Rule = "nothing new to a server out by hand"
	// RuleReadyWhenSynced requires that a sidecar that shows itself ready holds the calls that all others hold.
	RuleReadyWhenSynced Rule = "ready only with what the fleet holds"
	// RuleOutagesSuspected requires that all sidecars suspect an unresponsive server within SuspicionDeadline.
	RuleOutagesSuspected Rule = "silent servers known to all"
	// RuleSuspicionsCleared requires that no suspicion lasts that no outage or lost request supports.
	RuleSuspicionsCleared Rule = "no doubt that lasts without silence"
)

// Violation is a case in which a rule was broken.
type Violation struct {
	Rule Rule
	At   time.Duration
	Text string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return fmt.Sprintf("%s at %v: %s", v.Rule, v.At, v.Text) }

// newViolation formats the text of a violation.
func newViolation(rule Rule, at time.Duration, format string, args ...any) Violation {
	return Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...)}
}

// Check returns the violations in a record, rule by rule.
func Check(r Record) (violations []Violation) {
	checks := []func(*Record) []Violation{
		checkCopiesEqual,
		checkCallsRemembered,
		checkNothingResurrected,
		checkRowsWrittenByOwners,
		checkAdminDownObeyed,
		checkReadyWhenSynced,
		checkOutagesSuspected,
		checkSuspicionsCleared,
	}
	for _, check := range checks {
		violations = append(violations, check(&r)...)
	}
	return violations
}

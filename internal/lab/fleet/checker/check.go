// Package checker checks a record of a fleet of sidecars against the rules that apply to every fleet: the copies of the
// shared state converge, no acknowledged operator's call is lost, no superseded state reappears, and no sidecar acts
// against state that could have reached it.
//
// The checks use only externally observed events: the calls that each sidecar acknowledged, its snapshots and the
// requests that it sent. The package shares no code with the fleet and computes the expected state of each sidecar
// independently.
package checker

import (
	"fmt"
	"time"
)

// Rule is a rule that applies to a fleet. Its value is the name that is printed with a violation.
type Rule string

// The rules.
const (
	// RuleCopiesEqual requires that all sidecars hold equal copies of the shared state at the end.
	RuleCopiesEqual Rule = "copies equal"
	// RuleCallsRemembered requires that each acknowledged call, or a call that superseded it, is in force at the end.
	RuleCallsRemembered Rule = "nothing acknowledged forgotten"
	// RuleNothingResurrected requires that no sidecar returns to older state within one of its incarnations.
	RuleNothingResurrected Rule = "nothing resurrected"
	// RuleRowsWrittenByOwners requires that no sidecar shows a version of a row that its owner has not written.
	RuleRowsWrittenByOwners Rule = "rows written by their owners alone"
	// RuleAdminDownObeyed requires that no sidecar sends new requests to a server after a call that sets the server
	// administratively down could have reached it.
	RuleAdminDownObeyed Rule = "nothing new to a server out by hand"
	// RuleReadyWhenSynced requires that a sidecar that becomes ready holds the calls common to all other ready ones.
	RuleReadyWhenSynced Rule = "ready only with what the fleet holds"
	// RuleOutagesSuspected requires that all sidecars suspect an unresponsive server within SuspicionDeadline.
	RuleOutagesSuspected Rule = "silent servers known to all"
	// RuleSuspicionsCleared requires that a suspicion ends unless an outage or recently cancelled requests support it.
	RuleSuspicionsCleared Rule = "no doubt that lasts without silence"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule Rule
	At   time.Duration
	Text string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return fmt.Sprintf("%s at %v: %s", v.Rule, v.At, v.Text) }

// newViolation returns a violation with a formatted text.
func newViolation(rule Rule, at time.Duration, format string, args ...any) Violation {
	return Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...)}
}

// Check returns the violations in a record, grouped by rule.
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

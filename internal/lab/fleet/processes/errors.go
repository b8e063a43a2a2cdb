package processes

import "strings"

// StartError reports that the fleet was not ready within the time limit.
type StartError struct {
	// Details lists the state of each sidecar that is not ready, followed by the failures recorded so far.
	Details []string
}

// Error implements error.
func (e *StartError) Error() string {
	return "the fleet was not ready in time:\n" + strings.Join(e.Details, "\n")
}

// FailuresError reports failures of the run itself, or violations of rules that are checked without the checker.
type FailuresError struct {
	Failures []string // each starts with its time in the plan
}

// Error implements error.
func (e *FailuresError) Error() string { return strings.Join(e.Failures, "\n") }

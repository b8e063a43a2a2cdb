package processes

import "strings"

// StartError says that the fleet was not ready in time.
type StartError struct {
	// Details are the state of each sidecar that is not ready, and the failures recorded so far.
	Details []string
}

// Error implements error.
func (e *StartError) Error() string {
	return "the fleet never found itself:\n" + strings.Join(e.Details, "\n")
}

// FailuresError says that the run itself failed, or that a sidecar broke a rule that needs no checker.
type FailuresError struct {
	Failures []string // each with its time in the plan
}

// Error implements error.
func (e *FailuresError) Error() string { return strings.Join(e.Failures, "\n") }

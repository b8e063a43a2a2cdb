package hotrestart

import "fmt"

// invalidReason is the reason why the content of a state file is rejected.
type invalidReason int

const (
	tooLong invalidReason = iota + 1
	notStateFile
	unsupportedVersion
	lengthMismatch // for example in an incompletely written file
	checksumMismatch
	malformedJSON
	otherSidecar // the file belongs to a sidecar with another name or listen address
	unknownPhase
	tooManyServers
)

// invalidStateError reports a state file with invalid content. Its text is a predicate that callers append to the path
// of the file.
type invalidStateError struct {
	reason invalidReason
	detail string
}

// Error implements error.
func (e *invalidStateError) Error() string { return e.detail }

// invalidStatef returns an *invalidStateError with a formatted text.
func invalidStatef(reason invalidReason, format string, args ...any) error {
	return &invalidStateError{reason: reason, detail: fmt.Sprintf(format, args...)}
}

package hotrestart

import "fmt"

// invalidReason is why the content of a state file does not count.
type invalidReason int

const (
	tooLong invalidReason = iota + 1
	notStateFile
	unsupportedVersion
	lengthMismatch // written in part
	checksumMismatch
	malformedJSON
	otherSidecar // of another name or listen address
	unknownPhase
	tooManyServers
)

// invalidStateError reports a state file whose content does not count. Its text continues a sentence that begins with
// the file's path.
type invalidStateError struct {
	reason invalidReason
	detail string
}

// Error implements error.
func (e *invalidStateError) Error() string { return e.detail }

func invalidStatef(reason invalidReason, format string, args ...any) error {
	return &invalidStateError{reason: reason, detail: fmt.Sprintf(format, args...)}
}

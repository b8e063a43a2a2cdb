package wire

import "fmt"

// LineError is an error in one line of the input. Line numbers start at 1.
type LineError struct {
	Line int
	Err  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the underlying error.
func (e *LineError) Unwrap() error { return e.Err }

// FieldError is a malformed or missing field of a line. Field 0 is the message name.
type FieldError struct {
	Index    int
	Value    string
	Missing  bool
	Expected string // description of a valid value
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Missing {
		return fmt.Sprintf("field %d is missing, expected %s", e.Index, e.Expected)
	}
	return fmt.Sprintf("field %d is %q, expected %s", e.Index, e.Value, e.Expected)
}

// SettingError is a setting with a malformed or out-of-range value.
type SettingError struct {
	Key      string
	Value    string
	Expected string // description of a valid value
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s is %q, want %s", e.Key, e.Value, e.Expected)
}

// MissingSettingError is a missing required setting.
type MissingSettingError struct {
	Key string
}

// Error implements error.
func (e *MissingSettingError) Error() string { return fmt.Sprintf("setting %s is missing", e.Key) }

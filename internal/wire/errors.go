package wire

import "fmt"

// LineError is a fault in one line of the input. Lines count from 1.
type LineError struct {
	Line int
	Err  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns what is wrong with the line.
func (e *LineError) Unwrap() error { return e.Err }

// FieldError is a malformed or missing field of a line. The message's name is field 0.
type FieldError struct {
	Index    int
	Value    string
	Missing  bool
	Expected string // what was expected, in words
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Missing {
		return fmt.Sprintf("part %d is missing, want %s", e.Index, e.Expected)
	}
	return fmt.Sprintf("part %d is %q, want %s", e.Index, e.Value, e.Expected)
}

// SettingError is a setting whose value is malformed or out of range.
type SettingError struct {
	Key      string
	Value    string
	Expected string // what was expected, in words
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s is %q, want %s", e.Key, e.Value, e.Expected)
}

// MissingSettingError is a required setting that is absent.
type MissingSettingError struct {
	Key string
}

// Error implements error.
func (e *MissingSettingError) Error() string { return fmt.Sprintf("setting %s is missing", e.Key) }

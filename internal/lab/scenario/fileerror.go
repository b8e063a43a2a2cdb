package scenario

import "fmt"

// FileError is one error in a scenario file.
type FileError struct {
	File   string
	Line   int // counted from 1; 0: the error concerns the complete file
	Reason string
}

// Error implements error.
func (f FileError) Error() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason) }

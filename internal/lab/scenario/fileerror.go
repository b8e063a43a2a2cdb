package scenario

import "fmt"

// FileError is one thing wrong with a scenario file.
type FileError struct {
	File   string
	Line   int // from 1; 0: the file as a whole
	Reason string
}

// Error implements error.
func (f FileError) Error() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason) }

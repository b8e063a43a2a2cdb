package discovery

import (
	"errors"
	"fmt"
	"time"
)

// errNotObject reports that a stream contains something other than complete JSON objects.
var errNotObject = errors.New("not a JSON object")

// jsonSplitter splits a stream into JSON objects, independently of line breaks and of the size of the reads. It only
// finds the end of each object; the parser checks whether the object is well formed. A bufio.Scanner uses its split
// method and bounds the size of an object. The zero value is ready for the start of a stream.
type jsonSplitter struct {
	scanned   int // bytes of the current object that were scanned; 0: no object has begun
	depth     int // number of open brackets and braces
	inString  bool
	escaped   bool      // the previous byte of the string was an unescaped backslash
	startedAt time.Time // time at which the first byte of the current object was scanned
}

// inObject reports whether an object has begun and is not complete.
func (s *jsonSplitter) inObject() bool { return s.scanned > 0 }

// objectAge returns the time since the current object began, or 0 if no object has begun.
func (s *jsonSplitter) objectAge() time.Duration {
	if s.scanned == 0 {
		return 0
	}
	return time.Since(s.startedAt)
}

// split implements bufio.SplitFunc. It returns an object as soon as its last byte has been read, and skips white space
// between objects.
func (s *jsonSplitter) split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if s.scanned == 0 {
		advance = countLeadingSpace(data)
		if advance == len(data) {
			return advance, nil, nil
		}
		if first := data[advance]; first != '{' {
			return 0, nil, fmt.Errorf("%w: value begins with %q", errNotObject, first)
		}
		s.startedAt = time.Now()
	}
	object := data[advance:]
	for _, b := range object[s.scanned:] {
		s.consume(b)
		if s.depth == 0 {
			end := s.scanned
			*s = jsonSplitter{}
			return advance + end, object[:end], nil
		}
	}
	if atEOF {
		return 0, nil, fmt.Errorf("%w: stream ended within an object", errNotObject)
	}
	return advance, nil, nil
}

// consume updates the string and nesting state for the next byte of an object.
func (s *jsonSplitter) consume(b byte) {
	s.scanned++
	switch {
	case s.escaped:
		s.escaped = false
	case s.inString:
		s.escaped = b == '\\'
		s.inString = b != '"'
	case b == '"':
		s.inString = true
	case b == '{' || b == '[':
		s.depth++
	case b == '}' || b == ']':
		s.depth--
	}
}

// countLeadingSpace returns the number of white space bytes at the start of text.
func countLeadingSpace(text []byte) int {
	count := 0
	for count < len(text) && isSpace(text[count]) {
		count++
	}
	return count
}

// isSpace reports whether b is JSON white space.
func isSpace(b byte) bool { return b == ' ' || b == '\t' || b == '\r' || b == '\n' }

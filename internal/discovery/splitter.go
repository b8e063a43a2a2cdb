package discovery

import (
	"errors"
	"fmt"
	"time"
)

// errNotObject says that a stream of JSON objects has something else in it.
var errNotObject = errors.New("no JSON object")

// jsonSplitter splits a stream into JSON objects, in whatever lines and pieces they come. It finds the end of each and
// leaves it to the parser whether it is well formed. Its split is used by a bufio.Scanner, which bounds the size of an
// object. The zero value is at the start of a stream.
type jsonSplitter struct {
	scanned   int // bytes of the current object that were consumed; 0: no object has begun
	depth     int // open brackets and braces
	inString  bool
	escaped   bool      // the next byte of the string follows a backslash
	startedAt time.Time // when the first byte of the current object came
}

// inObject reports whether an object has begun and not ended.
func (s *jsonSplitter) inObject() bool { return s.scanned > 0 }

// objectAge returns for how long the current object has been coming; 0: no object has begun.
func (s *jsonSplitter) objectAge() time.Duration {
	if s.scanned == 0 {
		return 0
	}
	return time.Since(s.startedAt)
}

// split implements bufio.SplitFunc. It returns an object as soon as its last byte is there, and skips the white space
// between objects.
func (s *jsonSplitter) split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if s.scanned == 0 {
		advance = countLeadingSpace(data)
		if advance == len(data) {
			return advance, nil, nil
		}
		if first := data[advance]; first != '{' {
			return 0, nil, fmt.Errorf("%w: it begins with %q", errNotObject, first)
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
		return 0, nil, fmt.Errorf("%w: it ends midway", errNotObject)
	}
	return advance, nil, nil
}

// consume follows strings and nesting over the next byte of an object.
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

// countLeadingSpace returns how many bytes of white space text begins with.
func countLeadingSpace(text []byte) int {
	count := 0
	for count < len(text) && isSpace(text[count]) {
		count++
	}
	return count
}

// isSpace reports whether b is white space in JSON.
func isSpace(b byte) bool { return b == ' ' || b == '\t' || b == '\r' || b == '\n' }

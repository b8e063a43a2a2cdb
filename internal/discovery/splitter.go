package discovery

import (
	"errors"
	"fmt"
	"time"
)

// errNotObject says that a stream of JSON objects holds something else.
var errNotObject = errors.New("no JSON object")

// jsonSplitter parts a stream into JSON objects, in whatever lines and pieces they come. It finds where each one ends and leaves it to the
// parser whether it is well formed. The zero value is at a stream's start. A bufio.Scanner bounds the size of one.
type jsonSplitter struct {
	scanned   int // bytes of the object that have been looked at; 0: none has begun
	depth     int // of brackets that are open
	inString  bool
	escaped   bool // the next byte of a string has no meaning of its own
	startedAt time.Time
}

// inObject tells whether an object is on its way.
func (o *jsonSplitter) inObject() bool { return o.scanned > 0 }

// objectAge is for how long an object has been coming; 0: none has begun.
func (o *jsonSplitter) objectAge() time.Duration {
	if o.scanned == 0 {
		return 0
	}
	return time.Since(o.startedAt)
}

// split implements bufio.SplitFunc. An object is returned as soon as its last byte is there. White space between objects is passed over.
func (o *jsonSplitter) split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if o.scanned == 0 {
		for advance < len(data) && isSpace(data[advance]) {
			advance++
		}
		if advance == len(data) {
			return advance, nil, nil
		}
		if first := data[advance]; first != '{' {
			return 0, nil, fmt.Errorf("%w: it begins with %q", errNotObject, first)
		}
		o.startedAt = time.Now()
	}
	object := data[advance:]
	for _, b := range object[o.scanned:] {
		o.scanned++
		if o.consume(b); o.depth == 0 {
			end := o.scanned
			*o = jsonSplitter{}
			return advance + end, object[:end], nil
		}
	}
	if atEOF {
		return 0, nil, fmt.Errorf("%w: it ends midway", errNotObject)
	}
	return advance, nil, nil
}

// consume takes in a byte of an object.
func (o *jsonSplitter) consume(b byte) {
	switch {
	case o.escaped:
		o.escaped = false
	case o.inString:
		o.escaped = b == '\\'
		o.inString = b != '"'
	case b == '"':
		o.inString = true
	case b == '{' || b == '[':
		o.depth++
	case b == '}' || b == ']':
		o.depth--
	}
}

// isSpace tells whether JSON passes over b between values.
func isSpace(b byte) bool { return b == ' ' || b == '\t' || b == '\r' || b == '\n' }

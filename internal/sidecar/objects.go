package sidecar

import (
	"errors"
	"fmt"
	"time"
)

// errNoObject says that a stream of JSON objects holds something else.
var errNoObject = errors.New("no JSON object")

// objects parts a stream into JSON objects, in whatever lines and pieces they come. It finds where each one ends and leaves it to the
// parser whether it is well formed. The zero value is at a stream's start. A bufio.Scanner bounds the size of one.
type objects struct {
	scanned int // bytes of the object that have been looked at; 0: none has begun
	depth   int // of brackets that are open
	quoted  bool
	escaped bool // the next byte of a string has no meaning of its own
	began   time.Time
}

// begun tells whether an object is on its way.
func (o *objects) begun() bool { return o.scanned > 0 }

// age is for how long an object has been coming; 0: none has begun.
func (o *objects) age() time.Duration {
	if o.scanned == 0 {
		return 0
	}
	return time.Since(o.began)
}

// split implements bufio.SplitFunc. An object is returned as soon as its last byte is there. White space between objects is passed over.
func (o *objects) split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if o.scanned == 0 {
		for advance < len(data) && isSpace(data[advance]) {
			advance++
		}
		if advance == len(data) {
			return advance, nil, nil
		}
		if first := data[advance]; first != '{' {
			return 0, nil, fmt.Errorf("%w: it begins with %q", errNoObject, first)
		}
		o.began = time.Now()
	}
	object := data[advance:]
	for _, b := range object[o.scanned:] {
		o.scanned++
		if o.step(b); o.depth == 0 {
			end := o.scanned
			*o = objects{}
			return advance + end, object[:end], nil
		}
	}
	if atEOF {
		return 0, nil, fmt.Errorf("%w: it ends midway", errNoObject)
	}
	return advance, nil, nil
}

// step takes in a byte of an object.
func (o *objects) step(b byte) {
	switch {
	case o.escaped:
		o.escaped = false
	case o.quoted:
		o.escaped = b == '\\'
		o.quoted = b != '"'
	case b == '"':
		o.quoted = true
	case b == '{' || b == '[':
		o.depth++
	case b == '}' || b == ']':
		o.depth--
	}
}

// isSpace tells whether JSON passes over b between values.
func isSpace(b byte) bool { return b == ' ' || b == '\t' || b == '\r' || b == '\n' }

package downstream

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"milletramp.example/milletramp/internal/chunked"
)

// errFraming says that a client's message can be read in two ways.
var errFraming = errors.New("bad framing")

// maxHeadBytes is well beyond what net/http takes, so that it has its say first.
const maxHeadBytes = 4 * maxHeaderBytes

// requestFraming follows the bytes that a client sends and finds what net/http would mend: a length beside chunks, a length
// given twice, and folded lines. Whoever else read such a message would see another one. The zero value is at a
// connection's start.
type requestFraming struct {
	requests       int // that have come whole and can be read
	inBody         bool
	line           []byte // of a head, as far as it has come
	headBytes      int    // of the head
	hasRequestLine bool   // the head's first line has come
	contentLength  []byte // as given; nil: not
	chunkedCoding  bool   // a transfer coding is given
	remaining      int64  // of a body with a length
	decoder        *chunked.Decoder
}

// partial tells whether a part of a head has come.
func (f *requestFraming) partial() bool { return f.headBytes > 0 }

// feed takes in what has come. good is how much of it comes before the message that is bad.
func (f *requestFraming) feed(in []byte) (good int, err error) {
	for at := 0; at < len(in); {
		var used int
		switch {
		case f.inBody && f.decoder != nil:
			var done bool
			if _, used, done, err = f.decoder.Next(in[at:]); done {
				f.inBody, f.decoder = false, nil
			}
		case f.inBody:
			used = int(min(f.remaining, int64(len(in)-at)))
			f.remaining -= int64(used)
			f.inBody = f.remaining > 0
		default:
			used, err = f.feedHead(in[at:])
		}
		if err != nil {
			return good, err
		}
		if at += used; f.inBody || f.headBytes == 0 {
			good = at // up to here nothing is amiss
		}
	}
	return len(in), nil
}

// feedHead takes in what has come of a head, up to its end.
func (f *requestFraming) feedHead(in []byte) (used int, err error) {
	for used < len(in) {
		end := bytes.IndexByte(in[used:], '\n')
		piece := in[used:]
		if end >= 0 {
			piece = piece[:end+1]
		}
		used += len(piece)
		if f.headBytes += len(piece); f.headBytes > maxHeadBytes {
			return used, fmt.Errorf("%w: a head of more than %d bytes", errFraming, maxHeadBytes)
		}
		line := piece // most lines come whole
		if end < 0 || len(f.line) > 0 {
			if f.line = append(f.line, piece...); end < 0 {
				return used, nil
			}
			line = f.line
		}
		line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
		if len(line) == 0 && f.hasRequestLine {
			return used, f.endHead()
		}
		if err := f.feedField(line); err != nil {
			return used, err
		}
		f.hasRequestLine, f.line = true, f.line[:0]
	}
	return used, nil
}

// feedField takes in a line of a head.
func (f *requestFraming) feedField(line []byte) error {
	if !f.hasRequestLine || len(line) == 0 {
		return nil // what is wrong with it, net/http says
	}
	if line[0] == ' ' || line[0] == '\t' {
		return fmt.Errorf("%w: a folded line", errFraming)
	}
	if c := line[0] | 0x20; c != 'c' && c != 't' { // neither of the two, in capitals or not
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		if f.contentLength != nil {
			return fmt.Errorf("%w: two lengths", errFraming)
		}
		f.contentLength = append([]byte{}, value...) // not nil, though it be empty
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if f.chunkedCoding || !bytes.EqualFold(value, []byte("chunked")) {
			return fmt.Errorf("%w: codings other than chunked", errFraming)
		}
		f.chunkedCoding = true
	}
	return nil
}

// endHead takes in the end of a head.
func (f *requestFraming) endHead() error {
	length, coded := f.contentLength, f.chunkedCoding
	*f = requestFraming{requests: f.requests, line: f.line[:0]}
	switch {
	case coded && length != nil:
		return fmt.Errorf("%w: a length beside chunks", errFraming)
	case coded:
		f.inBody, f.decoder = true, &chunked.Decoder{}
	case length != nil:
		n, err := strconv.ParseUint(string(length), 10, 63)
		if err != nil {
			return fmt.Errorf("%w: length %.40q", errFraming, length)
		}
		f.remaining, f.inBody = int64(n), n > 0
	}
	f.requests++
	return nil
}

package downstream

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"milletramp.example/milletramp/internal/chunked"
)

// errFraming is the error of a client's message that can be read in two ways.
var errFraming = errors.New("bad framing")

// maxHeadBytes bounds the head of a request. It is well above what net/http takes, which answers such a head itself.
const maxHeadBytes = 4 * maxHeaderBytes

// requestFraming follows the bytes that a client sends and refuses what net/http would mend: a length together with
// chunks, a length given twice, and folded lines. Another reader of such a message would see another one. The zero
// value is at the start of a connection.
type requestFraming struct {
	requests       int // whose heads have come whole
	inBody         bool
	line           []byte // of a head, as far as it has come
	headBytes      int    // of the head
	hasRequestLine bool   // the head's first line has come
	contentLength  []byte // as given; nil: none is given
	isChunked      bool   // a transfer coding is given
	remaining      int64  // bytes of a body with a length
	decoder        *chunked.Decoder
}

// partial reports whether a part of a head has come.
func (f *requestFraming) partial() bool { return f.headBytes > 0 }

// feed follows the next bytes. wellFormed is how many of them come before a message that is malformed.
func (f *requestFraming) feed(in []byte) (wellFormed int, err error) {
	for at := 0; at < len(in); {
		used, err := f.feedPart(in[at:])
		if err != nil {
			return wellFormed, err
		}
		at += used
		if f.inBody || f.headBytes == 0 {
			wellFormed = at // up to here the messages are well formed
		}
	}
	return len(in), nil
}

// feedPart follows bytes of one head or one body, and returns how many it used.
func (f *requestFraming) feedPart(in []byte) (used int, err error) {
	switch {
	case !f.inBody:
		return f.feedHead(in)
	case f.decoder != nil:
		_, used, isComplete, err := f.decoder.Next(in)
		if isComplete {
			f.inBody = false
			f.decoder = nil
		}
		return used, err
	}
	used = int(min(f.remaining, int64(len(in))))
	f.remaining -= int64(used)
	f.inBody = f.remaining > 0
	return used, nil
}

// feedHead follows bytes of a head, up to its end.
func (f *requestFraming) feedHead(in []byte) (used int, err error) {
	for used < len(in) {
		piece, isLineEnd := cutLine(in[used:])
		used += len(piece)
		f.headBytes += len(piece)
		if f.headBytes > maxHeadBytes {
			return used, fmt.Errorf("%w: a head of more than %d bytes", errFraming, maxHeadBytes)
		}
		line := piece // most lines come whole
		if !isLineEnd || len(f.line) > 0 {
			f.line = append(f.line, piece...)
			line = f.line
		}
		if !isLineEnd {
			return used, nil
		}
		line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
		if len(line) == 0 && f.hasRequestLine {
			return used, f.endHead()
		}
		if err := f.feedLine(line); err != nil {
			return used, err
		}
		f.hasRequestLine = true
		f.line = f.line[:0]
	}
	return used, nil
}

// cutLine returns the bytes up to and with the first line feed, or all of them where there is none.
func cutLine(in []byte) (piece []byte, isLineEnd bool) {
	if end := bytes.IndexByte(in, '\n'); end >= 0 {
		return in[:end+1], true
	}
	return in, false
}

// feedLine follows a line of a head.
func (f *requestFraming) feedLine(line []byte) error {
	if !f.hasRequestLine || len(line) == 0 {
		return nil // net/http checks the request line
	}
	if line[0] == ' ' || line[0] == '\t' {
		return fmt.Errorf("%w: a folded line", errFraming)
	}
	if initial := line[0] | 0x20; initial != 'c' && initial != 't' { // in either case, the two fields begin with these
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		if f.contentLength != nil {
			return fmt.Errorf("%w: two lengths", errFraming)
		}
		f.contentLength = append([]byte{}, value...) // not nil, even if it is empty
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if f.isChunked || !bytes.EqualFold(value, []byte("chunked")) {
			return fmt.Errorf("%w: codings other than chunked", errFraming)
		}
		f.isChunked = true
	}
	return nil
}

// endHead follows the end of a head, and begins its body if it has one.
func (f *requestFraming) endHead() error {
	contentLength, isChunked := f.contentLength, f.isChunked
	*f = requestFraming{requests: f.requests, line: f.line[:0]}
	switch {
	case isChunked && contentLength != nil:
		return fmt.Errorf("%w: a length together with chunks", errFraming)
	case isChunked:
		f.inBody = true
		f.decoder = &chunked.Decoder{}
	case contentLength != nil:
		length, err := strconv.ParseUint(string(contentLength), 10, 63)
		if err != nil {
			return fmt.Errorf("%w: length %.40q", errFraming, contentLength)
		}
		f.remaining = int64(length)
		f.inBody = length > 0
	}
	f.requests++
	return nil
}

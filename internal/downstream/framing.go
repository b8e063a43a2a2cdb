package downstream

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"milletramp.example/milletramp/internal/chunked"
)

// errFraming means that the framing of a client's message is ambiguous or malformed.
var errFraming = errors.New("malformed message framing")

// maxHeadBytes is the maximum size in bytes of a request's head. It is well above the limit of net/http, so that
// net/http sends the response to a head that is too large.
const maxHeadBytes = 4 * maxHeaderBytes

const (
	// maxHeaderFields is the maximum number of header fields of a request. net/http holds some hundred bytes for each
	// field, however short it is.
	maxHeaderFields = 100
	// maxFramingLine is the number of bytes that are kept of an incomplete line of a head, and the maximum length of a
	// field that determines the framing.
	maxFramingLine = 256
)

// requestFraming checks the bytes that a client sends and rejects what net/http would accept and normalize: a
// Content-Length together with a chunked body, a duplicate Content-Length, and folded header lines. Another parser
// could find other message boundaries. The zero value is the state at the start of a connection.
type requestFraming struct {
	requests       int // number of complete heads
	inBody         bool
	line           []byte // first bytes of an incomplete line of a head
	lineTruncated  bool   // the line has more bytes than were kept
	headBytes      int    // size of the current head so far
	hasRequestLine bool   // the first line of the head is complete
	fields         int    // number of complete header lines of the current head
	contentLength  []byte // value of Content-Length; nil: absent
	isChunked      bool   // Transfer-Encoding is chunked
	remaining      int64  // remaining bytes of a body with Content-Length
	decoder        *chunked.Decoder
}

// partial reports whether a part of a head was received.
func (f *requestFraming) partial() bool { return f.headBytes > 0 }

// feed checks the next bytes. wellFormed is the number of bytes before a malformed message.
func (f *requestFraming) feed(in []byte) (wellFormed int, err error) {
	for at := 0; at < len(in); {
		used, err := f.feedPart(in[at:])
		if err != nil {
			return wellFormed, err
		}
		at += used
		if f.inBody || f.headBytes == 0 {
			wellFormed = at // the messages up to this offset are well formed
		}
	}
	return len(in), nil
}

// feedPart checks bytes of one head or one body, and returns the number of bytes consumed.
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

// feedHead checks bytes of a head, up to its end, and returns the number of bytes consumed.
func (f *requestFraming) feedHead(in []byte) (used int, err error) {
	for used < len(in) {
		piece, isLineEnd := cutLine(in[used:])
		used += len(piece)
		f.headBytes += len(piece)
		if f.headBytes > maxHeadBytes {
			return used, fmt.Errorf("%w: head exceeds %d bytes", errFraming, maxHeadBytes)
		}
		if !isLineEnd {
			f.keepLine(piece)
			return used, nil
		}
		line := bytes.TrimSuffix(piece, []byte("\n"))
		if len(f.line) > 0 { // most lines arrive in one piece
			f.keepLine(line)
			line = f.line
		} else {
			f.lineTruncated = len(line) > maxFramingLine // the result must not depend on the pieces
		}
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 && f.hasRequestLine {
			return used, f.endHead()
		}
		if err := f.endLine(line); err != nil {
			return used, err
		}
	}
	return used, nil
}

// keepLine keeps bytes of an incomplete line, as far as they are needed for the framing. A client could otherwise make
// the process hold a long line for as long as it does not end it.
func (f *requestFraming) keepLine(piece []byte) {
	kept := piece[:min(len(piece), maxFramingLine-len(f.line))]
	f.line = append(f.line, kept...)
	f.lineTruncated = f.lineTruncated || len(kept) < len(piece)
}

// endLine checks a complete line of a head, or its first bytes if it is long.
func (f *requestFraming) endLine(line []byte) error {
	if f.hasRequestLine {
		f.fields++
	}
	if f.fields > maxHeaderFields {
		return fmt.Errorf("%w: more than %d header fields", errFraming, maxHeaderFields)
	}
	if err := f.feedLine(line); err != nil {
		return err
	}
	f.hasRequestLine = true
	f.line = f.line[:0]
	f.lineTruncated = false
	return nil
}

// cutLine returns the bytes up to and including the first line feed, or all bytes if there is none.
func cutLine(in []byte) (piece []byte, isLineEnd bool) {
	if end := bytes.IndexByte(in, '\n'); end >= 0 {
		return in[:end+1], true
	}
	return in, false
}

// feedLine checks one line of a head.
func (f *requestFraming) feedLine(line []byte) error {
	if !f.hasRequestLine || len(line) == 0 {
		return nil // net/http checks the request line
	}
	if line[0] == ' ' || line[0] == '\t' {
		return fmt.Errorf("%w: folded header line", errFraming)
	}
	if initial := line[0] | 0x20; initial != 'c' && initial != 't' { // first letters of the two fields, lower-cased
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimSpace(value)
	isFraming := bytes.EqualFold(name, []byte("Content-Length")) || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	switch {
	case isFraming && f.lineTruncated:
		return fmt.Errorf("%w: %s of more than %d bytes", errFraming, name, maxFramingLine)
	case bytes.EqualFold(name, []byte("Content-Length")):
		if f.contentLength != nil {
			return fmt.Errorf("%w: duplicate Content-Length", errFraming)
		}
		f.contentLength = append([]byte{}, value...) // not nil, even if the value is empty
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if f.isChunked || !bytes.EqualFold(value, []byte("chunked")) {
			return fmt.Errorf("%w: unsupported or duplicate Transfer-Encoding", errFraming)
		}
		f.isChunked = true
	}
	return nil
}

// endHead checks the framing fields at the end of a head, and begins the body if there is one.
func (f *requestFraming) endHead() error {
	contentLength, isChunked := f.contentLength, f.isChunked
	*f = requestFraming{requests: f.requests, line: f.line[:0]}
	switch {
	case isChunked && contentLength != nil:
		return fmt.Errorf("%w: Content-Length together with Transfer-Encoding", errFraming)
	case isChunked:
		f.inBody = true
		f.decoder = &chunked.Decoder{}
	case contentLength != nil:
		length, err := strconv.ParseUint(string(contentLength), 10, 63)
		if err != nil {
			return fmt.Errorf("%w: invalid Content-Length %.40q", errFraming, contentLength)
		}
		f.remaining = int64(length)
		f.inBody = length > 0
	}
	f.requests++
	return nil
}

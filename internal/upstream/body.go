package upstream

import (
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"milletramp.example/milletramp/internal/chunked"
)

const (
	// MaxBufferedBody is how many bytes of a request's or a response's body are buffered in any case.
	MaxBufferedBody = 64 << 10

	maxResponseBody = 64 << 20 // bytes that a response may declare; 32 MB are agreed on
	minBodyGrowth   = 4 << 10  // bytes by which a buffer of unknown size grows at least
	unknownLength   = -1       // of a body whose response declares none

	// unknownLengthBufferTime is how long a body of unknown length is held back from its first byte on. One that stops
	// earlier can still be made good by a retry; a longer hold would delay long responses.
	unknownLengthBufferTime = 150 * time.Millisecond
)

// serverBody is the body of a response on a server's connection.
type serverBody struct {
	conn      *serverConn
	length    int64            // as declared, or unknownLength
	remaining int64            // bytes of a declared length that are not read yet
	decoder   *chunked.Decoder // nil: not chunked
	ended     bool             // a body without a declared length was read to its end
}

// newServerBody returns the body that follows a response's header, as the header frames it (RFC 9112, section 6.3).
func newServerBody(conn *serverConn, header http.Header) (*serverBody, error) {
	body := &serverBody{conn: conn, length: unknownLength}
	lengths := header["Content-Length"]
	codings := header["Transfer-Encoding"]
	switch {
	case len(codings) == 0 && len(lengths) == 1:
		length, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil || length > maxResponseBody {
			return nil, malformed("length %.40q", lengths[0])
		}
		body.length = int64(length)
		body.remaining = body.length
	case len(lengths) == 0 && len(codings) == 1 && strings.EqualFold(codings[0], "chunked"):
		body.decoder = &chunked.Decoder{}
	case isCloseDelimited(header):
		// It ends with an orderly close of the connection, announced or not. A reset or a silence is no end.
	default:
		return nil, malformed("lengths %q, codings %q", lengths, codings)
	}
	return body, nil
}

// isCloseDelimited reports whether a response declares no length, so that the close of its connection ends its body
// (RFC 9112, section 6.3).
func isCloseDelimited(header http.Header) bool {
	return len(header["Content-Length"]) == 0 && len(header["Transfer-Encoding"]) == 0
}

// isSelfDelimiting reports whether the body ends without the close of its connection.
func (b *serverBody) isSelfDelimiting() bool { return b.length >= 0 || b.decoder != nil }

// isComplete reports whether all of the body was read.
func (b *serverBody) isComplete() bool { return b.ended || b.length >= 0 && b.remaining == 0 }

// Read implements io.Reader. It returns what has come without waiting for more, and can be called again after a
// deadline was exceeded.
func (b *serverBody) Read(p []byte) (int, error) {
	switch {
	case b.isComplete():
		return 0, io.EOF
	case b.length >= 0:
		return b.readDeclared(p)
	case b.decoder != nil:
		return b.readChunks(p)
	}
	return b.readToClose(p)
}

// readDeclared reads from a body of declared length.
func (b *serverBody) readDeclared(p []byte) (int, error) {
	n, err := b.conn.reader.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, asUnexpectedEOF(err)
}

// readToClose reads from a body that the close of its connection ends.
func (b *serverBody) readToClose(p []byte) (int, error) {
	n, err := b.conn.reader.Read(p)
	b.ended = err == io.EOF
	return n, err
}

// readChunks reads from a chunked body until there is some data or its end.
func (b *serverBody) readChunks(p []byte) (n int, err error) {
	reader := b.conn.reader
	for n == 0 && !b.ended {
		if _, err := reader.Peek(1); err != nil {
			return 0, asUnexpectedEOF(err)
		}
		encoded, err := reader.Peek(min(reader.Buffered(), len(p)))
		if err != nil {
			return 0, asUnexpectedEOF(err)
		}
		data, used, done, err := b.decoder.Next(encoded)
		if err != nil {
			return 0, malformed("%v", err)
		}
		n = copy(p, data)
		b.ended = done
		if _, err := reader.Discard(used); err != nil {
			return n, err
		}
	}
	return n, nil
}

// asUnexpectedEOF returns the error of reading a body that the close of its connection does not end.
func asUnexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readBody reads the body that follows a header. It returns all of it, or of a long one the first part and the rest
// as a stream, as it does of one of unknown length that pauses.
func (c *serverConn) readBody(header http.Header) (data []byte, rest *Stream, err error) {
	c.limitedReader.N = math.MaxInt64 // the buffer is bounded, the body is not
	body, err := newServerBody(c, header)
	if err != nil {
		return nil, nil, err
	}
	buffer := newBodyBuffer(body)
	for !body.isComplete() {
		if buffer.isFull() {
			return buffer.data, newStream(body), nil
		}
		buffering := buffer.isBuffering()
		c.readTimeout = buffer.nextReadTimeout()
		err := buffer.fill()
		switch {
		case err == nil || err == io.EOF:
		case buffering && errors.Is(err, os.ErrDeadlineExceeded):
			return buffer.data, newStream(body), nil
		default:
			return nil, nil, c.classifyReadError(err)
		}
	}
	return buffer.data, nil, nil
}

// bodyBuffer collects the first part of a body.
type bodyBuffer struct {
	body           *serverBody
	data           []byte
	maxReadTimeout time.Duration // that the server may make, but for the hold of a body of unknown length
	firstByteAt    time.Time
}

func newBodyBuffer(body *serverBody) *bodyBuffer {
	b := &bodyBuffer{body: body, maxReadTimeout: body.conn.readTimeout}
	if body.length >= 0 && !b.exceedsBuffer() {
		b.data = make([]byte, 0, body.length)
	}
	return b
}

// exceedsBuffer reports whether the declared length is too great for a buffer.
func (b *bodyBuffer) exceedsBuffer() bool { return b.body.length > MaxBufferedBody }

// isFull reports whether the rest of the body has to be streamed. One that is sure to be long is not collected further
// than its first bytes.
func (b *bodyBuffer) isFull() bool {
	return b.exceedsBuffer() && len(b.data) > 0 || len(b.data) >= MaxBufferedBody
}

// isBuffering reports whether a part of a body of unknown length has come and is held back for the rest.
func (b *bodyBuffer) isBuffering() bool { return b.body.length < 0 && len(b.data) > 0 }

// nextReadTimeout returns how long the server may pause before the next bytes.
func (b *bodyBuffer) nextReadTimeout() time.Duration {
	if !b.isBuffering() {
		return b.maxReadTimeout
	}
	bufferTimeLeft := max(time.Until(b.firstByteAt.Add(unknownLengthBufferTime)), time.Nanosecond) // 0 would be no bound
	return min(b.maxReadTimeout, bufferTimeLeft)
}

// fill reads what has come of the body, as far as it fits in.
func (b *bodyBuffer) fill() error {
	buffering := b.isBuffering()
	if len(b.data) == cap(b.data) {
		b.data = slices.Grow(b.data, minBodyGrowth)
	}
	space := b.data[len(b.data):min(cap(b.data), MaxBufferedBody)]
	n, err := b.body.Read(space)
	b.data = b.data[:len(b.data)+n]
	if !buffering {
		b.firstByteAt = time.Now()
	}
	return err
}

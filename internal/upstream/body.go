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
	// MaxBufferedBody is the size in bytes up to which the body of a request is always buffered, and that of a response
	// by default.
	MaxBufferedBody = 64 << 10

	maxResponseBody = 64 << 20 // maximum declared length in bytes; servers may send up to 32 MB
	minBodyGrowth   = 4 << 10  // minimum growth in bytes of a buffer whose final size is unknown
	unknownLength   = -1       // serverBody.length of a response without a declared length

	// unknownLengthBufferTime is how long a body of unknown length is buffered, counted from its first byte. If the
	// body breaks off within this time, the request can still be retried. A longer time would delay long responses.
	unknownLengthBufferTime = 150 * time.Millisecond
)

// serverBody reads the body of a response from the connection to a server.
type serverBody struct {
	conn      *serverConn
	length    int64            // declared length in bytes, or unknownLength
	remaining int64            // unread bytes of a body of declared length
	received  int64            // bytes that were read
	decoder   *chunked.Decoder // nil: not chunked
	ended     bool             // a body without a declared length was read completely
}

// newServerBody returns a reader for the body that follows header. The header determines how the body is delimited
// (RFC 9112, section 6.3).
func newServerBody(conn *serverConn, header http.Header) (*serverBody, error) {
	body := &serverBody{conn: conn, length: unknownLength}
	lengths := header["Content-Length"]
	codings := header["Transfer-Encoding"]
	switch {
	case len(codings) == 0 && len(lengths) == 1:
		length, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil || length > maxResponseBody {
			return nil, malformed("invalid Content-Length %.40q", lengths[0])
		}
		body.length = int64(length)
		body.remaining = body.length
	case len(lengths) == 0 && len(codings) == 1 && strings.EqualFold(codings[0], "chunked"):
		body.decoder = &chunked.Decoder{}
	case isCloseDelimited(header):
		// An orderly close of the connection ends the body, with or without "Connection: close". A reset or a read
		// timeout does not.
	default:
		return nil, malformed("ambiguous framing: Content-Length %q, Transfer-Encoding %q", lengths, codings)
	}
	return body, nil
}

// isCloseDelimited reports whether a response has neither a length nor a transfer coding. The close of the connection
// then ends its body (RFC 9112, section 6.3).
func isCloseDelimited(header http.Header) bool {
	return len(header["Content-Length"]) == 0 && len(header["Transfer-Encoding"]) == 0
}

// isSelfDelimiting reports whether the body has a declared length or is chunked, so that it ends without a close of the
// connection.
func (b *serverBody) isSelfDelimiting() bool { return b.length >= 0 || b.decoder != nil }

// isComplete reports whether the complete body was read.
func (b *serverBody) isComplete() bool { return b.ended || b.length >= 0 && b.remaining == 0 }

// Read implements io.Reader. It waits only until some bytes are available, and can be called again after it failed with
// os.ErrDeadlineExceeded.
func (b *serverBody) Read(p []byte) (n int, err error) {
	defer func() { b.received += int64(n) }()
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

// readToClose reads from a close-delimited body.
func (b *serverBody) readToClose(p []byte) (int, error) {
	n, err := b.conn.reader.Read(p)
	b.ended = err == io.EOF
	return n, err
}

// readChunks reads from a chunked body until some data is available or the body ends.
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

// asUnexpectedEOF replaces io.EOF with io.ErrUnexpectedEOF for bodies that are not close-delimited.
func asUnexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readBody reads the body that follows header. It returns the complete body, or the first part and a stream of the
// rest. It returns a stream if the body is too long to be buffered, or if its length is unknown and it is not complete
// within unknownLengthBufferTime.
func (c *serverConn) readBody(header http.Header) (data []byte, rest *Stream, err error) {
	c.limitedReader.N = math.MaxInt64 // only the buffer is bounded
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

// bodyBuffer buffers the first part of a body.
type bodyBuffer struct {
	body           *serverBody
	data           []byte
	maxReadTimeout time.Duration // read timeout, reduced while a body of unknown length is buffered
	firstByteAt    time.Time
}

func newBodyBuffer(body *serverBody) *bodyBuffer {
	b := &bodyBuffer{body: body, maxReadTimeout: body.conn.readTimeout}
	if body.length >= 0 && !b.exceedsBuffer() {
		b.data = make([]byte, 0, body.length)
	}
	return b
}

// maxSize returns the maximum size of the buffer in bytes.
func (b *bodyBuffer) maxSize() int { return b.body.conn.maxBufferedBody }

// exceedsBuffer reports whether the declared length exceeds the buffer.
func (b *bodyBuffer) exceedsBuffer() bool { return b.body.length > int64(b.maxSize()) }

// isFull reports whether the rest of the body has to be streamed. If the declared length exceeds the buffer, only the
// result of the first read is buffered.
func (b *bodyBuffer) isFull() bool {
	return b.exceedsBuffer() && len(b.data) > 0 || len(b.data) >= b.maxSize()
}

// isBuffering reports whether the body has no declared length and its first part was read. This part is buffered until
// the rest arrives.
func (b *bodyBuffer) isBuffering() bool { return b.body.length < 0 && len(b.data) > 0 }

// nextReadTimeout returns the timeout of the next read.
func (b *bodyBuffer) nextReadTimeout() time.Duration {
	if !b.isBuffering() {
		return b.maxReadTimeout
	}
	bufferTimeLeft := max(time.Until(b.firstByteAt.Add(unknownLengthBufferTime)), time.Nanosecond) // 0 means no timeout
	return min(b.maxReadTimeout, bufferTimeLeft)
}

// fill reads available bytes of the body into the free space of the buffer.
func (b *bodyBuffer) fill() error {
	buffering := b.isBuffering()
	if len(b.data) == cap(b.data) {
		b.data = slices.Grow(b.data, minBodyGrowth)
	}
	space := b.data[len(b.data):min(cap(b.data), b.maxSize())]
	n, err := b.body.Read(space)
	b.data = b.data[:len(b.data)+n]
	if !buffering {
		b.firstByteAt = time.Now()
	}
	return err
}

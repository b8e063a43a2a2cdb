package upstream

import (
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"slices"
	"time"
)

const (
	// MaxBufferedBody is the size in bytes up to which the body of a request is always buffered, and that of a response
	// by default.
	MaxBufferedBody = 64 << 10

	minBodyGrowth = 4 << 10 // minimum growth in bytes of a buffer whose final size is unknown

	// unknownLengthBufferTime is how long a body of unknown length is buffered, counted from its first byte. If the
	// body breaks off within this time, the request can still be retried. A longer time would delay long responses.
	unknownLengthBufferTime = 150 * time.Millisecond
)

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
	bufferingEnds := b.body.firstByteAt.Add(unknownLengthBufferTime)
	bufferTimeLeft := max(time.Until(bufferingEnds), time.Nanosecond) // 0 means no timeout
	return min(b.maxReadTimeout, bufferTimeLeft)
}

// fill reads available bytes of the body into the free space of the buffer.
func (b *bodyBuffer) fill() error {
	if len(b.data) == cap(b.data) {
		b.data = slices.Grow(b.data, minBodyGrowth)
	}
	space := b.data[len(b.data):min(cap(b.data), b.maxSize())]
	n, err := b.body.Read(space)
	b.data = b.data[:len(b.data)+n]
	return err
}

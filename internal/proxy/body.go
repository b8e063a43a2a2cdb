package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"milletramp.example/milletramp/internal/upstream"
)

const (
	// MaxRequestBody is the maximum size of a request body in bytes.
	MaxRequestBody = 32 << 20
	// BodyStartTimeout is the age of a connection at which the enforcement of minBodyRate begins. If BodyGrace ends
	// later, the enforcement begins at the end of BodyGrace. A client that sends the head of its first request, but no
	// byte of the body, therefore occupies a connection for less than 3 s.
	BodyStartTimeout = 2700 * time.Millisecond
	// BodyGrace is the time after the request head during which minBodyRate is not enforced.
	BodyGrace = 400 * time.Millisecond
	// minBodyRate is the minimum rate of a request body in bytes per second. Clients may rely on 64 kB/s being
	// sufficient; minBodyRate is below that.
	minBodyRate = 48 << 10
	// initialBodyBuffer is the maximum size in bytes of the first buffer for a body before any of it was read.
	initialBodyBuffer = 4 << 10
	// bodyBufferGrowthFactor is the factor by which that buffer grows if the length of the body is unknown, up to
	// upstream.MaxBufferedBody.
	bodyBufferGrowthFactor = 4
)

// errNoDeadline is the response to a request on a connection that does not support deadlines.
var errNoDeadline = &httpError{status: http.StatusInternalServerError, text: "no deadline"}

// errBodiesTooLarge is the response to a request for whose body there is no memory.
var errBodiesTooLarge = &httpError{
	status: http.StatusServiceUnavailable,
	text:   "refused: too many large bodies at once",
}

// expiredDeadline is a read deadline that is always in the past. The zero time would mean no deadline.
var expiredDeadline = time.Time{}.Add(time.Nanosecond)

// requestBody is a request body that is being read.
type requestBody struct {
	pool          *bufferPool
	declared      int64    // length from Content-Length; -1 if unknown
	buffers       [][]byte // the first one is allocated per request, the others come from the pool
	reservedBytes int      // bytes reserved in the pool for the first buffer
	reserved      int      // number of buffers reserved in the pool
	length        int      // bytes read so far
}

// readBody reads the body of a request whose head was received at receivedAt.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, receivedAt time.Time) (*requestBody, *httpError) {
	conn := http.NewResponseController(w)
	defer h.stopReadingAtIntakeEnd(conn)()
	body := newRequestBody(h.bodyBuffers, r.ContentLength)
	rateStart := bodyRateStart(r, receivedAt)
	for {
		isComplete, httpErr := h.readPart(conn, r, body, rateStart)
		if httpErr != nil {
			body.release()
			return nil, httpErr
		}
		if isComplete {
			return body, nil
		}
	}
}

// bodyRateStart returns the time from which minBodyRate is enforced for a body.
func bodyRateStart(r *http.Request, receivedAt time.Time) time.Time {
	start := receivedAt.Add(BodyGrace)
	if conn := clientConnOf(r); conn != nil && conn.AcceptedAt().Add(BodyStartTimeout).After(start) {
		start = conn.AcceptedAt().Add(BodyStartTimeout)
	}
	return start
}

// readPart reads the next part of a body and reports whether the body is complete.
func (h *Handler) readPart(conn *http.ResponseController, r *http.Request, body *requestBody,
	rateStart time.Time) (isComplete bool, httpErr *httpError) {
	if httpErr := body.ensureSpace(); httpErr != nil {
		return false, httpErr
	}
	deadline := rateStart.Add(time.Duration(body.length) * time.Second / minBodyRate)
	if err := conn.SetReadDeadline(deadline); err != nil {
		return false, errNoDeadline
	}
	if h.intake.Err() != nil { // the request would be received too late in the drain
		// Without this deadline, net/http would wait for the rest of the body. The call fails on a closed connection.
		_ = conn.SetReadDeadline(expiredDeadline)
		return false, errShuttingDown
	}
	err := body.readFrom(r.Body)
	switch {
	case err == io.EOF:
		return true, nil
	case errors.Is(err, os.ErrDeadlineExceeded) && h.intake.Err() != nil: // the next call returns 503
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, &httpError{status: http.StatusRequestTimeout, text: "body came too slowly"}
	case err != nil:
		return false, badRequest("body ended early")
	}
	return false, nil
}

// stopReadingAtIntakeEnd ends the reads of a connection when requests are no longer taken. The caller calls done when
// it has finished reading. After done has returned, stopReadingAtIntakeEnd does not change the read deadline any more.
func (h *Handler) stopReadingAtIntakeEnd(conn *http.ResponseController) (done func()) {
	ended := make(chan struct{})
	stop := context.AfterFunc(h.intake, func() {
		_ = conn.SetReadDeadline(expiredDeadline) // fails on a closed connection
		close(ended)
	})
	return func() {
		if !stop() {
			<-ended // otherwise the function above could overwrite the deadline of the next reader
		}
	}
}

// newRequestBody returns an empty requestBody. declared is the declared length, or -1 if it is unknown.
func newRequestBody(pool *bufferPool, declared int64) *requestBody {
	size := initialBodyBuffer
	if declared > 0 {
		size = int(min(declared+1, initialBodyBuffer)) // one byte more for the read that returns io.EOF
	}
	return &requestBody{pool: pool, declared: declared, buffers: [][]byte{make([]byte, 0, size)}}
}

// ensureSpace makes sure that the last buffer has free space. It returns an error if the body is too large or the pool
// is exhausted.
func (b *requestBody) ensureSpace() *httpError {
	last := b.buffers[len(b.buffers)-1]
	switch {
	case len(last) < cap(last):
		return nil
	case len(last) < upstream.MaxBufferedBody:
		return b.growFirst(last)
	case b.length > MaxRequestBody:
		return errBodyTooLarge
	}
	if b.reserved == len(b.buffers)-1 && !b.reserve() {
		return errBodiesTooLarge
	}
	b.buffers = append(b.buffers, b.pool.buffer())
	return nil
}

// growFirst replaces the full first buffer by a larger one: of the declared length, or by a factor if that is unknown.
// A client therefore has to send a part of a body before the process holds memory for the rest.
func (b *requestBody) growFirst(first []byte) *httpError {
	size := bodyBufferGrowthFactor * cap(first)
	if b.declared > 0 {
		size = int(min(b.declared+1, upstream.MaxBufferedBody))
	}
	size = min(size, upstream.MaxBufferedBody)
	if !b.pool.reserveBytes(size - b.reservedBytes) {
		return errBodiesTooLarge
	}
	b.reservedBytes = size
	b.buffers[0] = append(make([]byte, 0, size), first...)
	return nil
}

// reserve reserves pool buffers for the rest of a body of declared length, or one buffer if the length is unknown. If
// bodies reserved their buffers one at a time, many bodies could each hold a part of the pool, and none could be
// completed.
func (b *requestBody) reserve() bool {
	n := max(1, (int(b.declared)-b.length)/upstream.MaxBufferedBody+1)
	if !b.pool.reserve(n) {
		return false
	}
	b.reserved += n
	return true
}

// readFrom calls r.Read once, into the last buffer.
func (b *requestBody) readFrom(r io.Reader) error {
	last := b.buffers[len(b.buffers)-1]
	n, err := r.Read(last[len(last):cap(last)])
	b.buffers[len(b.buffers)-1] = last[:len(last)+n]
	b.length += n
	return err
}

// release returns the buffers to the pool. They must not be used afterwards.
func (b *requestBody) release() {
	b.pool.release(b.reserved, b.buffers[1:])
	b.pool.releaseBytes(b.reservedBytes)
}

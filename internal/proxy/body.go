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
	// MaxRequestBody bounds the bytes of a request's body.
	MaxRequestBody = 32 << 20
	// BodyStartTimeout is how long after the start of a connection a body has to keep minBodyRate, unless BodyGrace
	// ends later. Connections without a complete request are to end within 3 s.
	BodyStartTimeout = 2700 * time.Millisecond
	// BodyGrace is how long after its head a body has to keep minBodyRate at the earliest.
	BodyGrace = 400 * time.Millisecond
	// minBodyRate is the bytes a second at which a body has to come. Clients are promised that 64 kB/s are enough.
	minBodyRate = 48 << 10
	// initialBodyBuffer is the bytes read first of a body of unknown length.
	initialBodyBuffer = 4 << 10
	// bodyBufferGrowthFactor is how much larger the next buffer of such a body is, up to upstream.MaxBufferedBody.
	bodyBufferGrowthFactor = 4
)

// errNoDeadline refuses a request on a connection that takes no deadline.
var errNoDeadline = &httpError{status: http.StatusInternalServerError, text: "no deadline"}

// expiredDeadline is a read deadline that is over by any clock. The zero time would be none.
var expiredDeadline = time.Time{}.Add(time.Nanosecond)

// requestBody is the body of a request while it is read.
type requestBody struct {
	pool     *bufferPool
	declared int64    // its length; -1: not declared
	buffers  [][]byte // the first one is its own, those behind it are of the pool
	reserved int      // buffers reserved in the pool
	length   int      // bytes read
}

// readBody reads the body of a request, whose head was received then.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, receivedAt time.Time) (*requestBody, *httpError) {
	conn := http.NewResponseController(w)
	defer h.stopReadingAtShutdown(conn)()
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

// bodyRateStart is when a body has to keep minBodyRate from.
func bodyRateStart(r *http.Request, receivedAt time.Time) time.Time {
	start := receivedAt.Add(BodyGrace)
	if conn := clientConnOf(r); conn != nil && conn.AcceptedAt().Add(BodyStartTimeout).After(start) {
		start = conn.AcceptedAt().Add(BodyStartTimeout)
	}
	return start
}

// readPart reads the next bytes of a body, and reports whether it is complete.
func (h *Handler) readPart(conn *http.ResponseController, r *http.Request, body *requestBody,
	rateStart time.Time) (isComplete bool, httpErr *httpError) {
	if httpErr := body.ensureSpace(); httpErr != nil {
		return false, httpErr
	}
	deadline := rateStart.Add(time.Duration(body.length) * time.Second / minBodyRate)
	if err := conn.SetReadDeadline(deadline); err != nil {
		return false, errNoDeadline
	}
	if h.shutdown.Err() != nil { // the process may be killed before the body is complete
		_ = conn.SetReadDeadline(expiredDeadline) // or net/http would wait for the rest; it fails on a closed connection
		return false, &httpError{status: http.StatusServiceUnavailable, text: "refused: this process ends"}
	}
	err := body.readFrom(r.Body)
	switch {
	case err == io.EOF:
		return true, nil
	case errors.Is(err, os.ErrDeadlineExceeded) && h.shutdown.Err() != nil: // the next call refuses the request
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, &httpError{status: http.StatusRequestTimeout, text: "body came too slowly"}
	case err != nil:
		return false, badRequest("body ended early")
	}
	return false, nil
}

// stopReadingAtShutdown ends the reading of a connection when all requests have to be answered. After done it ends
// none.
func (h *Handler) stopReadingAtShutdown(conn *http.ResponseController) (done func()) {
	ended := make(chan struct{})
	stop := context.AfterFunc(h.shutdown, func() {
		_ = conn.SetReadDeadline(expiredDeadline) // it fails on a closed connection
		close(ended)
	})
	return func() {
		if !stop() {
			<-ended // or it would come after the deadline that the next reader sets
		}
	}
}

// newRequestBody returns a body of a declared length, -1 for none, of which nothing is read.
func newRequestBody(pool *bufferPool, declared int64) *requestBody {
	size := initialBodyBuffer
	if declared > 0 {
		size = int(min(declared+1, upstream.MaxBufferedBody)) // and a byte for the end
	}
	return &requestBody{pool: pool, declared: declared, buffers: [][]byte{make([]byte, 0, size)}}
}

// ensureSpace makes the buffers take more bytes, or returns why they cannot.
func (b *requestBody) ensureSpace() *httpError {
	last := b.buffers[len(b.buffers)-1]
	switch {
	case len(last) < cap(last):
		return nil
	case len(last) < upstream.MaxBufferedBody:
		larger := make([]byte, 0, min(bodyBufferGrowthFactor*cap(last), upstream.MaxBufferedBody))
		b.buffers[len(b.buffers)-1] = append(larger, last...)
		return nil
	case b.length > MaxRequestBody:
		return errBodyTooLarge
	}
	if b.reserved == len(b.buffers)-1 {
		if !b.reserve() {
			return &httpError{
				status: http.StatusServiceUnavailable,
				text:   "refused: too many large bodies at once",
			}
		}
	}
	b.buffers = append(b.buffers, b.pool.buffer())
	return nil
}

// reserve reserves the buffers for the rest of a declared length, else one. If each of many bodies reserved its buffers
// one by one, all would get a part and none would get through.
func (b *requestBody) reserve() bool {
	n := max(1, (int(b.declared)-b.length)/upstream.MaxBufferedBody+1)
	if !b.pool.reserve(n) {
		return false
	}
	b.reserved += n
	return true
}

// readFrom reads once from r into the last buffer.
func (b *requestBody) readFrom(r io.Reader) error {
	last := b.buffers[len(b.buffers)-1]
	n, err := r.Read(last[len(last):cap(last)])
	b.buffers[len(b.buffers)-1] = last[:len(last)+n]
	b.length += n
	return err
}

// release gives the buffers back to the pool. Nothing may use them any more.
func (b *requestBody) release() { b.pool.release(b.reserved, b.buffers[1:]) }

package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"milletramp.example/milletramp/internal/upstream"
)

const (
	streamBufferSize = 16 << 10 // bytes of a long answer that are held at once
	clientSendBuffer = 64 << 10 // bytes of it that may wait in the client's connection
	// MaxStreamPause is how long a server may pause in an answer that is being passed on: one that vanishes says nothing.
	MaxStreamPause = 5 * time.Second
	// lateResponseGrace is how long after its client's time an answer of usual length may still end. Its client counts it as lost 0.5 s after
	// that time, and as failed where it was told before that it has no end.
	lateResponseGrace = 250 * time.Millisecond
	// minStreamPause is how long a server may pause in any case. Whether an answer of untold length is a long one, of which only the first
	// bytes are timed, is not known while it comes: one that a server is still giving must not be cut off.
	minStreamPause = time.Second
)

// streamBuffers are buffers of passPiece bytes.
var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

// stream passes a long answer on. What the server cuts off must not look whole to the client: its connection ends
// before the length is met, or before the chunks' end.
func (s *Handler) stream(w http.ResponseWriter, r *http.Request, conn *http.ResponseController, a finalResponse, c *inflightRequest) *httpError {
	whole, ours := false, false
	// A full send buffer takes more when a third of it is free. A slow client would take a large one's third for
	// longer than any piece may take.
	if client := clientConnOf(r); client != nil {
		_ = client.SetWriteBuffer(clientSendBuffer) // the system's own is only worse
	}
	defer func() { a.remainder.Finish(whole) }()
	defer context.AfterFunc(s.shutdown, a.remainder.ShortenPause)()
	w.Header()["Content-Type"] = nil
	if a.contentType != "" {
		w.Header().Set("Content-Type", a.contentType)
	}
	if n := a.remainder.Length(); n >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	passed := int64(0)
	buffer := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(buffer)
	for piece := a.body; ; {
		if err := writePiece(w, conn, piece); err != nil {
			ours = true // the client is gone, or takes less than it must
			break
		}
		passed += int64(len(piece))
		if a.remainder.IsComplete() {
			whole = true
			break
		}
		a.remainder.AllowPause(allowedPause(max(passed, a.remainder.Length()), c.deadline))
		n, err := a.remainder.Read(buffer[:])
		if piece = buffer[:n]; err != nil && !errors.Is(err, io.EOF) {
			break
		}
	}
	switch {
	case whole:
		c.counters.Served.Add(1)
		return nil
	case !ours:
		c.counters.Failed.Add(1)
	}
	panic(http.ErrAbortHandler)
}

// allowedPause is how long a server may pause in an answer of at least this length, to a client whose time ends at deadline.
func allowedPause(length int64, deadline time.Time) time.Duration {
	if length > upstream.MaxBufferedBody {
		return MaxStreamPause
	}
	return min(MaxStreamPause, max(time.Until(deadline.Add(lateResponseGrace)), minStreamPause))
}

// writePiece sends a piece of an answer. The time it may take is the piece's own.
func writePiece(w http.ResponseWriter, conn *http.ResponseController, piece []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(MaxStreamPause)); err != nil {
		return err
	}
	if _, err := w.Write(piece); err != nil {
		return err
	}
	return conn.Flush()
}

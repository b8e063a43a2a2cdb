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
	// streamBufferSize is the bytes of a streamed body that are held at once.
	streamBufferSize = 16 << 10
	// clientSendBuffer is the bytes of it that may wait in the client's connection. A full buffer takes more once a
	// third of it is free, which with a large one would take a slow client longer than a piece may take.
	clientSendBuffer = 64 << 10
	// MaxStreamPause is how long a server may pause in a streamed body, and a client take to receive a piece of it.
	MaxStreamPause = 5 * time.Second
	// lateResponseGrace is how long after its client's deadline a body of usual length may still end. Clients count a
	// response as lost 0.5 s after the deadline.
	lateResponseGrace = 250 * time.Millisecond
	// minStreamPause is how long a server may pause in any case. Of a body of unknown length nobody can tell whether it
	// is a long one, of which only the first bytes are due at the deadline.
	minStreamPause = time.Second
)

// streamBuffers are buffers of streamBufferSize bytes.
var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

// Errors that end a stream before the body is complete.
var (
	errClientWrite = errors.New("the client does not take the response")
	errServerRead  = errors.New("the server does not complete its response")
)

// stream writes a long response as it comes, and counts it. One that the server breaks off must not look complete to
// the client, so the handler is aborted: the connection ends before the declared length, or without the last chunk.
func (h *Handler) stream(w http.ResponseWriter, r *http.Request, conn *http.ResponseController,
	response finalResponse, request *inflightRequest) {
	if client := clientConnOf(r); client != nil {
		_ = client.SetWriteBuffer(clientSendBuffer) // the size that the system chose serves as well
	}
	isComplete := false
	defer func() { response.remainder.Finish(isComplete) }()
	defer context.AfterFunc(h.shutdown, response.remainder.ShortenReadTimeout)()
	response.writeContentType(w)
	if length := response.remainder.Length(); length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	err := copyStream(w, conn, response, request.deadline)
	switch err {
	case nil:
		isComplete = true
		request.counters.Served.Add(1)
		return
	case errServerRead:
		request.counters.Failed.Add(1)
	}
	panic(http.ErrAbortHandler)
}

// copyStream writes a body, of which a part has come, to its end. It returns errClientWrite or errServerRead.
func copyStream(w http.ResponseWriter, conn *http.ResponseController, response finalResponse,
	deadline time.Time) error {
	buffer := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(buffer)
	remainder := response.remainder
	piece := response.body
	written := int64(0)
	for {
		if err := writePiece(w, conn, piece); err != nil {
			return errClientWrite
		}
		written += int64(len(piece))
		if remainder.IsComplete() {
			return nil
		}
		remainder.SetReadTimeout(allowedPause(max(written, remainder.Length()), deadline))
		n, err := remainder.Read(buffer[:])
		if err != nil && !errors.Is(err, io.EOF) {
			return errServerRead
		}
		piece = buffer[:n]
	}
}

// allowedPause is how long a server may pause in a body of at least this length, to a client with this deadline.
func allowedPause(length int64, deadline time.Time) time.Duration {
	if length > upstream.MaxBufferedBody {
		return MaxStreamPause
	}
	untilLost := time.Until(deadline.Add(lateResponseGrace))
	return min(MaxStreamPause, max(untilLost, minStreamPause))
}

// writePiece writes a piece of a body. The time that it may take is its own.
func writePiece(w http.ResponseWriter, conn *http.ResponseController, piece []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(MaxStreamPause)); err != nil {
		return err
	}
	if _, err := w.Write(piece); err != nil {
		return err
	}
	return conn.Flush()
}

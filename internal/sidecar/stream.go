package sidecar

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"milletramp.example/milletramp/internal/chunked"
)

const (
	streamBufferSize = 16 << 10 // bytes of a long answer that are held at once
	clientSendBuffer = 64 << 10 // bytes of it that may wait in the client's connection
	// maxStreamPause is how long a server may pause in an answer that is being passed on: one that vanishes says nothing.
	maxStreamPause = 5 * time.Second
	// lateResponseGrace is how long after its client's time an answer of usual length may still end. Its client counts it as lost 0.5 s after
	// that time, and as failed where it was told before that it has no end.
	lateResponseGrace = 250 * time.Millisecond
	// finalPause is how long it may pause once this process ends: an answer that hangs is cut off before the kill, and one
	// that comes goes on.
	finalPause = killMargin / 4
	// minStreamPause is how long a server may pause in any case. Whether an answer of untold length is a long one, of which only the first
	// bytes are timed, is not known while it comes: one that a server is still giving must not be cut off.
	minStreamPause = time.Second
)

// serverBody is a body as a server sends it. Read returns what has come, without waiting for more, and io.EOF at the
// end. After a deadline it can be read on.
type serverBody struct {
	conn      *serverConn
	length    int64            // -1: not told
	remaining int64            // of a length
	decoder   *chunked.Decoder // nil: none
	ended     bool
}

// isComplete tells whether all of it was read.
func (b *serverBody) isComplete() bool { return b.ended || b.length >= 0 && b.remaining == 0 }

// Read implements io.Reader.
func (b *serverBody) Read(p []byte) (n int, err error) {
	switch {
	case b.isComplete():
		return 0, io.EOF
	case b.length >= 0:
		n, err = b.conn.reader.Read(p[:min(int64(len(p)), b.remaining)])
		b.remaining -= int64(n)
		return n, asUnexpectedEOF(err)
	case b.decoder == nil:
		n, err = b.conn.reader.Read(p)
		b.ended = err == io.EOF
		return n, err
	}
	for n == 0 && !b.ended {
		if _, err := b.conn.reader.Peek(1); err != nil {
			return 0, asUnexpectedEOF(err)
		}
		in, err := b.conn.reader.Peek(min(b.conn.reader.Buffered(), len(p)))
		if err != nil {
			return 0, asUnexpectedEOF(err)
		}
		data, used, done, err := b.decoder.Next(in)
		if err != nil {
			return 0, malformed("%v", err)
		}
		n, b.ended = copy(p, data), done
		if _, err := b.conn.reader.Discard(used); err != nil {
			return n, err
		}
	}
	return n, nil
}

// asUnexpectedEOF is the error of a body that has no end of its own.
func asUnexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Stream is the rest of an answer that is passed on as it comes.
type Stream struct {
	body             *serverBody
	connectionCloses bool      // the server closes the connection behind it
	reusable         chan bool // gets whether its connection can have another request, once
}

// Finish lets go of the server's connection. whole says that all of the answer was read.
func (s *Stream) Finish(whole bool) {
	ends := s.body.length >= 0 || s.body.decoder != nil // without its connection
	s.reusable <- whole && ends && !s.connectionCloses && s.body.conn.isReusable()
}

// streamBuffers are buffers of passPiece bytes.
var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

// stream passes a long answer on. What the server cuts off must not look whole to the client: its connection ends
// before the length is met, or before the chunks' end.
func (s *Handler) stream(w http.ResponseWriter, r *http.Request, conn *http.ResponseController, a answer, c *call) *fault {
	whole, ours := false, false
	// A full send buffer takes more when a third of it is free. A slow client would take a large one's third for
	// longer than any piece may take.
	if client, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		if tcp, ok := client.Conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(clientSendBuffer) // the system's own is only worse
		}
	}
	defer func() { a.rest.Finish(whole) }()
	defer context.AfterFunc(s.ending, a.rest.body.conn.shortenPause)()
	w.Header()["Content-Type"] = nil
	if a.ctype != "" {
		w.Header().Set("Content-Type", a.ctype)
	}
	if n := a.rest.body.length; n >= 0 {
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
		if a.rest.body.isComplete() {
			whole = true
			break
		}
		a.rest.body.conn.allowedPause = allowedPause(max(passed, a.rest.body.length), c.deadline)
		n, err := a.rest.body.Read(buffer[:])
		if piece = buffer[:n]; err != nil && !errors.Is(err, io.EOF) {
			break
		}
	}
	switch {
	case whole:
		c.counts.Passed.Add(1)
		return nil
	case !ours:
		c.counts.BadGateway.Add(1)
	}
	panic(http.ErrAbortHandler)
}

// allowedPause is how long a server may pause in an answer of at least this length, to a client whose time ends at deadline.
func allowedPause(length int64, deadline time.Time) time.Duration {
	if length > MaxBufferedBody {
		return maxStreamPause
	}
	return min(maxStreamPause, max(time.Until(deadline.Add(lateResponseGrace)), minStreamPause))
}

// writePiece sends a piece of an answer. The time it may take is the piece's own.
func writePiece(w http.ResponseWriter, conn *http.ResponseController, piece []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(maxStreamPause)); err != nil {
		return err
	}
	if _, err := w.Write(piece); err != nil {
		return err
	}
	return conn.Flush()
}

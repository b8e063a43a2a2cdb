package upstream

import "time"

// shutdownReadTimeout is how long a server may pause in a stream once this process ends: a stream that hangs is cut off before
// the process is killed, and one that makes progress goes on.
const shutdownReadTimeout = 50 * time.Millisecond

// Stream is the rest of a long response, which is read as it comes. One goroutine reads it and calls Finish once.
type Stream struct {
	body             *serverBody
	connectionCloses bool      // the server announced that it closes the connection after the body
	reusable         chan bool // gets once whether the connection can have another request
}

func newStream(body *serverBody) *Stream { return &Stream{body: body, reusable: make(chan bool, 1)} }

// Finish ends the stream and gives the server's connection back. complete says that all of the body was read.
func (s *Stream) Finish(complete bool) {
	s.reusable <- complete && s.body.isSelfDelimiting() && !s.connectionCloses && s.body.conn.isReusable()
}

// Read implements io.Reader. It returns what has come of the body, without waiting for more than its next bytes. After
// any error but io.EOF and an exceeded deadline the rest of the body is lost.
func (s *Stream) Read(p []byte) (int, error) { return s.body.Read(p) }

// Length returns the declared length of the whole body, or -1 where none is declared.
func (s *Stream) Length() int64 { return s.body.length }

// IsComplete reports whether the body was read to its end.
func (s *Stream) IsComplete() bool { return s.body.isComplete() }

// SetReadTimeout sets how long the server may pause before its next bytes. Only the goroutine that reads may call it.
func (s *Stream) SetReadTimeout(timeout time.Duration) { s.body.conn.readTimeout = timeout }

// ShortenReadTimeout limits all pauses from now on, the current one included, to shutdownReadTimeout. Any goroutine may call it.
func (s *Stream) ShortenReadTimeout() { s.body.conn.shortenReadTimeout() }

package upstream

import "time"

// finalPause is how long a server may pause in a streamed body once this process ends: a body that hangs is cut off
// before the process is killed, and one that comes goes on.
const finalPause = 50 * time.Millisecond

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

// Read reads what has come of the body, without waiting for more than its next bytes, and returns io.EOF at its end.
func (s *Stream) Read(p []byte) (int, error) { return s.body.Read(p) }

// Length is the declared length of the whole body, -1 where none is declared.
func (s *Stream) Length() int64 { return s.body.length }

// IsComplete reports whether the body was read to its end.
func (s *Stream) IsComplete() bool { return s.body.isComplete() }

// AllowPause sets how long the server may pause before its next bytes. Only the goroutine that reads calls it.
func (s *Stream) AllowPause(pause time.Duration) { s.body.conn.allowedPause = pause }

// ShortenPause limits all pauses from now on to finalPause. Any goroutine may call it.
func (s *Stream) ShortenPause() { s.body.conn.shortenPause() }

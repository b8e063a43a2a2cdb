package upstream

import (
	"sync"
	"time"
)

// Stream reads the rest of a long response as it arrives. Only one goroutine may read it, and that goroutine must call
// Finish once.
type Stream struct {
	body             *serverBody
	connectionCloses bool      // the response has "Connection: close"
	reusable         chan bool // receives one value: whether the connection can carry another request

	reading sync.Mutex // held during a read
}

func newStream(body *serverBody) *Stream {
	body.conn.liftReadTimeoutLimit()
	return &Stream{body: body, reusable: make(chan bool, 1)}
}

// Finish ends the stream and releases the connection to the server. complete reports whether the complete body was
// read.
func (s *Stream) Finish(complete bool) {
	s.reusable <- complete && s.body.isSelfDelimiting() && !s.connectionCloses && s.body.conn.isReusable()
}

// Read implements io.Reader. It waits only until some bytes are available. After any error except io.EOF and
// os.ErrDeadlineExceeded, the rest of the body is lost.
func (s *Stream) Read(p []byte) (int, error) {
	s.reading.Lock()
	defer s.reading.Unlock()
	n, err := s.body.Read(p)
	if err != nil && s.body.conn.hasYielded() {
		err = ErrStreamYielded
	}
	return n, err
}

// Length returns the declared length of the complete body in bytes, or -1 if none is declared.
func (s *Stream) Length() int64 { return s.body.length }

// IsComplete reports whether the complete body was read.
func (s *Stream) IsComplete() bool { return s.body.isComplete() }

// Received returns the number of bytes of the body that were read, including those before the stream. Only the
// goroutine that reads the stream may call it.
func (s *Stream) Received() int64 { return s.body.received }

// FirstByteAt returns when the first bytes of the body were read.
func (s *Stream) FirstByteAt() time.Time { return s.body.firstByteAt }

// Arrival returns how many bytes of the body have arrived, also those that were not read yet, and whether these are all
// that the server gives. It waits for the end of a read in progress. Any goroutine may call it until Finish is called.
func (s *Stream) Arrival() (bytes int64, isAll bool) {
	s.reading.Lock()
	defer s.reading.Unlock()
	return s.body.arrival()
}

// BufferSize returns the size in bytes up to which the beginning of the body may be buffered.
func (s *Stream) BufferSize() int { return s.body.conn.maxBufferedBody }

// SetReadTimeout sets the maximum wait for the next bytes. Only the goroutine that reads the stream may call it.
func (s *Stream) SetReadTimeout(timeout time.Duration) { s.body.conn.readTimeout = timeout }

// SetReadDeadline sets the time from which reads fail with os.ErrDeadlineExceeded, whatever arrives; zero: none. Only
// the goroutine that reads the stream may call it.
func (s *Stream) SetReadDeadline(t time.Time) { s.body.conn.readBy = t }

// LimitSilence limits the wait for the next bytes, also in the read in progress. Any goroutine may call it.
func (s *Stream) LimitSilence(limit time.Duration) { s.body.conn.limitReadTimeout(limit) }

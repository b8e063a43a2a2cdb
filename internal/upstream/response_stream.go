package upstream

import "time"

// Stream reads the rest of a long response as it arrives. Only one goroutine may read it, and that goroutine must call
// Finish once.
type Stream struct {
	body             *serverBody
	connectionCloses bool      // the response has "Connection: close"
	reusable         chan bool // receives one value: whether the connection can carry another request
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
	n, err := s.body.Read(p)
	if err != nil && s.body.conn.hasYielded() {
		err = errStreamYielded
	}
	return n, err
}

// Length returns the declared length of the complete body in bytes, or -1 if none is declared.
func (s *Stream) Length() int64 { return s.body.length }

// IsComplete reports whether the complete body was read.
func (s *Stream) IsComplete() bool { return s.body.isComplete() }

// SetReadTimeout sets the maximum wait for the next bytes. Only the goroutine that reads the stream may call it.
func (s *Stream) SetReadTimeout(timeout time.Duration) { s.body.conn.readTimeout = timeout }

// LimitSilence limits the wait for the next bytes, also in the read in progress. Any goroutine may call it.
func (s *Stream) LimitSilence(limit time.Duration) { s.body.conn.limitReadTimeout(limit) }

// EndIfUnresponsiveSince ends the stream if its reader has waited for the server since before t. Any goroutine may call
// it.
func (s *Stream) EndIfUnresponsiveSince(t time.Time) { s.body.conn.abortIfUnresponsiveSince(t) }

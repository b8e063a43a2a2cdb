package upstream

import (
	"sync"
	"time"
)

// defaultYieldSilence is the time without bytes from its server after which a stream may be ended if its connections
// are needed for other requests.
const defaultYieldSilence = 5 * time.Second

// streamSet holds the connections whose responses are being streamed. It is safe for concurrent use.
type streamSet struct {
	yieldSilence time.Duration

	mu    sync.Mutex
	conns map[*serverConn]struct{}
}

func newStreamSet() *streamSet {
	return &streamSet{yieldSilence: defaultYieldSilence, conns: map[*serverConn]struct{}{}}
}

// add adds a connection, and returns a function that removes it.
func (s *streamSet) add(conn *serverConn) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}
}

// endLongestUnresponsive ends the stream whose server has been silent for the longest time, if that is at least
// yieldSilence. It returns how long to wait before the next call.
func (s *streamSet) endLongestUnresponsive() (wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest *serverConn
	silence := time.Duration(0)
	for conn := range s.conns {
		if n := conn.silence(); n > silence {
			longest, silence = conn, n
		}
	}
	if silence < s.yieldSilence {
		return s.yieldSilence - silence
	}
	longest.yield()
	return s.yieldSilence
}

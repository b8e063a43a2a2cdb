package downstream

import (
	"log/slog"
	"net"
	"net/http"
	"time"
)

const (
	// HeadTimeout is the maximum time for receiving the head of a request. Clients are guaranteed 2 s.
	HeadTimeout = 2300 * time.Millisecond
	// IdleTimeout is the maximum idle time of a connection. Clients expect an idle connection to stay open for 2 s.
	IdleTimeout = 2 * time.Second
	// maxHeaderBytes is the size in bytes of a request's head above which net/http responds with status 431.
	maxHeaderBytes = 16 << 10
)

// HTTPServer returns a server for the connections of the listener. The caller must pass the listener to its Serve
// method.
func (l *Listener) HTTPServer(handler http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: HeadTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         l.onHTTPState,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// onHTTPState updates the state of a connection when http.Server reports a new state.
func (l *Listener) onHTTPState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.httpActive = state == http.StateActive
	switch state {
	case http.StateActive:
		l.markUsed(c)
		l.apply(c, eventHandlerStarted)
	case http.StateIdle:
		l.finishResponse(c)
	case http.StateClosed, http.StateHijacked:
		l.apply(c, eventClose)
	}
}

// markUsed counts a connection as used. The caller must hold l.mu.
func (l *Listener) markUsed(c *Conn) {
	if !c.used && c.state != stateClosed {
		c.used = true
		l.usedConns++
	}
}

// finishResponse records that a response was sent and the connection was kept open. The connection stays active if its
// reader has already read the next request. The caller must hold l.mu.
func (l *Listener) finishResponse(c *Conn) {
	c.responsesSent++
	if c.requestsRead > c.responsesSent {
		return
	}
	l.apply(c, eventResponseSent)
	if c.closeAfterResponse {
		l.beginRetire(c, c.retireCause)
	}
}

package downstream

import (
	"log/slog"
	"net"
	"net/http"
	"time"
)

const (
	// HeadTimeout is how long a client may take to send the head of a request. Clients are promised 2 s.
	HeadTimeout = 2300 * time.Millisecond
	// IdleTimeout is how long a connection may be idle. Clients expect it to stay open for 2 s.
	IdleTimeout = 2 * time.Second
	// maxHeaderBytes is what net/http reads of the head of a request before it answers with 431.
	maxHeaderBytes = 16 << 10
)

// HTTPServer returns a server for the listener's connections. Its Serve is to be given the listener.
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

// onHTTPState follows a connection through the states that http.Server gives it.
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

// markUsed counts a connection among those that have had a request. The lock is held.
func (l *Listener) markUsed(c *Conn) {
	if !c.used && c.state != stateClosed {
		c.used = true
		l.usedConns++
	}
}

// finishResponse takes in that a response was sent and the connection kept. If its reader has read the next request
// meanwhile, it stays active. The lock is held.
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

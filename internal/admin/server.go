// Package admin is the sidecar's second address, for operators: readiness, metrics, the state of the fleet, and
// servers that are set administratively down or up. It reads calls and writes responses; what a call does is up to the
// [Sidecar].
//
// [Server.Serve] accepts connections in its caller's goroutine, and net/http starts one goroutine a connection, which
// answers one call. [Server.Close] ends Serve and closes the connections; a call that is complete has 800 ms to be
// answered before that.
//
// A Sidecar returns [ErrNoFleet] or [ErrUnknownServer] where there is no fleet or no such server.
// [ForwardAdminDown] returns [ErrUnknownServer] or a [ResponseError] for a call that another process did not carry out.
package admin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/internal/netretry"
)

// Sidecar does what operators ask for. Its methods may be called by several goroutines at once.
type Sidecar interface {
	// Ready reports whether the process is ready to serve, and if not, why.
	Ready() (ready bool, reason string)
	// Metrics returns the metrics as text.
	Metrics(ctx context.Context) ([]byte, error)
	// SetAdminDown sets a server administratively down, or up again where down is not set. It returns
	// ErrUnknownServer for a server that nobody knows. forwarded is set for a call that another process of the
	// sidecar has forwarded; it isn't forwarded again. note is for the operator and may be "".
	SetAdminDown(ctx context.Context, id string, down, forwarded bool) (note string, err error)
	// PolicyHandler returns the handler of calls below /ops/policy/, or nil if there is no fleet or it has no policy.
	PolicyHandler() http.Handler
	// FleetStatus returns what this sidecar knows of the fleet, as JSON, or ErrNoFleet.
	FleetStatus(ctx context.Context) ([]byte, error)
}

// ErrNoFleet is returned by a Sidecar that takes no part in a fleet.
var ErrNoFleet = errors.New("no fleet is named: see deploy/fleet.toml")

// ErrUnknownServer is returned for a server that does not exist.
var ErrUnknownServer = errors.New("no such server")

// MaxConnections is the most connections that are open at a time. Beyond it, the one that has been open longest without
// a complete call is closed.
const MaxConnections = 16

const (
	readTimeout    = 2 * time.Second        // for a client to send its call
	backendTimeout = 800 * time.Millisecond // for the Sidecar to do what is asked
	writeTimeout   = 2 * time.Second        // for the operator to read the response

	// drainPollInterval is how often Close checks whether complete calls are still unanswered.
	drainPollInterval = 2 * time.Millisecond

	maxHeaderBytes   = 4 << 10
	maxBodyBytes     = 4 << 10
	maxServerIDBytes = 256
)

// Server answers operators' calls.
type Server struct {
	sidecar    Sidecar
	httpServer *http.Server
	listener   *listener
	closing    atomic.Bool
}

// New returns a server for the calls that come to l. It logs failures of the listener.
func New(l net.Listener, sidecar Sidecar, log *slog.Logger) *Server {
	s := &Server{sidecar: sidecar, listener: newListener(netretry.NewListener(l, log), MaxConnections)}
	s.httpServer = &http.Server{
		Handler:        s.routes(),
		ReadTimeout:    readTimeout,
		WriteTimeout:   readTimeout + backendTimeout + writeTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext:    contextWithConn,
	}
	s.httpServer.SetKeepAlivesEnabled(false)
	return s
}

// Serve answers calls until Close, then returns nil. Any other error ends it too.
func (s *Server) Serve() error {
	if err := s.httpServer.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !s.closing.Load() {
		return fmt.Errorf("console: %w", err)
	}
	return nil
}

// Close accepts no more calls, waits for the responses to those that are complete, for a bounded time, and closes the
// other connections. During a hot restart a call may have taken effect already; without its response the operator
// could not know.
func (s *Server) Close() error {
	s.closing.Store(true)
	err := s.listener.Close()
	deadline := time.Now().Add(backendTimeout)
	for s.listener.completeCalls() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	return errors.Join(err, s.httpServer.Close())
}

// connContextKey is the key of a call's connection in its context.
type connContextKey struct{}

func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// markComplete marks the call of r as complete: its connection is not closed for another one any more.
func (s *Server) markComplete(r *http.Request) {
	if c, ok := r.Context().Value(connContextKey{}).(*conn); ok {
		s.listener.markComplete(c)
	}
}

// Package admin implements the sidecar's admin server, which has an address of its own. Operators use it to read the
// readiness, the metrics and the state of the fleet, and to set servers administratively down or up. The package parses
// calls and writes responses; a [Sidecar] carries out the calls.
//
// [Server.Serve] accepts connections in the goroutine of its caller, and net/http starts one goroutine per connection,
// which serves one call. [Server.Close] ends Serve and closes the connections. Calls that are complete have up to 800
// ms to be answered before their connections are closed.
//
// A Sidecar returns [ErrNoFleet] if it is not part of a fleet and [ErrUnknownServer] if the server does not exist.
// [ForwardAdminDown] returns [ErrUnknownServer] or an error that wraps a [ResponseError] if the other process did not
// carry out the call.
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

// Sidecar carries out operators' calls. Its methods must be safe for concurrent use.
type Sidecar interface {
	// Ready reports whether the process is ready to serve, and returns the reason if it is not.
	Ready() (ready bool, reason string)
	// Metrics returns the metrics as text.
	Metrics(ctx context.Context) ([]byte, error)
	// SetAdminDown sets a server administratively down, or up again if down is false. It returns ErrUnknownServer if
	// the server is not known anywhere. forwarded is set if another process of the sidecar has forwarded the call; such
	// a call is not forwarded again. note is appended to the response and may be "".
	SetAdminDown(ctx context.Context, id string, down, forwarded bool) (note string, err error)
	// PolicyHandler returns the handler for calls below /ops/policy/, or nil if there is no fleet or the fleet has no
	// policy.
	PolicyHandler() http.Handler
	// FleetStatus returns the state of the fleet as seen by this sidecar, as JSON, or ErrNoFleet.
	FleetStatus(ctx context.Context) ([]byte, error)
}

// ErrNoFleet is returned by a Sidecar that is not part of a fleet.
var ErrNoFleet = errors.New("no fleet is named: see deploy/fleet.toml")

// ErrUnknownServer is returned if the server of a call does not exist.
var ErrUnknownServer = errors.New("no such server")

// MaxConnections is the maximum number of open connections. At the limit, the oldest connection without a complete call
// is closed in favor of a new one.
const MaxConnections = 16

const (
	readTimeout    = 2 * time.Second        // time limit for receiving a call
	backendTimeout = 800 * time.Millisecond // time limit for the Sidecar to carry out a call
	writeTimeout   = 2 * time.Second        // time limit for sending the response

	// drainPollInterval is the interval at which Close checks for complete calls without a response.
	drainPollInterval = 2 * time.Millisecond

	maxHeaderBytes   = 4 << 10
	maxBodyBytes     = 4 << 10
	maxServerIDBytes = 256
)

// Server is the admin server. It serves operators' calls.
type Server struct {
	sidecar    Sidecar
	httpServer *http.Server
	listener   *listener
	closing    atomic.Bool
}

// New returns a server that accepts connections from l. Failures of l are logged.
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

// Serve serves calls until Close is called, and then returns nil. It returns an error if accepting connections fails.
func (s *Server) Serve() error {
	if err := s.httpServer.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !s.closing.Load() {
		return fmt.Errorf("admin server: %w", err)
	}
	return nil
}

// Close stops accepting calls, waits up to backendTimeout for the responses to complete calls, and closes all
// connections. It waits because during a hot restart a call may already have taken effect, and without a response the
// operator would not see this.
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

// contextWithConn returns a context that contains the connection of a call. See http.Server.ConnContext.
func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// markComplete marks the call of r as complete. Its connection is no longer closed in favor of a new one.
func (s *Server) markComplete(r *http.Request) {
	if c, ok := r.Context().Value(connContextKey{}).(*conn); ok {
		s.listener.markComplete(c)
	}
}

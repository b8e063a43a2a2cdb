// Package console is the sidecar's second address, for the staff: readiness, figures, and servers taken out by hand. It
// parses calls and writes answers; what is to be done it asks of the sidecar.
package console

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/internal/netretry"
)

// Sidecar is what the console asks.
type Sidecar interface {
	// Ready tells whether the process is ready to serve, and if not, why.
	Ready() (ready bool, why string)
	// Figures returns the figures as text.
	Figures(ctx context.Context) ([]byte, error)
	// TakeOut takes a server out by hand, or puts it back. It returns ErrUnknown for one that nobody has. passed says that
	// the call came from the other process of an upgrade, which needs no telling. note is for the staff; it may be "".
	TakeOut(ctx context.Context, id string, out, passed bool) (note string, err error)
	// Policy answers calls below /ops/policy; nil: the fleet has no policy, or there is no fleet.
	Policy() http.Handler
	// Fleet returns as JSON what is held of the fleet, or ErrNoFleet.
	Fleet(ctx context.Context) ([]byte, error)
}

// ErrNoFleet says that the operator names no fleet.
var ErrNoFleet = errors.New("no fleet is named: see deploy/fleet.toml")

// ErrUnknown says that there is no such server.
var ErrUnknown = errors.New("no such server")

const (
	// Connections that callers hold at most. Callers that send no whole call give way to others.
	Connections = 16

	readTimeout       = 2 * time.Second // a caller may take to send its call
	backendTimeout    = 800 * time.Millisecond
	writeTimeout      = 2 * time.Second      // and to take the answer
	drainPollInterval = 2 * time.Millisecond // Close looks whether calls are still to be answered
	maxBodyBytes      = 4 << 10
	maxHeaderBytes    = 4 << 10
	maxServerIDBytes  = 256
)

// PassedOn marks a call that comes from the other process of an upgrade.
const PassedOn = "X-Passed-On"

// Server answers calls.
type Server struct {
	sidecar    Sidecar
	httpServer *http.Server
	listener   *listener
	closing    atomic.Bool
}

// connContextKey is the key of a call's connection in its context.
type connContextKey struct{}

// New returns a server for the calls that come to l.
func New(l net.Listener, sidecar Sidecar, log *slog.Logger) *Server {
	s := &Server{sidecar: sidecar, listener: newListener(netretry.NewListener(l, log), Connections)}
	mux := http.NewServeMux()
	for _, c := range []struct {
		path, method string
		do           func(http.ResponseWriter, *http.Request)
	}{
		{"/ops/readiness", http.MethodGet, s.handleReadiness},
		{"/ops/stats", http.MethodGet, s.handleMetrics},
		{"/ops/fleet", http.MethodGet, s.handleFleet},
		{"/ops/servers/down", http.MethodPost, func(w http.ResponseWriter, r *http.Request) { s.handleAdminDown(w, r, true) }},
		{"/ops/servers/up", http.MethodPost, func(w http.ResponseWriter, r *http.Request) { s.handleAdminDown(w, r, false) }},
	} {
		mux.HandleFunc(c.path, func(w http.ResponseWriter, r *http.Request) {
			if r.Method != c.method {
				w.Header().Set("Allow", c.method)
				http.Error(w, "method "+r.Method+" is not allowed, use "+c.method, http.StatusMethodNotAllowed)
				return
			}
			c.do(w, r)
		})
	}
	mux.HandleFunc("/ops/policy/", func(w http.ResponseWriter, r *http.Request) {
		h := s.sidecar.Policy()
		if h == nil {
			http.Error(w, "the fleet has no policy: see deploy/fleet.toml", http.StatusNotFound)
			return
		}
		s.markComplete(r)
		h.ServeHTTP(w, r)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		http.Error(w, "no such path, see /ops/readiness, /ops/stats, /ops/fleet, /ops/servers/down and /ops/servers/up",
			http.StatusNotFound)
	})
	s.httpServer = &http.Server{Handler: mux, ReadTimeout: readTimeout, WriteTimeout: readTimeout + backendTimeout + writeTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		}}
	s.httpServer.SetKeepAlivesEnabled(false)
	return s
}

// Serve answers calls until Close, and returns why it ended.
func (s *Server) Serve() error {
	if err := s.httpServer.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !s.closing.Load() {
		return fmt.Errorf("console: %w", err)
	}
	return nil
}

// Close takes no more calls, has those that are whole be answered, and ends the others. A process that ends in an upgrade
// has taken what the staff said of a server; were its answer cut off, nobody could know.
func (s *Server) Close() error {
	s.closing.Store(true)
	err := s.listener.Close()
	for end := time.Now().Add(backendTimeout); s.listener.completeCalls() > 0 && time.Now().Before(end); {
		time.Sleep(drainPollInterval)
	}
	return errors.Join(err, s.httpServer.Close())
}

// markComplete marks the call as whole: its caller does not give way to others any more.
func (s *Server) markComplete(r *http.Request) {
	if c, ok := r.Context().Value(connContextKey{}).(*conn); ok {
		s.listener.markComplete(c)
	}
}

func (s *Server) handleReadiness(w http.ResponseWriter, r *http.Request) {
	s.markComplete(r)
	if ready, why := s.sidecar.Ready(); !ready {
		http.Error(w, "not ready: "+why, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (s *Server) handleMetrics(w http.ResponseWriter, r *http.Request) {
	s.markComplete(r)
	ctx, cancel := context.WithTimeout(r.Context(), backendTimeout)
	defer cancel()
	text, err := s.sidecar.Figures(ctx)
	if err != nil {
		http.Error(w, "figures: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write(text) // a caller that is gone needs no figures
}

func (s *Server) handleFleet(w http.ResponseWriter, r *http.Request) {
	s.markComplete(r)
	ctx, cancel := context.WithTimeout(r.Context(), backendTimeout)
	defer cancel()
	switch text, err := s.sidecar.Fleet(ctx); {
	case errors.Is(err, ErrNoFleet):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text) // a caller that is gone needs none
	}
}

func (s *Server) handleAdminDown(w http.ResponseWriter, r *http.Request, out bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		http.Error(w, fmt.Sprintf("body of more than %d bytes", maxBodyBytes), http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		http.Error(w, "body ended early", http.StatusBadRequest)
		return
	}
	id, err := parseServerID(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.markComplete(r)
	ctx, cancel := context.WithTimeout(r.Context(), backendTimeout)
	defer cancel()
	note, err := s.sidecar.TakeOut(ctx, id, out, r.Header.Get(PassedOn) != "")
	if note != "" {
		note = "; " + note
	}
	switch {
	case errors.Is(err, ErrUnknown):
		http.Error(w, fmt.Sprintf("no server %q", id), http.StatusNotFound)
	case err != nil:
		http.Error(w, fmt.Sprintf("server %q: %v", id, err), http.StatusServiceUnavailable)
	case out:
		fmt.Fprintf(w, "%s is down%s\n", id, note)
	default:
		fmt.Fprintf(w, "%s is up%s\n", id, note)
	}
}

// parseServerID reads the server's id from a call's body.
func parseServerID(body []byte) (string, error) {
	if len(bytes.TrimSpace(body)) == 0 {
		return "", errors.New(`no body, want {"target":"ID"}`)
	}
	// encoding/json would take "Target" for "target" and the last of two; a map and a count of its keys do not.
	var call map[string]json.RawMessage
	if err := json.Unmarshal(body, &call); err != nil {
		return "", fmt.Errorf("body is no JSON object: %v", err)
	}
	raw, ok := call["target"]
	if !ok {
		return "", errors.New("target is missing")
	}
	var id *string
	if err := json.Unmarshal(raw, &id); err != nil || id == nil {
		return "", errors.New("target is no string")
	}
	switch {
	case *id == "":
		return "", errors.New("target is empty")
	case len(*id) > maxServerIDBytes:
		return "", fmt.Errorf("target has more than %d bytes", maxServerIDBytes)
	}
	return *id, nil
}

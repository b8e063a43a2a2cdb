package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

// Paths of the operators' calls.
const (
	readinessPath  = "/ops/readiness"
	metricsPath    = "/ops/stats"
	fleetPath      = "/ops/fleet"
	serverDownPath = "/ops/servers/down"
	serverUpPath   = "/ops/servers/up"
	policyPrefix   = "/ops/policy/"
)

// ForwardedHeader is the request header that marks a call as forwarded by another process of the sidecar.
const ForwardedHeader = "X-Passed-On"

// routes returns the handler for all calls.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(readinessPath, allowOnly(http.MethodGet, s.handleReadiness))
	mux.HandleFunc(metricsPath, allowOnly(http.MethodGet, s.handleMetrics))
	mux.HandleFunc(fleetPath, allowOnly(http.MethodGet, s.handleFleet))
	mux.HandleFunc(serverDownPath, allowOnly(http.MethodPost, s.handleAdminDown(true)))
	mux.HandleFunc(serverUpPath, allowOnly(http.MethodPost, s.handleAdminDown(false)))
	mux.HandleFunc(policyPrefix, s.handlePolicy)
	mux.HandleFunc("/", handleUnknownPath)
	return mux
}

// allowOnly returns a handler that responds with status 405 to requests with another method and passes other requests
// to handle.
func allowOnly(method string, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			http.Error(w, "method "+r.Method+" is not allowed, use "+method, http.StatusMethodNotAllowed)
			return
		}
		handle(w, r)
	}
}

func handleUnknownPath(w http.ResponseWriter, _ *http.Request) {
	const paths = readinessPath + ", " + metricsPath + ", " + fleetPath + ", " +
		serverDownPath + " and " + serverUpPath
	http.Error(w, "no such path, see "+paths, http.StatusNotFound)
}

func (s *Server) handleReadiness(w http.ResponseWriter, r *http.Request) {
	s.markComplete(r)
	if ready, reason := s.sidecar.Ready(); !ready {
		http.Error(w, "not ready: "+reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (s *Server) handleMetrics(w http.ResponseWriter, r *http.Request) {
	s.markComplete(r)
	ctx, cancel := context.WithTimeout(r.Context(), backendTimeout)
	defer cancel()
	text, err := s.sidecar.Metrics(ctx)
	if err != nil {
		http.Error(w, "figures: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write(text) // fails only if the operator has closed the connection
}

func (s *Server) handleFleet(w http.ResponseWriter, r *http.Request) {
	s.markComplete(r)
	ctx, cancel := context.WithTimeout(r.Context(), backendTimeout)
	defer cancel()
	status, err := s.sidecar.FleetStatus(ctx)
	switch {
	case errors.Is(err, ErrNoFleet):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(status) // fails only if the operator has closed the connection
	}
}

func (s *Server) handlePolicy(w http.ResponseWriter, r *http.Request) {
	handler := s.sidecar.PolicyHandler()
	if handler == nil {
		http.Error(w, "the fleet has no policy: see deploy/fleet.toml", http.StatusNotFound)
		return
	}
	s.markComplete(r)
	handler.ServeHTTP(w, r)
}

// handleAdminDown returns a handler that sets the server in the request body administratively down, or up again if down
// is false.
func (s *Server) handleAdminDown(down bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, err := readServerID(w, r)
		if err != nil {
			writeRequestError(w, err)
			return
		}
		s.markComplete(r)
		ctx, cancel := context.WithTimeout(r.Context(), backendTimeout)
		defer cancel()
		forwarded := r.Header.Get(ForwardedHeader) != ""
		note, err := s.sidecar.SetAdminDown(ctx, id, down, forwarded)
		writeAdminDownResult(w, id, down, note, err)
	}
}

// writeAdminDownResult writes the response to a call that sets a server administratively down or up.
func writeAdminDownResult(w http.ResponseWriter, id string, down bool, note string, err error) {
	state := "up"
	if down {
		state = "down"
	}
	if note != "" {
		note = "; " + note
	}
	switch {
	case errors.Is(err, ErrUnknownServer):
		http.Error(w, fmt.Sprintf("no server %q", id), http.StatusNotFound)
	case err != nil:
		http.Error(w, fmt.Sprintf("server %q: %v", id, err), http.StatusServiceUnavailable)
	default:
		fmt.Fprintf(w, "%s is %s%s\n", id, state, note)
	}
}

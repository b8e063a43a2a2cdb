package proxy

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/config"
)

// Times of a shutdown.
const (
	// KillDelay is how long after its longest deadline a process that got the signal to stop may be killed.
	KillDelay = 700 * time.Millisecond
	// MaxKillDeadline is how much of its longest deadline counts in that at most.
	MaxKillDeadline = 3 * time.Second
	// killMargin is kept free before the kill for the last responses: each may be held up, and then has its way to go.
	killMargin = balance.SchedulingStall + 50*time.Millisecond
)

// Handler answers the requests of clients. It implements http.Handler.
type Handler struct {
	loop        *EventLoop
	ids         *inflightIDs
	bodyBuffers *bufferPool // of long request bodies
	gate        *PolicyGate // nil: the settings are those of the file
	draining    atomic.Bool
	shutdownAt  atomic.Pointer[time.Time] // when all requests have to be answered; set before draining is

	shutdown      context.Context // is done at shutdownAt
	beginShutdown context.CancelFunc
}

// NewHandler returns a handler of the requests of loop, with at most maxInFlight of them in flight.
func NewHandler(c *config.Config, loop *EventLoop, maxInFlight int) *Handler {
	shutdown, beginShutdown := context.WithCancel(context.Background())
	return &Handler{
		loop:          loop,
		ids:           newInflightIDs(maxInFlight),
		bodyBuffers:   newBufferPool(c.MemoryMB),
		shutdown:      shutdown,
		beginShutdown: beginShutdown,
	}
}

// SetPolicyGate sets the gate that requests pass; nil: none. It is called before the handler serves.
func (h *Handler) SetPolicyGate(gate *PolicyGate) { h.gate = gate }

// SetMaxInFlight changes how many requests may be in flight.
func (h *Handler) SetMaxInFlight(n int) { h.ids.setMax(n) }

// InFlight is how many requests are in flight.
func (h *Handler) InFlight() int { return int(h.ids.count.Load()) }

// IsDraining reports whether Drain was called.
func (h *Handler) IsDraining() bool { return h.draining.Load() }

// Shutdown returns a context that is done when all requests have to be answered, shortly before the process may be
// killed.
func (h *Handler) Shutdown() context.Context { return h.shutdown }

// Drain makes responses end their connections from now on, and all requests be answered before the process may be
// killed. maxDeadline is how much of the longest deadline counts at most.
func (h *Handler) Drain(maxDeadline time.Duration) {
	shutdownAt := time.Now().Add(min(h.LongestDeadline(), maxDeadline) + KillDelay - killMargin)
	h.shutdownAt.Store(&shutdownAt)
	h.draining.Store(true)
	h.loop.Post(func() { h.loop.expireBy(shutdownAt) })
	time.AfterFunc(time.Until(shutdownAt), h.beginShutdown)
}

// LongestDeadline is the longest one of a class in the settings in force.
func (h *Handler) LongestDeadline() (longest time.Duration) {
	for _, class := range h.loop.settings.Load().classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	receivedAt := time.Now()
	recorder := &responseRecorder{ResponseWriter: w}
	conn := clientConnOf(r)
	defer h.recoverPanic(recorder, conn)
	// What HTTP/1.0 says of a body's length is not to be relied on, and so what follows it is not either.
	if h.draining.Load() || !r.ProtoAtLeast(1, 1) || conn != nil && conn.ClosesAfterResponse() {
		recorder.Header().Set("Connection", "close")
	}
	if err := h.route(recorder, r, receivedAt); err != nil {
		err.write(recorder)
		if conn != nil {
			conn.MarkFinalResponse()
		}
	}
}

// route serves a request by its path, or returns why it is refused.
func (h *Handler) route(w http.ResponseWriter, r *http.Request, receivedAt time.Time) *httpError {
	switch {
	case r.ContentLength > MaxRequestBody:
		return errBodyTooLarge
	case r.URL.Path == "/healthz":
		return h.serveHealth(w, r)
	case r.URL.Path == "/api" || strings.HasPrefix(r.URL.Path, "/api/"):
		return h.serveAPI(w, r, receivedAt)
	}
	return &httpError{status: http.StatusNotFound, text: "no such path"}
}

// serveHealth responds with 200 once servers are known and as long as new connections are welcome.
func (h *Handler) serveHealth(w http.ResponseWriter, r *http.Request) *httpError {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		return &httpError{status: http.StatusMethodNotAllowed, text: "method not allowed", allow: "GET, HEAD"}
	}
	select {
	case <-h.loop.Ready():
		if !h.draining.Load() {
			return nil
		}
	default:
	}
	http.Error(w, "not ready", http.StatusServiceUnavailable)
	return nil
}

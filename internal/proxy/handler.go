package proxy

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/config"
)

// Timing of a shutdown.
const (
	// KillDelay is the time that is added to the longest request deadline. The process may be killed when the sum of
	// both has passed since a stop signal.
	KillDelay = 700 * time.Millisecond
	// MaxKillDeadline is the upper limit of the request deadline in this sum.
	MaxKillDeadline = 3 * time.Second
	// killMargin is the time between the expiry of the last requests and the kill. It covers a stall of the process and
	// 50 ms for sending the last responses.
	killMargin = balance.SchedulingStall + 50*time.Millisecond
	// KillExemption is the time from the start of the drain within which a request may be received so that its response
	// does not count as lost if the kill cuts it off. The platform counts KillDelay from the stop signal, which the
	// process may notice late by a stall. No long response to a later request is forwarded, as it could outlast the
	// process.
	KillExemption = KillDelay - balance.SchedulingStall
)

// MaxStreamBuffer is the maximum size in bytes of the buffer for a streamed response.
const MaxStreamBuffer = 16 << 10

// Handler serves client requests. It implements http.Handler.
type Handler struct {
	loop        *EventLoop
	ids         *inflightIDs
	bodyBuffers *bufferPool // for large request bodies
	// streamBuffers holds *[]byte for streamed responses.
	streamBuffers sync.Pool
	gate          *PolicyGate // nil if the settings come from the configuration file
	draining      atomic.Bool

	drainSchedule atomic.Pointer[drainSchedule] // set before draining
	intake        context.Context               // done when requests that are not received yet are rejected
	endIntake     context.CancelFunc
	shutdown      context.Context // done at drainSchedule.shutdownAt
	beginShutdown context.CancelFunc
}

// drainSchedule has the times of a drain.
type drainSchedule struct {
	lateFrom    time.Time // requests received later are lost if the kill cuts off their responses
	rejectsLate bool      // these requests are rejected
	shutdownAt  time.Time // when all responses are due
}

// NewHandler returns a Handler that passes requests to loop. At most maxInFlight requests are in flight at once.
func NewHandler(c *config.Config, loop *EventLoop, maxInFlight int) *Handler {
	intake, endIntake := context.WithCancel(context.Background())
	shutdown, beginShutdown := context.WithCancel(context.Background())
	h := &Handler{
		loop:          loop,
		ids:           newInflightIDs(maxInFlight),
		bodyBuffers:   newBufferPool(c.MemoryMB),
		intake:        intake,
		endIntake:     endIntake,
		shutdown:      shutdown,
		beginShutdown: beginShutdown,
	}
	h.SetStreamBuffer(MaxStreamBuffer)
	return h
}

// SetStreamBuffer sets the size in bytes of the buffers for streamed responses. It is called before the handler serves
// requests.
func (h *Handler) SetStreamBuffer(size int) {
	h.streamBuffers.New = func() any {
		buffer := make([]byte, size)
		return &buffer
	}
}

// SetPolicyGate sets the policy gate of all requests; nil means none. It is called before the handler serves requests.
func (h *Handler) SetPolicyGate(gate *PolicyGate) { h.gate = gate }

// SetMaxInFlight sets the maximum number of requests in flight.
func (h *Handler) SetMaxInFlight(n int) { h.ids.setMax(n) }

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int { return int(h.ids.count.Load()) }

// IsDraining reports whether Drain has been called.
func (h *Handler) IsDraining() bool { return h.draining.Load() }

// Shutdown returns a context that is done when all responses are due, shortly before the process may be killed. Only
// streamed responses that their servers continue go on after that.
func (h *Handler) Shutdown() context.Context { return h.shutdown }

// Drain starts a shutdown. From then on, each response closes its connection, and all requests get a response before
// the process may be killed. The time of the kill is computed from the longest request deadline, or from maxDeadline if
// that is shorter.
func (h *Handler) Drain(maxDeadline time.Duration) {
	startedAt := time.Now()
	shutdownAt := startedAt.Add(min(h.LongestDeadline(), maxDeadline) + KillDelay - killMargin)
	lateFrom := startedAt.Add(KillExemption)
	h.drainSchedule.Store(&drainSchedule{lateFrom: lateFrom, shutdownAt: shutdownAt})
	h.draining.Store(true)
	h.loop.Post(func() { h.loop.drain(lateFrom, shutdownAt) })
	time.AfterFunc(time.Until(shutdownAt), h.endIntake)
	time.AfterFunc(time.Until(shutdownAt), h.beginShutdown)
}

// RejectLateRequests makes a draining handler reject requests that are received later than KillExemption, because
// another process of the sidecar serves them.
func (h *Handler) RejectLateRequests() {
	schedule := *h.drainSchedule.Load()
	schedule.rejectsLate = true
	h.drainSchedule.Store(&schedule)
	time.AfterFunc(time.Until(schedule.lateFrom), h.endIntake)
}

// LongestDeadline returns the longest deadline of all classes in the current settings.
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
	// The connection is closed after an HTTP/1.0 request: its body length is not reliable, so the start of the next
	// request is not reliable either.
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

// route dispatches a request by its path. A non-nil result is the error response that the caller has to write.
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

// serveHealth responds with 200 if the event loop is ready and the handler is not draining.
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

package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/upstream"
)

const (
	MaxRequestBody = 32 << 20 // bytes of a request's body
	// BodyStartTimeout is how long after a connection's start a body has to begin to keep its pace, and bodyGrace how long after
	// its head, where that is later. A peer that sends no whole request is owed an end 3 s after it connected.
	BodyStartTimeout = 2700 * time.Millisecond
	BodyGrace        = 400 * time.Millisecond
	minBodyRate      = 48 << 10        // bytes a second that a body comes at least, less than the 64 kB that are a client's right
	writeTimeout     = 2 * time.Second // a client may take to receive a short answer, or a piece of a long one
)

// Handler answers the application.
type Handler struct {
	loop       *EventLoop
	config     *config.Config
	ids        *inflightIDs
	draining   atomic.Bool
	shutdownAt atomic.Pointer[time.Time] // when this process may be killed at the earliest, once it drains
	gate       *PolicyGate               // set before it serves; nil: the settings are those of the own file
	buffers    *bufferPool               // for what of bodies goes beyond the usual

	shutdown      context.Context // is done when all has to be answered, shortly before this process may be killed
	beginShutdown context.CancelFunc
}

// NewHandler returns the handler of a process that has this configuration.
func NewHandler(c *config.Config, h *EventLoop, maxInFlight int) *Handler {
	ending, end := context.WithCancel(context.Background())
	return &Handler{loop: h, config: c, ids: newInflightIDs(maxInFlight),
		buffers: &bufferPool{maxBuffers: c.MemoryMB << 20 / bodyMemoryShare / upstream.MaxBufferedBody}, shutdown: ending, beginShutdown: end}
}

// The least time from the word to stop to the kill, on top of the longest deadline, which counts for no more than most.
const (
	KillDelay       = 700 * time.Millisecond
	MaxKillDeadline = 3 * time.Second
	// killMargin is for the last answers: each may be held up, and then has its way to go.
	killMargin = balance.SchedulingStall + 50*time.Millisecond
)

// SetPolicyGate sets the gate that requests pass; nil: none. It is called before the handler serves.
func (s *Handler) SetPolicyGate(gate *PolicyGate) { s.gate = gate }

// SetMaxInFlight changes how many requests may be in flight.
func (s *Handler) SetMaxInFlight(n int) { s.ids.setMax(n) }

// InFlight is how many requests are in flight.
func (s *Handler) InFlight() int { return int(s.ids.count.Load()) }

// IsDraining reports whether Drain was called.
func (s *Handler) IsDraining() bool { return s.draining.Load() }

// Shutdown returns a context that is done when all requests have to be answered, shortly before the process may be
// killed.
func (s *Handler) Shutdown() context.Context { return s.shutdown }

// Drain has answers end their connections from now on, and requests be answered before this process may be killed.
func (s *Handler) Drain(mostDeadline time.Duration) {
	ends := time.Now().Add(min(s.LongestDeadline(), mostDeadline) + KillDelay - killMargin)
	s.shutdownAt.Store(&ends)
	s.draining.Store(true)
	s.loop.Post(func() { s.loop.expireBy(ends) })
	time.AfterFunc(time.Until(ends), s.beginShutdown)
}

// awaitPolicy waits for a policy, for as long as an answer can still be given.
func (s *Handler) awaitPolicy(ctx context.Context, within time.Duration) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.shutdown, cancel)()
	return s.gate.Enter(ctx, within)
}

// endReading is a read deadline that is over by any clock. The zero time would be none.
var endReading = time.Time{}.Add(time.Nanosecond)

// stopReading ends what is read on a connection once the process ends. Nothing is ended any more after done.
func (s *Handler) stopReading(conn *http.ResponseController) (done func()) {
	ended := make(chan struct{})
	stop := context.AfterFunc(s.shutdown, func() {
		_ = conn.SetReadDeadline(endReading) // it fails where the connection is closed
		close(ended)
	})
	return func() {
		if !stop() {
			<-ended // or it would come after the deadline that the next reader sets
		}
	}
}

// LongestDeadline is that of the settings in force now: the platform goes by its newest file.
func (s *Handler) LongestDeadline() (longest time.Duration) {
	for _, c := range s.loop.settings.Load().classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// ServeHTTP implements http.Handler.
func (s *Handler) ServeHTTP(to http.ResponseWriter, r *http.Request) {
	came, w := time.Now(), &responseRecorder{ResponseWriter: to}
	// What HTTP/1.0 says of a body's length is not to be relied on, and so what follows it is not either.
	conn := clientConnOf(r)
	defer s.recoverPanic(w, conn)
	if s.draining.Load() || !r.ProtoAtLeast(1, 1) || conn != nil && conn.ClosesAfterResponse() {
		w.Header().Set("Connection", "close")
	}
	if f := s.route(w, r, came); f != nil {
		f.write(w)
		if conn != nil {
			conn.MarkFinalResponse()
		}
	}
}

func (s *Handler) route(w http.ResponseWriter, r *http.Request, came time.Time) *httpError {
	switch {
	case r.ContentLength > MaxRequestBody:
		return &httpError{http.StatusRequestEntityTooLarge, "body too large", ""}
	case r.URL.Path == "/healthz":
		return s.health(w, r)
	case r.URL.Path == "/api" || strings.HasPrefix(r.URL.Path, "/api/"):
		return s.serveAPI(w, r, came)
	}
	return &httpError{http.StatusNotFound, "no such path", ""}
}

// health answers 200 once servers are known and as long as new connections are welcome.
func (s *Handler) health(w http.ResponseWriter, r *http.Request) *httpError {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		return &httpError{http.StatusMethodNotAllowed, "method not allowed", "GET, HEAD"}
	}
	select {
	case <-s.loop.ready:
		if !s.draining.Load() {
			return nil
		}
	default:
	}
	http.Error(w, "not ready", http.StatusServiceUnavailable)
	return nil
}

// serveAPI serves a request, or says why it cannot be taken.
func (s *Handler) serveAPI(w http.ResponseWriter, r *http.Request, came time.Time) *httpError {
	if s.gate != nil && !s.awaitPolicy(r.Context(), policyWait(r)) {
		return s.rejectWithoutPolicy(w, r)
	}
	c, f := s.receive(w, r, came)
	if f != nil {
		return f
	}
	// The time for the request is over; a later end of the connection means that the client is gone.
	conn := http.NewResponseController(w)
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		c.dropBody()
		return &httpError{http.StatusInternalServerError, "no deadline", ""}
	}
	switch known, full := s.ids.reserve(c.ID); {
	case known:
		c.dropBody()
		return &httpError{http.StatusConflict, "X-Request-ID is in use", ""}
	case full:
		c.dropBody()
		finalResponse{kind: rejected, retryAfter: s.loop.settings.Load().retryAfter}.write(w)
		c.counters.Rejected.Add(1)
		return nil
	}
	defer s.ids.release(c.ID)
	c.peerClosed = peerClosedFunc(r)
	a, ok := s.loop.serve(r.Context(), c)
	for ok && a.kind == policyChanged { // the policy has changed since the head was read
		if !s.awaitPolicy(r.Context(), time.Until(c.deadline)) {
			c.dropBody()
			return s.rejectWithoutPolicy(w, r)
		}
		again, _, f := s.parseRequest(r)
		if f != nil {
			c.dropBody()
			return f
		}
		again.Body, again.releaseBody, again.deadline, again.peerClosed = c.Body, c.releaseBody, c.deadline, c.peerClosed
		c = again
		a, ok = s.loop.serve(r.Context(), c)
	}
	if c.policyNumber > 0 {
		w.Header().Set(PolicyHeader, formatPolicyNumber(c.policyNumber))
	}
	if !ok {
		// net/http ends a handler that wrote nothing with an empty 200, which a client that has closed
		// only its sending reads as served.
		panic(http.ErrAbortHandler)
	}
	return s.respond(w, r, conn, a, c)
}

// receive reads a request whole, and sets when its final answer is due.
func (s *Handler) receive(w http.ResponseWriter, r *http.Request, came time.Time) (*inflightRequest, *httpError) {
	c, wait, f := s.parseRequest(r)
	if f != nil {
		return nil, f
	}
	if r.ContentLength != 0 {
		body, release, f := s.readBody(w, r, came)
		if f != nil {
			if f.status == http.StatusServiceUnavailable {
				c.counters.Rejected.Add(1)
			}
			return nil, f
		}
		c.Body, c.releaseBody, came = body, release, time.Now() // the client's time begins with its last byte
	}
	c.deadline = came.Add(wait - answerMargin)
	if s.draining.Load() {
		if ends := s.shutdownAt.Load(); ends.Before(c.deadline) {
			c.deadline = *ends
		}
	}
	return c, nil
}

// respond writes a request's final answer and counts it.
func (s *Handler) respond(w http.ResponseWriter, r *http.Request, conn *http.ResponseController, a finalResponse, c *inflightRequest) *httpError {
	if s.draining.Load() { // also where it was told so since the request came
		w.Header().Set("Connection", "close")
	}
	// A client that reads no answers would hold its handler for good.
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if a.remainder != nil {
		return s.stream(w, r, conn, a, c)
	}
	a.write(w)
	switch a.kind {
	case served:
		c.counters.Served.Add(1)
	case rejected:
		c.counters.Rejected.Add(1)
	default:
		c.counters.Failed.Add(1)
	}
	return nil
}

// peerClosedFunc returns what tells whether the client of a request has left. net/http sees its close only once all that came before it is
// read, which other requests may be.
func peerClosedFunc(r *http.Request) (left func() bool) {
	conn := clientConnOf(r)
	return func() bool { return r.Context().Err() != nil || conn != nil && conn.PeerClosed() }
}

// rejectWithoutPolicy refuses a request that no policy lets this sidecar take now.
func (s *Handler) rejectWithoutPolicy(w http.ResponseWriter, r *http.Request) *httpError {
	if c, _, f := s.parseRequest(r); f == nil {
		c.counters.Rejected.Add(1)
	}
	finalResponse{kind: rejected, retryAfter: s.loop.settings.Load().retryAfter}.write(w)
	return nil
}

// readBody reads a request's body, in pieces of mostBody bytes at most. release gives back the room that it took.
func (s *Handler) readBody(w http.ResponseWriter, r *http.Request, came time.Time) (body [][]byte, release func(), f *httpError) {
	conn, start := http.NewResponseController(w), came.Add(BodyGrace)
	if c := clientConnOf(r); c != nil && c.AcceptedAt().Add(BodyStartTimeout).After(start) {
		start = c.AcceptedAt().Add(BodyStartTimeout)
	}
	defer s.stopReading(conn)()
	size := 4 << 10
	if r.ContentLength > 0 {
		size = int(min(r.ContentLength+1, upstream.MaxBufferedBody)) // and a byte for the end
	}
	body = [][]byte{make([]byte, 0, size)}
	taken, all := 0, 0
	release = func() { s.buffers.release(taken, body[1:]) }
	bad := func(status int, text string) ([][]byte, func(), *httpError) {
		release()
		return nil, nil, &httpError{status, text, ""}
	}
	for {
		piece := body[len(body)-1]
		switch {
		case len(piece) < cap(piece):
		case len(piece) < upstream.MaxBufferedBody:
			piece = append(make([]byte, 0, min(4*cap(piece), upstream.MaxBufferedBody)), piece...)
		case all > MaxRequestBody:
			return bad(http.StatusRequestEntityTooLarge, "body too large")
		default:
			if taken == len(body)-1 {
				// Many large bodies at once would take all memory. Where each takes its room bit by bit,
				// all get a part and none gets through. One that says its length takes it at once.
				more := max(1, (int(r.ContentLength)-all)/upstream.MaxBufferedBody+1)
				if !s.buffers.reserve(more) {
					return bad(http.StatusServiceUnavailable, "refused: too many large bodies at once")
				}
				taken += more
			}
			piece = s.buffers.buffer()
			body = append(body, nil)
		}
		// A body that never ends would hold its connection for good.
		if err := conn.SetReadDeadline(start.Add(time.Duration(all) * time.Second / minBodyRate)); err != nil {
			return bad(http.StatusInternalServerError, "no deadline")
		}
		if s.shutdown.Err() != nil { // this process may be killed before the body is whole
			_ = conn.SetReadDeadline(endReading) // or net/http would wait for the rest; it fails where the connection is closed
			return bad(http.StatusServiceUnavailable, "refused: this process ends")
		}
		n, err := r.Body.Read(piece[len(piece):cap(piece)])
		body[len(body)-1], all = piece[:len(piece)+n], all+n
		switch {
		case err == io.EOF:
			return body, release, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && s.shutdown.Err() != nil: // and so the loop says
		case errors.Is(err, os.ErrDeadlineExceeded):
			return bad(http.StatusRequestTimeout, "body came too slowly")
		case err != nil:
			return bad(http.StatusBadRequest, "body ended early")
		}
	}
}

// httpError is the answer to a request that cannot be taken.
type httpError struct {
	status int
	text   string
	allow  string // the method that is allowed
}

// write writes the fault and has the connection closed: what follows on it is not to be relied on.
func (f *httpError) write(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if f.allow != "" {
		w.Header().Set("Allow", f.allow)
	}
	http.Error(w, f.text, f.status)
}

// parseRequest reads a request's headers, and how long the client waits.
func (s *Handler) parseRequest(r *http.Request) (*inflightRequest, time.Duration, *httpError) {
	bad := func(text string) (*inflightRequest, time.Duration, *httpError) {
		return nil, 0, &httpError{http.StatusBadRequest, text, ""}
	}
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		return nil, 0, &httpError{http.StatusMethodNotAllowed, "method not allowed", "GET, POST"}
	}
	if !r.ProtoAtLeast(1, 1) {
		return nil, 0, &httpError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed", ""}
	}
	// Of two values, servers may take the other one.
	for _, name := range []string{"X-Request-Id", "X-Priority-Class", "X-Tenant-Id", "X-Timeout-Ms", "Idempotency-Key",
		"Content-Type", "Content-Length"} {
		if len(r.Header[name]) > 1 {
			return bad(name + " is given more than once")
		}
	}
	c := &inflightRequest{Message: upstream.Message{Method: r.Method, URL: r.URL, ID: r.Header.Get("X-Request-ID"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"), ContentType: r.Header.Get("Content-Type")}}
	if c.ID == "" {
		return bad("X-Request-ID is missing")
	}
	now := s.loop.settings.Load()
	class, ok := now.classes[r.Header.Get("X-Priority-Class")]
	if !ok {
		return bad("X-Priority-Class is missing or unknown")
	}
	// A request sent with less care than its class needs could take effect twice.
	effect, method := class.Effect, http.MethodPost
	if effect == balance.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		return nil, 0, &httpError{http.StatusMethodNotAllowed, "another method goes with the class", method}
	}
	if (c.IdempotencyKey != "") != (effect == balance.Deduplicated) {
		return bad("Idempotency-Key goes with the classes that carry one")
	}
	if r.Method == http.MethodGet && r.ContentLength != 0 {
		return bad("GET takes no body")
	}
	// A number that overflows a duration would be a deadline that is long past.
	ms, err := strconv.ParseUint(r.Header.Get("X-Timeout-Ms"), 10, 31)
	if err != nil {
		return bad("X-Timeout-Ms is no number of milliseconds")
	}
	// A client that claims to wait for weeks would be held for weeks.
	wait := min(time.Duration(ms)*time.Millisecond, class.Deadline)
	c.policyNumber = now.policy
	c.classSettings, c.tenant, c.isRetry = class, -1, r.Header.Get("X-Retried") == "1"
	if tenant, ok := now.tenants[r.Header.Get("X-Tenant-Id")]; ok {
		c.tenant = tenant
	}
	return c, wait, nil
}

// write writes the final answer.
func (a finalResponse) write(w http.ResponseWriter) {
	switch a.kind {
	case served:
		// A guessed type or a chunked body would be another answer than the server's.
		w.Header()["Content-Type"] = nil
		if a.contentType != "" {
			w.Header().Set("Content-Type", a.contentType)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		_, _ = w.Write(a.body) // a client that is gone needs no answer
	case rejected:
		if a.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
		}
		http.Error(w, "refused: a retry is harmless", http.StatusServiceUnavailable)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

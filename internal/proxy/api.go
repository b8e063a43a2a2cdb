package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// writeTimeout bounds the time in which a client has to receive a response that is not streamed.
const writeTimeout = 2 * time.Second

// serveAPI serves a request under /api. A non-nil result is the error response that the caller has to write.
func (h *Handler) serveAPI(w http.ResponseWriter, r *http.Request, receivedAt time.Time) *httpError {
	if h.gate != nil && !h.awaitPolicy(r.Context(), policyWait(r)) {
		return h.rejectWithoutPolicy(w, r)
	}
	request, httpErr := h.receiveRequest(w, r, receivedAt)
	if httpErr != nil {
		return httpErr
	}
	// The request is read completely, so its read deadline is removed. From here on, a failed read means that the
	// client has disconnected.
	conn := http.NewResponseController(w)
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		request.dropBody()
		return errNoDeadline
	}
	switch h.ids.reserve(request.ID) {
	case errDuplicateID:
		request.dropBody()
		return &httpError{status: http.StatusConflict, text: "X-Request-ID is in use"}
	case errTooManyRequests:
		request.dropBody()
		h.loop.upstream.EndUnresponsiveStream()
		h.reject(w)
		request.counters.Rejected.Add(1)
		return nil
	}
	defer h.ids.release(request.ID)
	request.peerClosed = peerClosedFunc(r)
	return h.awaitResponse(w, r, conn, request)
}

// awaitResponse passes a request to the event loop and writes its final response. If the policy under which the request
// head was parsed is no longer in force, it parses the head again under the next policy.
func (h *Handler) awaitResponse(w http.ResponseWriter, r *http.Request, conn *http.ResponseController,
	request *inflightRequest) *httpError {
	response, ok := h.loop.serve(r.Context(), request)
	for ok && response.kind == policyChanged {
		if !h.awaitPolicy(r.Context(), time.Until(request.deadline)) {
			request.dropBody()
			return h.rejectWithoutPolicy(w, r)
		}
		next, _, httpErr := h.parseRequest(r)
		if httpErr != nil {
			request.dropBody()
			return httpErr
		}
		next.adoptBody(request)
		request = next
		response, ok = h.loop.serve(r.Context(), request)
	}
	if request.policyNumber > 0 {
		w.Header().Set(PolicyHeader, strconv.FormatUint(request.policyNumber, 10))
	}
	if !ok {
		// If a handler returns without writing, net/http sends an empty 200. A client that has closed only its sending
		// side would treat this as a successful response.
		panic(http.ErrAbortHandler)
	}
	h.respond(w, r, conn, response, request)
	return nil
}

// adoptBody takes over the body, the times and the disconnect check of a request whose head is parsed again.
func (r *inflightRequest) adoptBody(previous *inflightRequest) {
	r.Body = previous.Body
	r.releaseBody = previous.releaseBody
	r.receivedAt = previous.receivedAt
	r.deadline = previous.deadline
	r.peerClosed = previous.peerClosed
}

// receiveRequest reads a complete request and sets its deadline.
func (h *Handler) receiveRequest(w http.ResponseWriter, r *http.Request,
	receivedAt time.Time) (*inflightRequest, *httpError) {
	request, timeout, httpErr := h.parseRequest(r)
	if httpErr != nil {
		return nil, httpErr
	}
	if r.ContentLength != 0 {
		body, httpErr := h.readBody(w, r, receivedAt)
		if httpErr != nil {
			if httpErr.status == http.StatusServiceUnavailable {
				request.counters.Rejected.Add(1)
			}
			return nil, httpErr
		}
		request.Body = body.buffers
		request.releaseBody = body.release
		receivedAt = time.Now() // the timeout counts from the last byte of the request
	}
	request.receivedAt = receivedAt
	request.deadline = receivedAt.Add(timeout - responseMargin)
	if !h.draining.Load() {
		return request, nil
	}
	schedule := h.drainSchedule.Load()
	if schedule.rejectsLate && receivedAt.After(schedule.lateFrom) {
		request.dropBody()
		request.counters.Rejected.Add(1)
		return nil, errShuttingDown
	}
	if schedule.shutdownAt.Before(request.deadline) {
		request.deadline = schedule.shutdownAt
	}
	return request, nil
}

// respond writes the final response of a request and counts it.
func (h *Handler) respond(w http.ResponseWriter, r *http.Request, conn *http.ResponseController,
	response finalResponse, request *inflightRequest) {
	if h.draining.Load() { // the drain may have begun after the request was read
		w.Header().Set("Connection", "close")
	}
	// Without a deadline, a client that does not read its response would block the handler forever.
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if response.remainder != nil {
		h.stream(w, r, conn, response, request)
		return
	}
	response.write(w)
	switch response.kind {
	case served:
		request.counters.Served.Add(1)
	case rejected:
		request.counters.Rejected.Add(1)
	default:
		request.counters.Failed.Add(1)
	}
}

// peerClosedFunc returns a function that reports whether the client of a request has disconnected. The request context
// does not suffice: net/http detects the close only after it has read all earlier data, which may include other
// requests.
func peerClosedFunc(r *http.Request) func() bool {
	conn := clientConnOf(r)
	return func() bool { return r.Context().Err() != nil || conn != nil && conn.PeerClosed() }
}

// awaitPolicy waits for a policy to be in force. The wait ends after maxWait, with ctx or at shutdown.
func (h *Handler) awaitPolicy(ctx context.Context, maxWait time.Duration) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.shutdown, cancel)()
	return h.gate.Await(ctx, maxWait)
}

// rejectWithoutPolicy rejects a request because no policy is in force.
func (h *Handler) rejectWithoutPolicy(w http.ResponseWriter, r *http.Request) *httpError {
	if request, _, httpErr := h.parseRequest(r); httpErr == nil {
		request.counters.Rejected.Add(1)
	}
	h.reject(w)
	return nil
}

// reject writes a 503 response: the request has had no effect, and the client may send it again.
func (h *Handler) reject(w http.ResponseWriter) {
	finalResponse{kind: rejected, retryAfter: h.loop.settings.Load().retryAfter}.write(w)
}

// write writes a final response that has no remainder to stream.
func (f finalResponse) write(w http.ResponseWriter) {
	switch f.kind {
	case served:
		f.writeContentType(w)
		w.Header().Set("Content-Length", strconv.Itoa(len(f.body)))
		_, _ = w.Write(f.body) // the client may have disconnected
	case rejected:
		if f.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
		}
		http.Error(w, "refused: a retry is harmless", http.StatusServiceUnavailable)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

// writeContentType sets the Content-Type of the server's response. If the server sent none, a nil value keeps net/http
// from detecting one.
func (f finalResponse) writeContentType(w http.ResponseWriter) {
	w.Header()["Content-Type"] = nil
	if f.contentType != "" {
		w.Header().Set("Content-Type", f.contentType)
	}
}

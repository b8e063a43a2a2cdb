package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// writeTimeout is how long a client may take to receive a short response.
const writeTimeout = 2 * time.Second

// serveAPI serves a request, or returns why it is refused.
func (h *Handler) serveAPI(w http.ResponseWriter, r *http.Request, receivedAt time.Time) *httpError {
	if h.gate != nil && !h.awaitPolicy(r.Context(), policyWait(r)) {
		return h.rejectWithoutPolicy(w, r)
	}
	request, httpErr := h.receiveRequest(w, r, receivedAt)
	if httpErr != nil {
		return httpErr
	}
	// The time for the request is over; a later end of the connection means that the client has gone.
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
		h.reject(w)
		request.counters.Rejected.Add(1)
		return nil
	}
	defer h.ids.release(request.ID)
	request.peerClosed = peerClosedFunc(r)
	return h.awaitResponse(w, r, conn, request)
}

// awaitResponse has the Balancer decide on a request and writes its final response. If the policy under which the head
// was read is not in force any more, the head is read again under the next one.
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
		// net/http ends a handler that wrote nothing with an empty 200, which a client that has closed only its sending
		// would read as served.
		panic(http.ErrAbortHandler)
	}
	h.respond(w, r, conn, response, request)
	return nil
}

// adoptBody takes over the body and the times of a request whose head is read again.
func (r *inflightRequest) adoptBody(previous *inflightRequest) {
	r.Body = previous.Body
	r.releaseBody = previous.releaseBody
	r.deadline = previous.deadline
	r.peerClosed = previous.peerClosed
}

// receiveRequest reads a request whole, and sets when its final response is due.
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
		receivedAt = time.Now() // the client's time begins with the last byte of its request
	}
	request.deadline = receivedAt.Add(timeout - responseMargin)
	if h.draining.Load() {
		shutdownAt := h.shutdownAt.Load()
		if shutdownAt.Before(request.deadline) {
			request.deadline = *shutdownAt
		}
	}
	return request, nil
}

// respond writes the final response of a request and counts it.
func (h *Handler) respond(w http.ResponseWriter, r *http.Request, conn *http.ResponseController,
	response finalResponse, request *inflightRequest) {
	if h.draining.Load() { // also where the drain began since the request was read
		w.Header().Set("Connection", "close")
	}
	// A client that reads no responses would hold its handler for good.
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

// peerClosedFunc returns what reports whether the client of a request has gone. net/http sees its close only once all
// that came before is read, which may be other requests.
func peerClosedFunc(r *http.Request) func() bool {
	conn := clientConnOf(r)
	return func() bool { return r.Context().Err() != nil || conn != nil && conn.PeerClosed() }
}

// awaitPolicy waits for a policy to be in force, for as long as a response can still be given.
func (h *Handler) awaitPolicy(ctx context.Context, maxWait time.Duration) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.shutdown, cancel)()
	return h.gate.Await(ctx, maxWait)
}

// rejectWithoutPolicy rejects a request that may be taken under no policy now.
func (h *Handler) rejectWithoutPolicy(w http.ResponseWriter, r *http.Request) *httpError {
	if request, _, httpErr := h.parseRequest(r); httpErr == nil {
		request.counters.Rejected.Add(1)
	}
	h.reject(w)
	return nil
}

// reject writes that a request has had no effect and may be sent again.
func (h *Handler) reject(w http.ResponseWriter) {
	finalResponse{kind: rejected, retryAfter: h.loop.settings.Load().retryAfter}.write(w)
}

// write writes a final response, but for its remainder.
func (f finalResponse) write(w http.ResponseWriter) {
	switch f.kind {
	case served:
		f.writeContentType(w)
		w.Header().Set("Content-Length", strconv.Itoa(len(f.body)))
		_, _ = w.Write(f.body) // a client that has gone needs no response
	case rejected:
		if f.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
		}
		http.Error(w, "refused: a retry is harmless", http.StatusServiceUnavailable)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

// writeContentType sets the server's Content-Type. Where it gave none, net/http must not guess one.
func (f finalResponse) writeContentType(w http.ResponseWriter) {
	w.Header()["Content-Type"] = nil
	if f.contentType != "" {
		w.Header().Set("Content-Type", f.contentType)
	}
}

package proxy

import (
	"net/http"
	"runtime/debug"
)

// responseRecorder is an http.ResponseWriter that records whether a response has been started.
type responseRecorder struct {
	http.ResponseWriter
	started bool
}

// Unwrap returns the wrapped ResponseWriter for http.ResponseController.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) {
	r.started = true
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(p []byte) (int, error) {
	r.started = true
	return r.ResponseWriter.Write(p)
}

// recoverPanic is deferred by the handler. If the handler panics before a response has been started, it responds with
// 500, whereas net/http would close the connection without a response. It panics again for http.ErrAbortHandler and
// after the start of a response.
func (h *Handler) recoverPanic(w *responseRecorder, conn ClientConn) {
	cause := recover()
	switch {
	case cause == nil:
		return
	case cause == http.ErrAbortHandler || w.started:
		panic(cause)
	}
	h.loop.log.Error("handler panicked", "cause", cause, "stack", string(debug.Stack()))
	httpErr := &httpError{status: http.StatusInternalServerError, text: "internal error"}
	httpErr.write(w)
	if conn != nil {
		conn.MarkFinalResponse()
	}
}

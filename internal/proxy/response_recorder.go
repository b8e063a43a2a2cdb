package proxy

import (
	"net/http"
	"runtime/debug"
)

// responseRecorder is a http.ResponseWriter that records whether a final response has begun.
type responseRecorder struct {
	http.ResponseWriter
	started bool
}

// Unwrap is for http.ResponseController.
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

// recoverPanic is deferred by the handler. If a fault of the program ends the handler before a response has begun, the
// request gets an error, where net/http would close its connection without one. An abort on purpose goes on.
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

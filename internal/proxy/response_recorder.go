package proxy

import (
	"net/http"
	"runtime/debug"
)

// responseRecorder is a http.ResponseWriter that notes whether a final answer has begun. Its handler's goroutine alone uses it.
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

// recoverPanic is deferred by the handler. Where a fault of the program ends the handler before an answer has begun, the
// request gets an error; net/http would close its connection without one. An abort on purpose goes on.
func (s *Handler) recoverPanic(w *responseRecorder, conn ClientConn) {
	cause := recover()
	switch {
	case cause == nil:
		return
	case cause == http.ErrAbortHandler || w.started:
		panic(cause)
	}
	s.loop.log.Error("handler panicked", "cause", cause, "stack", string(debug.Stack()))
	(&httpError{http.StatusInternalServerError, "internal error", ""}).write(w)
	if conn != nil {
		conn.MarkFinalResponse()
	}
}

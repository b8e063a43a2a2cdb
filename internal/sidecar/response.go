package sidecar

import (
	"net/http"
	"runtime/debug"
)

// response is a http.ResponseWriter that notes whether a final answer has begun. Its handler's goroutine alone uses it.
type response struct {
	http.ResponseWriter
	begun bool
}

// Unwrap is for http.ResponseController.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	r.begun = true
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	r.begun = true
	return r.ResponseWriter.Write(p)
}

// answerPanic is deferred by the handler. Where a fault of the program ends the handler before an answer has begun, the
// request gets an error; net/http would close its connection without one. An abort on purpose goes on.
func (s *Handler) answerPanic(w *response, conn ClientConn) {
	cause := recover()
	switch {
	case cause == nil:
		return
	case cause == http.ErrAbortHandler || w.begun:
		panic(cause)
	}
	s.host.log.Error("handler panicked", "cause", cause, "stack", string(debug.Stack()))
	(&fault{http.StatusInternalServerError, "internal error", ""}).write(w)
	if conn != nil {
		conn.MarkFinalResponse()
	}
}

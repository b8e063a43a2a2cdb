package proxy

import "net/http"

// httpError is the error response to a request that is refused before it reaches the Balancer.
type httpError struct {
	status int
	text   string
	allow  string // value of the Allow header; empty for none
}

// errBodyTooLarge is the response to a request whose body is larger than MaxRequestBody.
var errBodyTooLarge = &httpError{status: http.StatusRequestEntityTooLarge, text: "body too large"}

// errShuttingDown is the response to a request that is not complete when the draining process stops to take requests. A
// retry is harmless.
var errShuttingDown = &httpError{status: http.StatusServiceUnavailable, text: "refused: this process ends"}

// badRequest returns the response to a request that violates the protocol.
func badRequest(text string) *httpError { return &httpError{status: http.StatusBadRequest, text: text} }

// write writes the response. The connection is closed after it, because the start of the next request is not reliable.
func (e *httpError) write(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if e.allow != "" {
		w.Header().Set("Allow", e.allow)
	}
	http.Error(w, e.text, e.status)
}

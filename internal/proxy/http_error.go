package proxy

import "net/http"

// httpError is the response to a request that is refused before the Balancer sees it.
type httpError struct {
	status int
	text   string
	allow  string // the methods that are allowed; "": not given
}

// errBodyTooLarge refuses a request whose body is longer than MaxRequestBody.
var errBodyTooLarge = &httpError{status: http.StatusRequestEntityTooLarge, text: "body too large"}

// badRequest refuses a request that does not follow the protocol.
func badRequest(text string) *httpError { return &httpError{status: http.StatusBadRequest, text: text} }

// write writes the response and has the connection closed: what follows on it is not to be relied on.
func (e *httpError) write(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if e.allow != "" {
		w.Header().Set("Allow", e.allow)
	}
	http.Error(w, e.text, e.status)
}

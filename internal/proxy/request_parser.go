package proxy

import (
	"net/http"
	"strconv"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/upstream"
)

// singleValueHeaders are headers that may occur at most once in a request. If a header occurred twice, this process and
// a server could use different values.
var singleValueHeaders = []string{"X-Request-Id", "X-Priority-Class", "X-Tenant-Id", "X-Timeout-Ms", "Idempotency-Key",
	"Content-Type", "Content-Length"}

// parseRequest parses the head of a request. It returns the request and its timeout.
func (h *Handler) parseRequest(r *http.Request) (*inflightRequest, time.Duration, *httpError) {
	if httpErr := checkHead(r); httpErr != nil {
		return nil, 0, httpErr
	}
	settings := h.loop.settings.Load()
	class, ok := settings.classes[r.Header.Get("X-Priority-Class")]
	if !ok {
		return nil, 0, badRequest("X-Priority-Class is missing or unknown")
	}
	if httpErr := checkEffect(r, class.Effect); httpErr != nil {
		return nil, 0, httpErr
	}
	// 31 bits: a larger number could overflow time.Duration, and the deadline would be in the past.
	timeoutMS, err := strconv.ParseUint(r.Header.Get("X-Timeout-Ms"), 10, 31)
	if err != nil {
		return nil, 0, badRequest("X-Timeout-Ms is no number of milliseconds")
	}
	request := &inflightRequest{
		Message: upstream.Message{
			Method:         r.Method,
			URL:            r.URL,
			ID:             r.Header.Get("X-Request-ID"),
			IdempotencyKey: r.Header.Get("Idempotency-Key"),
			ContentType:    r.Header.Get("Content-Type"),
		},
		classSettings: class,
		policyNumber:  settings.policy,
		tenant:        -1,
		isRetry:       r.Header.Get("X-Retried") == "1",
	}
	if tenant, ok := settings.tenants[r.Header.Get("X-Tenant-Id")]; ok {
		request.tenant = tenant
	}
	// Without this limit, a client could keep a request in flight for weeks.
	timeout := min(time.Duration(timeoutMS)*time.Millisecond, class.Deadline)
	return request, timeout, nil
}

// checkHead checks the parts of the head that do not depend on the class of the request.
func checkHead(r *http.Request) *httpError {
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		return &httpError{status: http.StatusMethodNotAllowed, text: "method not allowed", allow: "GET, POST"}
	}
	if !r.ProtoAtLeast(1, 1) {
		return &httpError{status: http.StatusHTTPVersionNotSupported, text: "HTTP/1.1 is needed"}
	}
	for _, name := range singleValueHeaders {
		if len(r.Header[name]) > 1 {
			return badRequest(name + " is given more than once")
		}
	}
	if r.Header.Get("X-Request-ID") == "" {
		return badRequest("X-Request-ID is missing")
	}
	return nil
}

// checkEffect checks that the method and the idempotency key of a request match the effect of its class. A request that
// does not match could take effect twice.
func checkEffect(r *http.Request, effect balance.Effect) *httpError {
	method := http.MethodPost
	if effect == balance.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		return &httpError{
			status: http.StatusMethodNotAllowed,
			text:   "another method goes with the class",
			allow:  method,
		}
	}
	hasKey := r.Header.Get("Idempotency-Key") != ""
	if hasKey != (effect == balance.Deduplicated) {
		return badRequest("Idempotency-Key goes with the classes that carry one")
	}
	if r.Method == http.MethodGet && r.ContentLength != 0 {
		return badRequest("GET takes no body")
	}
	return nil
}

package proxy

import (
	"net/http"
	"strconv"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/upstream"
)

// singleValueHeaders may be given at most once. Of two values, a server could take the other one.
var singleValueHeaders = []string{"X-Request-Id", "X-Priority-Class", "X-Tenant-Id", "X-Timeout-Ms", "Idempotency-Key",
	"Content-Type", "Content-Length"}

// parseRequest reads the head of a request, and how long its client waits.
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
	// 31 bits: a number that overflows a duration would be a deadline that is long past.
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
	// A client that claims to wait for weeks would be held for weeks.
	timeout := min(time.Duration(timeoutMS)*time.Millisecond, class.Deadline)
	return request, timeout, nil
}

// checkHead checks what all requests have in common.
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

// checkEffect checks that a request is made as the effect of its class demands. One sent with less care could take
// effect twice.
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

package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// requestError describes an invalid call and contains the status of the response.
type requestError struct {
	status int
	detail string
}

// Error implements error.
func (e *requestError) Error() string { return e.detail }

// badRequest returns a *requestError with status 400 and a formatted text.
func badRequest(format string, args ...any) error {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// writeRequestError writes the response to an invalid call. The status is that of err if it is a *requestError, else
// 400.
func writeRequestError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if requestErr := (*requestError)(nil); errors.As(err, &requestErr) {
		status = requestErr.status
	}
	http.Error(w, err.Error(), status)
}

// readServerID reads the ID of a server from the request body. The error is a *requestError.
func readServerID(w http.ResponseWriter, r *http.Request) (string, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		detail := fmt.Sprintf("body of more than %d bytes", maxBodyBytes)
		return "", &requestError{http.StatusRequestEntityTooLarge, detail}
	}
	if err != nil {
		return "", badRequest("body ended early")
	}
	return parseServerID(body)
}

// parseServerID parses a request body and returns the ID of the server in it. The error is a *requestError.
func parseServerID(body []byte) (string, error) {
	if len(bytes.TrimSpace(body)) == 0 {
		return "", badRequest(`no body, want {"target":"ID"}`)
	}
	// Decoding into a struct would accept the key "Target" for "target". Decoding into a map matches keys exactly.
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return "", badRequest("body is no JSON object: %v", err)
	}
	target, found := fields["target"]
	if !found {
		return "", badRequest("target is missing")
	}
	var id *string
	if err := json.Unmarshal(target, &id); err != nil || id == nil {
		return "", badRequest("target is no string")
	}
	switch {
	case *id == "":
		return "", badRequest("target is empty")
	case len(*id) > maxServerIDBytes:
		return "", badRequest("target has more than %d bytes", maxServerIDBytes)
	}
	return *id, nil
}

package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxErrorDetailBytes is the maximum number of bytes of a response body that a ResponseError contains.
const maxErrorDetailBytes = 200

// adminDownRequest is the body of a call that sets a server administratively down or up. parseServerID parses it.
type adminDownRequest struct {
	Target string `json:"target"` // ID of the server
}

// ResponseError is an error response to a call that was forwarded to another process of the sidecar.
type ResponseError struct {
	StatusCode int
	Detail     string // beginning of the response body
}

// Error implements error.
func (e *ResponseError) Error() string { return fmt.Sprintf("status %d, %s", e.StatusCode, e.Detail) }

// ForwardAdminDown forwards a call to the process whose admin server is at address. The call sets a server
// administratively down, or up again if down is false. ForwardAdminDown returns ErrUnknownServer if that process has no
// such server. If the process fails the call for another reason, the error wraps a *ResponseError.
func ForwardAdminDown(ctx context.Context, address, id string, down bool) error {
	resp, err := sendAdminDown(ctx, address, id, down)
	if err != nil {
		// Responses to operators' calls contain this text.
		return fmt.Errorf("pass on: %w", err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return ErrUnknownServer
	case resp.StatusCode/100 != 2:
		return fmt.Errorf("pass on: %w", readResponseError(resp))
	}
	return nil
}

// sendAdminDown sends the call on a new connection, which is closed after the response.
func sendAdminDown(ctx context.Context, address, id string, down bool) (*http.Response, error) {
	path := serverUpPath
	if down {
		path = serverDownPath
	}
	body, err := json.Marshal(adminDownRequest{Target: id})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(ForwardedHeader, "1")
	req.Close = true
	return (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
}

// readResponseError converts an error response to a ResponseError.
func readResponseError(resp *http.Response) *ResponseError {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorDetailBytes)) // incomplete if reading fails
	return &ResponseError{StatusCode: resp.StatusCode, Detail: string(bytes.TrimSpace(detail))}
}

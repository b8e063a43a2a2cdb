package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxErrorDetailBytes is how much of a response is quoted in a ResponseError.
const maxErrorDetailBytes = 200

// adminDownRequest is the body of a call that sets a server administratively down or up. parseServerID reads it.
type adminDownRequest struct {
	Target string `json:"target"` // the server's id
}

// ResponseError is a response of another process of the sidecar that says that it has not done what was asked.
type ResponseError struct {
	StatusCode int
	Detail     string // the beginning of the body
}

// Error implements error.
func (e *ResponseError) Error() string { return fmt.Sprintf("status %d, %s", e.StatusCode, e.Detail) }

// ForwardAdminDown forwards a call that came to this process to the process whose server is at address: to set a server
// administratively down, or up again where down is not set. It returns ErrUnknownServer if that process has no such
// server, and an error that wraps a *ResponseError if it does not do it for another reason.
func ForwardAdminDown(ctx context.Context, address, id string, down bool) error {
	resp, err := sendAdminDown(ctx, address, id, down)
	if err != nil {
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

// sendAdminDown sends the call on a connection of its own, which ends with the response.
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

func readResponseError(resp *http.Response) *ResponseError {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorDetailBytes)) // as much as arrives
	return &ResponseError{StatusCode: resp.StatusCode, Detail: string(bytes.TrimSpace(detail))}
}

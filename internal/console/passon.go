package console

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// PassOn has the console at an address take a server out, or put it back, for a call that came to this process. It
// returns ErrUnknown where that process has no such server.
func PassOn(ctx context.Context, address, id string, out bool) error {
	path := "/ops/servers/up"
	if out {
		path = "/ops/servers/down"
	}
	body, err := json.Marshal(map[string]string{"target": id})
	if err != nil {
		return fmt.Errorf("pass on: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("pass on: %w", err)
	}
	req.Header.Set(PassedOn, "1")
	req.Close = true
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return fmt.Errorf("pass on: %w", err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return ErrUnknown
	case resp.StatusCode/100 != 2:
		why, _ := io.ReadAll(io.LimitReader(resp.Body, 200)) // what there is of it
		return fmt.Errorf("pass on: status %d, %s", resp.StatusCode, bytes.TrimSpace(why))
	}
	return nil
}

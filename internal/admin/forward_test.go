package admin

import (
	"context"
	"errors"
	"testing"
)

// TestForwardReturnsResponse checks that ForwardAdminDown returns nil if the other process carries out the call, and
// otherwise ErrUnknownServer or the response as a ResponseError.
func TestForwardReturnsResponse(t *testing.T) {
	f := &fakeSidecar{adminDown: map[string]bool{"s-1": false}}
	address := startServer(t, f)
	ctx := context.Background()
	if err := ForwardAdminDown(ctx, address, "s-1", true); err != nil || !f.forwarded || !f.adminDown["s-1"] {
		t.Errorf("error %v, forwarded %v, administratively down %v", err, f.forwarded, f.adminDown)
	}
	if err := ForwardAdminDown(ctx, address, "s-9", true); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("error %v for an unknown server, want ErrUnknownServer", err)
	}
	f.err = errors.New("busy")
	err := ForwardAdminDown(ctx, address, "s-1", false)
	var response *ResponseError
	if !errors.As(err, &response) || response.StatusCode != 503 || response.Detail != `server "s-1": busy` {
		t.Errorf("error %v from a busy process, want a ResponseError with status 503", err)
	}
	if want := `pass on: status 503, server "s-1": busy`; err == nil || err.Error() != want {
		t.Errorf("error %v, want the text %s", err, want)
	}
}

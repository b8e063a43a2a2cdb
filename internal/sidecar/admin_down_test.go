package sidecar

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"milletramp.example/milletramp/internal/admin"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestAdminDownHoldsOverListsAndReloads: a server that an operator has set administratively down gets no requests, also
// after endpoint list updates and a reload, until it is set up again.
func TestAdminDownHoldsOverListsAndReloads(t *testing.T) {
	one, two := startBackend(t, "one"), startBackend(t, "two")
	d := testserver.StartDiscovery(t)
	text := testserver.ConfigText(d.Address, testserver.ServingList(1, one, two), testserver.Settings)
	p := start(t, text)
	w := testserver.Receive(t, d.Watches, "watch")
	p.sendUntilBody("one")
	call := func(id string, down bool, want error) {
		t.Helper()
		if _, err := p.operator.SetAdminDown(context.Background(), id, down, false); err != want {
			t.Fatalf("call for %s, down %v: %v, want %v", id, down, err, want)
		}
	}
	call("s-9", true, admin.ErrUnknownServer)
	call("s-0", true, nil)
	p.expectMetrics("known_servers", "2", "skipped_servers", "1")
	w.Lines <- testserver.ListText(2, false, testserver.EndpointEntry("s-0", one.Address, "DRAINING", 0))
	w.Lines <- testserver.ServingList(3, one, two)
	p.reload(strings.Replace(text, `"try_limit":3`, `"try_limit":2`, 1))
	for range 50 {
		if got := p.Send("read"); got.Body != "two" {
			t.Fatalf("response %+v while the server is administratively down", got)
		}
	}
	call("s-1", true, nil)
	if got := p.Send("read"); got.Status != http.StatusServiceUnavailable {
		t.Errorf("response %+v with all servers down", got)
	}
	p.expectMetrics("skipped_servers", "2", "dropped.read", "1")
	call("s-0", false, nil)
	p.sendUntilBody("one")
	call("s-1", false, nil)
	p.expectMetrics("skipped_servers", "0")
}

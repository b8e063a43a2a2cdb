package sidecar

import (
	"testing"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestWatchFollowsListAndSurvivesBadLines: updates of the endpoint list take effect, and the list is kept over a
// malformed line and an interrupted watch.
func TestWatchFollowsListAndSurvivesBadLines(t *testing.T) {
	kept, drained := startBackend(t, "kept"), startBackend(t, "drained")
	d := testserver.StartDiscovery(t)
	p := start(t, testserver.ConfigText(d.Address, testserver.ServingList(41, drained), testserver.Settings))
	first := testserver.Receive(t, d.Watches, "watch")
	if first.Query != "watch=1&from=41" {
		t.Errorf("query %q", first.Query)
	}
	if got := p.Send("pay"); got.Body != "drained" {
		t.Errorf("response %+v", got)
	}
	first.Lines <- "" // a heartbeat
	first.Lines <- testserver.ListText(42, false, testserver.EndpointEntry("s-0", drained.Address, "DRAINING", 0),
		testserver.EndpointEntry("s-1", kept.Address, "SERVING", 0))
	p.sendUntilBody("kept")
	for range 20 {
		if got := p.Send("pay"); got.Body != "kept" {
			t.Fatalf("response %+v, want none from the draining server", got)
		}
	}
	first.Lines <- `{"rev":43,"targets":[{"uid":"s-1","endpoint":"nowhere","state":"SERVING"}]}`
	second := testserver.Receive(t, d.Watches, "watch after a malformed line")
	if second.Query != "watch=1&from=42" {
		t.Errorf("query %q after a malformed line", second.Query)
	}
	if got := p.Send("pay"); got.Body != "kept" {
		t.Errorf("response %+v after a malformed line", got)
	}
	close(second.Lines)
	third := testserver.Receive(t, d.Watches, "watch after an interrupted one")
	if got := p.Send("pay"); got.Body != "kept" {
		t.Errorf("response %+v after an interrupted watch", got)
	}
	third.Lines <- testserver.ListText(44, true, testserver.EndpointEntry("s-0", drained.Address, "SERVING", 0))
	p.sendUntilBody("drained")
}

package sidecar

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestInvalidFilesAreRejected reloads files with one fault each. Each file also changes the discovery address and
// removes a class, and neither of these changes may take effect.
func TestInvalidFilesAreRejected(t *testing.T) {
	b := startBackend(t, "ok")
	d, decoy := testserver.StartDiscovery(t), testserver.StartDiscovery(t)
	good := testserver.ConfigText(d.Address, testserver.ServingList(1, b), testserver.Settings)
	p := start(t, good)
	testserver.Receive(t, d.Watches, "watch")
	valid := strings.Replace(strings.Replace(good, d.Address, decoy.Address, 1), `"name":"pay"`, `"name":"tip"`, 1)
	for i, tt := range []struct{ name, old, new string }{
		{"empty", valid, ""},
		{"only white space", valid, "\n"},
		{"truncated", valid, valid[:len(valid)/2]},
		{"last byte missing", valid, valid[:len(valid)-1]},
		{"trailing text", valid, valid + "}"},
		{"no settings", `"settings":`, `"other":`},
		{"no discovery", `"discovery":"127`, `"other":"127`},
		{"no seed", `"seed":`, `"other":`},
		{"no limits", `"limits":{"cores"`, `"other":{"cores"`},
		{"limit missing", `"cores":1.0,`, ``},
		{"no limit of attempts", `"try_limit":3,`, ``},
		{"limit of attempts null", `"try_limit":3`, `"try_limit":null`},
		{"limit of attempts 0", `"try_limit":3`, `"try_limit":0`},
		{"limit of attempts negative", `"try_limit":3`, `"try_limit":-1`},
		{"limit of attempts a string", `"try_limit":3`, `"try_limit":"3"`},
		{"limit of attempts a boolean", `"try_limit":3`, `"try_limit":true`},
		{"limit of attempts not an integer", `"try_limit":3`, `"try_limit":2.5`},
		{"limit of attempts overflows", `"try_limit":3`, `"try_limit":1e999`},
		{"limit of attempts NaN", `"try_limit":3`, `"try_limit":NaN`},
		{"limit of attempts a list", `"try_limit":3`, `"try_limit":[3]`},
		{"no classes", `"request_classes":[`, `"request_classes":[],"other":[`},
		{"classes not a list", `"request_classes":[`, `"request_classes":{},"other":[`},
		{"class without an effect", `"effect":"idempotent",`, ``},
		{"unknown effect", `"effect":"idempotent"`, `"effect":"harmless"`},
		{"class without a dedupe window", `"window_s":60.0`, `"other":60.0`},
		{"duplicate class", `"name":"book"`, `"name":"read"`},
		{"no deadline", `"deadline_s":60.0,"credit":10.0`, `"credit":10.0`},
		{"deadline 0", `"deadline_s":60.0,"credit":10.0`, `"deadline_s":0,"credit":10.0`},
		{"deadline negative", `"deadline_s":60.0,"credit":10.0`, `"deadline_s":-60.0,"credit":10.0`},
		{"deadline a string", `"deadline_s":60.0,"credit":10.0`, `"deadline_s":"60.0","credit":10.0`},
		{"deadline null", `"deadline_s":60.0,"credit":10.0`, `"deadline_s":null,"credit":10.0`},
		{"deadline NaN", `"deadline_s":60.0,"credit":10.0`, `"deadline_s":"NaN","credit":10.0`},
		{"deadline overflows", `"deadline_s":60.0,"credit":10.0`, `"deadline_s":1e400,"credit":10.0`},
	} {
		bad := strings.Replace(valid, tt.old, tt.new, 1)
		if bad == valid {
			t.Fatalf("%s: the replacement changes nothing", tt.name)
		}
		p.reload(bad)
		if errors := p.operator.metrics.ReloadErrors.Load(); errors != int64(i+1) {
			t.Fatalf("%s: %d files rejected, want %d", tt.name, errors, i+1)
		}
	}
	if got := p.Send("pay"); got.Status != 200 || len(decoy.Watches) != 0 {
		t.Errorf("response %+v, %d watches at the address of a rejected file", got, len(decoy.Watches))
	}
	p.expectMetrics("loads", "0", "load_errors", "33")
	p.reload(valid)
	testserver.Receive(t, decoy.Watches, "watch at the address of the valid file")
	p.expectMetrics("loads", "1", "load_errors", "33")
}

// TestOpenRequestKeepsSettingsOfItsClass: the class of a request in flight is removed by a reload, added with another
// effect, and changed back. Retrying the request under the new settings would execute an at-most-once request twice.
func TestOpenRequestKeepsSettingsOfItsClass(t *testing.T) {
	release := make(chan struct{})
	var payAttempts atomic.Int64
	b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Method == http.MethodPost {
			payAttempts.Add(1)
			<-release
			return testserver.ResetConnection(c, r, body)
		}
		return testserver.Respond(200, "", "ok")(c, r, body)
	})
	d := testserver.StartDiscovery(t)
	old := testserver.ConfigText(d.Address, testserver.ServingList(1, b, b), testserver.Settings)
	p := start(t, old)
	inFlight := p.sendAsync(context.Background(), "pay")
	testserver.Receive(t, b.Requests, "request")
	p.expectMetrics("in_progress", "1", "known_servers", "2")

	removed := strings.Replace(old, `"name":"pay"`, `"name":"tip"`, 1)
	p.reload(removed)
	if got := p.Send("pay"); got.Status != http.StatusBadRequest {
		t.Errorf("response %+v to a request of a removed class", got)
	}
	// The class is added again with the effect idempotent.
	changed := strings.Replace(removed, `"name":"read"`, `"name":"pay"`, 1)
	p.reload(changed)
	if got := p.Do(p.newIdempotentRequest("pay")); got.Status != 200 {
		t.Errorf("response %+v to a request of the class with its new effect", got)
	}
	close(release)
	if got := testserver.Receive(t, inFlight, "response"); got.Status != http.StatusBadGateway || payAttempts.Load() != 1 {
		t.Errorf("response %+v to the request in flight after %d attempts, want 502 after 1", got, payAttempts.Load())
	}
	p.expectMetrics("passed.pay", "1", "bad_gateway.pay", "1", "in_progress", "0", "passed.read", "0",
		"passed.tip", "0", "upstream_tries", "2", "loads", "2")
	p.reload(old)
	if got := p.Do(p.newIdempotentRequest("read")); got.Status != 200 {
		t.Errorf("response %+v to a request of the restored class", got)
	}
}

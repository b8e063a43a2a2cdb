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

// TestInvalidFilesAreRejected reloads files with one fault each. Each would also move discovery and drop a class:
// nothing of it may be used.
func TestInvalidFilesAreRejected(t *testing.T) {
	b := startBackend(t, "ok")
	d, decoy := testserver.StartDiscovery(t), testserver.StartDiscovery(t)
	good := testserver.ConfigText(d.Address, testserver.ServingList(1, b), testserver.Settings)
	p := start(t, good)
	testserver.Receive(t, d.Watches, "watch")
	valid := strings.Replace(strings.Replace(good, d.Address, decoy.Address, 1), `"name":"pay"`, `"name":"tip"`, 1)
	for i, tt := range []struct{ name, old, new string }{
		{"empty", valid, ""},
		{"white space", valid, "\n"},
		{"cut short", valid, valid[:len(valid)/2]},
		{"a byte short", valid, valid[:len(valid)-1]},
		{"text behind it", valid, valid + "}"},
		{"no settings", `"settings":`, `"other":`},
		{"no discovery", `"discovery":"127`, `"other":"127`},
		{"no seed", `"seed":`, `"other":`},
		{"no limits", `"limits":{"cores"`, `"other":{"cores"`},
		{"a limit missing", `"cores":1.0,`, ``},
		{"no number of attempts", `"try_limit":3,`, ``},
		{"attempts null", `"try_limit":3`, `"try_limit":null`},
		{"no attempts", `"try_limit":3`, `"try_limit":0`},
		{"attempts below 0", `"try_limit":3`, `"try_limit":-1`},
		{"attempts a string", `"try_limit":3`, `"try_limit":"3"`},
		{"attempts true", `"try_limit":3`, `"try_limit":true`},
		{"attempts a part", `"try_limit":3`, `"try_limit":2.5`},
		{"attempts overflow", `"try_limit":3`, `"try_limit":1e999`},
		{"attempts NaN", `"try_limit":3`, `"try_limit":NaN`},
		{"attempts a list", `"try_limit":3`, `"try_limit":[3]`},
		{"no classes", `"request_classes":[`, `"request_classes":[],"other":[`},
		{"classes no list", `"request_classes":[`, `"request_classes":{},"other":[`},
		{"a class without an effect", `"effect":"idempotent",`, ``},
		{"an unknown effect", `"effect":"idempotent"`, `"effect":"harmless"`},
		{"a class without a window", `"window_s":60.0`, `"other":60.0`},
		{"a class twice", `"name":"book"`, `"name":"read"`},
		{"no deadline", `"deadline_s":60.0,"credit":10.0`, `"credit":10.0`},
		{"a deadline of 0", `"deadline_s":60.0,"credit":10.0`, `"deadline_s":0,"credit":10.0`},
		{"a deadline below 0", `"deadline_s":60.0,"credit":10.0`, `"deadline_s":-60.0,"credit":10.0`},
		{"a deadline as a string", `"deadline_s":60.0,"credit":10.0`, `"deadline_s":"60.0","credit":10.0`},
		{"a deadline null", `"deadline_s":60.0,"credit":10.0`, `"deadline_s":null,"credit":10.0`},
		{"a deadline NaN", `"deadline_s":60.0,"credit":10.0`, `"deadline_s":"NaN","credit":10.0`},
		{"a deadline that overflows", `"deadline_s":60.0,"credit":10.0`, `"deadline_s":1e400,"credit":10.0`},
	} {
		bad := strings.Replace(valid, tt.old, tt.new, 1)
		if bad == valid {
			t.Fatalf("%s: nothing is changed", tt.name)
		}
		p.reload(bad)
		if errors := p.operator.metrics.ReloadErrors.Load(); errors != int64(i+1) {
			t.Fatalf("%s: %d files rejected, want %d", tt.name, errors, i+1)
		}
	}
	if got := p.Send("pay"); got.Status != 200 || len(decoy.Watches) != 0 {
		t.Errorf("response %+v, %d watches at the address of a bad file", got, len(decoy.Watches))
	}
	p.expectMetrics("loads", "0", "load_errors", "33")
	p.reload(valid)
	testserver.Receive(t, decoy.Watches, "watch at the address of the good file")
	p.expectMetrics("loads", "1", "load_errors", "33")
}

// TestOpenRequestKeepsSettingsOfItsClass has a class dropped, added, changed, and added again, with one of its requests
// open over all that. An open request that is repeated by the new settings would take effect twice.
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

	dropped := strings.Replace(old, `"name":"pay"`, `"name":"tip"`, 1)
	p.reload(dropped)
	if got := p.Send("pay"); got.Status != http.StatusBadRequest {
		t.Errorf("a dropped class got %+v", got)
	}
	// Added again, it may be repeated now.
	changed := strings.Replace(dropped, `"name":"read"`, `"name":"pay"`, 1)
	p.reload(changed)
	if got := p.Do(p.newIdempotentRequest("pay")); got.Status != 200 {
		t.Errorf("the class with its new effect got %+v", got)
	}
	close(release)
	if got := testserver.Receive(t, inFlight, "response"); got.Status != http.StatusBadGateway || payAttempts.Load() != 1 {
		t.Errorf("the open request got %+v after %d attempts, want a failure after 1", got, payAttempts.Load())
	}
	p.expectMetrics("passed.pay", "1", "bad_gateway.pay", "1", "in_progress", "0", "passed.read", "0",
		"passed.tip", "0", "upstream_tries", "2", "loads", "2")
	p.reload(old)
	if got := p.Do(p.newIdempotentRequest("read")); got.Status != 200 {
		t.Errorf("the class added again got %+v", got)
	}
}

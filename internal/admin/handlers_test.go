package admin

import (
	"errors"
	"strings"
	"testing"
)

// TestResponseToEachCall checks the status and text of the response to valid and invalid calls. Only a valid call that
// the sidecar accepts may change a server.
func TestResponseToEachCall(t *testing.T) {
	longTarget := `{"target":"` + strings.Repeat("x", 300) + `"}`
	longBody := strings.Repeat(" ", maxBodyBytes+1)
	for _, tt := range []struct {
		name, method, path, body string
		fake                     fakeSidecar
		status                   int
		text                     string // part of the response
	}{
		{"ready", "GET", "/ops/readiness", "", fakeSidecar{}, 200, "ready"},
		{"not ready", "GET", "/ops/readiness", "", fakeSidecar{notReady: "shutting down"}, 503,
			"not ready: shutting down"},
		{"metrics", "GET", "/ops/stats", "", fakeSidecar{}, 200, "sidecar.loads=0"},
		{"metrics fail", "GET", "/ops/stats", "", fakeSidecar{err: errors.New("busy")}, 503, "figures: busy"},
		{"down", "POST", "/ops/servers/down", `{"target":"s-1"}`, fakeSidecar{}, 200, "s-1 is down"},
		{"up", "POST", "/ops/servers/up", ` {"target":"s-1","why":[1]} `, fakeSidecar{}, 200, "s-1 is up"},
		{"unknown server", "POST", "/ops/servers/down", `{"target":"s-9"}`, fakeSidecar{}, 404, `no server "s-9"`},
		{"busy", "POST", "/ops/servers/down", `{"target":"s-1"}`, fakeSidecar{err: errors.New("busy")}, 503, "busy"},
		{"no policy", "GET", "/ops/policy/status", "", fakeSidecar{}, 404, "no policy"},
		{"unknown path", "GET", "/ops", "", fakeSidecar{}, 404, "no such path"},
		{"path of a client request", "GET", "/api", "", fakeSidecar{}, 404, "no such path"},
		{"wrong method", "POST", "/ops/stats", "{}", fakeSidecar{}, 405, "use GET"},
		{"wrong method of a change", "GET", "/ops/servers/up", "", fakeSidecar{}, 405, "use POST"},
		{"no body", "POST", "/ops/servers/up", "", fakeSidecar{}, 400, "no body"},
		{"truncated body", "POST", "/ops/servers/up", `{"target":"s-1"`, fakeSidecar{}, 400, "no JSON object"},
		{"two JSON values", "POST", "/ops/servers/up", `{"target":"s-1"}{}`, fakeSidecar{}, 400, "no JSON object"},
		{"JSON array", "POST", "/ops/servers/up", `["s-1"]`, fakeSidecar{}, 400, "no JSON object"},
		{"JSON null", "POST", "/ops/servers/up", `null`, fakeSidecar{}, 400, "target is missing"},
		{"key in another case", "POST", "/ops/servers/up", `{"Target":"s-1"}`, fakeSidecar{}, 400, "target is missing"},
		{"numeric target", "POST", "/ops/servers/up", `{"target":1}`, fakeSidecar{}, 400, "target is no string"},
		{"null target", "POST", "/ops/servers/up", `{"target":null}`, fakeSidecar{}, 400, "target is no string"},
		{"empty target", "POST", "/ops/servers/up", `{"target":""}`, fakeSidecar{}, 400, "target is empty"},
		{"target too long", "POST", "/ops/servers/up", longTarget, fakeSidecar{}, 400, "more than"},
		{"body too long", "POST", "/ops/servers/up", longBody, fakeSidecar{}, 413, "more than"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := tt.fake
			f.adminDown = map[string]bool{"s-1": false}
			status, allow, body := send(t, startServer(t, &f), requestText(tt.method, tt.path, tt.body))
			if status != tt.status || !strings.Contains(body, tt.text) || strings.Count(body, "\n") != 1 {
				t.Errorf("response %d %q, want %d with one line that contains %q", status, body, tt.status, tt.text)
			}
			if (status == 405) != (allow != "") {
				t.Errorf("status %d with header Allow %q", status, allow)
			}
			wantDown := status == 200 && strings.HasSuffix(tt.path, "/down")
			if f.adminDown["s-1"] != wantDown && tt.name != "busy" {
				t.Errorf("s-1 is administratively down: %v, want %v", f.adminDown["s-1"], wantDown)
			}
		})
	}
}

// TestFleetStatusAndNote checks that with a fleet operators can read its state and that the note of a call is appended
// to the response. Without a fleet there is neither.
func TestFleetStatusAndNote(t *testing.T) {
	f := &fakeSidecar{adminDown: map[string]bool{"s": false}}
	address := startServer(t, f)
	down := requestText("POST", "/ops/servers/down", `{"target":"s"}`)
	fleetStatus := "GET /ops/fleet HTTP/1.1\r\nHost: x\r\n\r\n"
	if status, _, body := send(t, address, down); status != 200 || body != "s is down\n" {
		t.Errorf("status %d, %q without a fleet", status, body)
	}
	if status, _, body := send(t, address, fleetStatus); status != 404 {
		t.Errorf("status %d, %q without a fleet", status, body)
	}
	f.note = "2 others hold it"
	if status, _, body := send(t, address, down); status != 200 || body != "s is down; 2 others hold it\n" {
		t.Errorf("status %d, %q with a fleet, want the note in the response", status, body)
	}
	if status, _, body := send(t, address, fleetStatus); status != 200 || body != `{"members_here":3}` {
		t.Errorf("status %d, %q with a fleet, want the state of the fleet", status, body)
	}
}

// TestForwardedCallIsMarked checks that a call with ForwardedHeader is passed to the Sidecar as forwarded.
func TestForwardedCallIsMarked(t *testing.T) {
	f := &fakeSidecar{adminDown: map[string]bool{"s-1": false}}
	send(t, startServer(t, f), "POST /ops/servers/down HTTP/1.1\r\nHost: x\r\n"+ForwardedHeader+": 1\r\n"+
		"Content-Length: 16\r\n\r\n{\"target\":\"s-1\"}")
	if !f.forwarded || !f.adminDown["s-1"] {
		t.Errorf("forwarded %v, administratively down %v", f.forwarded, f.adminDown)
	}
}

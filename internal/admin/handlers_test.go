package admin

import (
	"errors"
	"strings"
	"testing"
)

// TestResponseToEachCall: each valid and each mistaken call gets its status and text, and only a valid one that the
// sidecar accepts changes a server.
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
		{"not ready", "GET", "/ops/readiness", "", fakeSidecar{notReady: "told to stop"}, 503,
			"not ready: told to stop"},
		{"figures", "GET", "/ops/stats", "", fakeSidecar{}, 200, "sidecar.loads=0"},
		{"figures late", "GET", "/ops/stats", "", fakeSidecar{err: errors.New("busy")}, 503, "figures: busy"},
		{"down", "POST", "/ops/servers/down", `{"target":"s-1"}`, fakeSidecar{}, 200, "s-1 is down"},
		{"up", "POST", "/ops/servers/up", ` {"target":"s-1","why":[1]} `, fakeSidecar{}, 200, "s-1 is up"},
		{"unknown server", "POST", "/ops/servers/down", `{"target":"s-9"}`, fakeSidecar{}, 404, `no server "s-9"`},
		{"busy", "POST", "/ops/servers/down", `{"target":"s-1"}`, fakeSidecar{err: errors.New("busy")}, 503, "busy"},
		{"no policy", "GET", "/ops/policy/status", "", fakeSidecar{}, 404, "no policy"},
		{"unknown path", "GET", "/ops", "", fakeSidecar{}, 404, "no such path"},
		{"requests do not come here", "GET", "/api", "", fakeSidecar{}, 404, "no such path"},
		{"wrong method", "POST", "/ops/stats", "{}", fakeSidecar{}, 405, "use GET"},
		{"wrong method of a change", "GET", "/ops/servers/up", "", fakeSidecar{}, 405, "use POST"},
		{"no body", "POST", "/ops/servers/up", "", fakeSidecar{}, 400, "no body"},
		{"cut short", "POST", "/ops/servers/up", `{"target":"s-1"`, fakeSidecar{}, 400, "no JSON object"},
		{"two values", "POST", "/ops/servers/up", `{"target":"s-1"}{}`, fakeSidecar{}, 400, "no JSON object"},
		{"a list", "POST", "/ops/servers/up", `["s-1"]`, fakeSidecar{}, 400, "no JSON object"},
		{"null", "POST", "/ops/servers/up", `null`, fakeSidecar{}, 400, "target is missing"},
		{"another key", "POST", "/ops/servers/up", `{"Target":"s-1"}`, fakeSidecar{}, 400, "target is missing"},
		{"a number", "POST", "/ops/servers/up", `{"target":1}`, fakeSidecar{}, 400, "target is no string"},
		{"a null target", "POST", "/ops/servers/up", `{"target":null}`, fakeSidecar{}, 400, "target is no string"},
		{"an empty target", "POST", "/ops/servers/up", `{"target":""}`, fakeSidecar{}, 400, "target is empty"},
		{"a long target", "POST", "/ops/servers/up", longTarget, fakeSidecar{}, 400, "more than"},
		{"a long body", "POST", "/ops/servers/up", longBody, fakeSidecar{}, 413, "more than"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := tt.fake
			f.adminDown = map[string]bool{"s-1": false}
			status, allow, body := send(t, startServer(t, &f), requestText(tt.method, tt.path, tt.body))
			if status != tt.status || !strings.Contains(body, tt.text) || strings.Count(body, "\n") != 1 {
				t.Errorf("%d %q, want %d with %q on one line", status, body, tt.status, tt.text)
			}
			if (status == 405) != (allow != "") {
				t.Errorf("status %d with Allow %q", status, allow)
			}
			wantDown := status == 200 && strings.HasSuffix(tt.path, "/down")
			if f.adminDown["s-1"] != wantDown && tt.name != "busy" {
				t.Errorf("s-1 is administratively down: %v", f.adminDown["s-1"])
			}
		})
	}
}

// TestFleetStatusAndNote: with a fleet, operators see its state, and what became of a call there is appended to the
// response. Without one there is neither.
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
		t.Errorf("status %d, %q", status, body)
	}
	if status, _, body := send(t, address, fleetStatus); status != 200 || body != `{"members_here":3}` {
		t.Errorf("status %d, %q", status, body)
	}
}

// TestForwardedCallIsMarked: a call with the header is passed to the sidecar as one that another process has forwarded.
func TestForwardedCallIsMarked(t *testing.T) {
	f := &fakeSidecar{adminDown: map[string]bool{"s-1": false}}
	send(t, startServer(t, f), "POST /ops/servers/down HTTP/1.1\r\nHost: x\r\n"+ForwardedHeader+": 1\r\n"+
		"Content-Length: 16\r\n\r\n{\"target\":\"s-1\"}")
	if !f.forwarded || !f.adminDown["s-1"] {
		t.Errorf("forwarded %v, administratively down %v", f.forwarded, f.adminDown)
	}
}

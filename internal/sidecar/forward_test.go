package sidecar

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/hotrestart"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// joinOtherProcess registers another process of the sidecar in dir. adminAddress is the address of its admin server;
// "": it has none.
func joinOtherProcess(t *testing.T, dir, adminAddress string) *hotrestart.Member {
	t.Helper()
	state := hotrestart.State{
		Name:          "n0",
		ListenAddress: "127.0.0.1:0",
		AdminAddress:  adminAddress,
		Started:       time.Now(),
		Phase:         hotrestart.Ready,
	}
	other, err := hotrestart.Join(dir, state, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = other.Leave() })
	return other
}

// startInDir starts a sidecar that shares dir with the other processes and has two servers.
func startInDir(t *testing.T, dir string) *program {
	t.Helper()
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	discovery := testserver.StartDiscovery(t).Address
	text := testserver.ConfigText(discovery, testserver.ServingList(1, b, b), testserver.Settings)
	return startWith(t, text, startOptions{env: []string{"TMPDIR=" + dir}})
}

// startFakeAdminServer starts an admin server that handles each call with respond.
func startFakeAdminServer(t *testing.T, respond http.HandlerFunc) (address string) {
	t.Helper()
	web := httptest.NewServer(respond)
	t.Cleanup(web.Close)
	return web.Listener.Addr().String()
}

// fakeAdminServerWithStatus returns a function that starts an admin server, which responds to each call with status.
func fakeAdminServerWithStatus(status int) func(t *testing.T) (address string) {
	return func(t *testing.T) string {
		return startFakeAdminServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
	}
}

// TestForwardAdminDownToAnotherProcess: the status of the other process's response determines whether the server counts
// as known there, and a failure to notify a running process is an error.
func TestForwardAdminDownToAnotherProcess(t *testing.T) {
	unreachable := func(t *testing.T) string {
		l := testserver.Listen(t)
		l.Close()
		return l.Addr().String()
	}
	for _, tt := range []struct {
		name        string
		adminServer func(t *testing.T) (address string)
		known       bool
		fault       string // part of the expected error; "": no error
	}{
		{"server known", fakeAdminServerWithStatus(http.StatusOK), true, ""},
		{"server unknown", fakeAdminServerWithStatus(http.StatusNotFound), false, ""},
		{"call fails", fakeAdminServerWithStatus(http.StatusServiceUnavailable), false, "was not told: pass on: status 503"},
		{"unreachable", unreachable, false, "was not told: pass on: dial"},
		{"no admin server", func(*testing.T) string { return "" }, false, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			dir, address := t.TempDir(), tt.adminServer(t)
			p := startInDir(t, dir)
			joinOtherProcess(t, dir, address)
			known, err := p.operator.group.forwardAdminDown(context.Background(), "s-0", true)
			if known != tt.known {
				t.Errorf("known %v, want %v", known, tt.known)
			}
			if (err == nil) != (tt.fault == "") || err != nil && !strings.Contains(err.Error(), address+" "+tt.fault) {
				t.Errorf("error %v, want one with %q", err, tt.fault)
			}
		})
	}
}

// TestForwardAdminDownSendsServerAndState: the forwarded call has the server's ID and the path for down or up.
func TestForwardAdminDownSendsServerAndState(t *testing.T) {
	calls := make(chan string, 2)
	dir := t.TempDir()
	p := startInDir(t, dir)
	joinOtherProcess(t, dir, startFakeAdminServer(t, func(_ http.ResponseWriter, r *http.Request) {
		var body struct{ Target string }
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			t.Error(err)
		}
		calls <- r.URL.Path + " " + body.Target
	}))
	for down, want := range map[bool]string{true: "/ops/servers/down s-7", false: "/ops/servers/up s-7"} {
		if _, err := p.operator.group.forwardAdminDown(context.Background(), "s-7", down); err != nil {
			t.Error(err)
		}
		if got := testserver.Receive(t, calls, "call"); got != want {
			t.Errorf("call %q, want %q", got, want)
		}
	}
}

// TestForwardAdminDownIgnoresProcessThatEnds: a process that ends during the call causes no error, as it serves no
// requests any more, even if a further process is running.
func TestForwardAdminDownIgnoresProcessThatEnds(t *testing.T) {
	ending := make(chan *hotrestart.Member, 1)
	dir := t.TempDir()
	p := startInDir(t, dir)
	joinOtherProcess(t, dir, "") // this process keeps running
	ending <- joinOtherProcess(t, dir, startFakeAdminServer(t, func(http.ResponseWriter, *http.Request) {
		_ = (<-ending).Leave()
		panic(http.ErrAbortHandler)
	}))
	if known, err := p.operator.group.forwardAdminDown(context.Background(), "s-0", true); known || err != nil {
		t.Errorf("known %v, error %v", known, err)
	}
}

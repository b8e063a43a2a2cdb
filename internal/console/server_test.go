package console

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// fakeSidecar is a sidecar that knows the servers of out.
type fakeSidecar struct {
	notReady  string
	err       error
	adminDown map[string]bool
	forwarded bool
	note      string             // what the fleet has to say; "": there is none
	entered   chan chan struct{} // TakeOut sends one, and goes on when it is closed; nil: at once
}

func (f *fakeSidecar) Ready() (bool, string) { return f.notReady == "", f.notReady }

func (f *fakeSidecar) Figures(context.Context) ([]byte, error) {
	return []byte("sidecar.loads=0\n"), f.err
}

func (f *fakeSidecar) Policy() http.Handler { return nil }

func (f *fakeSidecar) TakeOut(_ context.Context, id string, out, passed bool) (string, error) {
	if _, ok := f.adminDown[id]; !ok {
		return "", ErrUnknown
	}
	if f.adminDown[id], f.forwarded = out, passed; f.entered != nil {
		goOn := make(chan struct{})
		f.entered <- goOn
		<-goOn
	}
	return f.note, f.err
}

func (f *fakeSidecar) Fleet(context.Context) ([]byte, error) {
	if f.note == "" {
		return nil, ErrNoFleet
	}
	return []byte(`{"members_here":3}`), f.err
}

// startServer starts a console and returns its address.
func startServer(t *testing.T, f *fakeSidecar) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startServerOn(t, l, f)
}

// startServerOn starts a console at a listener.
func startServerOn(t *testing.T, l net.Listener, f *fakeSidecar) string {
	t.Helper()
	s, done := New(l, f, slog.New(slog.DiscardHandler)), make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// send sends text and returns the answer.
func send(t *testing.T, address, text string) (status int, allow, body string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	all, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	if !r.Close {
		t.Error("the connection lives on")
	}
	return r.StatusCode, r.Header.Get("Allow"), string(all)
}

func requestText(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
}

// TestResponseToEachCall holds the answers to good and bad calls. Danger: a mistaken call that passes for done.
func TestResponseToEachCall(t *testing.T) {
	for _, tt := range []struct {
		name, method, path, body string
		fake                     fakeSidecar
		status                   int
		says                     string
	}{
		{"ready", "GET", "/ops/readiness", "", fakeSidecar{}, 200, "ready"},
		{"not ready", "GET", "/ops/readiness", "", fakeSidecar{notReady: "told to stop"}, 503, "not ready: told to stop"},
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
		{"a long target", "POST", "/ops/servers/up", `{"target":"` + strings.Repeat("x", 300) + `"}`, fakeSidecar{}, 400, "more than"},
		{"a long body", "POST", "/ops/servers/up", strings.Repeat(" ", maxBodyBytes+1), fakeSidecar{}, 413, "more than"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := tt.fake
			f.adminDown = map[string]bool{"s-1": false}
			status, allow, body := send(t, startServer(t, &f), requestText(tt.method, tt.path, tt.body))
			if status != tt.status || !strings.Contains(body, tt.says) || strings.Count(body, "\n") != 1 {
				t.Errorf("%d %q, want %d with %q on one line", status, body, tt.status, tt.says)
			}
			if (status == 405) != (allow != "") {
				t.Errorf("status %d with Allow %q", status, allow)
			}
			if want := status == 200 && strings.HasSuffix(tt.path, "/down"); f.adminDown["s-1"] != want && tt.name != "busy" {
				t.Errorf("s-1 is out: %v", f.adminDown["s-1"])
			}
		})
	}
}

// TestIncompleteCallsGiveWay has more callers than there is room for hold connections with no whole call, one of them with a
// head and a part of its body. A whole call is answered beside them, and the oldest of them is closed. Danger: they keep
// the staff out.
func TestIncompleteCallsGiveWay(t *testing.T) {
	address := startServer(t, &fakeSidecar{adminDown: map[string]bool{"s-1": false}})
	var held []net.Conn
	for i := range 3 * Connections {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		text := []string{"", "GET /ops/st", "POST /ops/servers/down HTTP/1.1\r\nHost: x\r\nContent-Length: 16\r\n\r\n{"}[i%3]
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		held = append(held, c)
	}
	if status, _, _ := send(t, address, requestText("GET", "/ops/readiness", "")); status != 200 {
		t.Errorf("status %d", status)
	}
	_ = held[0].SetReadDeadline(time.Now().Add(30 * time.Second))
	if n, err := held[0].Read(make([]byte, 1)); n != 0 || err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the longest held connection got %d bytes, error %v", n, err)
	}
}

// failingListener is a listener whose Accept fails with each of the errors first.
type failingListener struct {
	net.Listener
	errnos []syscall.Errno
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errnos) > 0 {
		errno := l.errnos[0]
		l.errnos = l.errnos[1:]
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
	}
	return l.Listener.Accept()
}

// TestServeSurvivesAcceptErrors has accepting fail with errors at which net/http ends: the console goes on.
func TestServeSurvivesAcceptErrors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := startServerOn(t, &failingListener{l, []syscall.Errno{syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENETDOWN,
		syscall.EPROTO, syscall.EPERM, syscall.ECONNABORTED}}, &fakeSidecar{})
	if status, _, _ := send(t, address, requestText("GET", "/ops/readiness", "")); status != 200 {
		t.Errorf("status %d", status)
	}
}

// TestForwardedCallIsMarked tells calls of the staff from those that the other process of an upgrade passes on.
func TestForwardedCallIsMarked(t *testing.T) {
	f := &fakeSidecar{adminDown: map[string]bool{"s-1": false}}
	send(t, startServer(t, f), "POST /ops/servers/down HTTP/1.1\r\nHost: x\r\n"+PassedOn+": 1\r\nContent-Length: 16\r\n\r\n{\"target\":\"s-1\"}")
	if !f.forwarded || !f.adminDown["s-1"] {
		t.Errorf("passed on %v, out %v", f.forwarded, f.adminDown)
	}
}

// FuzzParseServerID has no body be taken for another target than a plain reading of it gives.
func FuzzParseServerID(f *testing.F) {
	for _, s := range []string{`{"target":"a"}`, `{"target":1}`, `{}`, `[]`, ``, `{"target":"a","target":"b"}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		id, err := parseServerID(body)
		if (err == nil) != (id != "") || len(id) > maxServerIDBytes {
			t.Errorf("%q is read as %q, error %v", body, id, err)
		}
	})
}

// TestFleet: with a fleet the staff sees what is held of it and what became of a call there; without one both are as before.
func TestFleetStatusAndNote(t *testing.T) {
	f := &fakeSidecar{adminDown: map[string]bool{"s": false}}
	at := startServer(t, f)
	down := "POST /ops/servers/down HTTP/1.1\r\nHost: x\r\nContent-Length: 14\r\n\r\n{\"target\":\"s\"}"
	show := "GET /ops/fleet HTTP/1.1\r\nHost: x\r\n\r\n"
	if status, _, body := send(t, at, down); status != 200 || body != "s is down\n" {
		t.Errorf("status %d, %q without a fleet", status, body)
	}
	if status, _, body := send(t, at, show); status != 404 {
		t.Errorf("status %d, %q without a fleet", status, body)
	}
	f.note = "2 others hold it"
	if status, _, body := send(t, at, down); status != 200 || body != "s is down; 2 others hold it\n" {
		t.Errorf("status %d, %q", status, body)
	}
	if status, _, body := send(t, at, show); status != 200 || body != `{"members_here":3}` {
		t.Errorf("status %d, %q", status, body)
	}
}

// TestCloseAnswers: what was called whole when the console closes has its answer, and a caller that has sent nothing holds
// nothing up.
func TestCloseAnswersCompleteCalls(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeSidecar{adminDown: map[string]bool{"s-1": false}, entered: make(chan chan struct{})}
	s, served, closed := New(l, f, slog.New(slog.DiscardHandler)), make(chan error, 1), make(chan error, 1)
	go func() { served <- s.Serve() }()
	mute, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	answered := make(chan int, 1)
	go func() {
		status, _, _ := send(t, l.Addr().String(), requestText("POST", "/ops/servers/down", `{"target":"s-1"}`))
		answered <- status
	}()
	goOn := <-f.entered
	go func() { closed <- s.Close() }()
	if err := <-served; err != nil { // it takes no more calls
		t.Error(err)
	}
	close(goOn)
	if status := <-answered; status != 200 {
		t.Errorf("status %d", status)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
}

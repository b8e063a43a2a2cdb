package admin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

// fakeSidecar is a Sidecar whose servers are the keys of adminDown.
type fakeSidecar struct {
	notReady  string // reason why it is not ready; "": ready
	err       error
	adminDown map[string]bool
	forwarded bool
	note      string             // returned by SetAdminDown; "": there is no fleet
	entered   chan chan struct{} // SetAdminDown sends a channel and waits until it is closed; nil: it does not wait
}

func (f *fakeSidecar) Ready() (bool, string) { return f.notReady == "", f.notReady }

func (f *fakeSidecar) Metrics(context.Context) ([]byte, error) {
	return []byte("sidecar.loads=0\n"), f.err
}

func (f *fakeSidecar) PolicyHandler() http.Handler { return nil }

func (f *fakeSidecar) SetAdminDown(_ context.Context, id string, down, forwarded bool) (string, error) {
	if _, ok := f.adminDown[id]; !ok {
		return "", ErrUnknownServer
	}
	if f.adminDown[id], f.forwarded = down, forwarded; f.entered != nil {
		proceed := make(chan struct{})
		f.entered <- proceed
		<-proceed
	}
	return f.note, f.err
}

func (f *fakeSidecar) FleetStatus(context.Context) ([]byte, error) {
	if f.note == "" {
		return nil, ErrNoFleet
	}
	return []byte(`{"members_here":3}`), f.err
}

// startServer starts a server, which is closed at the end of the test, and returns its address.
func startServer(t *testing.T, f *fakeSidecar) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startServerOn(t, l, f)
}

// startServerOn starts a server that accepts connections from l and is closed at the end of the test.
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

// send sends text on a new connection and returns the response. The response must announce that the connection is
// closed.
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
		t.Error("the response does not close the connection")
	}
	return r.StatusCode, r.Header.Get("Allow"), string(all)
}

// requestText returns an HTTP/1.1 request as text.
func requestText(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
}

// failingListener is a listener whose Accept first fails once with each of errnos.
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

// TestServeSurvivesAcceptErrors checks that Serve continues after accept errors at which net/http would stop.
func TestServeSurvivesAcceptErrors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := startServerOn(t, &failingListener{l, []syscall.Errno{
		syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENETDOWN,
		syscall.EPROTO, syscall.EPERM, syscall.ECONNABORTED,
	}}, &fakeSidecar{})
	if status, _, _ := send(t, address, requestText("GET", "/ops/readiness", "")); status != 200 {
		t.Errorf("status %d, want 200", status)
	}
}

// TestCloseAnswersCompleteCalls checks that a call that is complete when Close is called gets its response, and that a
// client that has sent nothing does not delay Close.
func TestCloseAnswersCompleteCalls(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeSidecar{adminDown: map[string]bool{"s-1": false}, entered: make(chan chan struct{})}
	s, served, closed := New(l, f, slog.New(slog.DiscardHandler)), make(chan error, 1), make(chan error, 1)
	go func() { served <- s.Serve() }()
	idle, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	responseStatus := make(chan int, 1)
	go func() {
		status, _, _ := send(t, l.Addr().String(), requestText("POST", "/ops/servers/down", `{"target":"s-1"}`))
		responseStatus <- status
	}()
	proceed := <-f.entered
	go func() { closed <- s.Close() }()
	if err := <-served; err != nil { // Serve has returned and the call has no response yet
		t.Error(err)
	}
	close(proceed)
	if status := <-responseStatus; status != 200 {
		t.Errorf("status %d, want 200", status)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
}

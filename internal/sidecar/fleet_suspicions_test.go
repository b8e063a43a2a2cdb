//go:build go1.25

package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/proxy"
)

// pipeConn is one end of a pipe that implements syscall.Conn like a network connection.
type pipeConn struct{ net.Conn }

// SyscallConn implements syscall.Conn.
func (pipeConn) SyscallConn() (syscall.RawConn, error) { return unsupportedFD{}, nil }

// unsupportedFD is a descriptor whose operations fail, so that no connection is considered reusable.
type unsupportedFD struct{}

// Control implements syscall.RawConn.
func (unsupportedFD) Control(func(uintptr)) error { return errors.ErrUnsupported }

// Read implements syscall.RawConn.
func (unsupportedFD) Read(func(uintptr) bool) error { return errors.ErrUnsupported }

// Write implements syscall.RawConn.
func (unsupportedFD) Write(func(uintptr) bool) error { return errors.ErrUnsupported }

// deadlineRecorder records a response and ignores the deadlines of its connection.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

// SetReadDeadline is called by http.ResponseController.
func (deadlineRecorder) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline is called by http.ResponseController.
func (deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

// simulatedProxy is an event loop with its handler on a simulated clock. Its servers are s-0 and s-1.
type simulatedProxy struct {
	t        *testing.T
	loop     *proxy.EventLoop
	handler  *proxy.Handler
	arrivals chan string // receives the server address of each attempt
	sent     int         // number of requests sent
}

// Addresses of s-0 and s-1.
const (
	firstServer  = "127.0.0.1:1"
	secondServer = "127.0.0.1:2"
)

// withSimulatedProxy runs a test with a simulatedProxy in a synctest bubble.
func withSimulatedProxy(t *testing.T, test func(p *simulatedProxy)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		first := &testserver.Backend{Address: firstServer}
		second := &testserver.Backend{Address: secondServer}
		known := testserver.ServingList(1, first, second)
		c, err := loadConfig(t, testserver.ConfigText("127.0.0.1:9", known, testserver.Settings))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		dialDiscovery := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
		loop, err := proxy.NewEventLoop(ctx, c, 1000, slog.New(slog.DiscardHandler), dialDiscovery)
		if err != nil {
			t.Fatal(err)
		}
		p := &simulatedProxy{
			t:        t,
			loop:     loop,
			handler:  proxy.NewHandler(c, loop, 1000),
			arrivals: make(chan string, 1),
		}
		loop.Upstream().SetDial(p.dialServer)
		var running sync.WaitGroup
		running.Go(func() { loop.Run(ctx) })
		defer running.Wait()
		defer cancel()
		test(p)
	})
}

// dialServer opens a connection to a server that responds to each request immediately.
func (p *simulatedProxy) dialServer(_ context.Context, _, address string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	go func() {
		defer serverEnd.Close()
		reader := bufio.NewReader(serverEnd)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			p.arrivals <- address
			fmt.Fprint(serverEnd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}()
	return pipeConn{clientEnd}, nil
}

// send sends a request and returns the address of the server that received its only attempt.
func (p *simulatedProxy) send() (server string) {
	p.t.Helper()
	p.sent++
	r := httptest.NewRequest(http.MethodPost, "/api", nil)
	r.Header.Set("X-Request-ID", fmt.Sprint("id-", p.sent))
	r.Header.Set("X-Priority-Class", "pay")
	r.Header.Set("X-Timeout-Ms", "10000")
	w := deadlineRecorder{httptest.NewRecorder()}
	p.handler.ServeHTTP(w, r)
	if w.Code != http.StatusOK {
		p.t.Fatalf("status %d, %q", w.Code, w.Body)
	}
	return <-p.arrivals
}

// countAtFirstServer sends requests for half a second and returns how many of them s-0 receives.
func (p *simulatedProxy) countAtFirstServer() (n int) {
	p.t.Helper()
	for range 50 {
		if p.send() == firstServer {
			n++
		}
		time.Sleep(10 * time.Millisecond) // on the simulated clock
	}
	return n
}

// TestApplySuspicions: a server that the fleet suspects gets no requests while another server is available, until the
// suspicion is withdrawn. A suspicion that is already old when it is received has no effect.
func TestApplySuspicions(t *testing.T) {
	withSimulatedProxy(t, func(p *simulatedProxy) {
		o := &operator{loop: p.loop}
		if p.countAtFirstServer() == 0 {
			p.t.Fatal("the server gets no requests before any suspicion")
		}
		o.applySuspicions([]Suspicion{{ID: "s-0"}})
		if n := p.countAtFirstServer(); n != 0 {
			p.t.Errorf("%d requests to the suspected server", n)
		}
		o.applySuspicions(nil)
		if p.countAtFirstServer() == 0 {
			p.t.Error("no requests to the server after the suspicion was withdrawn")
		}
		o.applySuspicions([]Suspicion{{ID: "s-0", Age: time.Minute}})
		if p.countAtFirstServer() == 0 {
			p.t.Error("no requests to the server with a suspicion that is one minute old")
		}
	})
}

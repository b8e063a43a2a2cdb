//go:build go1.25

package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/upstream"
)

// pipeConn is a connection of a simulation whose first write is delayed, after whatever its writer has checked.
type pipeConn struct {
	net.Conn
	raw        silentRawConn
	writeDelay time.Duration
}

// Write implements net.Conn.
func (c *pipeConn) Write(p []byte) (int, error) {
	time.Sleep(c.writeDelay)
	c.writeDelay = 0
	return c.Conn.Write(p)
}

// SetWriteDeadline implements net.Conn. What is held up inside the system call passes its deadline unseen.
func (c *pipeConn) SetWriteDeadline(time.Time) error { return nil }

// SyscallConn implements syscall.Conn.
func (c *pipeConn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// silentRawConn is a socket on which nothing ever comes, in the place of the pipe's.
type silentRawConn struct{ fd int }

func (q silentRawConn) Control(f func(uintptr)) error { f(uintptr(q.fd)); return nil }

func (q silentRawConn) Read(f func(uintptr) bool) error { f(uintptr(q.fd)); return nil }

func (silentRawConn) Write(func(uintptr) bool) error { return syscall.ENOTSUP }

// arrival is an attempt's whole request at its server.
type arrival struct {
	at      time.Time
	server  string
	timeout time.Duration // for which the client waits
}

// simulation is an event loop in a synctest bubble, with two servers.
type simulation struct {
	t        *testing.T
	loop     *EventLoop
	ended    context.Context // done: the servers close their connections
	fd       int             // of a socket on which nothing ever comes
	arrivals chan arrival
	// dial has connections to servers come up; nil: at once. respond returns what the nth attempt gets; "": nothing.
	dial    func(ctx context.Context, n int) error
	respond func(n int) string
	// drop has a server drop what comes on a connection that was idle for so long, silently; nil: none does.
	drop       func(server string, idle time.Duration) bool
	writeDelay time.Duration

	mu       sync.Mutex
	dialled  int
	attempts int
}

// runSimulation runs play with an event loop of these settings, whose discovery is down.
func runSimulation(t *testing.T, settings string, play func(sim *simulation)) {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(pair[1])
	defer syscall.Close(pair[0])
	synctest.Test(t, func(t *testing.T) {
		one, two := &testserver.Backend{Address: "127.0.0.1:1"}, &testserver.Backend{Address: "127.0.0.1:2"}
		c := loadConfig(t, testserver.ServingList(1, one, two), settings)
		ctx, cancel := context.WithCancel(context.Background())
		refuse := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
		sim := &simulation{
			t:        t,
			loop:     newEventLoop(ctx, t, c, refuse),
			ended:    ctx,
			fd:       pair[0],
			arrivals: make(chan arrival, 2000),
			respond:  func(int) string { return "" },
		}
		sim.loop.upstream.SetDial(sim.dialServer)
		var running sync.WaitGroup
		running.Go(func() { sim.loop.Run(ctx) })
		play(sim)
		cancel()
		running.Wait()
	})
}

// dialServer returns a connection to a server of the simulation.
func (sim *simulation) dialServer(ctx context.Context, _, address string) (net.Conn, error) {
	sim.mu.Lock()
	n := sim.dialled
	sim.dialled++
	sim.mu.Unlock()
	if sim.dial != nil {
		if err := sim.dial(ctx, n); err != nil {
			return nil, err
		}
	}
	near, far := net.Pipe()
	context.AfterFunc(sim.ended, func() { far.Close() })
	go sim.serve(far, address)
	return &pipeConn{Conn: near, raw: silentRawConn{sim.fd}, writeDelay: sim.writeDelay}, nil
}

// serve reads requests from a connection to a server, and responds to them, until the connection ends.
func (sim *simulation) serve(c net.Conn, address string) {
	in := bufio.NewReader(c)
	for last := time.Now(); ; last = time.Now() {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		timeout, err := time.ParseDuration(r.Header.Get("X-Timeout-Ms") + "ms")
		if err != nil {
			sim.t.Error(err)
		}
		sim.mu.Lock()
		n := sim.attempts
		sim.attempts++
		sim.mu.Unlock()
		sim.arrivals <- arrival{time.Now(), address, timeout}
		if sim.drop != nil && sim.drop(address, time.Since(last)) {
			continue
		}
		if text := sim.respond(n); text != "" {
			fmt.Fprint(c, text)
		}
	}
}

// send serves a request whose client waits so long, and returns a channel that gets its response.
func (sim *simulation) send(class string, wait time.Duration, left func() bool) chan finalResponse {
	method, key := http.MethodPost, ""
	switch class {
	case "read":
		method = http.MethodGet
	case "book":
		key = "k-1"
	}
	request := &inflightRequest{
		Message: upstream.Message{
			Method:         method,
			URL:            &url.URL{Path: "/api"},
			ID:             "id-1",
			IdempotencyKey: key,
		},
		tenant:        -1,
		classSettings: sim.loop.settings.Load().classes[class],
		deadline:      time.Now().Add(wait - responseMargin),
		peerClosed:    left,
	}
	result := make(chan finalResponse, 1)
	go func() {
		response, _ := sim.loop.serve(context.Background(), request)
		result <- response
	}()
	return result
}

// warmUp has requests be served, each on the connection of the one before, which then is closed.
func (sim *simulation) warmUp(requests int) {
	sim.respond = func(int) string {
		time.Sleep(50 * time.Millisecond)
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	}
	for range requests {
		<-sim.send("read", time.Second, nil)
		time.Sleep(20 * time.Millisecond) // a connection rests so long before its next request
	}
	time.Sleep(10 * time.Second)
	for len(sim.arrivals) > 0 {
		<-sim.arrivals
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

const errorResponse = "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"

// respondAlways has each attempt get the same response.
func respondAlways(text string) func(int) string { return func(int) string { return text } }

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
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// failureHooks returns hooks whose system calls fail as planned by f.
func failureHooks(f *testserver.Failures) hooks {
	return hooks{
		listen: func(open listenFunc) (*net.TCPListener, error) {
			if _, err := f.Next("listen"); err != nil {
				return nil, err
			}
			return open()
		},
		accept: func(l *net.TCPListener) (net.Conn, error) {
			if _, err := f.Next("accept"); err != nil {
				return nil, err
			}
			c, err := l.AcceptTCP()
			if err != nil {
				return nil, err
			}
			return f.ClientConn(c), nil
		},
		dial: f.Dial,
	}
}

// failureOptions returns options with failureHooks and a drain that waits for connections without a request.
func failureOptions(f *testserver.Failures) startOptions {
	return startOptions{hooks: failureHooks(f), times: drainTimes{unusedGracePeriod: testserver.Timeout}}
}

// TestAcceptErrorsLoseNoRequest: accept fails with each error, in service and during the drain. Clients whose
// connections wait to be accepted get their responses.
func TestAcceptErrorsLoseNoRequest(t *testing.T) {
	for _, errno := range testserver.AcceptErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			f := &testserver.Failures{}
			once := testserver.Failure{Errno: errno}
			f.Set("accept", once, once)
			p := startWith(t, configFor(t, startBackend(t, "ok")), failureOptions(f))
			if got := p.Send("read"); got.Status != 200 {
				t.Errorf("response %+v in service", got)
			}
			p.HTTP.CloseIdleConnections()
			f.Set("accept", slices.Repeat([]testserver.Failure{once}, 1000)...)
			responses := make(chan error, 2)
			for i := range 2 { // the accept call in progress returns the first one
				c := p.DialConn()
				go func() { responses <- checkSingleResponse(c, fmt.Sprint("waits-", i), "read") }()
			}
			p.stop()
			p.waitUntilDraining()
			f.Set("accept", once, once)
			for range 2 {
				if err := testserver.Receive(t, responses, "response"); err != nil {
					t.Errorf("while draining: %v", err)
				}
			}
			p.expectCleanExit()
		})
	}
}

// TestListenIsRetriedOnResourceShortage: a listen call that fails at the start is retried if the machine is short of
// resources, and ends the start otherwise.
func TestListenIsRetriedOnResourceShortage(t *testing.T) {
	for _, tt := range []struct {
		name   string
		errno  syscall.Errno
		times  int
		starts bool
	}{
		{"no descriptor", unix.EMFILE, 5, true},
		{"no memory", unix.ENOMEM, 5, true},
		{"no buffer", unix.ENOBUFS, 5, true},
		{"address in use", unix.EADDRINUSE, 1, false},
		{"address not of this machine", unix.EADDRNOTAVAIL, 1, false},
		{"permission denied", unix.EACCES, 1, false},
	} {
		for _, at := range []string{"admin server", "clients"} {
			t.Run(at+", "+tt.name, func(t *testing.T) {
				f := &testserver.Failures{}
				text := configFor(t, startBackend(t, "ok"))
				if at == "admin server" {
					text = strings.Replace(text, `"new":1`, `"new":1,"console":"127.0.0.1:0"`, 1)
				}
				f.Set("listen", slices.Repeat([]testserver.Failure{{Errno: tt.errno}}, tt.times)...)
				if tt.starts {
					p := startWith(t, text, startOptions{hooks: failureHooks(f)})
					if got := p.Send("read"); got.Status != 200 {
						t.Errorf("response %+v", got)
					}
					return
				}
				c, err := loadConfig(t, text)
				if err != nil {
					t.Fatal(err)
				}
				h := failureHooks(f)
				h.started = func(*operator) { t.Error("the sidecar serves") }
				err = run(context.Background(), nil, c, slog.New(slog.DiscardHandler), nil, drainTimes{}, h)
				if !errors.Is(err, tt.errno) {
					t.Errorf("error %v", err)
				}
			})
		}
	}
}

// TestShortageOfDescriptorsEjectsNoServer: upstream connections fail many times for lack of descriptors. No server is
// ejected, and all are used again once the shortage is over.
func TestShortageOfDescriptorsEjectsNoServer(t *testing.T) {
	var backends []*testserver.Backend
	for range 4 {
		backends = append(backends, testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
			testserver.Respond(200, "Connection: close\r\n", "ok")(c, r, body)
			return false // each request needs a new connection
		}))
	}
	f := &testserver.Failures{}
	p := startWith(t, configFor(t, backends...), startOptions{hooks: failureHooks(f)})
	sendRequests := func(want int) {
		t.Helper()
		var clients sync.WaitGroup
		for range 8 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for range 10 {
					if got := p.Do(p.NewRequest(context.Background(), "read", "50000")); got.Status != want {
						t.Errorf("response %+v, want %d", got, want)
					}
				}
			}()
		}
		clients.Wait()
	}
	sendRequests(200)
	f.Set("connect", slices.Repeat([]testserver.Failure{{Errno: unix.EMFILE}}, 1<<15)...)
	sendRequests(503)
	f.Set("connect")
	sendRequests(200)
	if n := p.ejections.Load(); n != 0 {
		t.Errorf("%d servers ejected", n)
	}
}

// drawFailures draws at most maxFailures failures for a call.
func drawFailures(t *rapid.T, call string, maxFailures int, errnos []syscall.Errno) []testserver.Failure {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) testserver.Failure {
		f := testserver.Failure{MaxBytes: rapid.IntRange(0, 40).Draw(t, "bytes")}
		if rapid.Bool().Draw(t, "fails") {
			f.Errno = rapid.SampledFrom(errnos).Draw(t, "errno")
		}
		return f
	}), 0, maxFailures).Draw(t, call)
}

// TestLocalFailuresKeepRequestGuarantees draws failures of the local machine at the start, in service and during the
// drain. Each request that was read gets one final response, no at-most-once request runs twice, no server is ejected,
// and the process ends when it is stopped and not before.
func TestLocalFailuresKeepRequestGuarantees(t *testing.T) {
	var mu sync.Mutex
	executions := map[string]int{}
	b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		mu.Lock()
		executions[r.Header.Get("X-Request-ID")]++
		mu.Unlock()
		return testserver.Respond(200, "", strings.Repeat("ok", 100))(c, r, body)
	})
	discardRequests(b)
	configText, requestCount := configFor(t, b, b), 0
	rapid.Check(t, func(rt *rapid.T) {
		f := &testserver.Failures{}
		draw := func() { // for listeners and clients, fewer consecutive failures than retries
			f.Set("accept", drawFailures(rt, "accept", 5, testserver.AcceptErrnos)...)
			f.Set("connect", drawFailures(rt, "connect", 20, testserver.MachineErrnos)...)
			f.Set("server read", drawFailures(rt, "server read", 12, testserver.StreamErrnos)...)
			f.Set("server write", drawFailures(rt, "server write", 12, testserver.StreamErrnos)...)
			f.Set("client read", drawFailures(rt, "client read", 6, testserver.StreamErrnos)...)
			f.Set("client write", drawFailures(rt, "client write", 6, testserver.StreamErrnos)...)
		}
		f.Set("listen", drawFailures(rt, "listen", 5, []syscall.Errno{unix.EMFILE, unix.ENOBUFS, unix.ENOMEM})...)
		p := startWith(t, configText, failureOptions(f))
		sendRequests := func(classes []string, between func()) {
			var clients sync.WaitGroup
			var conns []net.Conn
			for range classes {
				conns = append(conns, p.DialConn())
			}
			between()
			for i, class := range classes {
				requestCount++
				id, c := fmt.Sprintf("drawn-%d", requestCount), conns[i]
				clients.Add(1)
				go func() {
					defer clients.Done()
					if err := checkSingleResponse(c, id, class); err != nil {
						rt.Errorf("%s, %s: %v", id, class, err)
					}
					mu.Lock()
					defer mu.Unlock()
					if n := executions[id]; n > 1 && class == "pay" {
						rt.Errorf("%s ran %d times", id, n)
					}
				}()
			}
			clients.Wait()
		}
		classes := rapid.SliceOfN(rapid.SampledFrom([]string{"read", "book", "pay"}), 1, 4)
		draw()
		sendRequests(classes.Draw(rt, "in service"), func() {})
		draining := classes.Draw(rt, "draining")
		draw()
		sendRequests(draining, p.stop)
		if err := testserver.Receive(t, p.runResult, "end"); err != nil {
			rt.Errorf("run returned %v", err)
		}
		if n := p.ejections.Load(); n > 0 {
			rt.Errorf("%d servers ejected", n)
		}
	})
}

// checkSingleResponse sends a request of a class on a connection. It returns an error unless exactly one response with
// an expected status follows.
func checkSingleResponse(c net.Conn, id, class string) error {
	defer c.Close()
	const lastBody = "Content-Length: 4\r\nConnection: close\r\n\r\nskip"
	text := testserver.RequestHead("GET", id, class) + "Connection: close\r\n\r\n"
	switch class {
	case "book":
		text = testserver.RequestHead("POST", id, class) + "Idempotency-Key: " + id + "\r\n" + lastBody
	case "pay":
		text = testserver.RequestHead("POST", id, class) + lastBody
	}
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	mayFail := class != "read" && resp.StatusCode == http.StatusBadGateway
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable && !mayFail {
		return fmt.Errorf("status %d, %q", resp.StatusCode, body)
	}
	if n, err := in.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		return fmt.Errorf("%d bytes, error %v after the response", n, err)
	}
	return nil
}

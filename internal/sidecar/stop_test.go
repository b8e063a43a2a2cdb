package sidecar

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/metrics"
)

var drainRounds = flag.Int("stop.rounds", 40, "rounds of TestDrainUnderLoadAnswersEachRequestRead")

// TestDrainServesRequestsOnOpenConnections has a client open a connection, and send its request only when the process
// has long begun to drain and is waiting for another response: that request is answered too.
func TestDrainServesRequestsOnOpenConnections(t *testing.T) {
	gate := make(chan bool)
	b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("Idempotency-Key") != "" {
			<-gate
		}
		return testserver.Respond(200, "", "ok")(c, r, body)
	})
	p := startDraining(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings),
		drainTimes{quietPeriod: time.Millisecond, unusedGrace: testserver.Timeout})
	held := make(chan testserver.Result, 1)
	go func() { held <- p.Do(p.NewRequest(context.Background(), "book", "50000")) }()
	testserver.Receive(t, b.Requests, "attempt")
	late := p.DialConn()
	p.waitForOpenConns(2)
	p.stop()
	p.waitUntilNotListening()
	fmt.Fprintf(late, "%s\r\n", testserver.RequestHead("GET", "late", "read"))
	resp, err := http.ReadResponse(bufio.NewReader(late), nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("response %+v, error %v to a request that came after the drain began", resp, err)
	}
	close(gate)
	if got := testserver.Receive(t, held, "response"); got.Status != 200 {
		t.Errorf("response %+v to what was taken", got)
	}
	if err := testserver.Receive(t, p.ended, "end"); err != nil {
		t.Errorf("it ended with %v", err)
	}
}

// TestDrainClosesUnusedConnectionsAfterGrace has a connection never bring a request: it holds the end up for its time
// and no longer.
func TestDrainClosesUnusedConnectionsAfterGrace(t *testing.T) {
	p := startDraining(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, testserver.StartBackend(t, testserver.Respond(200, "", "ok"))), testserver.Settings),
		drainTimes{quietPeriod: time.Millisecond, unusedGrace: 10 * time.Millisecond})
	c := p.DialConn()
	p.waitForOpenConns(1)
	p.stop()
	if err := testserver.Receive(t, p.ended, "end"); err != nil {
		t.Errorf("it ended with %v", err)
	}
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("%d bytes, error %v on a connection without a request, want its end", n, err)
	}
	if n := p.operator.metrics.UnservedConns[metrics.ShuttingDown].Load(); n != 1 {
		t.Errorf("%d connections ended unserved by the stop, want 1", n)
	}
}

// waitForOpenConns waits until the program holds n connections.
func (p *program) waitForOpenConns(n int) {
	p.T.Helper()
	for end := time.Now().Add(testserver.Timeout); p.operator.server.Load().conns.Counts().Open < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.T.Fatalf("not %d connections accepted", n)
		}
	}
}

// waitUntilNotListening waits until the program listens no more.
func (p *program) waitUntilNotListening() {
	p.T.Helper()
	for end := time.Now().Add(testserver.Timeout); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", p.Address)
		if err != nil {
			return
		}
		c.Close()
		if time.Now().After(end) {
			p.T.Fatal("it never stopped listening")
		}
	}
}

// closedAfterReadingAll reports whether the other side has read all that came on c before it ended the connection.
// Where something was left, or came later, it has reset the connection.
func closedAfterReadingAll(t *testing.T, c net.Conn) bool {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Error(err)
		return false
	}
	var info *unix.TCPInfo
	if failed := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); errors.Join(failed, err) != nil {
		t.Error(failed, err)
		return false
	}
	const closeWait = 8 // the other side has ended its sending, and nothing else
	return info.State == closeWait
}

// TestDrainUnderLoadAnswersEachRequestRead stops the process again and again while clients ask on connections that they
// keep. A request that was read has its response; one that was not finds its connection reset.
func TestDrainUnderLoadAnswersEachRequestRead(t *testing.T) {
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	go func() {
		for range b.Requests {
		}
	}()
	configText := testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings)
	var asked, unread atomic.Int64
	for round := range *drainRounds {
		random := rand.New(rand.NewPCG(uint64(round), 1))
		p := startDraining(t, configText, drainTimes{acceptFor: time.Duration(random.IntN(3)) * time.Millisecond,
			quietPeriod: time.Millisecond, unusedGrace: time.Duration(random.IntN(4)) * time.Millisecond})
		var clients sync.WaitGroup
		for i := range 16 {
			clients.Add(1)
			pause := time.Duration(random.IntN(400)) * time.Microsecond
			go func() {
				defer clients.Done()
				for n := 0; ; n++ {
					c, err := net.Dial("tcp", p.Address)
					if err != nil {
						return // it listens no more
					}
					dropped := sendUntilClosed(t, c, fmt.Sprintf("c%d-%d-%d", round, i, n), pause, &asked)
					if dropped && closedAfterReadingAll(t, c) {
						t.Errorf("round %d: client %d's request was read and has no response", round, i)
					} else if dropped {
						unread.Add(1)
					}
					c.Close()
				}
			}()
		}
		for asked.Load() < int64(round+1)*50 {
			time.Sleep(100 * time.Microsecond)
		}
		p.stop()
		if err := testserver.Receive(t, p.ended, "end"); err != nil {
			t.Errorf("round %d: it ended with %v", round, err)
		}
		p.ended <- nil // for the cleanup
		clients.Wait()
	}
	t.Logf("%d requests, %d connections ended with one unread", asked.Load(), unread.Load())
}

// sendUntilClosed asks one request after another on a connection until a response ends it, and reports whether it ended
// while one was open.
func sendUntilClosed(t *testing.T, c net.Conn, id string, pause time.Duration, asked *atomic.Int64) (dropped bool) {
	in := bufio.NewReader(c)
	_ = c.SetDeadline(time.Now().Add(testserver.Timeout))
	for n := 0; ; n++ {
		time.Sleep(pause)
		if _, err := fmt.Fprintf(c, "%s\r\n", testserver.RequestHead("GET", fmt.Sprint(id, "-", n), "read")); err != nil {
			return true
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				t.Errorf("%s: no response within %v", id, testserver.Timeout)
			}
			return true
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		asked.Add(1)
		if resp.Close {
			return false
		}
	}
}

// TestDrainKeepsToReloadedDeadlines stops a process whose settings were replaced by ones with shorter deadlines, while
// requests of the old ones are out at a server that hangs: the platform kills it by the new ones, and before that each
// has its response. One that may be repeated is rejected, one that is unsafe to repeat and may have run is not.
func TestDrainKeepsToReloadedDeadlines(t *testing.T) {
	b := testserver.StartBackend(t, testserver.NeverRespond)
	text := testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings)
	p := start(t, text)
	held := map[string]chan *http.Response{"pay": nil, "read": nil, "book": nil}
	for class := range held {
		answered, r := make(chan *http.Response, 1), p.NewRequest(context.Background(), class, "50000")
		held[class] = answered
		go func() {
			resp, err := p.HTTP.Do(r)
			if err != nil {
				t.Error(err)
			}
			answered <- resp
		}()
		testserver.Receive(t, b.Requests, "attempt")
	}
	p.reload(strings.ReplaceAll(strings.ReplaceAll(text, `"deadline_s":60.0`, `"deadline_s":0.3`), `"aim_s":20.0`, `"aim_s":0.2`))
	p.expectMetrics("loads", "1", "load_errors", "0")
	if longest := p.operator.server.Load().handler.LongestDeadline(); longest != 300*time.Millisecond {
		t.Errorf("the platform kills by a deadline of 300ms, the process goes by %v", longest)
	}
	p.stop()
	for class, want := range map[string]string{"pay": "502 ", "read": "503 0.200", "book": "503 0.200"} {
		resp := testserver.Receive(t, held[class], "response")
		if resp == nil {
			continue
		}
		resp.Body.Close()
		if got := fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Retry-After")); got != want {
			t.Errorf("%s: status and Retry-After %q at the kill, want %q", class, got, want)
		}
	}
	if err := testserver.Receive(t, p.ended, "end"); err != nil {
		t.Errorf("it ended with %v", err)
	}
	p.ended <- nil // for the cleanup
}

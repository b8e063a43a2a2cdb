package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/upstream"
)

// TestResetIsNoEnd: an answer of untold length whose connection is reset is not whole, also where its first bytes were
// passed on. One whose connection ends in order is.
func TestResetIsNoEnd(t *testing.T) {
	for _, reset := range []bool{true, false} {
		passed := make(chan struct{})
		b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal")
			<-passed
			return reset && testserver.ResetConnection(c, r, body)
		})
		p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
		resp, err := p.HTTP.Do(p.NewRequest(context.Background(), "pay", "50000"))
		if err != nil {
			t.Fatal(err)
		}
		close(passed) // the client has its head, and so the first bytes
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if reset != (err != nil) || !reset && string(body) != "hal" {
			t.Errorf("reset %v: body %q, error %v", reset, body, err)
		}
	}
}

// TestStopWhileABodyComes has the process told to stop while a request's body comes: it is served, and its answer ends
// the connection.
func TestStopWhileABodyComes(t *testing.T) {
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
	c := p.DialConn()
	fmt.Fprintf(c, "%sContent-Length: 8\r\n\r\nhalf", testserver.RequestHead("POST", "slow", "pay"))
	p.inUse(1)
	p.stop()
	p.deaf()
	fmt.Fprint(c, "rest")
	testserver.ExpectFinalResponse(t, c, http.StatusOK)
	if err := testserver.Receive(t, p.ended, "end"); err != nil {
		t.Errorf("it ended with %v", err)
	}
	p.ended <- nil // for the cleanup
}

// inUse waits until n connections have brought a request.
func (p *program) inUse(n int) {
	p.T.Helper()
	conns := p.staff.server.Load().conns
	for end := time.Now().Add(testserver.Timeout); conns.Counts().Used < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.T.Fatalf("not %d connections in use", n)
		}
	}
}

// TestStopWhileAnAnswerPasses has the process told to stop, and to read its file again, while a long answer is passed
// on: it ends with the answer, which is whole.
func TestStopWhileAnAnswerPasses(t *testing.T) {
	rest := make(chan struct{})
	b := testserver.StartBackend(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", upstream.MaxBufferedBody+1)
		<-rest
		fmt.Fprint(c, strings.Repeat("x", upstream.MaxBufferedBody))
		return true
	})
	text := testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings)
	p := start(t, text)
	resp, err := p.HTTP.Do(p.NewRequest(context.Background(), "pay", "50000"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	p.stop()
	p.deaf()
	p.hangup(text)
	p.hangup("no configuration")
	close(rest)
	if body, err := io.ReadAll(resp.Body); err != nil || len(body) != upstream.MaxBufferedBody+1 {
		t.Errorf("%d bytes, error %v", len(body), err)
	}
	if err := testserver.Receive(t, p.ended, "end"); err != nil {
		t.Errorf("it ended with %v", err)
	}
	p.ended <- nil // for the cleanup
}

// connectionRest is more than a connection to a server rests after a response before it is used again.
const connectionRest = 100 * time.Millisecond

// TestClosedUnderTheRequest has a server close an idle connection while a request is written on it. The request may
// have run: one that is unsafe to repeat is not made anew, and one that may be repeated is.
func TestClosedUnderTheRequest(t *testing.T) {
	for _, tt := range []struct {
		class  string
		status int
	}{{"pay", http.StatusBadGateway}, {"read", http.StatusOK}, {"book", http.StatusOK}} {
		t.Run(tt.class, func(t *testing.T) {
			answered, closing := 0, make(chan struct{}, 1)
			b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
				if answered++; answered == 1 {
					return testserver.Respond(200, "", "first")(c, r, body)
				}
				closing <- struct{}{}
				return testserver.ResetConnection(c, r, body)
			})
			other := testserver.StartBackend(t, testserver.Respond(200, "", "other"))
			d := testserver.StartDiscovery(t)
			p := start(t, testserver.ConfigText(d.Address, testserver.ServingList(1, b), testserver.Settings))
			if g := p.Send("read"); g.Body != "first" {
				t.Fatalf("answer %+v", g)
			}
			time.Sleep(connectionRest) // and so the next request goes out on the connection
			w := testserver.Receive(t, d.Watches, "watch")
			g := make(chan testserver.Result, 1)
			w.Lines <- testserver.ListText(2, false, testserver.EndpointEntry("s-1", other.Address, "SERVING", 0))
			p.listed(2)
			for b.RequestCount() > 0 {
				<-b.Requests
			}
			for range 2 { // even turns: one of two goes to the server that closes
				go func() { g <- p.Do(p.NewRequest(context.Background(), tt.class, "50000")) }()
				answer := testserver.Receive(t, g, "answer")
				if len(closing) == 0 {
					continue
				}
				if answer.Status != tt.status {
					t.Errorf("answer %+v, want status %d", answer, tt.status)
				}
				break
			}
			if len(closing) != 1 {
				t.Errorf("%d requests met the close, want one", len(closing))
			}
		})
	}
}

// listed waits until the program knows n servers.
func (p *program) listed(n int) {
	p.T.Helper()
	for end := time.Now().Add(testserver.Timeout); len(p.staff.loop.Upstream().Endpoints()) != n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.T.Fatalf("not %d servers listed", n)
		}
	}
}

// TestReadyWhileDiscoveryIsDown: a process that knows a list is ready at once, though discovery says nothing; it serves
// by that list, and has nobody wait for a server that is gone.
func TestReadyWhileDiscoveryIsDown(t *testing.T) {
	gone := testserver.Listen(t)
	address := gone.Addr().String()
	gone.Close()
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	silent := testserver.Listen(t) // takes calls, and answers none
	p := start(t, testserver.ConfigText(silent.Addr().String(), testserver.ServingList(1, b, &testserver.Backend{Address: address}), testserver.Settings))
	resp, err := p.HTTP.Get("http://" + p.Address + "/healthz")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("answer %+v, error %v, want ready", resp, err)
	}
	resp.Body.Close()
	for range 4 {
		if g := p.Send("pay"); g.Body != "ok" {
			t.Errorf("answer %+v by an old list", g)
		}
	}
}

// TestStopBeforeReady has the process told to stop before it knows a server: it ends at once.
func TestStopBeforeReady(t *testing.T) {
	p := start(t, testserver.ConfigText(testserver.Listen(t).Addr().String(), "", testserver.Settings))
	c := p.DialConn()
	p.accepted(1)
	p.stop()
	if err := testserver.Receive(t, p.ended, "end"); err != nil {
		t.Errorf("it ended with %v", err)
	}
	p.ended <- nil // for the cleanup
	if _, err := bufio.NewReader(c).ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("error %v on a connection without a request, want its end", err)
	}
}

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

// TestResetResponseIsIncomplete: a response of untold length whose connection is reset is not whole, also where its
// first bytes were passed on. One whose connection ends in order is.
func TestResetResponseIsIncomplete(t *testing.T) {
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

// TestDrainWaitsForRequestBody has the process stop while a request's body comes: it is served, and its response ends
// the connection.
func TestDrainWaitsForRequestBody(t *testing.T) {
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
	c := p.DialConn()
	fmt.Fprintf(c, "%sContent-Length: 8\r\n\r\nhalf", testserver.RequestHead("POST", "slow", "pay"))
	p.waitForUsedConns(1)
	p.stop()
	p.waitUntilNotListening()
	fmt.Fprint(c, "rest")
	testserver.ExpectFinalResponse(t, c, http.StatusOK)
	if err := testserver.Receive(t, p.ended, "end"); err != nil {
		t.Errorf("it ended with %v", err)
	}
	p.ended <- nil // for the cleanup
}

// waitForUsedConns waits until n connections have brought a request.
func (p *program) waitForUsedConns(n int) {
	p.T.Helper()
	conns := p.operator.server.Load().conns
	for end := time.Now().Add(testserver.Timeout); conns.Counts().Used < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.T.Fatalf("not %d connections in use", n)
		}
	}
}

// TestDrainWaitsForStreamedResponse has the process stop, and read its file again, while a long response is passed
// on: it ends with the response, which is whole.
func TestDrainWaitsForStreamedResponse(t *testing.T) {
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
	p.waitUntilNotListening()
	p.reload(text)
	p.reload("no configuration")
	close(rest)
	if body, err := io.ReadAll(resp.Body); err != nil || len(body) != upstream.MaxBufferedBody+1 {
		t.Errorf("%d bytes, error %v", len(body), err)
	}
	if err := testserver.Receive(t, p.ended, "end"); err != nil {
		t.Errorf("it ended with %v", err)
	}
	p.ended <- nil // for the cleanup
}

// connReuseWait is more than a connection to a server rests after a response before it is used again.
const connReuseWait = 100 * time.Millisecond

// TestOnlyRepeatableRequestsAreRetriedAfterClose has a server close an idle connection while a request is written on
// it. The request may have run: one that is unsafe to repeat is not retried, and one that may be repeated is.
func TestOnlyRepeatableRequestsAreRetriedAfterClose(t *testing.T) {
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
			if got := p.Send("read"); got.Body != "first" {
				t.Fatalf("response %+v", got)
			}
			time.Sleep(connReuseWait) // and so the next request goes out on the connection
			w := testserver.Receive(t, d.Watches, "watch")
			got := make(chan testserver.Result, 1)
			w.Lines <- testserver.ListText(2, false, testserver.EndpointEntry("s-1", other.Address, "SERVING", 0))
			p.waitForServers(2)
			for b.RequestCount() > 0 {
				<-b.Requests
			}
			for range 2 { // even turns: one of two goes to the server that closes
				go func() { got <- p.Do(p.NewRequest(context.Background(), tt.class, "50000")) }()
				response := testserver.Receive(t, got, "response")
				if len(closing) == 0 {
					continue
				}
				if response.Status != tt.status {
					t.Errorf("response %+v, want status %d", response, tt.status)
				}
				break
			}
			if len(closing) != 1 {
				t.Errorf("%d requests met the close, want one", len(closing))
			}
		})
	}
}

// waitForServers waits until the program knows n servers.
func (p *program) waitForServers(n int) {
	p.T.Helper()
	for end := time.Now().Add(testserver.Timeout); len(p.operator.loop.Upstream().Endpoints()) != n; time.Sleep(time.Millisecond) {
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
		t.Fatalf("response %+v, error %v, want ready", resp, err)
	}
	resp.Body.Close()
	for range 4 {
		if got := p.Send("pay"); got.Body != "ok" {
			t.Errorf("response %+v by an old list", got)
		}
	}
}

// TestStopBeforeReadyEndsAtOnce has the process stop before it knows a server: it ends at once.
func TestStopBeforeReadyEndsAtOnce(t *testing.T) {
	p := start(t, testserver.ConfigText(testserver.Listen(t).Addr().String(), "", testserver.Settings))
	c := p.DialConn()
	p.waitForOpenConns(1)
	p.stop()
	if err := testserver.Receive(t, p.ended, "end"); err != nil {
		t.Errorf("it ended with %v", err)
	}
	p.ended <- nil // for the cleanup
	if _, err := bufio.NewReader(c).ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("error %v on a connection without a request, want its end", err)
	}
}

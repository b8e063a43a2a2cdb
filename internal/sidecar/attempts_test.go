package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestQueueOfOneWhoLeft has a client send many requests on a connection and end its sending while the first is out. The others stand
// before the end that net/http waits for, more of them than it reads ahead, and none of them is sent on.
func TestQueueOfOneWhoLeft(t *testing.T) {
	gate := make(chan struct{})
	b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		<-gate
		return testserver.Respond(200, "", "ok")(c, r, body)
	})
	p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
	c := p.dial()
	var queue strings.Builder
	for i := range 100 {
		fmt.Fprintf(&queue, "%s\r\n", head("GET", fmt.Sprint("queued-", i), "read"))
	}
	if _, err := c.Write([]byte(queue.String())); err != nil {
		t.Fatal(err)
	}
	testserver.Receive(t, b.Requests, "first request")
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	close(gate)
	for buffer := make([]byte, 4096); ; {
		if _, err := c.Read(buffer); err != nil {
			break // all is answered, or the connection ended
		}
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d more requests were sent on for a client that had left", n)
	}
}

// TestGoneWhileConnecting has a client leave while the connection for its request comes up, where the settings let no attempt be
// called off: it is not made, as it has not begun.
func TestGoneWhileConnecting(t *testing.T) {
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	settings := strings.Replace(testserver.Settings, `"cancelling":true`, `"cancelling":false`, 1)
	p, late := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), settings)), testserver.NewDelayedDialer()
	u := p.staff.host.upstream
	u.SetDial(late.Dial)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan gotten, 1)
	go func() { ended <- p.do(p.request(ctx, "pay", "50000")) }()
	testserver.Receive(t, late.Connected, "connection")
	cancel()
	testserver.Receive(t, ended, "end")
	p.forgotten()
	late.Release <- struct{}{}
	u.SetDial(nil)
	if g := p.ask("pay"); g.body != "ok" || b.RequestCount() != 1 {
		t.Errorf("answer %+v, %d requests sent, want the one that somebody waits for", g, b.RequestCount())
	}
}

// forgotten waits until the program serves no request.
func (p *program) forgotten() {
	p.t.Helper()
	for end := time.Now().Add(testserver.Timeout); p.staff.serving.Load().handler.ids.count.Load() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatal("a request is held for good")
		}
	}
}

// TestAnswerBesideALeavingClient has a request get its answer between the moment that its client is seen to leave and the moment that the
// host hears of it: the answer is there for its handler, which would wait for ever without it.
func TestAnswerBesideALeavingClient(t *testing.T) {
	c, err := load(t, testserver.ConfigText("127.0.0.1:9", testserver.ServingList(1, &testserver.Backend{Address: "127.0.0.1:9"}), testserver.Settings))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h, err := NewEventLoop(ctx, c, slog.New(slog.DiscardHandler), nil)
	if err != nil {
		t.Fatal(err)
	}
	var loop sync.WaitGroup
	loop.Add(1)
	go func() {
		defer loop.Done()
		h.Run(ctx)
	}()
	defer loop.Wait()
	defer cancel()
	request := &inflightRequest{response: make(chan finalResponse, 1)}
	request.peerClosed = func() bool {
		if err := h.Do(ctx, func() { h.respond(request, finalResponse{kind: rejected}) }); err != nil {
			t.Error(err)
		}
		return true
	}
	if !h.isCancelled(request) {
		t.Error("a request whose client has left is not withdrawn")
	}
	if err := h.Do(ctx, func() {}); err != nil { // what was posted before is done
		t.Fatal(err)
	}
	if len(request.response) != 1 {
		t.Error("its handler has no answer to take")
	}
}

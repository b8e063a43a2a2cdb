package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// lateDial is a dial whose connections are up at once, and are given to whoever asked only when the test says so.
type lateDial struct {
	up   chan struct{} // gets one for each connection that is up
	give chan struct{} // and each of these gives one
}

func newLateDial() *lateDial {
	return &lateDial{up: make(chan struct{}, 100), give: make(chan struct{}, 100)}
}

func (d *lateDial) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := net.Dial(network, address)
	if err != nil {
		return nil, err
	}
	d.up <- struct{}{}
	select {
	case <-d.give:
		return c, nil
	case <-ctx.Done():
		c.Close()
		return nil, ctx.Err()
	}
}

// TestLateConnections has something come first while the connection of an attempt comes up. The attempt is not made then, and the
// connection, which nothing was written on, is kept where the server is.
func TestLateConnections(t *testing.T) {
	for _, tt := range []struct {
		name  string
		event func(*Upstream, *testserver.Backend, *atomic.Bool)
		open  int // connections that are left
	}{
		{"the server drains", func(u *Upstream, b *testserver.Backend, _ *atomic.Bool) {
			u.Update(parsed(t, testserver.ListText(2, false, testserver.EndpointEntry("s-0", b.Address, "DRAINING", 0))))
		}, 1},
		{"a whole list leaves it out", func(u *Upstream, _ *testserver.Backend, _ *atomic.Bool) {
			u.Update(parsed(t, testserver.ListText(2, true)))
		}, 0},
		{"it is removed", func(u *Upstream, b *testserver.Backend, _ *atomic.Bool) {
			u.Update(parsed(t, testserver.ListText(2, false, testserver.EndpointEntry("s-0", b.Address, "DELETED", 0))))
		}, 0},
		{"it starts again", func(u *Upstream, b *testserver.Backend, _ *atomic.Bool) {
			u.Update(parsed(t, testserver.ListText(2, false, testserver.EndpointEntry("s-0", b.Address, "SERVING", 1700000000000))))
		}, 0},
		{"it moves", func(u *Upstream, _ *testserver.Backend, _ *atomic.Bool) {
			u.Update(parsed(t, testserver.ListText(2, false, testserver.EndpointEntry("s-0", "127.0.0.1:9", "SERVING", 0))))
		}, 0},
		{"it is taken out by hand", func(u *Upstream, _ *testserver.Backend, _ *atomic.Bool) { u.SetAdminDown("s-0", true) }, 0},
		{"it is taken out and put back", func(u *Upstream, _ *testserver.Backend, _ *atomic.Bool) {
			u.SetAdminDown("s-0", true)
			u.SetAdminDown("s-0", false)
		}, 0},
		{"nobody waits any more", func(_ *Upstream, _ *testserver.Backend, withdrawn *atomic.Bool) { withdrawn.Store(true) }, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
			u, late := to(t, b), newLateDial()
			u.pool.dial = late.dial
			var withdrawn atomic.Bool
			ended := make(chan Response, 1)
			go func() {
				ended <- u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: post("k"), IsCancelled: withdrawn.Load, StartStreaming: whole})
			}()
			testserver.Receive(t, late.up, "connection")
			tt.event(u, b, &withdrawn)
			late.give <- struct{}{}
			if r := testserver.Receive(t, ended, "end"); r.Outcome != balance.NotSent || b.RequestCount() != 0 {
				t.Errorf("outcome %d, %d requests sent", r.Outcome, b.RequestCount())
			}
			if u.pool.openConns != tt.open {
				t.Errorf("%d connections are left, want %d", u.pool.openConns, tt.open)
			}
		})
	}
}

// TestRepeatThatComesUpTooLate: an attempt whose connection is not up by its time is given up, and not sent once it is.
func TestRepeatThatComesUpTooLate(t *testing.T) {
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	u, late := to(t, b), newLateDial()
	u.pool.dial = late.dial
	s := AttemptRequest{ServerID: "s-0", Message: post("k"), SendDeadline: time.Now().Add(50 * time.Millisecond), StartStreaming: whole}
	if r := u.Attempt(context.Background(), s); r.Outcome != balance.NotSent {
		t.Errorf("outcome %d where no connection came up in time", r.Outcome)
	}
	u.pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		<-ctx.Done() // and then it is there after all
		return net.Dial(network, address)
	}
	s.SendDeadline = time.Now().Add(50 * time.Millisecond)
	if r := u.Attempt(context.Background(), s); r.Outcome != balance.NotSent || b.RequestCount() != 0 {
		t.Errorf("outcome %d, %d requests sent behind their time", r.Outcome, b.RequestCount())
	}
}

// TestRepeatThatIsTakenTooLate: an attempt whose server takes only a part of it by its time is given up, and never gets
// the rest.
func TestRepeatThatIsTakenTooLate(t *testing.T) {
	l := testserver.Listen(t) // takes no more than the system holds
	u, m := to(t, &testserver.Backend{Address: l.Addr().String()}), post("k")
	m.Body = [][]byte{make([]byte, maxRequestBody), make([]byte, maxRequestBody)}
	s := AttemptRequest{ServerID: "s-0", Message: m, SendDeadline: time.Now().Add(50 * time.Millisecond), StartStreaming: whole}
	ctx, cancel := context.WithTimeout(context.Background(), testserver.Timeout)
	defer cancel()
	if r := u.Attempt(ctx, s); r.Outcome != balance.NotSent || ctx.Err() != nil {
		t.Errorf("outcome %d, error %v", r.Outcome, ctx.Err())
	}
	u.Update(List{Complete: true}) // ends a connection that is kept, as nothing was written on it in time
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if n, _ := io.Copy(io.Discard, c); n >= int64(m.bodyLength()) {
		t.Errorf("the server gets %d bytes, with all %d of the body", n, m.bodyLength())
	}
}

// TestSecondAnswer has a server send one more answer as soon as a second request comes on a connection. A connection that has just had
// an answer gets no request, so that nobody takes the one for the other.
func TestSecondAnswer(t *testing.T) {
	b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("X-Request-Id")
		testserver.Respond(200, "", id)(c, r, body)
		_, _ = c.Read(make([]byte, 1)) // until more comes
		testserver.Respond(200, "", id)(c, r, body)
		return false
	})
	u := to(t, b)
	u.pool.reuseDelay = time.Hour
	for i := range 3 {
		m := get()
		m.ID = fmt.Sprint("id-", i)
		r := u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: m, StartStreaming: whole})
		if r.Outcome != balance.Served || string(r.Body) != m.ID {
			t.Errorf("outcome %d, body %q to %s", r.Outcome, r.Body, m.ID)
		}
	}
	if u.pool.openConns != 3 {
		t.Errorf("%d connections, want one for each request", u.pool.openConns)
	}
}

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
	p, late := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), settings)), newLateDial()
	u := p.staff.host.upstream
	u.pool.dial = late.dial
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan gotten, 1)
	go func() { ended <- p.do(p.request(ctx, "pay", "50000")) }()
	testserver.Receive(t, late.up, "connection")
	cancel()
	testserver.Receive(t, ended, "end")
	p.forgotten()
	late.give <- struct{}{}
	u.pool.dial = nil
	if g := p.ask("pay"); g.body != "ok" || b.RequestCount() != 1 {
		t.Errorf("answer %+v, %d requests sent, want the one that somebody waits for", g, b.RequestCount())
	}
}

// forgotten waits until the program serves no request.
func (p *program) forgotten() {
	p.t.Helper()
	for end := time.Now().Add(testserver.Timeout); p.staff.server.Load().ids.inHand.Load() > 0; time.Sleep(time.Millisecond) {
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
	h, err := newHost(ctx, c, slog.New(slog.DiscardHandler), nil)
	if err != nil {
		t.Fatal(err)
	}
	var loop sync.WaitGroup
	loop.Add(1)
	go func() {
		defer loop.Done()
		h.run(ctx)
	}()
	defer loop.Wait()
	defer cancel()
	request := &call{answered: make(chan answer, 1)}
	request.left = func() bool {
		if err := h.ask(ctx, func() { h.answer(request, answer{kind: refused}) }); err != nil {
			t.Error(err)
		}
		return true
	}
	if !h.withdrawn(request) {
		t.Error("a request whose client has left is not withdrawn")
	}
	if err := h.ask(ctx, func() {}); err != nil { // what was posted before is done
		t.Fatal(err)
	}
	if len(request.answered) != 1 {
		t.Error("its handler has no answer to take")
	}
}

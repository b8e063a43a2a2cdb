package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/wire"
)

// TestAttemptIsNotSentAfterEventWhileConnecting has something come first while the connection of an attempt comes up. The attempt is not made then, and the
// connection, which nothing was written on, is kept where the server is.
func TestAttemptIsNotSentAfterEventWhileConnecting(t *testing.T) {
	for _, tt := range []struct {
		name  string
		event func(*Client, *testserver.Backend, *atomic.Bool)
		open  int // connections that are left
	}{
		{"the server drains", func(u *Client, b *testserver.Backend, _ *atomic.Bool) {
			u.Update(parseList(t, testserver.ListText(2, false, testserver.EndpointEntry("s-0", b.Address, "DRAINING", 0))))
		}, 1},
		{"a whole list leaves it out", func(u *Client, _ *testserver.Backend, _ *atomic.Bool) {
			u.Update(parseList(t, testserver.ListText(2, true)))
		}, 0},
		{"it is removed", func(u *Client, b *testserver.Backend, _ *atomic.Bool) {
			u.Update(parseList(t, testserver.ListText(2, false, testserver.EndpointEntry("s-0", b.Address, "DELETED", 0))))
		}, 0},
		{"it starts again", func(u *Client, b *testserver.Backend, _ *atomic.Bool) {
			u.Update(parseList(t, testserver.ListText(2, false, testserver.EndpointEntry("s-0", b.Address, "SERVING", 1700000000000))))
		}, 0},
		{"it moves", func(u *Client, _ *testserver.Backend, _ *atomic.Bool) {
			u.Update(parseList(t, testserver.ListText(2, false, testserver.EndpointEntry("s-0", "127.0.0.1:9", "SERVING", 0))))
		}, 0},
		{"it is taken out by hand", func(u *Client, _ *testserver.Backend, _ *atomic.Bool) { u.SetAdminDown("s-0", true) }, 0},
		{"it is taken out and put back", func(u *Client, _ *testserver.Backend, _ *atomic.Bool) {
			u.SetAdminDown("s-0", true)
			u.SetAdminDown("s-0", false)
		}, 0},
		{"nobody waits any more", func(_ *Client, _ *testserver.Backend, withdrawn *atomic.Bool) { withdrawn.Store(true) }, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
			u, late := newTestClient(t, b), testserver.NewDelayedDialer()
			u.pool.dial = late.Dial
			var withdrawn atomic.Bool
			ended := make(chan Response, 1)
			go func() {
				ended <- u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: newPostRequest("k"), IsCancelled: withdrawn.Load, StartStreaming: declineStreaming})
			}()
			testserver.Receive(t, late.Connected, "connection")
			tt.event(u, b, &withdrawn)
			late.Release <- struct{}{}
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
func TestAttemptIsNotSentWhenConnectionOpensAfterSendDeadline(t *testing.T) {
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	u, late := newTestClient(t, b), testserver.NewDelayedDialer()
	u.pool.dial = late.Dial
	s := AttemptRequest{ServerID: "s-0", Message: newPostRequest("k"), SendDeadline: time.Now().Add(50 * time.Millisecond), StartStreaming: declineStreaming}
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
func TestAttemptStopsWritingAtSendDeadline(t *testing.T) {
	l := testserver.Listen(t) // takes no more than the system holds
	u, m := newTestClient(t, &testserver.Backend{Address: l.Addr().String()}), newPostRequest("k")
	m.Body = [][]byte{make([]byte, 32<<20), make([]byte, 32<<20)}
	s := AttemptRequest{ServerID: "s-0", Message: m, SendDeadline: time.Now().Add(50 * time.Millisecond), StartStreaming: declineStreaming}
	ctx, cancel := context.WithTimeout(context.Background(), testserver.Timeout)
	defer cancel()
	if r := u.Attempt(ctx, s); r.Outcome != balance.NotSent || ctx.Err() != nil {
		t.Errorf("outcome %d, error %v", r.Outcome, ctx.Err())
	}
	u.Update(discovery.List{Complete: true}) // ends a connection that is kept, as nothing was written on it in time
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if n, _ := io.Copy(io.Discard, c); n >= int64(m.bodyLength()) {
		t.Errorf("the server gets %d bytes, with all %d of the body", n, m.bodyLength())
	}
}

// TestSecondResponseIsNotTakenForNextRequest has a server send one more answer as soon as a second request comes on a connection. A connection that has just had
// an answer gets no request, so that nobody takes the one for the other.
func TestSecondResponseIsNotTakenForNextRequest(t *testing.T) {
	b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("X-Request-Id")
		testserver.Respond(200, "", id)(c, r, body)
		_, _ = c.Read(make([]byte, 1)) // until more comes
		testserver.Respond(200, "", id)(c, r, body)
		return false
	})
	u := newTestClient(t, b)
	u.pool.reuseDelay = time.Hour
	for i := range 3 {
		m := newGetRequest()
		m.ID = fmt.Sprint("id-", i)
		r := u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: m, StartStreaming: declineStreaming})
		if r.Outcome != balance.Served || string(r.Body) != m.ID {
			t.Errorf("outcome %d, body %q to %s", r.Outcome, r.Body, m.ID)
		}
	}
	if u.pool.openConns != 3 {
		t.Errorf("%d connections, want one for each request", u.pool.openConns)
	}
}

// TestConnectionRestsBeforeReuse sends two requests one right after the other: within the reuse delay of a connection the second one
// goes out on a connection of its own. A pair that a busy machine held up for longer shows nothing, and is followed by another.
func TestConnectionRestsBeforeReuse(t *testing.T) {
	for end := time.Now().Add(testserver.Timeout); time.Now().Before(end); {
		b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
		u := New(wire.Limits{ConnectTimeout: testserver.Timeout, IdleClose: testserver.Timeout}, 1000, &atomic.Int64{})
		u.Update(parseList(t, testserver.ServingList(1, b)))
		t.Cleanup(func() { u.Update(discovery.List{Complete: true}) })
		began := time.Now()
		for range 2 {
			r := u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: newGetRequest(), StartStreaming: declineStreaming})
			if r.Outcome != balance.Served {
				t.Fatalf("outcome %d", r.Outcome)
			}
		}
		if time.Since(began) >= 20*time.Millisecond {
			continue
		}
		if u.pool.openConns != 2 {
			t.Errorf("%d connections for two requests within 20 ms, want 2", u.pool.openConns)
		}
		return
	}
	t.Fatal("no two requests within 20 ms")
}

// declineStreaming is for attempts whose answers are not long.
func declineStreaming(Response) bool { return false }

// drainStream takes a long answer, as a client does that is quick enough.
func drainStream(r Response) bool {
	go func() {
		_, err := io.Copy(io.Discard, r.Remainder)
		r.Remainder.Finish(err == nil)
	}()
	return true
}

// TestTimeToldAfterTheWait: the time that an attempt tells its server is what is left once its connection is up.
func TestTimeoutHeaderExcludesConnectTime(t *testing.T) {
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	u, late := newTestClient(t, b), testserver.NewDelayedDialer()
	u.pool.dial = late.Dial
	ctx, cancel := context.WithTimeout(context.Background(), testserver.Timeout)
	defer cancel()
	go func() { u.Attempt(ctx, AttemptRequest{ServerID: "s-0", Message: newGetRequest(), StartStreaming: declineStreaming}) }()
	testserver.Receive(t, late.Connected, "connection")
	const wait = 100 * time.Millisecond
	time.Sleep(wait) // the connection takes so long
	late.Release <- struct{}{}
	r := testserver.Receive(t, b.Requests, "request")
	told, err := strconv.Atoi(r.Header.Get("X-Timeout-Ms"))
	if err != nil || time.Duration(told)*time.Millisecond > testserver.Timeout-wait {
		t.Errorf("the server is told %d ms, error %v, where %v less than %v are left", told, err, wait, testserver.Timeout)
	}
}

// TestOutcomeOfSocketErrors has an attempt fail with each error: what it tells of the server, and whether idle connections are
// kept.
func TestOutcomeOfSocketErrors(t *testing.T) {
	of := func(call string, want balance.Outcome, keeps bool, errnos ...syscall.Errno) (tests []connectTest) {
		for _, errno := range errnos {
			tests = append(tests, connectTest{call, errno, want, keeps})
		}
		return tests
	}
	tests := of("connect", balance.NotSent, true, testserver.MachineErrnos...)
	tests = append(tests, of("connect", balance.ConnectFailed, false, unix.ENETUNREACH, unix.EHOSTUNREACH,
		unix.ETIMEDOUT, unix.ECONNREFUSED)...)
	tests = append(tests, of("server write", balance.NotSent, true, testserver.StreamErrnos...)...)
	tests = append(tests, of("server read", balance.Cancelled, true, testserver.StreamErrnos...)...)
	tests = append(tests, of("server read", balance.Reset, false, unix.ECONNRESET, unix.ETIMEDOUT)...)
	for _, tt := range tests {
		t.Run(tt.call+", "+tt.errno.Error(), func(t *testing.T) {
			f, b := &testserver.Failures{}, testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
			u := newTestClient(t, b)
			u.pool.dial = f.Dial
			ask := func() balance.Outcome {
				return u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: newPostRequest(""), StartStreaming: declineStreaming}).Outcome
			}
			idle, err := u.pool.acquire(context.Background(), u.servers["s-0"])
			if err != nil {
				t.Fatal(err)
			}
			once := testserver.Failure{Errno: tt.errno}
			if f.Set(tt.call, once); tt.keeps {
				if got := ask(); got != balance.Served {
					t.Errorf("outcome %d after one failure, want that it was tried again", got)
				}
				u.pool.closeIdle(u.servers["s-0"])
			}
			f.Set(tt.call, slices.Repeat([]testserver.Failure{once}, 10)...)
			u.pool.reuseDelay = testserver.Timeout // the idle connection is not taken for the attempt
			u.pool.release(idle, true)
			if got := ask(); got != tt.want {
				t.Errorf("outcome %d, want %d", got, tt.want)
			}
			if kept := len(u.servers["s-0"].idle) == 1; kept != tt.keeps {
				t.Errorf("the idle connection is kept: %v", kept)
			}
		})
	}
}

type connectTest struct {
	call  string
	errno syscall.Errno
	want  balance.Outcome
	keeps bool
}

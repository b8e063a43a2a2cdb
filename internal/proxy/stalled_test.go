//go:build go1.25

package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/upstream"
)

// pipeConn is a connection of a bubble whose first write is held up, after whatever its writer has checked.
type pipeConn struct {
	net.Conn
	raw    quietFD
	heldUp time.Duration
}

// Write implements net.Conn.
func (c *pipeConn) Write(p []byte) (int, error) {
	time.Sleep(c.heldUp)
	c.heldUp = 0
	return c.Conn.Write(p)
}

// SetWriteDeadline implements net.Conn. What is held up inside the system call passes its deadline unseen.
func (c *pipeConn) SetWriteDeadline(time.Time) error { return nil }

// SyscallConn implements syscall.Conn.
func (c *pipeConn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// quietFD is a socket on which nothing ever comes, in the place of the pipe's.
type quietFD struct{ fd int }

func (q quietFD) Control(f func(uintptr)) error   { f(uintptr(q.fd)); return nil }
func (q quietFD) Read(f func(uintptr) bool) error { f(uintptr(q.fd)); return nil }
func (quietFD) Write(func(uintptr) bool) error    { return syscall.ENOTSUP }

// arrival is an attempt's whole request at its server.
type arrival struct {
	at     time.Time
	server string
	told   time.Duration // that the client waits
}

// bubble is a host in a bubble, with two servers.
type bubble struct {
	t    *testing.T
	host *EventLoop
	came chan arrival
	// dials has connections to servers come up; nil: at once. answers tells what the nth attempt gets; "": nothing.
	dials   func(ctx context.Context, n int) error
	answers func(n int) string
	// drops has a server drop what comes on a connection that was idle for so long, without a word; nil: none does.
	drops  func(server string, idle time.Duration) bool
	heldUp time.Duration
}

// inBubble plays with a host of these settings.
func inBubble(t *testing.T, settings string, play func(b *bubble)) {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(pair[1])
	defer syscall.Close(pair[0])
	synctest.Test(t, func(t *testing.T) {
		known := testserver.ServingList(1, &testserver.Backend{Address: "127.0.0.1:1"}, &testserver.Backend{Address: "127.0.0.1:2"})
		c, err := load(t, testserver.ConfigText("127.0.0.1:9", known, settings))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		h, err := NewEventLoop(ctx, c, 1000, slog.New(slog.DiscardHandler), func(context.Context, string, string) (net.Conn, error) {
			return nil, syscall.ECONNREFUSED // discovery is down
		})
		if err != nil {
			t.Fatal(err)
		}
		b := &bubble{t: t, host: h, came: make(chan arrival, 2000), answers: func(int) string { return "" }}
		var mu sync.Mutex
		dialled, arrived := 0, 0
		h.upstream.SetDial(func(dialing context.Context, _, address string) (net.Conn, error) {
			mu.Lock()
			n := dialled
			dialled++
			mu.Unlock()
			if b.dials != nil {
				if err := b.dials(dialing, n); err != nil {
					return nil, err
				}
			}
			near, far := net.Pipe()
			context.AfterFunc(ctx, func() { far.Close() })
			go func() {
				in := bufio.NewReader(far)
				for last := time.Now(); ; last = time.Now() {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					wait, err := time.ParseDuration(r.Header.Get("X-Timeout-Ms") + "ms")
					if err != nil {
						t.Error(err)
					}
					mu.Lock()
					n := arrived
					arrived++
					mu.Unlock()
					b.came <- arrival{time.Now(), address, wait}
					if b.drops != nil && b.drops(address, time.Since(last)) {
						continue
					}
					if text := b.answers(n); text != "" {
						fmt.Fprint(far, text)
					}
				}
			}()
			return &pipeConn{Conn: near, raw: quietFD{pair[0]}, heldUp: b.heldUp}, nil
		})
		var over sync.WaitGroup
		over.Go(func() { h.Run(ctx) })
		play(b)
		cancel()
		over.Wait()
	})
}

// ask has the host serve a request whose client waits so long, and returns what it answered.
func (b *bubble) ask(class string, wait time.Duration, left func() bool) chan finalResponse {
	method, key := http.MethodPost, ""
	switch class {
	case "read":
		method = http.MethodGet
	case "book":
		key = "k-1"
	}
	c := &inflightRequest{Message: upstream.Message{Method: method, URL: &url.URL{Path: "/api"}, ID: "id-1", IdempotencyKey: key}, tenant: -1,
		classSettings: b.host.settings.Load().classes[class], deadline: time.Now().Add(wait - answerMargin), peerClosed: left}
	answered := make(chan finalResponse, 1)
	go func() {
		a, _ := b.host.serve(context.Background(), c)
		answered <- a
	}()
	return answered
}

const serverError = "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"

// TestHeldUpBeforeTheWindowEnds has a repeat of a keyed request be checked in the last moment for it, and be held up
// before it is written: it arrives before the time is over for which repeats of the first attempt are dropped.
func TestHeldUpBeforeTheWindowEnds(t *testing.T) {
	const window = 5 * time.Second
	inBubble(t, strings.Replace(testserver.Settings, `"window_s":60.0`, `"window_s":5.0`, 1), func(b *bubble) {
		b.answers = func(int) string { return serverError }
		b.dials = func(ctx context.Context, n int) error {
			if end, bounded := ctx.Deadline(); n > 0 && bounded {
				time.Sleep(time.Until(end) - time.Millisecond)
				b.heldUp = balance.SchedulingStall
			}
			return nil
		}
		<-b.ask("book", 50*time.Second, nil)
		if len(b.came) != 2 {
			b.t.Fatalf("%d attempts, want two", len(b.came))
		}
		first, repeat := <-b.came, <-b.came
		if took := repeat.at.Sub(first.at); took > window || took < window-200*time.Millisecond {
			b.t.Errorf("the repeat arrived after %v, want it in the end of %v", took, window)
		}
	})
}

// TestHeldUpBeforeTheTimeTold has an attempt be held up after it has read how much time is left: what it tells is at
// most the slack of the rule more than what is left where it arrives.
func TestHeldUpBeforeTheTimeTold(t *testing.T) {
	const slack, way = 150 * time.Millisecond, 2 * time.Millisecond
	for _, wait := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
		inBubble(t, testserver.Settings, func(b *bubble) {
			b.heldUp = balance.SchedulingStall + way
			began := time.Now()
			b.ask("pay", wait, nil)
			if a := <-b.came; a.told > time.Until(began.Add(wait))+slack {
				b.t.Errorf("the server is told %v, %v are left of %v", a.told, time.Until(began.Add(wait)), wait)
			}
			time.Sleep(wait)
		})
	}
}

// TestHeldUpBeforeADrain has servers be listed as draining while an attempt's connection comes up. The list is taken in
// late, as the process is held up, and each write is held up too: nothing reaches them after their grace.
func TestHeldUpBeforeADrain(t *testing.T) {
	const grace = time.Second
	for _, up := range []time.Duration{0, balance.SchedulingStall - 1, balance.SchedulingStall, grace - 1} {
		inBubble(t, testserver.Settings, func(b *bubble) {
			b.heldUp = balance.SchedulingStall
			var notified time.Time
			b.dials = func(_ context.Context, n int) error {
				if n > 0 {
					return nil
				}
				notified = time.Now()
				time.AfterFunc(balance.SchedulingStall, func() {
					b.host.Post(func() {
						b.host.OnUpdate(balance.ListChanges, parsed(t, testserver.ListText(2, false,
							testserver.EndpointEntry("s-0", "127.0.0.1:1", "DRAINING", 0), testserver.EndpointEntry("s-1", "127.0.0.1:2", "DRAINING", 0))))
					})
				})
				time.Sleep(up)
				return nil
			}
			b.ask("read", 50*time.Second, nil)
			time.Sleep(5 * time.Second)
			for len(b.came) > 0 {
				if late := (<-b.came).at.Sub(notified); late > grace {
					b.t.Errorf("an attempt whose connection was up after %v reached a draining server after %v", up, late)
				}
			}
			if up == 0 && notified.IsZero() {
				b.t.Error("no attempt was made")
			}
			time.Sleep(time.Minute)
		})
	}
}

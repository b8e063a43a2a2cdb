package standin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const patience = 10 * time.Second

// startLineServer starts a server that responds to each line with "got " and the line, and returns its address.
func startLineServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	t.Cleanup(func() {
		_ = l.Close()
		<-ended
	})
	go func() {
		defer close(ended)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					if _, err := io.WriteString(c, "got "+line); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// sendLine sends a line through a link and returns the response, up to the end of the line or of the connection.
func sendLine(t *testing.T, link *Link, within time.Duration) (string, error) {
	t.Helper()
	c, err := net.DialTimeout("tcp", link.Address(), within)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c, "hello there\n"); err != nil {
		return "", err
	}
	return bufio.NewReader(c).ReadString('\n')
}

// TestLinkFaults applies each condition of a link to a request, and then none.
func TestLinkFaults(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	to := startLineServer(t)
	reset := func(_ string, err error) bool { return errors.Is(err, syscall.ECONNRESET) }
	whole := func(s string, err error) bool { return s == "got hello there\n" && err == nil }
	for _, tt := range []struct {
		name      string
		condition LinkCondition
		within    time.Duration
		good      func(text string, err error) bool
	}{
		{"nothing wrong", LinkCondition{}, patience, whole},
		{
			"delayed", LinkCondition{Delay: 5 * time.Millisecond, HandshakeRoundTrips: 1, JitterFraction: 0.2},
			patience, whole,
		},
		{"reset before", LinkCondition{ResetBefore: 1}, patience, reset},
		{"reset within", LinkCondition{ResetWithin: 1}, patience, reset},
		{"reset after", LinkCondition{ResetAfter: 1, Delay: time.Millisecond}, patience, reset},
		{"half closed", LinkCondition{HalfClose: 1}, patience, func(_ string, err error) bool {
			return err == nil || errors.Is(err, io.EOF)
		}},
		{"garbage", LinkCondition{Garbage: 1}, patience, func(s string, _ error) bool {
			return !strings.Contains(s, "got")
		}},
		{"truncated", LinkCondition{Truncate: 1}, patience, func(s string, err error) bool {
			return s == "got hell" && errors.Is(err, io.EOF)
		}},
		{"trickled", LinkCondition{Trickle: 1}, 600 * time.Millisecond, func(s string, err error) bool {
			return len(s) > 0 && len(s) < 8 && errors.Is(err, os.ErrDeadlineExceeded)
		}},
		{"narrow", LinkCondition{BytesPerSecond: 10}, 500 * time.Millisecond, func(s string, err error) bool {
			return len(s) < 12 && errors.Is(err, os.ErrDeadlineExceeded)
		}},
		{"silent", LinkCondition{Blackhole: true}, 200 * time.Millisecond, func(_ string, err error) bool {
			var late net.Error // the connection never comes up
			return errors.As(err, &late) && late.Timeout() && strings.Contains(err.Error(), "dial")
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			link, err := NewLink(SidecarIP(0), to, LinkCondition{}, 1)
			if err != nil {
				t.Fatal(err)
			}
			defer link.Close()
			link.SetCondition(tt.condition)
			if text, err := sendLine(t, link, tt.within); !tt.good(text, err) {
				t.Errorf("got %q, %v", text, err)
			}
			link.SetCondition(LinkCondition{})
			if text, err := sendLine(t, link, patience); text != "got hello there\n" || err != nil {
				t.Errorf("once it is over: %q, %v", text, err)
			}
		})
	}
}

// TestBlackholeFillsBacklog: once a link is a blackhole, one connection is held and the listener's backlog is full,
// even if the accepting goroutine is scheduled late.
func TestBlackholeFillsBacklog(t *testing.T) {
	var quiet atomic.Bool
	var spinners sync.WaitGroup
	for range 2 * runtime.GOMAXPROCS(0) {
		spinners.Add(1)
		go func() {
			defer spinners.Done()
			for !quiet.Load() {
				continue
			}
		}()
	}
	defer spinners.Wait()
	defer quiet.Store(true)
	to := startLineServer(t)
	for round := range 20 {
		link, err := NewLink(SidecarIP(0), to, LinkCondition{}, uint64(round))
		if err != nil {
			t.Fatal(err)
		}
		link.SetCondition(LinkCondition{Blackhole: true})
		for range 2 {
			runtime.Gosched() // the accepting goroutine takes what it can
		}
		if n, err := link.backlogLength(); n != 1 || err != nil || !link.isHolding() {
			t.Errorf("round %d: %d connections wait, held %v, error %v; want one that waits behind one that is held",
				round, n, link.isHolding(), err)
		}
		link.Close()
	}
}

// TestBlackholeResets: a connection that was open when a blackhole began passes nothing, and is reset when it ends.
func TestBlackholeResets(t *testing.T) {
	link, err := NewLink(SidecarIP(3), startLineServer(t), LinkCondition{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	c, err := net.Dial("tcp", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "one\n"); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	if line, err := in.ReadString('\n'); line != "got one\n" {
		t.Fatalf("%q, %v", line, err)
	}
	link.SetCondition(LinkCondition{Blackhole: true})
	if _, err := io.WriteString(c, "two\n"); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if line, err := in.ReadString('\n'); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("while silent: %q, %v", line, err)
	}
	link.SetCondition(LinkCondition{})
	_ = c.SetReadDeadline(time.Now().Add(patience))
	if line, err := in.ReadString('\n'); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("once it is back: %q, %v, want a reset", line, err)
	}
}

// TestDiscovery reads a watch through all that the agent can do to it.
func TestDiscovery(t *testing.T) {
	first := []Entry{{UID: "a", State: "SERVING"}, {UID: "b", State: "SERVING"}}
	d, err := NewDiscovery(0, first, NewLog(), func(string) int32 { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	watch := func() (*bufio.Reader, io.Closer) {
		t.Helper()
		resp, err := http.Get("http://" + d.Address() + "/v1/servers?watch=1&from=1")
		if err != nil {
			t.Fatal(err)
		}
		return bufio.NewReader(resp.Body), resp.Body
	}
	next := func(in *bufio.Reader, want string) {
		t.Helper()
		for {
			line, err := in.ReadString('\n')
			if line == "\n" {
				continue
			}
			if !strings.Contains(line, want) {
				t.Fatalf("line %q, error %v, want %q in it", line, err, want)
			}
			return
		}
	}
	in, body := watch()
	next(in, `"rev":1,"all":true,"targets":[{"uid":"a"`)
	d.Publish(Entry{UID: "a", State: "DRAINING"})
	next(in, `"rev":2,"all":false,"targets":[`+
		`{"uid":"a","endpoint":"","az":"","model":"","pod_group":0,"state":"DRAINING"`)
	d.SetStalled(true)
	d.Publish(Entry{UID: "a", State: "DELETED"})
	d.Publish(Entry{UID: "c", State: "SERVING"})
	d.SetStalled(false)
	next(in, `"state":"DELETED"`)
	next(in, `"uid":"c"`)
	d.Rollback()
	next(in, `"rev":1,"all":true,"targets":[{"uid":"b"`)
	d.TruncateNext()
	d.Publish(Entry{UID: "d", State: "SERVING"})
	text, err := io.ReadAll(in)
	if err == nil || strings.HasSuffix(string(text), "}\n") || !strings.Contains(string(text), `{"rev":2`) {
		t.Errorf("cut in the middle: %q, %v", text, err)
	}
	_ = body.Close()
	old := d.Address()
	if err := d.Move(0); err != nil || d.Address() == old {
		t.Errorf("moved from %s to %s, error %v", old, d.Address(), err)
	}
	in, body = watch()
	defer body.Close()
	next(in, `"all":true`)
}

package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/proxy"
	"milletramp.example/milletramp/internal/upstream"
)

// TestRetriesFollowEffectOfClass has the first attempt of each class end in each way, and sees whether the class is
// tried again.
func TestRetriesFollowEffectOfClass(t *testing.T) {
	full := testserver.Respond(503, "X-Not-Processed: 1\r\n", "")
	for _, tt := range []struct {
		name     string
		class    string
		fault    func(net.Conn, *http.Request, []byte) bool
		status   int
		attempts int
	}{
		{"idempotent after an error", "read", testserver.Respond(500, "", ""), 200, 2},
		{"idempotent after a reset", "read", testserver.ResetConnection, 200, 2},
		{"idempotent, rejected", "read", full, 200, 2},
		{"with a key after an error", "book", testserver.Respond(500, "", ""), 200, 2},
		{"with a key after a reset", "book", testserver.ResetConnection, 200, 2},
		{"with a key, rejected", "book", full, 200, 2},
		{"not idempotent, after an error", "pay", testserver.Respond(500, "", ""), 502, 1},
		{"not idempotent, after a reset", "pay", testserver.ResetConnection, 502, 1},
		{"not idempotent, rejected", "pay", full, 200, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			faults := make(chan bool, 1)
			faults <- true
			came := make(chan string, 10)
			do := func(c net.Conn, r *http.Request, body []byte) bool {
				came <- r.Header.Get("X-Request-ID") + " " + r.Header.Get("Idempotency-Key") + " " + string(body)
				select {
				case <-faults:
					return tt.fault(c, r, body)
				default:
					return testserver.Respond(200, "", "done")(c, r, body)
				}
			}
			p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, testserver.StartBackend(t, do), testserver.StartBackend(t, do)), testserver.Settings))
			got := p.Send(tt.class)
			if got.Status != tt.status || len(came) != tt.attempts {
				t.Fatalf("status %d after %d attempts, want %d after %d", got.Status, len(came), tt.status, tt.attempts)
			}
			if got.Status == 200 && got.Body != "done" {
				t.Errorf("body %q", got.Body)
			}
			first := <-came
			for len(came) > 0 {
				if again := <-came; again != first {
					t.Errorf("attempts %q and %q differ", first, again)
				}
			}
		})
	}
}

// TestRefusedConnectionsMeanRejection has every server refuse connections: nothing ran, so the rejection comes at once,
// for every class.
func TestRefusedConnectionsMeanRejection(t *testing.T) {
	l := testserver.Listen(t)
	l.Close()
	gone := &testserver.Backend{Address: l.Addr().String()}
	p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, gone), testserver.Settings))
	for _, class := range []string{"read", "book", "pay"} {
		if got := p.Send(class); got.Status != 503 {
			t.Errorf("%s: status %d, want a refusal", class, got.Status)
		}
	}
}

func TestRequestsAreAnsweredAtTheirDeadline(t *testing.T) {
	b := testserver.StartBackend(t, testserver.NeverRespond)
	p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
	for _, tt := range []struct {
		class  string
		status int
	}{{"pay", 502}, {"read", 503}} {
		got := p.Do(p.NewRequest(context.Background(), tt.class, "1500"))
		testserver.Receive(t, b.Requests, "attempt")
		if got.Err != nil || got.Status != tt.status {
			t.Errorf("%s: status %d, error %v, want %d", tt.class, got.Status, got.Err, tt.status)
		}
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d attempts too many", n)
	}
	// What has no time left is not sent at all.
	if got := p.Do(p.NewRequest(context.Background(), "pay", "0")); got.Status != 503 || b.RequestCount() != 0 {
		t.Errorf("status %d, %d attempts", got.Status, b.RequestCount())
	}
}

func TestDisconnectCancelsAttempt(t *testing.T) {
	closed := make(chan bool, 1)
	b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		testserver.NeverRespond(c, r, body)
		closed <- true
		return false
	})
	p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan testserver.Result, 1)
	go func() { ended <- p.Do(p.NewRequest(ctx, "read", "50000")) }()
	testserver.Receive(t, b.Requests, "attempt")
	cancel()
	testserver.Receive(t, ended, "end")
	testserver.Receive(t, closed, "end of the attempt")
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d attempts for a client that is gone", n)
	}
}

// TestHalfClosedClientGetsNoResponse has a client close its sending while its request is out: it has left, and must not
// learn that it was served.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	gate := make(chan bool)
	b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		<-gate
		return testserver.Respond(200, "", "ok")(c, r, body)
	})
	defer close(gate)
	p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
	c := p.DialConn()
	fmt.Fprintf(c, "%s\r\n", testserver.RequestHead("GET", "leaves", "read"))
	testserver.Receive(t, b.Requests, "attempt")
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(c); err != nil || len(got) > 0 {
		t.Errorf("response %q, error %v to a client that left", got, err)
	}
}

// TestWatchFollowsListAndSurvivesBadLines follows the list through a drain, a bad line and a break.
func TestWatchFollowsListAndSurvivesBadLines(t *testing.T) {
	kept, drained := testserver.StartBackend(t, testserver.Respond(200, "", "kept")), testserver.StartBackend(t, testserver.Respond(200, "", "drained"))
	d := testserver.StartDiscovery(t)
	p := start(t, testserver.ConfigText(d.Address, testserver.ServingList(41, drained), testserver.Settings))
	first := testserver.Receive(t, d.Watches, "watch")
	if first.Query != "watch=1&from=41" {
		t.Errorf("query %q", first.Query)
	}
	if got := p.Send("pay"); got.Body != "drained" {
		t.Errorf("response %+v", got)
	}
	first.Lines <- "" // a heartbeat
	first.Lines <- testserver.ListText(42, false, testserver.EndpointEntry("s-0", drained.Address, "DRAINING", 0), testserver.EndpointEntry("s-1", kept.Address, "SERVING", 0))
	p.sendUntilBody("kept")
	for range 20 {
		if got := p.Send("pay"); got.Body != "kept" {
			t.Fatalf("a request went to a server that drains: %+v", got)
		}
	}
	first.Lines <- `{"rev":43,"targets":[{"uid":"s-1","endpoint":"nowhere","state":"SERVING"}]}`
	second := testserver.Receive(t, d.Watches, "watch after a bad line")
	if second.Query != "watch=1&from=42" {
		t.Errorf("query %q after a bad line", second.Query)
	}
	if got := p.Send("pay"); got.Body != "kept" {
		t.Errorf("a bad line cost the list: %+v", got)
	}
	close(second.Lines)
	third := testserver.Receive(t, d.Watches, "watch after a break")
	if got := p.Send("pay"); got.Body != "kept" {
		t.Errorf("a break cost the list: %+v", got)
	}
	third.Lines <- testserver.ListText(44, true, testserver.EndpointEntry("s-0", drained.Address, "SERVING", 0))
	p.sendUntilBody("drained")
}

func TestReadyOnceAServerIsKnown(t *testing.T) {
	d := testserver.StartDiscovery(t)
	p := start(t, testserver.ConfigText(d.Address, "", testserver.Settings))
	health := func() int {
		resp, err := p.HTTP.Get("http://" + p.Address + "/healthz")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if got := health(); got != 503 {
		t.Errorf("status %d before any server is known", got)
	}
	w := testserver.Receive(t, d.Watches, "watch")
	if w.Query != "watch=1" {
		t.Errorf("query %q with no known list", w.Query)
	}
	w.Lines <- testserver.ServingList(1, testserver.StartBackend(t, testserver.NeverRespond))
	for end := time.Now().Add(testserver.Timeout); health() != 200; {
		if time.Now().After(end) {
			t.Fatal("never ready")
		}
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
	ask := func(class string, change func(*http.Request)) *http.Request {
		r := p.NewRequest(context.Background(), class, "50000")
		change(r)
		return r
	}
	without := func(class, header string) *http.Request {
		return ask(class, func(r *http.Request) { r.Header.Del(header) })
	}
	with := func(class, header, value string) *http.Request {
		return ask(class, func(r *http.Request) { r.Header.Set(header, value) })
	}
	method := func(class, m string) *http.Request { return ask(class, func(r *http.Request) { r.Method = m }) }
	sized := func(n int) *http.Request {
		return ask("pay", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", n))), int64(n)
		})
	}
	for _, tt := range []struct {
		name   string
		r      *http.Request
		status int
	}{
		{"no id", without("read", "X-Request-ID"), 400},
		{"no class", without("read", "X-Priority-Class"), 400},
		{"unknown class", with("read", "X-Priority-Class", "sing"), 400},
		{"no time", without("read", "X-Timeout-Ms"), 400},
		{"bad time", with("read", "X-Timeout-Ms", "soon"), 400},
		{"negative time", with("read", "X-Timeout-Ms", "-1"), 400},
		{"endless time", with("read", "X-Timeout-Ms", "99999999999999999999"), 400},
		{"no key", without("book", "Idempotency-Key"), 400},
		{"GET of a class that is not idempotent", method("pay", "GET"), 405},
		{"idempotent POST", method("read", "POST"), 405},
		{"key of a class without keys", with("pay", "Idempotency-Key", "k"), 400},
		{"key of an idempotent class", with("read", "Idempotency-Key", "k"), 400},
		{"two ids", ask("pay", func(r *http.Request) { r.Header.Add("X-Request-ID", "id-2") }), 400},
		{"two classes", ask("pay", func(r *http.Request) { r.Header.Add("X-Priority-Class", "read") }), 400},
		{"method", method("read", "DELETE"), 405},
		{"path", ask("read", func(r *http.Request) { r.URL.Path = "/apis" }), 404},
		{"health method", ask("read", func(r *http.Request) { r.URL.Path, r.Method = "/healthz", "PUT" }), 405},
		{"long body", sized(proxy.MaxRequestBody + 1), 413},
		{"longest body held in any case", sized(upstream.MaxBufferedBody), 200},
		{"longer body", sized(10 * upstream.MaxBufferedBody), 200},
		{"unknown tenant", with("read", "X-Tenant-Id", "nobody"), 200},
		{"no tenant", without("pay", "X-Tenant-Id"), 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			came := b.RequestCount()
			if got := p.Do(tt.r); got.Err != nil || got.Status != tt.status {
				t.Errorf("status %d, error %v, want %d", got.Status, got.Err, tt.status)
			}
			if sent := b.RequestCount() > came; sent != (tt.status == 200) {
				t.Errorf("sent to a server: %v", sent)
			}
			if got := p.Send("pay"); got.Status != 200 {
				t.Errorf("the next request: %+v", got)
			}
		})
	}
}

func TestRequestsOverLimitAreRejected(t *testing.T) {
	b := testserver.StartBackend(t, testserver.NeverRespond)
	settings := strings.Replace(testserver.Settings, `"most_held":20000`, `"most_held":1`, 1)
	p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), settings))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan testserver.Result, 1)
	go func() { ended <- p.Do(p.NewRequest(ctx, "pay", "50000")) }()
	testserver.Receive(t, b.Requests, "attempt")
	if got := p.Send("pay"); got.Status != 503 || b.RequestCount() != 0 {
		t.Errorf("status %d, %d attempts", got.Status, b.RequestCount())
	}
	cancel()
	testserver.Receive(t, ended, "end")
}

// TestDrainServesNewAndOpenConnections has SIGTERM come while one request is out, and others go on coming on new
// connections and old ones.
func TestDrainServesNewAndOpenConnections(t *testing.T) {
	gate := make(chan bool)
	b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("Idempotency-Key") != "" {
			<-gate
		}
		return testserver.Respond(200, "", "ok")(c, r, body)
	})
	p := startDraining(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings),
		drainTimes{acceptFor: 4 * time.Second, quietPeriod: 10 * time.Millisecond, idleGrace: 2 * time.Second})
	slow := make(chan testserver.Result, 1)
	go func() { slow <- p.Do(p.NewRequest(context.Background(), "book", "50000")) }()
	testserver.Receive(t, b.Requests, "attempt")
	p.stop()
	for closing := false; !closing; {
		got := p.Send("pay")
		if got.Status != 200 {
			t.Fatalf("response %+v while draining", got)
		}
		closing = got.Close
	}
	time.Sleep(200 * time.Millisecond) // long past the quiet that ends the accepting, well within its time
	fresh, err := net.Dial("tcp", p.Address)
	if err != nil {
		t.Fatalf("no new connections while draining: %v", err)
	}
	defer fresh.Close()
	if err := p.NewRequest(context.Background(), "pay", "50000").Write(fresh); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(fresh), nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("response %+v, error %v on a new connection", resp, err)
	}
	for end := time.Now().Add(testserver.Timeout); ; {
		c, err := net.Dial("tcp", p.Address)
		if err != nil {
			break
		}
		c.Close()
		if time.Now().After(end) {
			t.Fatal("it never stopped listening")
		}
	}
	select {
	case err := <-p.ended:
		t.Fatalf("it ended with %v and a request out", err)
	default:
	}
	close(gate)
	if got := testserver.Receive(t, slow, "response"); got.Status != 200 || got.Body != "ok" {
		t.Errorf("response %+v to what was taken", got)
	}
	if err := testserver.Receive(t, p.ended, "end"); err != nil {
		t.Errorf("it ended with %v", err)
	}
}

func TestRunFailsWhenAddressIsInUse(t *testing.T) {
	l := testserver.Listen(t)
	c, err := loadConfig(t, testserver.ConfigText("127.0.0.1:9", "", testserver.Settings), "PROXY_LISTEN="+l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := Run(context.Background(), nil, c, slog.New(slog.DiscardHandler), nil); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("error %v", err)
	}
}

// TestStalledRequestBodyTimesOut has a client send half a body and no more: its connection ends with its time, and
// others are served.
func TestStalledRequestBodyTimesOut(t *testing.T) {
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
	c, err := net.Dial("tcp", p.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: i\r\nX-Priority-Class: pay\r\nX-Timeout-Ms: 300\r\n"+
		"Content-Length: 10\r\n\r\nhalf")
	if err := c.SetReadDeadline(time.Now().Add(testserver.Timeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(c); err != nil {
		t.Errorf("the connection did not end: %v", err)
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d attempts for half a request", n)
	}
	// A connection whose body's time is over still serves what takes longer.
	if got := p.Send("pay"); got.Status != 200 {
		t.Errorf("response %+v", got)
	}
}

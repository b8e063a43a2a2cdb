package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/downstream"
	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/proxy"
	"milletramp.example/milletramp/internal/upstream"
)

// TestMalformedRequestsGetOneErrorOrClose sends requests that net/http's client would not send. Each gets one error
// response or a closed connection, and the bytes after it are never handled as a request (request smuggling).
func TestMalformedRequestsGetOneErrorOrClose(t *testing.T) {
	b := startBackend(t, "ok")
	p := startWithBackends(t, b)
	hidden := testserver.RequestHead("GET", "hidden", "read") + "\r\n"
	pay := testserver.RequestHead("POST", "i", "pay")
	const chunked = "Transfer-Encoding: chunked\r\n"
	http10 := strings.Replace(pay, "1.1", "1.0", 1) + "Connection: keep-alive\r\n"
	beyondHidden := fmt.Sprintf("Content-Length: %d\r\n", len("0\r\n\r\n")+len(hidden))
	for _, tt := range []struct {
		name, text string
		status     int // 0: closing the connection suffices
	}{
		{"Content-Length and chunked", pay + beyondHidden + chunked + "\r\n0\r\n\r\n" + hidden, 400},
		{"chunked and Content-Length", pay + chunked + "Content-Length: 4\r\n\r\n0\r\n\r\n" + hidden, 400},
		{"chunked and Content-Length at another path", "POST /healthz HTTP/1.1\r\nHost: x\r\n" + chunked +
			"Content-Length: 4\r\n\r\n0\r\n\r\n" + hidden, 400},
		{"malformed chunk", pay + chunked + "\r\n4x\r\nskip\r\n0\r\n\r\n" + hidden, 400},
		{"folded header line", pay + "X-A: 1\r\n 2\r\nContent-Length: 4\r\n\r\nskip" + hidden, 400},
		{"same Content-Length twice", pay + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nskip" + hidden, 400},
		{"unknown transfer coding", pay + "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n\r\nskip" + hidden, 400},
		{"chunked and Content-Length in HTTP/1.0", http10 + chunked + "Content-Length: 0\r\n\r\n" + hidden, 400},
		{"health check in HTTP/1.0", "GET /healthz HTTP/1.0\r\nConnection: keep-alive\r\n" + chunked + "\r\n" + hidden, 200},
		{"two Content-Lengths", pay + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nskip" + hidden, 400},
		{"negative Content-Length", pay + "Content-Length: -1\r\n\r\n" + hidden, 400},
		{"Content-Length is not a number", pay + "Content-Length: four\r\n\r\nskip" + hidden, 400},
		{"Content-Length over the limit", pay + "Content-Length: 60000000\r\n\r\n" + hidden, 413},
		{"Content-Length overflows", pay + "Content-Length: 99999999999999999999\r\n\r\n" + hidden, 400},
		{"body on GET", testserver.RequestHead("GET", "i", "read") + "Content-Length: 4\r\n\r\nskip" + hidden, 400},
		{"not HTTP", "hello\r\n\r\n" + hidden, 400},
		{"incomplete head", pay, 0},
		{"head too long", pay + "X: " + strings.Repeat("x", 2*(16<<10)), 431},
		{"incomplete body", pay + "Content-Length: 400\r\n\r\nhalf", 408},
		{"no bytes", "", 0},
		{"many invalid requests", strings.Repeat(testserver.RequestHead("GET", "i", "sing")+"\r\n", 20) + hidden, 400},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := p.DialConn()
			if _, err := io.WriteString(c, tt.text); err != nil {
				t.Fatal(err)
			}
			responses, err := io.ReadAll(c)
			status := regexp.MustCompile(`HTTP/1\.\d \d+`).FindAllString(string(responses), -1)
			suffix := fmt.Sprint(" ", tt.status)
			if len(status) > 1 || tt.status != 0 && (len(status) != 1 || !strings.HasSuffix(status[0], suffix)) {
				t.Errorf("responses %q, error %v, want one of status %d", responses, err, tt.status)
			}
		})
	}
	longest := max(downstream.HeadTimeout, proxy.BodyStartTimeout, downstream.HeadTimeout+proxy.BodyGrace)
	if longest > 2800*time.Millisecond || downstream.HeadTimeout < 2200*time.Millisecond {
		t.Errorf("head timeout %v, longest time without a complete request %v, want over 2 s and under 3 s",
			downstream.HeadTimeout, longest)
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d requests were forwarded, the first %+v", n, <-b.Requests)
	}
	if got := p.Send("pay"); got.Status != 200 {
		t.Errorf("response %+v to a valid request", got)
	}
}

// TestMalformedPipelinedRequestDoesNotCostFirstResponse: a client sends a valid request followed by a malformed one,
// complete or without its last byte. net/http reads the second while the first is in flight. The first is served, and
// the second gets an error response or a closed connection.
func TestMalformedPipelinedRequestDoesNotCostFirstResponse(t *testing.T) {
	malformed := testserver.RequestHead("GET", "bad", "read") + "Content-Length: 0\r\n"
	for name, bad := range map[string]string{
		"two Content-Lengths":        malformed + "Content-Length: 0\r\n",
		"Content-Length and chunked": malformed + "Transfer-Encoding: chunked\r\n\r\n",
	} {
		for later := range 2 { // bytes sent while the first request is in flight
			t.Run(fmt.Sprintf("%s, %d bytes later", name, later), func(t *testing.T) {
				release := make(chan struct{})
				b := startBlockingBackend(t, release, anyRequest, "ok")
				p := startWithBackends(t, b)
				c := p.DialConn()
				fmt.Fprintf(c, "%s\r\n%s", testserver.RequestHead("GET", "good", "read"), bad[:len(bad)-later])
				testserver.Receive(t, b.Requests, "first request")
				fmt.Fprint(c, bad[len(bad)-later:])
				_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) // no response arrives later either
				if n, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("%d bytes, error %v while the first request is in flight", n, err)
				}
				close(release)
				_ = c.SetReadDeadline(time.Now().Add(testserver.Timeout))
				in := bufio.NewReader(c)
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("response %+v, error %v to the first", resp, err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				if resp, err = http.ReadResponse(in, nil); err == nil && resp.StatusCode != http.StatusBadRequest ||
					err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Errorf("response %+v, error %v to the second", resp, err)
				}
			})
		}
	}
}

// TestInvalidRequestsAreRejected: requests with one fault each are rejected and not forwarded, and the next request is
// served.
func TestInvalidRequestsAreRejected(t *testing.T) {
	b := startBackend(t, "ok")
	p := startWithBackends(t, b)
	newRequest := func(class string, change func(*http.Request)) *http.Request {
		r := p.NewRequest(context.Background(), class, "50000")
		change(r)
		return r
	}
	withoutHeader := func(class, header string) *http.Request {
		return newRequest(class, func(r *http.Request) { r.Header.Del(header) })
	}
	withHeader := func(class, header, value string) *http.Request {
		return newRequest(class, func(r *http.Request) { r.Header.Set(header, value) })
	}
	method := func(class, m string) *http.Request { return newRequest(class, func(r *http.Request) { r.Method = m }) }
	withBody := func(n int) *http.Request {
		return newRequest("pay", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", n))), int64(n)
		})
	}
	for _, tt := range []struct {
		name   string
		r      *http.Request
		status int
	}{
		{"no id", withoutHeader("read", "X-Request-ID"), 400},
		{"no class", withoutHeader("read", "X-Priority-Class"), 400},
		{"unknown class", withHeader("read", "X-Priority-Class", "sing"), 400},
		{"no timeout", withoutHeader("read", "X-Timeout-Ms"), 400},
		{"malformed timeout", withHeader("read", "X-Timeout-Ms", "soon"), 400},
		{"negative timeout", withHeader("read", "X-Timeout-Ms", "-1"), 400},
		{"timeout overflows", withHeader("read", "X-Timeout-Ms", "99999999999999999999"), 400},
		{"no idempotency key", withoutHeader("book", "Idempotency-Key"), 400},
		{"GET of a class that is not idempotent", method("pay", "GET"), 405},
		{"idempotent POST", method("read", "POST"), 405},
		{"key for a class that is at most once", withHeader("pay", "Idempotency-Key", "k"), 400},
		{"key for an idempotent class", withHeader("read", "Idempotency-Key", "k"), 400},
		{"two ids", newRequest("pay", func(r *http.Request) { r.Header.Add("X-Request-ID", "id-2") }), 400},
		{"two classes", newRequest("pay", func(r *http.Request) { r.Header.Add("X-Priority-Class", "read") }), 400},
		{"unsupported method", method("read", "DELETE"), 405},
		{"unknown path", newRequest("read", func(r *http.Request) { r.URL.Path = "/apis" }), 404},
		{"health check method", newRequest("read", func(r *http.Request) { r.URL.Path, r.Method = "/healthz", "PUT" }), 405},
		{"body over the limit", withBody(proxy.MaxRequestBody + 1), 413},
		{"longest body that is always buffered", withBody(upstream.MaxBufferedBody), 200},
		{"longer body within the limit", withBody(10 * upstream.MaxBufferedBody), 200},
		{"unknown tenant", withHeader("read", "X-Tenant-Id", "nobody"), 200},
		{"no tenant", withoutHeader("pay", "X-Tenant-Id"), 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			before := b.RequestCount()
			if got := p.Do(tt.r); got.Err != nil || got.Status != tt.status {
				t.Errorf("status %d, error %v, want %d", got.Status, got.Err, tt.status)
			}
			if sent := b.RequestCount() > before; sent != (tt.status == 200) {
				t.Errorf("forwarded: %v", sent)
			}
			if got := p.Send("pay"); got.Status != 200 {
				t.Errorf("the next request: %+v", got)
			}
		})
	}
}

// TestDuplicateRequestIDIsRejected: a request is rejected if its ID is that of a request in flight or of one that
// recently got its response.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	release := make(chan struct{})
	b := startBlockingBackend(t, release, anyRequest, "mine")
	p := startWithBackends(t, b)
	newRequest := func() *http.Request {
		r := p.NewRequest(context.Background(), "pay", "50000")
		r.Header.Set("X-Request-ID", "same")
		return r
	}
	first := make(chan testserver.Result, 1)
	go func() { first <- p.Do(newRequest()) }()
	testserver.Receive(t, b.Requests, "attempt")
	if got := p.Do(newRequest()); got.Status != 409 || !got.Close {
		t.Errorf("response %+v to the ID of a request in flight", got)
	}
	close(release)
	if got := testserver.Receive(t, first, "response"); got.Status != 200 || got.Body != "mine" {
		t.Errorf("response %+v to the first request", got)
	}
	if got := p.Do(newRequest()); got.Status != 409 {
		t.Errorf("response %+v to a recently used ID", got)
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d further attempts", n)
	}
}

// TestRequestsOverLimitAreRejected: with one request in flight and a limit of one, the next request is rejected.
func TestRequestsOverLimitAreRejected(t *testing.T) {
	b := testserver.StartBackend(t, testserver.NeverRespond)
	settings := strings.Replace(testserver.Settings, `"most_held":20000`, `"most_held":1`, 1)
	p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), settings))
	ctx, cancel := context.WithCancel(context.Background())
	ended := p.sendAsync(ctx, "pay")
	testserver.Receive(t, b.Requests, "attempt")
	if got := p.Send("pay"); got.Status != 503 || b.RequestCount() != 0 {
		t.Errorf("status %d, %d attempts", got.Status, b.RequestCount())
	}
	cancel()
	testserver.Receive(t, ended, "end")
}

// TestStalledRequestBodyTimesOut: the connection of a client that sends only part of a body is closed when its request
// times out, and other requests are served.
func TestStalledRequestBodyTimesOut(t *testing.T) {
	b := startBackend(t, "ok")
	p := startWithBackends(t, b)
	c := p.DialConn()
	fmt.Fprint(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: i\r\nX-Priority-Class: pay\r\nX-Timeout-Ms: 300\r\n"+
		"Content-Length: 10\r\n\r\nhalf")
	if _, err := io.ReadAll(c); err != nil {
		t.Errorf("the connection was not closed: %v", err)
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d attempts for an incomplete request", n)
	}
	// The timeout of the body does not affect other requests.
	if got := p.Send("pay"); got.Status != 200 {
		t.Errorf("response %+v", got)
	}
}

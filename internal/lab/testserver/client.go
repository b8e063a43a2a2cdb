package testserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Client sends requests of the classes of Settings to a sidecar.
type Client struct {
	T       *testing.T
	Address string // of the sidecar
	HTTP    *http.Client
	ids     atomic.Int64
}

// Result is a final response as the client sees it.
type Result struct {
	Status int
	Body   string
	Close  bool // the sidecar asks to close the connection
	Err    error
}

// NewRequest returns a request of a class, with an id of its own. Its method and key follow from the class.
func (c *Client) NewRequest(ctx context.Context, class, timeoutMS string) *http.Request {
	method, key, body := http.MethodGet, "", ""
	switch class {
	case "book":
		method, key, body = http.MethodPost, "k-1", "skip of 6 m3"
	case "pay":
		method, body = http.MethodPost, "RWF 45000"
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+"/api?k=a%20b&x=%2F", strings.NewReader(body))
	if err != nil {
		c.T.Fatal(err)
	}
	r.Header.Set("X-Request-ID", fmt.Sprintf("id-%d", c.ids.Add(1)))
	r.Header.Set("X-Priority-Class", class)
	r.Header.Set("X-Tenant-Id", "acme, east")
	r.Header.Set("X-Timeout-Ms", timeoutMS)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return r
}

// Do sends a request and reads its response.
func (c *Client) Do(r *http.Request) Result {
	resp, err := c.HTTP.Do(r)
	if err != nil {
		return Result{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Result{resp.StatusCode, string(body), resp.Close, err}
}

// Send sends a request of a class with a long timeout, and fails the test if it gets no response.
func (c *Client) Send(class string) Result {
	c.T.Helper()
	result := c.Do(c.NewRequest(context.Background(), class, "50000"))
	if result.Err != nil {
		c.T.Fatal(result.Err)
	}
	return result
}

// DialConn opens a connection to the sidecar, on which reads fail after Timeout. The end of the test closes it.
func (c *Client) DialConn() net.Conn {
	c.T.Helper()
	conn, err := net.Dial("tcp", c.Address)
	if err != nil {
		c.T.Fatal(err)
	}
	c.T.Cleanup(func() { conn.Close() })
	if err := conn.SetReadDeadline(time.Now().Add(Timeout)); err != nil {
		c.T.Fatal(err)
	}
	return conn
}

// RequestHead returns the head of a request without the empty line that ends it.
func RequestHead(method, id, class string) string {
	return fmt.Sprintf("%s /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\n"+
		"X-Priority-Class: %s\r\nX-Timeout-Ms: 50000\r\n", method, id, class)
}

// ExpectFinalResponse reads one response from a connection, and fails the test if its status is another one or the
// connection does not end in order behind it.
func ExpectFinalResponse(t *testing.T, conn net.Conn, status int) {
	t.Helper()
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != status || !resp.Close {
		t.Errorf("response %+v, error %v, want %d and the connection's end", resp, err, status)
	}
	if rest, err := io.ReadAll(in); err != nil || len(rest) > 0 {
		t.Errorf("%q and error %v behind the final response, want its end", rest, err)
	}
}

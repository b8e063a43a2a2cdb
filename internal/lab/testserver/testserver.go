// Package testserver has the peers of a sidecar that its tests need: raw HTTP/1.1 backends whose responses a test
// writes byte by byte, a discovery service, and the texts of a configuration and of endpoint lists. All listen on
// loopback and end with their test. Only tests import it.
package testserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Timeout bounds how long a test waits for something that must happen. No test passes or fails by a shorter time.
const Timeout = 30 * time.Second

// Receive returns the next value from c, and fails the test if there is none within Timeout.
func Receive[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(Timeout):
		t.Fatalf("no %s within %v", what, Timeout)
	}
	return v
}

// Backend is an upstream server. Requests gets each request that was received completely.
type Backend struct {
	Address  string
	Requests chan *http.Request
}

// Listen listens on a free loopback port until the end of the test.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// Handler answers a request on its connection, and reports whether the connection stays open.
type Handler func(c net.Conn, r *http.Request, body []byte) (keepOpen bool)

// StartBackend starts a server that answers by handle until the end of the test.
func StartBackend(t *testing.T, handle Handler) *Backend {
	t.Helper()
	l := Listen(t)
	b := &Backend{Address: l.Addr().String(), Requests: make(chan *http.Request, maxRecordedRequests)}
	go func() { // ends when the test closes l
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go b.serve(c, handle)
		}
	}()
	return b
}

// maxRecordedRequests is how many requests a Backend receives before the test has to take them from Requests.
const maxRecordedRequests = 1000

// serve answers the requests that come on a connection until it ends.
func (b *Backend) serve(c net.Conn, handle Handler) {
	defer c.Close()
	in := bufio.NewReader(c)
	for keepOpen := true; keepOpen; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		b.Requests <- r
		keepOpen = handle(c, r, body)
	}
}

// Respond returns a handler that sends a status, a header line or "", and a body, and keeps the connection open.
func Respond(status int, header, body string) Handler {
	return func(c net.Conn, _ *http.Request, _ []byte) bool {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), header, body)
		return true
	}
}

// ResetConnection is a Handler that resets the connection without a response.
func ResetConnection(c net.Conn, _ *http.Request, _ []byte) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// NeverRespond is a Handler that sends nothing until the peer closes the connection or the test ends.
func NeverRespond(c net.Conn, _ *http.Request, _ []byte) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

// Discovery is a discovery service. Watches gets each watch call.
type Discovery struct {
	Address string
	Watches chan Watch
}

// Watch is one watch call. What is sent to Lines is written as its response, a line each.
type Watch struct {
	Query string
	Lines chan string // closed: the watch ends
}

// StartDiscovery starts a discovery service on a free port until the end of the test.
func StartDiscovery(t *testing.T) *Discovery {
	t.Helper()
	return ServeDiscovery(t, Listen(t))
}

// ServeDiscovery starts a discovery service at l until the end of the test.
func ServeDiscovery(t *testing.T, l net.Listener) *Discovery {
	t.Helper()
	d := &Discovery{Address: l.Addr().String(), Watches: make(chan Watch, 100)}
	web := &http.Server{Handler: http.HandlerFunc(d.serveWatch)}
	go func() { _ = web.Serve(l) }()
	t.Cleanup(func() { web.Close() })
	return d
}

// serveWatch answers a watch call with what the test sends.
func (d *Discovery) serveWatch(w http.ResponseWriter, r *http.Request) {
	watch := Watch{r.URL.RawQuery, make(chan string, 100)}
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	d.Watches <- watch
	for {
		select {
		case line, ok := <-watch.Lines:
			if !ok {
				return
			}
			fmt.Fprintln(w, line)
			_ = controller.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// EndpointEntry returns one endpoint in discovery's JSON form. bootMS is its start in milliseconds since the epoch; 0:
// unknown.
func EndpointEntry(id, address, state string, bootMS int64) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","model":"m","pod_group":0,`+
		`"state":%q,"capacity_hint":1.0,"boot_ms":%d}`, id, address, state, bootMS)
}

// ListText returns an endpoint list in discovery's JSON form. complete: it names all endpoints, else the changed ones.
func ListText(revision int, complete bool, entries ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, revision, complete, strings.Join(entries, ","))
}

// ServingList returns a complete list of these backends, with the ids s-0, s-1 and so on.
func ServingList(revision int, backends ...*Backend) string {
	var entries []string
	for i, b := range backends {
		entries = append(entries, EndpointEntry(fmt.Sprintf("s-%d", i), b.Address, "SERVING", 0))
	}
	return ListText(revision, true, entries...)
}

// RequestCount is the number of requests received and not taken from Requests.
func (b *Backend) RequestCount() int { return len(b.Requests) }

// Settings are the settings of a sidecar with three classes, one of each effect.
const Settings = `{"ordinal":0,"peers_total":1,"my_zone":"a","areas":["a","b"],"models":["m"],
	"discovery":"pushed","tier":0,"tiers":["back"],"unheard_of":{"x":[1,2]},
	"limits":{"try_limit":3,"cancelling":true,"connect_timeout_s":5.0,"idle_close_s":15.0,"most_held":20000},
	"rules":{"cold_s":9.0,"start_capacity":0.3,"fall_multiple":4.0,"fall_s":1.5,"must_ask_in_s":10.0},
	"tenants":[{"name":"acme, east","allowance_per_s":1000}],
	"request_classes":[
	{"name":"read","effect":"idempotent","group":"all","aim_s":20.0,"deadline_s":60.0,"credit":5.0,"window_s":5.0},
	{"name":"book","effect":"deduplicated","group":"all","aim_s":20.0,"deadline_s":60.0,"credit":5.0,"window_s":60.0},
	{"name":"pay","effect":"at_most_once","group":"all","aim_s":20.0,"deadline_s":60.0,"credit":10.0,"window_s":5.0}]}`

// ConfigText returns a sidecar's configuration file. known is its last list of endpoints, "" for none.
func ConfigText(discovery, known, settings string) string {
	if known == "" {
		known = "null"
	}
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","new":1,
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`, discovery, known, settings)
}

// Environment returns a lookup of environment variables in which PROXY_CONFIG names file. Each of variables is
// KEY=VALUE; all others are unset.
func Environment(file string, variables ...string) func(key string) string {
	return func(key string) string {
		if key == "PROXY_CONFIG" {
			return file
		}
		for _, variable := range variables {
			if name, value, _ := strings.Cut(variable, "="); name == key {
				return value
			}
		}
		return ""
	}
}

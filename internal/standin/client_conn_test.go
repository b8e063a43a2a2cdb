package standin

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/scenario"
	"milletramp.example/milletramp/internal/lab/workload"
	"milletramp.example/milletramp/internal/netretry"
)

// scriptedSidecar answers the first request on its first connection, and treats the second one as a test has it. It
// answers all requests on later connections.
type scriptedSidecar struct {
	t        *testing.T
	listener net.Listener
	second   func(conn *net.TCPConn, in *bufio.Reader) // handles the second request on the first connection
	requests atomic.Int32                              // requests read
}

func startScriptedSidecar(t *testing.T, second func(*net.TCPConn, *bufio.Reader)) *scriptedSidecar {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &scriptedSidecar{t: t, listener: listener, second: second}
	go func() { // ends when the test closes the listener
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn), first)
		}
	}()
	return s
}

func (s *scriptedSidecar) serve(conn *net.TCPConn, isFirst bool) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = in.Discard(in.Buffered()) // the body, which the client writes with the head
		token := s.requests.Add(1)
		body := fmt.Sprint(responsePrefix, token)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if isFirst {
			s.second(conn, in)
			return
		}
	}
}

// awaitUnread waits until bytes can be read from a connection, and leaves them unread.
func awaitUnread(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool { // waits; it fails only on a closed connection
		_, err := netretry.Peek(int(fd))
		return err != unix.EAGAIN
	})
}

// closeOver closes a connection over the unread request, which resets it.
func closeOver(conn *net.TCPConn, _ *bufio.Reader) { awaitUnread(conn) }

// closeBefore ends the sending side before the request comes, and resets the connection when it has come.
func closeBefore(conn *net.TCPConn, _ *bufio.Reader) {
	awaitUnread(conn)
	_ = conn.CloseWrite() // the client may have closed the connection
	time.Sleep(time.Millisecond)
}

// closeAfterReading reads the request and closes the connection without a response.
func closeAfterReading(conn *net.TCPConn, in *bufio.Reader) {
	if _, err := http.ReadRequest(in); err == nil {
		_, _ = in.Discard(in.Buffered()) // the body
	}
}

// TestRequestCrossingIdleCloseIsSentAgain guards against a request that counts as never answered because it crossed the
// close of an idle connection: the protocol has clients send it one more time. A request that the sidecar has read is
// not sent again, and counts as never answered.
func TestRequestCrossingIdleCloseIsSentAgain(t *testing.T) {
	for _, tt := range []struct {
		name     string
		second   func(*net.TCPConn, *bufio.Reader)
		answered bool
	}{
		{"closed over the unread request", closeOver, true},
		{"closed before the request is read", closeBefore, true},
		{"closed after the request was read", closeAfterReading, false},
	} {
		for _, effect := range []string{effectDeduplicated, effectIdempotent, "at_most_once"} {
			t.Run(tt.name+", "+effect, func(t *testing.T) {
				sidecar := startScriptedSidecar(t, tt.second)
				log := NewLog()
				clients := newTestClients(log, effect, time.Second)
				defer clients.httpClient.CloseIdleConnections()
				clients.SetAddress(sidecar.listener.Addr().String())
				for range 2 {
					clients.sendWithRetries(context.Background(), workload.Request{Tenant: -1, Timeout: patience})
				}
				requested, served := countRequests(log)
				want := 1
				if tt.answered {
					want = 2
				}
				if requested != 2 || served != want {
					t.Errorf("%d requests are recorded and %d served, want 2 and %d", requested, served, want)
				}
			})
		}
	}
}

// TestLateResponseIsRecorded guards against a response that counts as missing because it is late: the checker has to
// tell how late it was.
func TestLateResponseIsRecorded(t *testing.T) {
	const timeout, late = 50 * time.Millisecond, 400 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(timeout + late)
		fmt.Fprint(w, responsePrefix, 1)
	})}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	defer func() {
		_ = server.Close()
		<-ended
	}()
	log := NewLog()
	clients := newTestClients(log, effectDeduplicated, ResponseGrace)
	defer clients.httpClient.CloseIdleConnections()
	clients.SetAddress(listener.Addr().String())
	clients.sendWithRetries(context.Background(), workload.Request{Tenant: -1, Timeout: timeout})
	if requested, served := countRequests(log); requested != 1 || served != 1 {
		t.Errorf("%d requests and %d responses are recorded, want 1 and 1", requested, served)
	}
}

// newTestClients returns clients of one class that do not retry.
func newTestClients(log *Log, effect string, grace time.Duration) *Clients {
	return NewClients(ClientOptions{
		Sidecar:       testSidecar,
		Scenario:      &scenario.Scenario{Classes: []scenario.Class{{Name: "one", Effect: effect}}},
		Requests:      NewRequestRegistry(),
		Log:           log,
		IDs:           &atomic.Uint64{},
		ResponseGrace: grace,
	}, 1)
}

// countRequests returns how many requests a log has, and how many of them were served.
func countRequests(log *Log) (requested, served int) {
	for _, e := range log.Events() {
		switch {
		case e.Kind == record.Requested:
			requested++
		case e.Kind == record.Answered && e.Status == record.Served:
			served++
		}
	}
	return requested, served
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request of which a server has read the last byte.
type arrival struct {
	server *server
	id     string
	key    string // Idempotency-Key
	bytes  int    // length of the body
	at     time.Time
}

// server is a stand-in for a server. It serves one request at a time on a connection and starts on a request once the
// last byte has arrived.
type server struct {
	uid      string
	listener net.Listener
	record   *recorder
	gate     gate
	behaviour
}

// behaviour is what servers do.
type behaviour struct {
	// serve answers a request.
	serve func(w io.Writer, a arrival)
	// readHead, unless nil, is called when the head of a request was read.
	readHead func(s *server, id string, length int64)
}

// gate holds back a server that hangs: it neither reads nor writes.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // nil: the server does not hang
}

func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	if open != nil {
		<-open
	}
}

// hang makes the server hang until resume is called.
func (g *gate) hang() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == nil {
		g.open = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open != nil {
		close(g.open)
		g.open = nil
	}
}

// gatedConn is a connection of a server that may hang.
type gatedConn struct {
	net.Conn
	gate *gate
}

func (c gatedConn) Read(p []byte) (int, error) {
	c.gate.wait()
	n, err := c.Conn.Read(p)
	c.gate.wait()
	return n, err
}

func (c gatedConn) Write(p []byte) (int, error) {
	c.gate.wait()
	return c.Conn.Write(p)
}

func startServer(uid string, record *recorder, b behaviour) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{uid: uid, listener: listener, record: record, behaviour: b}
	go func() { // ends when the process ends
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serveConn(gatedConn{conn, &s.gate})
		}
	}()
	return s, nil
}

// target returns the server's entry in the list.
func (s *server) target() target {
	return target{UID: s.uid, Endpoint: s.listener.Addr().String(), AZ: "a", Model: "m", PodGroup: 1, State: "SERVING",
		Capacity: 1}
}

func (s *server) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Request-ID")
		if s.readHead != nil {
			s.readHead(s, id, request.ContentLength)
		}
		n, err := io.Copy(io.Discard, request.Body)
		if err != nil {
			s.record.event("%s: request %s broke off after %d bytes of its body", s.uid, id, n)
			return
		}
		key := request.Header.Get("Idempotency-Key")
		s.serve(conn, arrival{server: s, id: id, key: key, bytes: int(n), at: time.Now()})
	}
}

// answer200 writes a complete answer.
func answer200(w io.Writer, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

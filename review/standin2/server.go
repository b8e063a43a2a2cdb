package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// handler answers a request that has arrived whole, and reports whether its connection stays open.
type handler func(s *server, c net.Conn, r *http.Request) (keepOpen bool)

// server is one server of the deployment.
type server struct {
	uid      string
	podGroup int
	address  string // where the sidecar reaches it
	log      *record
	listener net.Listener
	handle   handler

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// startServer starts a server on a free port.
func startServer(uid string, podGroup int, log *record, handle handler) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		uid: uid, podGroup: podGroup, address: l.Addr().String(), log: log, listener: l, handle: handle,
		conns: map[net.Conn]bool{},
	}
	go s.accept() // ends with stop
	return s, nil
}

// entry returns the server's entry in discovery's list.
func (s *server) entry(state string) entry {
	return entry{
		UID: s.uid, Endpoint: s.address, AZ: "reykjavik", Model: "standard", PodGroup: s.podGroup,
		State: state, CapacityHint: 1,
	}
}

// stop closes the listener and all connections.
func (s *server) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// accept serves connections until the listener is closed.
func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve answers the requests on a connection.
func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.log.add("server %s got %s %s, time %s ms", s.uid, r.Method, r.Header.Get("X-Request-ID"),
			r.Header.Get("X-Timeout-Ms"))
		if !s.handle(s, c, r) {
			return
		}
	}
}

// answer sends a response with a length.
func answer(c net.Conn, status int, header, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), header, body)
}

// serveOK is a handler of a sound server: it answers with a body that names the request.
func serveOK(s *server, c net.Conn, r *http.Request) bool {
	answer(c, http.StatusOK, "", bodyFor(r))
	return true
}

// bodyFor returns the body of the answer to a request.
func bodyFor(r *http.Request) string { return "answer to " + r.Header.Get("X-Request-ID") }

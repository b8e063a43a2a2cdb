package responseplay

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server gives the responses of a population.
type Server struct {
	ID      string
	Address string
	IsSound bool // gives sound responses only

	listener net.Listener
	registry *Registry
	refuses  func(requestID string) bool // the first attempt at the request is refused

	mu         sync.Mutex
	rng        *rand.Rand
	population Population
	conns      map[net.Conn]bool
}

// ServerOptions are the options of a server.
type ServerOptions struct {
	ID         string
	Address    string // to listen at
	Seed       uint64
	Population Population
	IsSound    bool
	Refuses    func(requestID string) bool // nil: it refuses none
}

// StartServer starts a server that runs until Close.
func StartServer(registry *Registry, options ServerOptions) (*Server, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, fmt.Errorf("server %s: %w", options.ID, err)
	}
	s := &Server{
		ID:         options.ID,
		Address:    listener.Addr().String(),
		IsSound:    options.IsSound,
		listener:   listener,
		registry:   registry,
		refuses:    options.Refuses,
		rng:        rand.New(rand.NewPCG(options.Seed, uint64(len(options.ID)))),
		population: options.Population,
		conns:      map[net.Conn]bool{},
	}
	go s.accept()
	return s, nil
}

// SetPopulation replaces the population, from the next request on.
func (s *Server) SetPopulation(population Population) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.population = population
}

// Close ends the server and its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// accept serves connections until the listener closes.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// serve answers the requests on a connection until it ends.
func (s *Server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !s.respond(conn, request) {
			return
		}
	}
}

// respond answers one request and reports whether the connection stays open.
func (s *Server) respond(conn net.Conn, request *http.Request) (keepOpen bool) {
	id := request.Header.Get("X-Request-ID")
	if s.refuses != nil && s.refuses(id) {
		_, err := io.WriteString(conn, "HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	s.mu.Lock()
	script := s.population(s.rng)
	s.mu.Unlock()
	attempt := &Attempt{ServerID: s.ID, RequestID: id, Script: script, ReceivedAt: time.Now(), SendsSound: s.IsSound}
	s.registry.add(attempt)
	timeout, _ := strconv.Atoi(request.Header.Get("X-Timeout-Ms")) // 0 without one
	w := &scriptWriter{conn: conn, attempt: attempt, script: &attempt.Script}
	err := w.play(time.Duration(timeout) * time.Millisecond)
	attempt.finish(err)
	if err == nil && script.Ending == ResetShort {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	return err == nil && script.Ending == Complete && script.Framing != ToClose && !script.HTTP10
}

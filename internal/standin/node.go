package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"milletramp.example/milletramp/internal/lab/node"
	"milletramp.example/milletramp/internal/lab/record"
)

// RequestInfo is what a node looks up about a request: the sidecar need not pass it on.
type RequestInfo struct {
	Class  int
	Work   float64 // seconds on a standard core
	Key    uint64
	Effect uint64 // 0: repeats are not dropped
}

// RequestRegistry is where clients note their requests, for nodes to look up.
type RequestRegistry struct {
	mu       sync.Mutex
	requests map[uint64]RequestInfo
	tokens   uint64
	attempts map[uint64]uint8
}

// NewRequestRegistry returns an empty book.
func NewRequestRegistry() *RequestRegistry {
	return &RequestRegistry{requests: map[uint64]RequestInfo{}, attempts: map[uint64]uint8{}}
}

// Register notes a request.
func (b *RequestRegistry) Register(id uint64, k RequestInfo) {
	b.mu.Lock()
	b.requests[id] = k
	b.mu.Unlock()
}

// Lookup looks a request up.
func (b *RequestRegistry) Lookup(id uint64) (RequestInfo, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k, ok := b.requests[id]
	return k, ok
}

// NextToken names an answer.
func (b *RequestRegistry) NextToken() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
	return b.tokens
}

// Node is one tracking node: an HTTP server around the model of one.
type Node struct {
	Number        int32
	requests      *RequestRegistry
	log           *Log
	maxConns      int           // connections
	handshakeWork float64       // work of a handshake, seconds on a standard core
	idleTimeout   time.Duration // after which connections are closed
	stopsOnCancel bool          // work stops when its request is cancelled

	mu         sync.Mutex
	model      *node.Server
	stepTimer  *time.Timer
	httpServer *http.Server
	conns      map[net.Conn]*trackedConn
	killed     bool
	formerWork float64 // by former processes
}

type trackedConn struct {
	fresh        bool
	requestBegan time.Duration // first byte of the request in hand
}

type connContextKey struct{}

// NodeOptions are what a node is started with.
type NodeOptions struct {
	Number        int32
	Requests      *RequestRegistry
	Log           *Log
	ConnCap       int
	Handshake     time.Duration
	IdleTimeout   time.Duration
	StopsOnCancel bool
}

// NewNode returns a node that does not listen yet.
func NewNode(o NodeOptions) *Node {
	return &Node{Number: o.Number, requests: o.Requests, log: o.Log, maxConns: o.ConnCap, handshakeWork: o.Handshake.Seconds(), idleTimeout: o.IdleTimeout,
		stopsOnCancel: o.StopsOnCancel, killed: true}
}

// Start begins a process of the node that serves on l, with a model whose clock is the log's.
func (n *Node) Start(l net.Listener, s *node.Server) {
	n.mu.Lock()
	if n.model != nil {
		s.Faults = n.model.Faults
		n.formerWork += n.model.Done()
	}
	n.model, n.killed, n.conns = s, false, map[net.Conn]*trackedConn{}
	n.httpServer = &http.Server{Handler: n, IdleTimeout: n.idleTimeout, ConnState: n.trackConn,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		}}
	web := n.httpServer
	n.mu.Unlock()
	go func() { _ = web.Serve(l) }() // it ends with Kill
}

// Kill ends the process: its connections break, new ones are refused, what it held is gone.
func (n *Node) Kill() {
	n.mu.Lock()
	if n.killed {
		n.mu.Unlock()
		return
	}
	n.killed = true
	n.model.Drop(n.log.Now())
	web := n.httpServer
	for c := range n.conns { // a process that dies resets its connections
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	n.mu.Unlock()
	_ = web.Close()
}

// Change changes the node's troubles or speed.
func (n *Node) Change(change func(s *node.Server, now time.Duration)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n.model, n.log.Now())
	n.advance()
}

// Worked is the work done by all processes of the node so far.
func (n *Node) Worked() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.model == nil {
		return 0
	}
	return n.formerWork + n.model.Done()
}

func (n *Node) trackConn(c net.Conn, s http.ConnState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch s {
	case http.StateNew:
		if n.conns[c] = (&trackedConn{fresh: true}); len(n.conns) > n.maxConns {
			_ = c.Close()
		}
	case http.StateActive:
		if k := n.conns[c]; k != nil {
			k.requestBegan = n.log.Now()
		}
	case http.StateClosed, http.StateHijacked:
		delete(n.conns, c)
	}
}

// ServeHTTP implements http.Handler.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/healthz" {
		return
	}
	id, err := strconv.ParseUint(r.Header.Get("X-Request-ID"), 16, 64)
	known, ok := n.requests.Lookup(id)
	c, _ := r.Context().Value(connContextKey{}).(net.Conn)
	side := sidecarOf(r)
	n.mu.Lock()
	k := n.conns[c]
	if k == nil || n.killed {
		n.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	fresh := k.fresh
	k.fresh = false
	begun := k.requestBegan
	n.mu.Unlock()
	attempt := n.requests.nextAttempt(id)
	n.log.Add(record.Event{At: begun, Kind: record.Sent, Request: id, Attempt: attempt, Sidecar: side, Node: n.Number})
	n.log.Add(record.Event{Kind: record.Arrived, Request: id, Attempt: attempt, Sidecar: side, Node: n.Number, Work: known.Work,
		Effect: id})
	if err != nil || !ok {
		http.Error(w, "no client sent this", http.StatusBadRequest)
		return
	}
	n.serve(w, r, id, attempt, known, fresh)
}

// serve has the model decide on a request and answers it.
func (n *Node) serve(w http.ResponseWriter, r *http.Request, id uint64, attempt uint8, known RequestInfo, fresh bool) {
	job := &node.Job{Work: known.Work}
	done := make(chan node.Ending, 1)
	job.Owner = done
	extra := 0.0
	if fresh {
		extra = n.handshakeWork
	}
	end := func(s record.Status) {
		n.log.Add(record.Event{Kind: record.AttemptEnded, Request: id, Attempt: attempt, Node: n.Number, Status: s})
	}
	n.mu.Lock()
	verdict := n.model.Arrive(n.log.Now(), job, known.Class, known.Key, known.Effect, extra)
	server := n.model
	n.advance()
	n.mu.Unlock()
	switch verdict {
	case node.TurnedAway:
		n.log.Add(record.Event{Kind: record.Replied, Request: id, Attempt: attempt, Node: n.Number, Status: record.Rejected})
		end(record.Rejected)
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case node.Swallowed:
		<-r.Context().Done()
		end(record.Cancelled)
		panic(http.ErrAbortHandler)
	case node.Known:
		n.log.Add(record.Event{Kind: record.Deduplicated, Request: id, Attempt: attempt, Node: n.Number})
	default:
		n.log.Add(record.Event{Kind: record.Ran, Request: id, Attempt: attempt, Node: n.Number})
	}
	select {
	case ending := <-done:
		s, token := record.Served, n.requests.NextToken()
		if ending != node.Answered {
			s = record.Failed
		}
		n.log.Add(record.Event{Kind: record.Replied, Request: id, Attempt: attempt, Node: n.Number, Status: s, Token: token,
			Work: job.Work})
		n.reply(w, ending, token)
		end(s)
	case <-r.Context().Done():
		n.mu.Lock()
		if n.stopsOnCancel && n.model == server {
			server.Cancel(n.log.Now(), job)
			n.advance()
		}
		n.mu.Unlock()
		end(record.Cancelled)
		panic(http.ErrAbortHandler)
	}
}

// reply writes the answer.
func (n *Node) reply(w http.ResponseWriter, ending node.Ending, token uint64) {
	switch ending {
	case node.Errored:
		http.Error(w, "error", http.StatusInternalServerError)
	case node.Garbled:
		if h, ok := w.(http.Hijacker); ok {
			if c, _, err := h.Hijack(); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nspoilt")
				_ = c.Close()
			}
		}
	default:
		body := fmt.Sprintf("answer %d", token)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	}
}

// advance has the model do what is due, and asks for its next time. The lock is held.
func (n *Node) advance() {
	if n.killed {
		return
	}
	for _, j := range n.model.Step(n.log.Now()) {
		j.Owner.(chan node.Ending) <- n.model.Ending()
	}
	next := n.model.Next()
	if n.stepTimer != nil {
		n.stepTimer.Stop()
		n.stepTimer = nil
	}
	if next >= 0 {
		n.stepTimer = time.AfterFunc(max(next-n.log.Now(), 0), func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.advance()
		})
	}
}

// nextAttempt numbers a request's attempts as they reach nodes.
func (b *RequestRegistry) nextAttempt(id uint64) uint8 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts[id]++
	return b.attempts[id] - 1
}

// SidecarIP is where the links of a sidecar call from, so that nodes can tell whose they are.
func SidecarIP(sidecar int) net.IP {
	return net.IPv4(127, 0, byte(1+sidecar/200), byte(1+sidecar%200))
}

// sidecarOf tells which sidecar a request came through, or -1.
func sidecarOf(r *http.Request) int32 {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	ip := net.ParseIP(host).To4()
	if ip == nil || ip[2] == 0 {
		return -1
	}
	return int32(ip[2]-1)*200 + int32(ip[3]) - 1
}

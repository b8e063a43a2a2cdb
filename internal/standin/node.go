package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"milletramp.example/milletramp/internal/lab/servermodel"
)

// Node is one server of the emulated service: an HTTP server around the model of one. It can be killed and started
// again, as a new process.
type Node struct {
	Number int32

	requests      *RequestRegistry
	log           *Log
	maxConns      int
	handshakeWork float64 // seconds on a standard core
	idleTimeout   time.Duration
	stopsOnCancel bool

	mu         sync.Mutex
	model      *servermodel.Server
	stepTimer  *time.Timer
	httpServer *http.Server
	conns      map[net.Conn]*trackedConn
	killed     bool    // or not started yet
	formerWork float64 // by former processes
}

// NodeOptions are what a node is made with.
type NodeOptions struct {
	Number        int32
	Requests      *RequestRegistry
	Log           *Log
	ConnCap       int           // most open connections
	Handshake     time.Duration // work of a connection's handshake, on a standard core
	IdleTimeout   time.Duration // after which idle connections are closed
	StopsOnCancel bool          // work stops when its request is cancelled
}

// trackedConn is an open connection of a node.
type trackedConn struct {
	fresh        bool          // no request has come through it yet
	requestBegan time.Duration // first byte of the present request
}

// connContextKey is the key of a request's net.Conn in its context.
type connContextKey struct{}

// NewNode returns a node that does not listen yet.
func NewNode(options NodeOptions) *Node {
	return &Node{
		Number:        options.Number,
		requests:      options.Requests,
		log:           options.Log,
		maxConns:      options.ConnCap,
		handshakeWork: options.Handshake.Seconds(),
		idleTimeout:   options.IdleTimeout,
		stopsOnCancel: options.StopsOnCancel,
		killed:        true,
	}
}

// Start starts a process of the node that serves on the listener, with a model whose clock is the log's. The model gets
// the faults of the former process.
func (n *Node) Start(listener net.Listener, model *servermodel.Server) {
	server := &http.Server{
		Handler:     n,
		IdleTimeout: n.idleTimeout,
		ConnState:   n.trackConn,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	n.mu.Lock()
	if n.model != nil {
		model.Faults = n.model.Faults
		n.formerWork += n.model.CompletedWork()
	}
	n.model = model
	n.killed = false
	n.conns = map[net.Conn]*trackedConn{}
	n.httpServer = server
	n.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // it ends with Kill
}

// Kill ends the process. Its connections are reset, new ones are refused and its requests are lost.
func (n *Node) Kill() {
	n.mu.Lock()
	if n.killed {
		n.mu.Unlock()
		return
	}
	n.killed = true
	n.model.Abort(n.log.Now())
	server := n.httpServer
	for c := range n.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a process that is killed resets its connections
		}
	}
	n.mu.Unlock()
	_ = server.Close()
}

// Change changes the model: its faults or its speed.
func (n *Node) Change(change func(model *servermodel.Server, now time.Duration)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n.model, n.log.Now())
	n.advance()
}

// Worked returns the work done so far by all processes of the node, in seconds on a standard core.
func (n *Node) Worked() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.model == nil {
		return 0
	}
	return n.formerWork + n.model.CompletedWork()
}

// trackConn follows the states of connections, and closes those beyond the most.
func (n *Node) trackConn(c net.Conn, state http.ConnState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch state {
	case http.StateNew:
		n.conns[c] = &trackedConn{fresh: true}
		if len(n.conns) > n.maxConns {
			_ = c.Close()
		}
	case http.StateActive:
		if tracked := n.conns[c]; tracked != nil {
			tracked.requestBegan = n.log.Now()
		}
	case http.StateClosed, http.StateHijacked:
		delete(n.conns, c)
	}
}

// advance moves the model to the present, ends the requests that are done, and sets a timer for the next step. The lock
// is held.
func (n *Node) advance() {
	if n.killed {
		return
	}
	for _, job := range n.model.Advance(n.log.Now()) {
		job.Owner.(chan servermodel.Outcome) <- n.model.DrawOutcome()
	}
	next := n.model.NextEvent()
	if n.stepTimer != nil {
		n.stepTimer.Stop()
		n.stepTimer = nil
	}
	if next < 0 {
		return
	}
	n.stepTimer = time.AfterFunc(max(next-n.log.Now(), 0), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.advance()
	})
}

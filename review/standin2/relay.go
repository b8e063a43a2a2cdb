package main

import (
	"net"
	"sync"
)

// relay is the network between the sidecar and one server. While it is cut, open connections stay open and silent in
// both directions, and what is under way arrives once it is back.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	back  *sync.Cond // signalled when the relay is no longer cut
	isCut bool
}

// startRelay starts a relay to a server.
func startRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target}
	r.back = sync.NewCond(&r.mu)
	go r.accept() // ends with stop
	return r, nil
}

// stop closes the listener. Connections end with their server.
func (r *relay) stop() {
	_ = r.listener.Close()
	r.setCut(false)
}

// setCut cuts the network, or mends it.
func (r *relay) setCut(isCut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = isCut
	r.back.Broadcast()
}

// awaitBack waits while the network is cut.
func (r *relay) awaitBack() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.isCut {
		r.back.Wait()
	}
}

// accept relays connections until the listener is closed.
func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			r.awaitBack()
			far, err := net.Dial("tcp", r.target)
			if err != nil {
				_ = near.Close()
				return
			}
			go r.pass(near, far)
			r.pass(far, near)
		}()
	}
}

// pass relays one direction of a connection until either side ends it.
func (r *relay) pass(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		r.awaitBack()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

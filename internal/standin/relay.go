package standin

import (
	"net"
	"sync"
	"time"
)

const (
	readBufferBytes   = 16 << 10 // most bytes of a chunk
	maxChunksInFlight = 256      // of one direction
	maxPendingFaults  = 64       // of requests whose responses have not begun
)

// relayedConn is one connection through a link.
type relayedConn struct {
	client, server *net.TCPConn
	faults         chan linkFault // of requests, for the direction of the responses
}

// close ends both sides.
func (c *relayedConn) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// reset ends both sides with a TCP reset.
func (c *relayedConn) reset() {
	_ = c.client.SetLinger(0)
	_ = c.server.SetLinger(0)
	c.close()
}

// relay connects a client's connection to the target and forwards both directions until both have ended.
func (l *Link) relay(client *net.TCPConn, condition LinkCondition) {
	defer l.goroutines.Done()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: l.source}}
	server, err := dialer.DialContext(l.ctx, "tcp", l.target)
	if err != nil { // as if the connection had been refused: nothing of the request has passed
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c := &relayedConn{client: client, server: server.(*net.TCPConn), faults: make(chan linkFault, maxPendingFaults)}
	l.track(c)
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		l.forward(c, c.client, c.server, l.requestChunk, condition.HandshakeRoundTrips)
	}()
	go func() {
		defer both.Done()
		l.forward(c, c.server, c.client, l.responseChunk, 0)
	}()
	both.Wait()
	c.close()
	l.untrack(c)
}

// track makes a connection known to Close and SetCondition; it is closed if the link already is.
func (l *Link) track(c *relayedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	if l.closed {
		c.close()
	}
}

func (l *Link) untrack(c *relayedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// chunkMaker makes a chunk of bytes that were read, with the faults of its direction.
type chunkMaker func(c *relayedConn, bytes []byte, condition LinkCondition) chunk

// forward passes one direction on until it ends. Reading goes on while earlier bytes are delayed, so that a delay does
// not limit the rate.
func (l *Link) forward(c *relayedConn, from, to *net.TCPConn, newChunk chunkMaker, handshakeRoundTrips float64) {
	chunks := make(chan chunk, maxChunksInFlight)
	var delivery sync.WaitGroup
	delivery.Add(1)
	go func() {
		defer delivery.Done()
		l.deliver(c, to, chunks)
	}()
	defer delivery.Wait()
	defer close(chunks)
	for {
		buffer := make([]byte, readBufferBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			condition, ok := l.awaitOpen()
			if !ok {
				return
			}
			x := newChunk(c, buffer[:n], condition)
			x.due = time.Now().Add(l.drawDelay(condition, handshakeRoundTrips))
			handshakeRoundTrips = 0
			chunks <- x
		}
		if err != nil {
			chunks <- chunk{due: time.Now().Add(l.currentCondition().Delay), ending: endingHalfClose}
			return
		}
	}
}

// requestChunk draws a fault, applies it to bytes of a request and passes it to the direction of the responses.
func (l *Link) requestChunk(c *relayedConn, bytes []byte, condition LinkCondition) chunk {
	x := chunk{bytes: bytes, bytesPerSecond: condition.BytesPerSecond}
	fault := l.drawFault(condition)
	x.applyToRequest(fault)
	select {
	case c.faults <- fault:
	default: // too many requests without a response: this one meets no fault of the response
	}
	return x
}

// responseChunk applies the next fault drawn for a request, if any, to bytes of a response.
func (l *Link) responseChunk(c *relayedConn, bytes []byte, condition LinkCondition) chunk {
	x := chunk{bytes: bytes, bytesPerSecond: condition.BytesPerSecond}
	select {
	case fault := <-c.faults:
		x.applyToResponse(fault, l.randomize)
	default:
	}
	return x
}

package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// LinkCondition is the condition of a link. Shares are of requests, each of which is hit by one trouble at most.
type LinkCondition struct {
	Delay               time.Duration // one way
	JitterFraction      float64       // share of Delay by which it varies
	HandshakeRoundTrips float64       // round trips more for the first bytes of a connection
	BytesPerSecond      int           // bytes a second in each direction; 0: unbounded
	Blackhole           bool          // nothing passes, new connections do not come up; when it ends, the old ones are reset

	ResetBefore float64 // before a byte of the request has passed
	ResetWithin float64 // after half of it
	ResetAfter  float64 // once it has passed whole
	HalfClose   float64 // the answer's direction ends once the request has passed
	Garbage     float64 // the answer is replaced by noise
	Truncate    float64 // half of the answer passes, then the connection ends
	Trickle     float64 // the answer passes at a few bytes a second
}

const (
	trickleBytesPerSecond = 4        // bytes a second
	readBufferBytes       = 16 << 10 // bytes that a link takes up at once
	normalBacklog         = 128      // connections that wait to be accepted
	maxFillAttempts       = 8
	fillTimeout           = 250 * time.Millisecond // until a connection that fills the queue has come up
)

// Link is a TCP relay between a sidecar and a node.
type Link struct {
	listener *net.TCPListener
	source   net.IP // it calls the node from there
	target   string
	rng      *rand.Rand

	mu         sync.Mutex
	changed    *sync.Cond // the way changes
	condition  LinkCondition
	closed     bool
	holding    bool // a connection has been accepted and waits until the link is not silent: none behind it is accepted
	conns      map[*relayedConn]bool
	fillers    []net.Conn // they fill the listener's queue while the link is silent
	goroutines sync.WaitGroup
	cancel     context.CancelFunc
	ctx        context.Context
}

// relayedConn is one connection through a link.
type relayedConn struct {
	client, server *net.TCPConn
	faults         chan LinkCondition // what the request in hand meets; the answer's direction reads it
}

// NewLink returns a link that listens on loopback and leads to a node's address.
func NewLink(from net.IP, to string, way LinkCondition, seed uint64) (*Link, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", to, err)
	}
	k := &Link{listener: l, source: from, target: to, rng: rand.New(rand.NewPCG(seed, 0x117c)), condition: way, conns: map[*relayedConn]bool{}}
	k.changed = sync.NewCond(&k.mu)
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.goroutines.Add(1)
	go k.accept()
	return k, nil
}

// Address is where the link listens.
func (k *Link) Address() string { return k.listener.Addr().String() }

// Close ends the link and its connections, and waits until all of it has ended.
func (k *Link) Close() {
	k.cancel()
	_ = k.listener.Close()
	k.mu.Lock()
	k.closed = true
	k.changed.Broadcast()
	for c := range k.conns {
		c.close(false)
	}
	for _, c := range k.fillers {
		_ = c.Close()
	}
	k.mu.Unlock()
	k.goroutines.Wait()
}

// SetCondition changes the way.
func (k *Link) SetCondition(way LinkCondition) {
	k.mu.Lock()
	was := k.condition.Blackhole
	k.condition = way
	switch {
	case way.Blackhole && !was:
		k.mu.Unlock()
		k.fillBacklog()
		return
	case !way.Blackhole && was:
		for c := range k.conns { // what was cut off is reset once it is back
			c.close(true)
		}
		for _, c := range k.fillers {
			_ = c.Close()
		}
		k.fillers = nil
		_ = k.setBacklog(normalBacklog)
	}
	k.changed.Broadcast()
	k.mu.Unlock()
}

// setBacklog sets how many connections may wait to be accepted. Linux takes a second listen(2) for that.
func (k *Link) setBacklog(n int) error {
	raw, err := k.listener.SyscallConn()
	if err != nil {
		return err
	}
	var inner error
	err = raw.Control(func(fd uintptr) { inner = syscall.Listen(int(fd), n) })
	if err == nil {
		err = inner
	}
	return err
}

// fillBacklog fills the listener's queue, so that further connections never come up, as with a machine that is gone. Danger: what is
// filled while the accepting goroutine still has a turn to come is taken out of the queue again, and one more connection comes up; so
// one connection is held by it first, and what counts is what the kernel says of the queue, not how long a call took.
func (k *Link) fillBacklog() {
	if k.setBacklog(0) != nil {
		return // connections then come up and stay silent
	}
	for range maxFillAttempts {
		if waiting, err := k.backlogLength(); err != nil || waiting > 0 && k.isHolding() {
			return
		}
		d := net.Dialer{Timeout: fillTimeout}
		c, err := d.DialContext(k.ctx, "tcp", k.Address())
		if err != nil {
			continue // another connection is where this one would be, or the link has ended
		}
		k.mu.Lock()
		for !k.holding && k.condition.Blackhole && !k.closed { // c is there to be taken, or another is
			k.changed.Wait()
		}
		over := !k.condition.Blackhole || k.closed
		if !over {
			k.fillers = append(k.fillers, c)
		}
		k.mu.Unlock()
		if over {
			_ = c.Close()
			return
		}
	}
}

// isHolding tells whether a connection has been accepted and waits for the link to speak.
func (k *Link) isHolding() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holding
}

// backlogLength is how many connections have come up and wait to be accepted. For a socket that listens tcp_info has that in place of the
// segments that are out (tcp_diag(7), tcp_get_info).
func (k *Link) backlogLength() (int, error) {
	raw, err := k.listener.SyscallConn()
	if err != nil {
		return 0, err
	}
	var info *unix.TCPInfo
	var inner error
	if err := raw.Control(func(fd uintptr) { info, inner = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return 0, err
	}
	if inner != nil {
		return 0, fmt.Errorf("queue of %s: %w", k.Address(), inner)
	}
	return int(info.Unacked), nil
}

// awaitOpen waits until the link is not silent, and returns the way; false once it has ended.
func (k *Link) awaitOpen() (LinkCondition, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.condition.Blackhole && !k.closed {
		k.changed.Wait()
	}
	return k.condition, !k.closed
}

func (k *Link) accept() {
	defer k.goroutines.Done()
	for {
		c, err := k.listener.AcceptTCP()
		if err != nil {
			return
		}
		k.mu.Lock()
		for k.condition.Blackhole && !k.closed { // none is accepted while the link is silent
			k.holding = true
			k.changed.Broadcast()
			k.changed.Wait()
		}
		k.holding = false
		way, ok := k.condition, !k.closed
		k.mu.Unlock()
		if !ok {
			_ = c.Close()
			return
		}
		k.goroutines.Add(1)
		go k.relay(c, way)
	}
}

// relay carries one connection.
func (k *Link) relay(client *net.TCPConn, way LinkCondition) {
	defer k.goroutines.Done()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: k.source}}
	inner, err := d.DialContext(k.ctx, "tcp", k.target)
	if err != nil { // as if the connection had been refused: nothing of the request has passed
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c := &relayedConn{client: client, server: inner.(*net.TCPConn), faults: make(chan LinkCondition, 64)}
	k.mu.Lock()
	k.conns[c] = true
	if k.closed {
		c.close(false)
	}
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		k.forward(c, c.client, c.server, true, way.HandshakeRoundTrips)
	}()
	go func() {
		defer both.Done()
		k.forward(c, c.server, c.client, false, 0)
	}()
	both.Wait()
	c.close(false)
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
}

// close ends both sides.
func (c *relayedConn) close(reset bool) {
	if reset {
		_ = c.client.SetLinger(0)
		_ = c.server.SetLinger(0)
	}
	_ = c.client.Close()
	_ = c.server.Close()
}

// chunk is what passes at once.
type chunk struct {
	bytes          []byte
	due            time.Time
	bytesPerSecond int
	then           string // after it: "", "reset", "close", "half"
}

// forward passes one direction on. Reading goes on while earlier bytes are under way, so a delay does not bound the rate.
func (k *Link) forward(c *relayedConn, from, to *net.TCPConn, request bool, handshake float64) {
	under := make(chan chunk, 256)
	var writing sync.WaitGroup
	writing.Add(1)
	go func() {
		defer writing.Done()
		k.deliver(c, to, under)
	}()
	defer writing.Wait()
	defer close(under)
	fate := LinkCondition{}
	for {
		buf := make([]byte, readBufferBytes)
		n, err := from.Read(buf)
		if n > 0 {
			way, ok := k.awaitOpen()
			if !ok {
				return
			}
			x := chunk{bytes: buf[:n], bytesPerSecond: way.BytesPerSecond}
			if request {
				fate = k.drawFault(way)
				x.applyToRequest(fate)
				select {
				case c.faults <- fate:
				default:
				}
			} else {
				select { // the answer to the request drawn for last
				case fate = <-c.faults:
				default:
				}
				x.applyToResponse(fate, k)
				fate = LinkCondition{}
			}
			x.due = time.Now().Add(k.drawDelay(way, handshake))
			handshake = 0
			under <- x
		}
		if err != nil {
			under <- chunk{due: time.Now().Add(k.currentCondition().Delay), then: "half"}
			return
		}
	}
}

// currentCondition is the way as it stands.
func (k *Link) currentCondition() LinkCondition {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.condition
}

func (k *Link) drawDelay(way LinkCondition, handshake float64) time.Duration {
	k.mu.Lock()
	u := k.rng.Float64()
	k.mu.Unlock()
	one := float64(way.Delay) * (1 + way.JitterFraction*(2*u-1))
	return time.Duration(one * (1 + 2*handshake))
}

// drawFault tells which trouble a request meets: a Way with one share at 1, or none.
func (k *Link) drawFault(way LinkCondition) LinkCondition {
	k.mu.Lock()
	u := k.rng.Float64()
	k.mu.Unlock()
	for _, t := range []struct {
		share float64
		is    LinkCondition
	}{{way.ResetBefore, LinkCondition{ResetBefore: 1}}, {way.ResetWithin, LinkCondition{ResetWithin: 1}}, {way.ResetAfter, LinkCondition{ResetAfter: 1}},
		{way.HalfClose, LinkCondition{HalfClose: 1}}, {way.Garbage, LinkCondition{Garbage: 1}}, {way.Truncate, LinkCondition{Truncate: 1}},
		{way.Trickle, LinkCondition{Trickle: 1}}} {
		if u < t.share {
			return t.is
		}
		u -= t.share
	}
	return LinkCondition{}
}

// applyToRequest does to a request what its fate says.
func (x *chunk) applyToRequest(f LinkCondition) {
	switch {
	case f.ResetBefore > 0:
		x.bytes, x.then = nil, "reset"
	case f.ResetWithin > 0:
		x.bytes, x.then = x.bytes[:len(x.bytes)/2], "reset"
	case f.ResetAfter > 0:
		x.then = "reset"
	case f.HalfClose > 0:
		x.then = "half"
	}
}

// applyToResponse does to an answer what its request's fate says.
func (x *chunk) applyToResponse(f LinkCondition, k *Link) {
	switch {
	case f.Garbage > 0:
		k.mu.Lock()
		for i := range x.bytes {
			x.bytes[i] = byte(k.rng.Uint32())
		}
		k.mu.Unlock()
		x.then = "close"
	case f.Truncate > 0:
		x.bytes, x.then = x.bytes[:len(x.bytes)/2], "close"
	case f.Trickle > 0:
		x.bytesPerSecond = trickleBytesPerSecond
	}
}

// deliver writes what is due.
func (k *Link) deliver(c *relayedConn, to *net.TCPConn, under <-chan chunk) {
	broken := false
	for x := range under {
		if broken {
			continue
		}
		if !k.sleep(time.Until(x.due)) {
			broken = true
			continue
		}
		if _, ok := k.awaitOpen(); !ok {
			broken = true
			continue
		}
		for len(x.bytes) > 0 && !broken {
			n := len(x.bytes)
			if x.bytesPerSecond > 0 {
				n = min(n, max(x.bytesPerSecond/20, 1))
			}
			if _, err := to.Write(x.bytes[:n]); err != nil {
				broken = true
			}
			x.bytes = x.bytes[n:]
			if x.bytesPerSecond > 0 && !k.sleep(time.Duration(float64(n)/float64(x.bytesPerSecond)*1e9)) {
				broken = true
			}
		}
		switch x.then {
		case "reset":
			c.close(true)
		case "close":
			c.close(false)
		case "half":
			if to.CloseWrite() != nil {
				broken = true
			}
		}
	}
	if broken {
		c.close(false)
	}
}

// sleep waits; false if the link ends first.
func (k *Link) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-k.ctx.Done():
		return false
	}
}

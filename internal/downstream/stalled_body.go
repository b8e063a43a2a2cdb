package downstream

import "time"

// bodyStallTime is the time without input after which a request body may be ended for a new connection. A client that
// sends at 64 kB/s, the lowest rate that the platform allows, is never silent for so long.
const bodyStallTime = 400 * time.Millisecond

// recordBodyInput updates the list of connections in the middle of a body after bytes of a head or a body were read.
func (c *Conn) recordBodyInput() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.inBody = c.framing.inBody
	if !c.inBody || c.state != stateActive {
		l.removeBody(c)
		return
	}
	c.lastBodyInput = time.Now()
	if c.bodyElement != nil {
		l.bodies.MoveToBack(c.bodyElement)
		return
	}
	c.bodyElement = l.bodies.PushBack(c)
	if l.openConns >= l.maxConns {
		l.signalCapacity() // the next call of Accept may wait for this body to stall
	}
}

// removeBody removes a connection from the list of connections in the middle of a body. The caller must hold l.mu.
func (l *Listener) removeBody(c *Conn) {
	if c.bodyElement != nil {
		l.bodies.Remove(c.bodyElement)
		c.bodyElement = nil
	}
}

// endStalledBody ends the read of the request body that has been without input for the longest time, if that is at
// least bodyStallTime. The request gets an error and its connection closes. Otherwise clients that stop in the middle
// of a body would keep all connections, and requests on new connections would not be read in time. It returns how long
// to wait before the next call. The caller must hold l.mu.
func (l *Listener) endStalledBody() (wait time.Duration) {
	front := l.bodies.Front()
	if front == nil {
		return signalWait
	}
	c := front.Value.(*Conn)
	if wait := bodyStallTime - time.Since(c.lastBodyInput); wait > 0 {
		return wait
	}
	c.lastBodyInput = time.Now() // the next call looks at another connection
	l.bodies.MoveToBack(front)
	if !c.hasUnreadInput() { // else its handler has not read what the client has sent
		_ = c.Conn.SetReadDeadline(pastDeadline) // fails only on a closed connection
	}
	return minIdleTime
}

package standin

import (
	"net"
	"time"
)

// chunkEnding is what happens to the connection after a chunk.
type chunkEnding int

const (
	endingNone chunkEnding = iota
	endingReset
	endingClose
	endingHalfClose // only the direction of the chunk
)

const (
	trickleBytesPerSecond = 4
	pacedWritesPerSecond  = 20 // of a direction with limited bandwidth
)

// chunk is a piece of one direction's bytes on its way through a link.
type chunk struct {
	bytes          []byte
	due            time.Time
	bytesPerSecond int // 0 is unlimited
	ending         chunkEnding
}

// applyToRequest applies a fault to bytes of a request.
func (x *chunk) applyToRequest(fault linkFault) {
	switch fault {
	case faultResetBefore:
		x.bytes = nil
		x.ending = endingReset
	case faultResetWithin:
		x.bytes = x.bytes[:len(x.bytes)/2]
		x.ending = endingReset
	case faultResetAfter:
		x.ending = endingReset
	case faultHalfClose:
		x.ending = endingHalfClose
	}
}

// applyToResponse applies the fault of its request to bytes of a response. randomize overwrites bytes at random.
func (x *chunk) applyToResponse(fault linkFault, randomize func([]byte)) {
	switch fault {
	case faultGarbage:
		randomize(x.bytes)
		x.ending = endingClose
	case faultTruncate:
		x.bytes = x.bytes[:len(x.bytes)/2]
		x.ending = endingClose
	case faultTrickle:
		x.bytesPerSecond = trickleBytesPerSecond
	}
}

// deliver writes the chunks of one direction when they are due. After a failure it only drains the channel, then ends
// the connection.
func (l *Link) deliver(c *relayedConn, to *net.TCPConn, chunks <-chan chunk) {
	broken := false
	for x := range chunks {
		if !broken {
			broken = !l.deliverChunk(c, to, &x)
		}
	}
	if broken {
		c.close()
	}
}

// deliverChunk writes one chunk once it is due and the link is no blackhole. It returns false if the direction is
// broken.
func (l *Link) deliverChunk(c *relayedConn, to *net.TCPConn, x *chunk) bool {
	if !l.sleep(time.Until(x.due)) {
		return false
	}
	if _, ok := l.awaitOpen(); !ok {
		return false
	}
	written := l.writePaced(to, x)
	switch x.ending {
	case endingReset:
		c.reset()
	case endingClose:
		c.close()
	case endingHalfClose:
		if to.CloseWrite() != nil {
			return false
		}
	}
	return written
}

// writePaced writes a chunk at its rate, and returns false if it could not.
func (l *Link) writePaced(to *net.TCPConn, x *chunk) bool {
	remaining := x.bytes
	for len(remaining) > 0 {
		n := len(remaining)
		pause := time.Duration(0)
		if x.bytesPerSecond > 0 {
			n = min(n, max(x.bytesPerSecond/pacedWritesPerSecond, 1))
			pause = time.Duration(float64(n) / float64(x.bytesPerSecond) * float64(time.Second))
		}
		_, err := to.Write(remaining[:n])
		if !l.sleep(pause) || err != nil {
			return false
		}
		remaining = remaining[n:]
	}
	return true
}

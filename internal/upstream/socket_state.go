package upstream

import (
	"errors"
	"slices"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"milletramp.example/milletramp/internal/netretry"
)

// This file asks the system for the state of a connection to a server.

// maxPeekedInput is the maximum number of unread bytes that are looked at to tell how much of a body has arrived.
const maxPeekedInput = 2 * MaxBufferedBody

// peekBuffer holds the unread bytes of one connection at a time, so that many connections need no more memory.
type peekBuffer struct {
	mu   sync.Mutex
	data []byte // allocated at the first use
}

// isReusable reports whether the connection is open and has no unread bytes. Unread bytes would be parsed as the
// response to the next request.
func (c *serverConn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	nothingToRead := false
	err := c.rawConn.Read(func(fd uintptr) bool {
		_, err := netretry.Peek(int(fd))
		nothingToRead = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && nothingToRead
}

// hasUnreadInput reports whether bytes that were not parsed have arrived. It does not consume them.
func (c *serverConn) hasUnreadInput() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	unread := 0
	_ = c.rawConn.Read(func(fd uintptr) bool { // fails only on a closed connection
		unread, _ = netretry.Peek(int(fd)) // on failure nothing can be read
		return true
	})
	return unread > 0
}

// peekInput passes the unread bytes that have arrived to look, at most maxPeekedInput of those that are still in the
// socket. look must not keep them. peekInput must not be called during a read.
func (c *serverConn) peekInput(look func(input []byte)) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails, as the bytes are buffered
	if c.unreadInSocket() == 0 {
		look(buffered)
		return
	}
	c.peekBuffer.mu.Lock()
	defer c.peekBuffer.mu.Unlock()
	c.peekBuffer.data = slices.Grow(c.peekBuffer.data[:0], len(buffered)+maxPeekedInput)
	input := append(c.peekBuffer.data, buffered...)
	peeked := c.peekSocket(input[len(input) : len(input)+maxPeekedInput])
	look(input[:len(input)+len(peeked)])
}

// peekSocket copies unread bytes from the socket to p, and returns the part of p that was filled.
func (c *serverConn) peekSocket(p []byte) (filled []byte) {
	_ = c.rawConn.Control(func(fd uintptr) { // fails only on a closed connection
		_ = netretry.RetryOnEINTR(func() error {
			n, _, err := unix.Recvfrom(int(fd), p, unix.MSG_PEEK|unix.MSG_DONTWAIT)
			if err == nil {
				filled = p[:n]
			}
			return err
		})
	})
	return filled
}

// unreadInSocket returns the number of bytes that have arrived and are still in the socket, or 0 if the system does not
// tell.
func (c *serverConn) unreadInSocket() int { return c.socketCounter(unix.SIOCINQ) }

// socketCounter returns the result of an ioctl request for a number of bytes, or 0 if it fails.
func (c *serverConn) socketCounter(request uint) (n int) {
	_ = c.rawConn.Control(func(fd uintptr) { // fails only on a closed connection
		count, err := unix.IoctlGetInt(int(fd), request)
		if err == nil {
			n = count
		}
	})
	return n
}

// undeliveredBytes returns the number of written bytes whose receipt the server's machine has not acknowledged. It
// returns 0 if the system does not tell.
func (c *serverConn) undeliveredBytes() int { return c.socketCounter(unix.SIOCOUTQ) }

// peerClosed reports whether the server has closed its sending side or the connection is broken, even if bytes that
// arrived before are still unread.
func (c *serverConn) peerClosed() bool {
	var events int16
	_ = c.rawConn.Control(func(fd uintptr) { // fails only on a closed connection
		events, _ = netretry.Poll(int(fd), unix.POLLRDHUP) // on failure no event is set
	})
	return events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

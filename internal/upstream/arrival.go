package upstream

import (
	"golang.org/x/sys/unix"

	"milletramp.example/milletramp/internal/chunked"
	"milletramp.example/milletramp/internal/netretry"
)

// maxPeekedInput is the maximum number of unread bytes that are looked at to tell how much of a body has arrived.
const maxPeekedInput = 2 * MaxBufferedBody

// hasArrived reports whether more than n bytes of the body have arrived, read or unread, or all that the server gives:
// the complete body, or its part before the end of the connection. It must not be called during a read.
func (b *serverBody) hasArrived(n int64) bool {
	if b.isComplete() || b.received > n || b.conn.peerClosed() {
		return true
	}
	unread, isComplete := b.unreadLength(b.conn.peekInput())
	return isComplete || b.received+unread > n
}

// unreadLength returns the number of bytes of the body in input, the unread bytes of the connection, and whether the
// body ends in it. The end of a close-delimited body is not in the input.
func (b *serverBody) unreadLength(input []byte) (length int64, isComplete bool) {
	length = int64(len(input))
	switch {
	case b.length >= 0:
		return length, length >= b.remaining
	case b.decoder != nil:
		return decodedLength(*b.decoder, input)
	}
	return length, false
}

// decodedLength returns the number of data bytes in encoded, the next part of a chunked body, up to the first
// malformed byte, and whether the body ends in it.
func decodedLength(decoder chunked.Decoder, encoded []byte) (length int64, isComplete bool) {
	for len(encoded) > 0 && !isComplete {
		data, used, done, err := decoder.Next(encoded)
		if err != nil {
			return length, false
		}
		length += int64(len(data))
		isComplete = done
		encoded = encoded[used:]
	}
	return length, isComplete
}

// peekInput returns the unread bytes that have arrived, at most maxPeekedInput of those that are still in the socket.
// They are valid until the next read. It must not be called during a read.
func (c *serverConn) peekInput() []byte {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails, as the bytes are buffered
	waiting := c.unreadInSocket()
	if waiting == 0 {
		return buffered
	}
	input := make([]byte, len(buffered)+min(waiting, maxPeekedInput))
	n := copy(input, buffered)
	_ = c.rawConn.Control(func(fd uintptr) { // fails only on a closed connection
		_ = netretry.RetryOnEINTR(func() error {
			peeked, _, err := unix.Recvfrom(int(fd), input[len(buffered):], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			if err == nil {
				n += peeked
			}
			return err
		})
	})
	return input[:n]
}

// unreadInSocket returns the number of bytes that have arrived and are still in the socket, or 0 if the system does not
// tell.
func (c *serverConn) unreadInSocket() (n int) {
	_ = c.rawConn.Control(func(fd uintptr) { // fails only on a closed connection
		count, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		if err == nil {
			n = count
		}
	})
	return n
}

// peerClosed reports whether the server has closed its sending side or the connection is broken, even if bytes that
// arrived before are still unread.
func (c *serverConn) peerClosed() bool {
	var events int16
	_ = c.rawConn.Control(func(fd uintptr) { // fails only on a closed connection
		events, _ = netretry.Poll(int(fd), unix.POLLRDHUP) // on failure no event is set
	})
	return events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

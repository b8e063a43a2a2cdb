package downstream

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"milletramp.example/milletramp/internal/netretry"
)

// This file asks the system for the state of a client's connection, and sets its options.

// maxVisibleBacklog is the number of unread bytes up to which the end of a connection can be seen behind them. The
// system receives no more once its buffer is full. Clients send one request at a time, so a sound one leaves far fewer.
const maxVisibleBacklog = 32 << 10

// SetWriteBuffer sets the size in bytes of the socket's send buffer.
func (c *Conn) SetWriteBuffer(bytes int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetWriteBuffer(bytes)
	}
	return nil
}

// PeerClosed reports whether the client has closed its sending side, even if earlier bytes are still unread. A client
// with so many unread bytes that its close could not be seen counts as one that has closed.
func (c *Conn) PeerClosed() bool {
	var events int16
	unread := 0
	err := c.withDescriptor(func(fd int) (err error) {
		events, err = netretry.Poll(fd, unix.POLLRDHUP)
		if err != nil {
			return err
		}
		unread, err = unix.IoctlGetInt(fd, unix.TIOCINQ)
		return err
	})
	isClosed := events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	return err == nil && (isClosed || unread > maxVisibleBacklog)
}

// LastInputAt returns when the last bytes from the client reached this machine, which may be long before they were
// read. ok is false if the system does not tell.
func (c *Conn) LastInputAt() (at time.Time, ok bool) {
	var info *unix.TCPInfo
	err := c.withDescriptor(func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	if err != nil {
		return time.Time{}, false
	}
	return time.Now().Add(-time.Duration(info.Last_data_recv) * time.Millisecond), true
}

// hasUnreadInput reports whether unread bytes have arrived. It does not consume them.
func (c *Conn) hasUnreadInput() bool {
	unread := 0
	err := c.withDescriptor(func(fd int) (err error) {
		unread, err = netretry.Peek(fd)
		return err
	})
	return err == nil && unread > 0
}

// ResetIfUndelivered makes Close reset the connection if the client has not received all that was written. Otherwise
// the client would learn of the end of an incomplete response only once it has read the rest.
func (c *Conn) ResetIfUndelivered() {
	undelivered := 0
	err := c.withDescriptor(func(fd int) (err error) {
		undelivered, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		if err != nil || undelivered == 0 {
			return err
		}
		return unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.resetsOnClose = err == nil && undelivered > 0
}

// withDescriptor calls call with the file descriptor of the connection.
func (c *Conn) withDescriptor(call func(fd int) error) error {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) }); err != nil {
		return err
	}
	return callErr
}

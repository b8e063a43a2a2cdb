package standin

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	normalBacklog   = 128 // connections that may wait to be accepted
	maxFillAttempts = 8
	fillTimeout     = 250 * time.Millisecond // for a connection that fills the backlog to come up
)

// setBacklog sets how many connections may wait to be accepted. Linux takes a second listen(2) for that.
func (l *Link) setBacklog(n int) error {
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) })
	if err == nil {
		err = listenErr
	}
	return err
}

// fillBacklog fills the listener's backlog, so that further connections never come up, as with a machine that vanished.
// The accepting goroutine may still take one connection out of the backlog. So it must hold one first, and the kernel's
// count of the backlog decides, not how long a dial took.
func (l *Link) fillBacklog() {
	if l.setBacklog(0) != nil {
		return // connections then come up, but nothing passes
	}
	for range maxFillAttempts {
		length, err := l.backlogLength()
		if err != nil || length > 0 && l.isHolding() {
			return
		}
		dialer := net.Dialer{Timeout: fillTimeout}
		c, err := dialer.DialContext(l.ctx, "tcp", l.Address())
		if err != nil {
			continue // another connection occupies the backlog, or the link is closed
		}
		if !l.keepFiller(c) {
			_ = c.Close()
			return
		}
	}
}

// keepFiller waits until a connection is held, and keeps c in the backlog. It returns false if the blackhole is over.
func (l *Link) keepFiller(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.holding && l.condition.Blackhole && !l.closed { // c can be accepted, or another connection can
		l.changed.Wait()
	}
	if !l.condition.Blackhole || l.closed {
		return false
	}
	l.fillers = append(l.fillers, c)
	return true
}

// closeFillers empties the backlog. The lock is held.
func (l *Link) closeFillers() {
	for _, c := range l.fillers {
		_ = c.Close()
	}
	l.fillers = nil
}

// isHolding returns whether a connection has been accepted and waits for the blackhole to end.
func (l *Link) isHolding() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holding
}

// backlogLength returns how many connections have come up and wait to be accepted. For a listening socket, tcp_info has
// that in the field of unacknowledged segments (tcp_get_info in the kernel).
func (l *Link) backlogLength() (int, error) {
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return 0, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return 0, err
	}
	if infoErr != nil {
		return 0, fmt.Errorf("backlog of %s: %w", l.Address(), infoErr)
	}
	return int(info.Unacked), nil
}

package downstream

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"milletramp.example/milletramp/internal/netretry"
)

// Listen listens at an address that one process has at a time.
func Listen(address string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// ListenShared listens at an address that the sidecar's next process can listen at too.
func ListenShared(address string, log *slog.Logger) (*net.TCPListener, error) {
	listenConfig := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		if failed != nil { // where it is not to be had, only an upgrade is not
			log.Warn("the address cannot be shared with a next process", "err", failed)
		}
		return err
	}}
	listenConfig.SetMultipathTCP(false) // the kernel lets no filter choose among listeners that have it (turnAway)
	l, err := listenConfig.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l.(*net.TCPListener), nil
}

// selectSecondListener is a filter that chooses the second of the sockets that share an address.
var selectSecondListener = []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}

// RedirectToSuccessor sends connections that come from now on to the listener that shares the address and began after this one, as long as that is
// there. The kernel spreads them over all listeners, also over one that is about to close, and closing that resets those it holds that
// were not accepted yet. Sockets of one address are counted in the order in which they began, so that the older of two is the
// first; where there is no second one, the kernel chooses as it did before.
func (l *DrainListener) RedirectToSuccessor() error {
	return l.setSocketOption(func(fd int) error {
		program := unix.SockFprog{Len: uint16(len(selectSecondListener)), Filter: &selectSecondListener[0]}
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &program)
	})
}

// ShareConnections removes the filter that a former process has set: with a next process both are to have connections.
func (l *DrainListener) ShareConnections() error {
	err := l.setSocketOption(func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_REUSEPORT_BPF, 0) })
	if errors.Is(err, unix.ENOENT) { // there is none
		return nil
	}
	return err
}

// setSocketOption sets an option of the listener's socket.
func (l *DrainListener) setSocketOption(set func(fd int) error) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = set(int(fd)) }); err != nil {
		return err
	}
	return os.NewSyscallError("setsockopt", failed)
}

// DrainListener goes on accepting for some time after it is told to stop.
type DrainListener struct {
	*net.TCPListener
	accept      func(*net.TCPListener) (net.Conn, error) // nil: its Accept
	quietPeriod time.Duration
	rounds      int  // of looking for connections left waiting; 0: not yet
	accepted    bool // one in this round
	failed      bool // to take one in this round
}

// NewDrainListener returns a DrainListener on l. accept takes a connection from it; nil: its Accept. quietPeriod is how
// long none may be left waiting before a drain ends.
func NewDrainListener(l *net.TCPListener, accept func(*net.TCPListener) (net.Conn, error),
	quietPeriod time.Duration) *DrainListener {
	return &DrainListener{TCPListener: l, accept: accept, quietPeriod: quietPeriod}
}

// hasWaitingConns tells whether a connection waits to be accepted. The accepting looks no more once its time is over, and
// on a busy machine it is told so late.
func (l *DrainListener) hasWaitingConns() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	var state int16
	failed := raw.Control(func(fd uintptr) { state, err = netretry.Poll(int(fd), unix.POLLIN) })
	return failed == nil && err == nil && state != 0
}

// maxDrainRounds bounds how long connections that keep coming hold the end up.
const maxDrainRounds = 8

// maxFailedRounds bounds how many rounds are made while connections wait and accepting them fails. Closing resets those
// connections, of which nothing was read.
const maxFailedRounds = 20

// Drain has Accept go on for some time, and end once no connection is left waiting.
func (l *DrainListener) Drain(atLeast time.Duration) error {
	return l.SetDeadline(time.Now().Add(atLeast))
}

func (l *DrainListener) acceptOne() (net.Conn, error) {
	if l.accept != nil {
		return l.accept(l.TCPListener)
	}
	return l.TCPListener.Accept()
}

// Accept implements net.Listener. A deadline can pass with connections waiting, and closing the listener
// resets them, so the end comes only after a round in which none was found. Other errors are
// those of the system call, after which netretry.Listener calls again.
func (l *DrainListener) Accept() (net.Conn, error) {
	for {
		c, err := l.acceptOne()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			l.accepted, l.failed = l.accepted || err == nil, l.failed || err != nil
			return c, err
		}
		futile := l.failed && !l.accepted && l.rounds >= maxFailedRounds
		if futile || (l.rounds > 0 && !l.accepted || l.rounds >= maxDrainRounds) && !l.hasWaitingConns() {
			// Each moment until it is closed, more may come to wait.
			return nil, errors.Join(net.ErrClosed, l.Close())
		}
		l.rounds, l.accepted, l.failed = l.rounds+1, false, false
		if err := l.SetDeadline(time.Now().Add(l.quietPeriod)); err != nil {
			return nil, err
		}
	}
}

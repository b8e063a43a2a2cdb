package downstream

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen listens at an address that only one process can use at a time.
func Listen(address string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// ListenShared listens at an address at which the successor process of the sidecar can listen as well.
func ListenShared(address string, log *slog.Logger) (*net.TCPListener, error) {
	config := net.ListenConfig{
		Control: func(_, _ string, c syscall.RawConn) error { return allowSharing(c, log) },
	}
	config.SetMultipathTCP(false) // the kernel ignores the filter of RedirectToSuccessor on MPTCP listeners
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l.(*net.TCPListener), nil
}

// allowSharing sets SO_REUSEPORT, so that another socket can listen at the same address. A failure to set it only
// prevents hot restarts and is logged.
func allowSharing(c syscall.RawConn, log *slog.Logger) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if optionErr != nil {
		log.Warn("cannot set SO_REUSEPORT; hot restart is not possible", "err", optionErr)
	}
	return err
}

// selectSecondListener is a socket filter that selects the second of the sockets that share an address.
var selectSecondListener = []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}

// RedirectToSuccessor attaches a filter that directs all new connections at the address to the second listener there.
// By default the kernel distributes connections over all listeners of an address, and closing a listener resets its
// unaccepted connections. The kernel numbers the listeners in the order in which they were opened, so the second one
// belongs to the successor process. While there is no second listener, the filter has no effect.
func (l *DrainListener) RedirectToSuccessor() error {
	return l.setSocketOption(func(fd int) error {
		program := unix.SockFprog{Len: uint16(len(selectSecondListener)), Filter: &selectSecondListener[0]}
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &program)
	})
}

// ShareConnections removes the filter that a predecessor process has set, so that both processes receive connections.
func (l *DrainListener) ShareConnections() error {
	err := l.setSocketOption(func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_REUSEPORT_BPF, 0)
	})
	if errors.Is(err, unix.ENOENT) { // no filter is set
		return nil
	}
	return err
}

// setSocketOption calls set with the file descriptor of the listener.
func (l *DrainListener) setSocketOption(set func(fd int) error) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) { optionErr = set(int(fd)) }); err != nil {
		return err
	}
	return os.NewSyscallError("setsockopt", optionErr)
}

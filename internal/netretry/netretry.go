// Package netretry holds the one policy for system calls on sockets that fail for a reason of this machine: they are
// retried, with a short and bounded backoff. A shortage of descriptors, buffers or memory passes, and neither a peer
// nor the process may be given up for it. The package starts no goroutine and returns the errors of the calls that it
// makes.
package netretry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"syscall"
	"time"
)

const (
	minBackoff      = time.Millisecond
	maxBackoff      = 50 * time.Millisecond
	maxIOAttempts   = 8 // of a read or a write, over about 0.1 s
	maxDialAttempts = 5 // of a dial, over about 15 ms: another server may be tried instead
)

// maxBackoffShift bounds the doublings of the backoff, which keeps the shift from overflowing.
const maxBackoffShift = 10

// backoff returns how long to wait after the given number of failures in a row.
func backoff(failures int) time.Duration {
	return min(minBackoff<<min(failures-1, maxBackoffShift), maxBackoff)
}

// localErrors are the errors of socket, connect, read and write that concern this machine only.
var localErrors = []error{
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EADDRNOTAVAIL,
	syscall.EAGAIN,
	syscall.EINTR,
}

// IsLocalError reports whether err is a failure of this machine, which says nothing of the peer.
func IsLocalError(err error) bool {
	for _, localError := range localErrors {
		if errors.Is(err, localError) {
			return true
		}
	}
	return false
}

// Listener is a listener whose Accept ends only when it is closed.
type Listener struct {
	net.Listener
	log *slog.Logger
}

// NewListener returns a Listener that accepts from l.
func NewListener(l net.Listener, log *slog.Logger) *Listener { return &Listener{l, log} }

// Accept implements net.Listener. It retries after any error but net.ErrClosed: accept(2) reports shortages, errors of
// the network, and those of a connection that ended before it was accepted, and none of them ends the listener. It logs
// a run of failures once.
func (l *Listener) Accept() (net.Conn, error) {
	for failures := 1; ; failures++ {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		if failures == 1 {
			l.log.Warn("accept failed and is tried again", "err", err)
		}
		time.Sleep(backoff(failures))
	}
}

// Open calls open, which opens a listener or a file, until it succeeds, ctx is done, or it fails for a reason that does
// not pass, as an address that is in use or does not belong to this machine.
func Open[T any](ctx context.Context, open func() (T, error)) (T, error) {
	for failures := 1; ; failures++ {
		opened, err := open()
		if err == nil || !IsLocalError(err) || errors.Is(err, syscall.EADDRNOTAVAIL) {
			return opened, err
		}
		select {
		case <-time.After(backoff(failures)):
		case <-ctx.Done():
			return opened, err
		}
	}
}

// Dial calls dial, and retries a failure of this machine for a bounded time, or until ctx is done.
func Dial(ctx context.Context, dial func() (net.Conn, error)) (net.Conn, error) {
	for failures := 1; ; failures++ {
		c, err := dial()
		if err == nil || failures == maxDialAttempts || !IsLocalError(err) {
			return c, err
		}
		select {
		case <-time.After(backoff(failures)):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// Read reads from r as its Read does, and retries a failure of this machine for a bounded time.
func Read(r io.Reader, p []byte) (n int, err error) {
	for failures := 1; ; failures++ {
		n, err = r.Read(p)
		if n > 0 || failures == maxIOAttempts || !IsLocalError(err) {
			return n, err
		}
		time.Sleep(backoff(failures))
	}
}

// Write writes all of p to w. After a short write or a failure of this machine it goes on with what is left, for a
// bounded time if nothing can be written.
func Write(w io.Writer, p []byte) (written int, err error) {
	for failures := 1; ; failures++ {
		n, err := w.Write(p[written:])
		if err == nil && written+n < len(p) {
			err = io.ErrShortWrite
		}
		retry := IsLocalError(err) || errors.Is(err, io.ErrShortWrite)
		written += n
		if !retry || n == 0 && failures == maxIOAttempts {
			return written, err
		}
		if n > 0 { // progress: failures are counted anew
			failures = 0
			continue
		}
		time.Sleep(backoff(failures))
	}
}

// RetryOnEINTR calls call until no signal interrupts it, and returns its error.
func RetryOnEINTR(call func() error) error {
	for {
		if err := call(); !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// Package netretry retries system calls on sockets that fail with a local error, such as a shortage of descriptors,
// buffers or memory on this machine. Such shortages are temporary. They must not be counted as failures of a peer, and
// must not end the process. The backoff between retries is short and bounded. The package starts no goroutine and
// returns the errors of the calls that it makes.
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
	maxIOAttempts   = 8 // attempts of a read or a write, over about 0.1 s
	maxDialAttempts = 5 // attempts of a dial, over about 15 ms; the caller may try another server
)

// maxBackoffShift is the maximum number of doublings of the backoff, so that the shift does not overflow.
const maxBackoffShift = 10

// backoff returns the wait after the given number of consecutive failures.
func backoff(failures int) time.Duration {
	return min(minBackoff<<min(failures-1, maxBackoffShift), maxBackoff)
}

// localErrors are the errors of socket, connect, read and write whose cause is on this machine.
var localErrors = []error{
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EADDRNOTAVAIL,
	syscall.EAGAIN,
	syscall.EINTR,
}

// IsLocalError reports whether the cause of err is on this machine, so that err does not indicate a failure of the
// peer.
func IsLocalError(err error) bool {
	for _, localError := range localErrors {
		if errors.Is(err, localError) {
			return true
		}
	}
	return false
}

// Listener is a listener whose Accept fails only after the listener is closed.
type Listener struct {
	net.Listener
	log *slog.Logger
}

// NewListener returns a Listener that accepts from l.
func NewListener(l net.Listener, log *slog.Logger) *Listener { return &Listener{l, log} }

// Accept implements net.Listener. It retries after any error except net.ErrClosed. accept(2) reports resource
// shortages, network errors, and errors of connections that ended before they were accepted; the listener stays usable
// after all of them. Accept logs only the first of several consecutive failures.
func (l *Listener) Accept() (net.Conn, error) {
	for failures := 1; ; failures++ {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		if failures == 1 {
			l.log.Warn("accept failed; retrying", "err", err)
		}
		time.Sleep(backoff(failures))
	}
}

// Open calls open, which opens a listener or a file, until it succeeds, ctx is done, or it fails with a permanent
// error, for example because an address is in use or does not belong to this machine.
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

// Dial calls dial. It retries local errors at most maxDialAttempts-1 times, or until ctx is done.
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

// Read calls r.Read. It retries local errors at most maxIOAttempts-1 times.
func Read(r io.Reader, p []byte) (n int, err error) {
	for failures := 1; ; failures++ {
		n, err = r.Read(p)
		if n > 0 || failures == maxIOAttempts || !IsLocalError(err) {
			return n, err
		}
		time.Sleep(backoff(failures))
	}
}

// Write writes all of p to w. After a short write or a local error it continues with the unwritten bytes. It gives up
// after maxIOAttempts consecutive attempts that wrote nothing.
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
		if n > 0 { // progress resets the count of failures
			failures = 0
			continue
		}
		time.Sleep(backoff(failures))
	}
}

// RetryOnEINTR calls call until it returns an error other than EINTR, or nil, and returns that result.
func RetryOnEINTR(call func() error) error {
	for {
		if err := call(); !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

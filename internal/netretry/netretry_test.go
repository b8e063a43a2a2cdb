//go:build go1.25

package netretry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// acceptErrors are what accept(2) fails with, except for a closed listener.
var acceptErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN,
	syscall.EINTR, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EPROTO, syscall.EPERM, syscall.ECONNABORTED, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP}

// failingSocket fails with err failuresLeft times, and then returns finalErr.
type failingSocket struct {
	net.Listener
	net.Conn
	err          error
	failuresLeft int
	finalErr     error
	calls        int
}

func (f *failingSocket) call() error {
	f.calls++
	if f.failuresLeft > 0 {
		f.failuresLeft--
		return f.err
	}
	return f.finalErr
}

// Accept implements net.Listener.
func (f *failingSocket) Accept() (net.Conn, error) {
	if err := f.call(); err != nil {
		return nil, err
	}
	return f, nil
}

// Read implements io.Reader.
func (f *failingSocket) Read(p []byte) (int, error) {
	if err := f.call(); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Write implements io.Writer. It is short even where it does not fail.
func (f *failingSocket) Write(p []byte) (int, error) { return len(p) / 2, f.call() }

// Close implements io.Closer.
func (f *failingSocket) Close() error { return nil }

// TestAcceptRetriesAllButClose has each error of accept(2) come a hundred times and once, and then net.ErrClosed.
func TestAcceptRetriesAllButClose(t *testing.T) {
	for _, errno := range acceptErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &bytes.Buffer{}
				acceptError := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
				f := &failingSocket{err: acceptError, failuresLeft: 100}
				listener := NewListener(f, slog.New(slog.NewTextHandler(log, nil)))
				startedAt := time.Now()
				if conn, err := listener.Accept(); conn == nil || err != nil {
					t.Fatalf("connection %v, error %v", conn, err)
				}
				if took := time.Since(startedAt); took > 101*maxBackoff || took < 90*maxBackoff || f.calls != 101 {
					t.Errorf("%d calls in %v", f.calls, took)
				}
				f.failuresLeft = 1
				startedAt = time.Now()
				if _, err := listener.Accept(); err != nil || time.Since(startedAt) != minBackoff {
					t.Errorf("error %v after one failure, and %v", err, time.Since(startedAt))
				}
				if lines := strings.Count(log.String(), "\n"); lines != 2 {
					t.Errorf("%d lines for two runs of failures:\n%s", lines, log)
				}
				f.failuresLeft = 2
				f.finalErr = &net.OpError{Op: "accept", Err: net.ErrClosed}
				if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
					t.Errorf("error %v of a closed listener", err)
				}
			})
		})
	}
}

// TestRetriesAreBounded has each other call fail a number of times, and counts how often it was made.
func TestRetriesAreBounded(t *testing.T) {
	const forever = 1 << 20
	listen := func(ctx context.Context, f *failingSocket) error {
		_, err := Open(ctx, func() (*failingSocket, error) { return f, f.call() })
		return err
	}
	dial := func(ctx context.Context, f *failingSocket) error {
		_, err := Dial(ctx, func() (net.Conn, error) { return f, f.call() })
		return err
	}
	read := func(_ context.Context, f *failingSocket) error {
		n, err := Read(f, make([]byte, 10))
		if (n == 10) != (err == nil) {
			t.Errorf("%d bytes read, error %v", n, err)
		}
		return err
	}
	write := func(_ context.Context, f *failingSocket) error { // 500, 250, 125, 62 and so on: ten calls
		n, err := Write(f, make([]byte, 1000))
		if (n == 1000) != (err == nil) {
			t.Errorf("%d bytes written, error %v", n, err)
		}
		return err
	}
	for _, tt := range []struct {
		name     string
		do       func(context.Context, *failingSocket) error
		err      syscall.Errno
		failures int
		calls    int // 0: any number
		within   time.Duration
		succeeds bool
	}{
		{"listen, no descriptor", listen, syscall.EMFILE, 20, 21, time.Second, true},
		{"listen, no memory, for good", listen, syscall.ENOMEM, forever, 0, 4*time.Second + maxBackoff, false},
		{"listen, in use", listen, syscall.EADDRINUSE, forever, 1, 0, false},
		{"listen, no such address", listen, syscall.EADDRNOTAVAIL, forever, 1, 0, false},
		{"listen, not allowed", listen, syscall.EACCES, forever, 1, 0, false},
		{"dial, no port", dial, syscall.EADDRNOTAVAIL, 2, 3, 3 * time.Millisecond, true},
		{"dial, no descriptor, for good", dial, syscall.ENFILE, forever, maxDialAttempts, 15 * time.Millisecond, false},
		{"dial, refused", dial, syscall.ECONNREFUSED, forever, 1, 0, false},
		{"dial, unreachable", dial, syscall.ENETUNREACH, forever, 1, 0, false},
		{"read, no memory", read, syscall.ENOMEM, 3, 4, 7 * time.Millisecond, true},
		{"read, no buffer, for good", read, syscall.ENOBUFS, forever, maxIOAttempts, 200 * time.Millisecond, false},
		{"read, reset", read, syscall.ECONNRESET, forever, 1, 0, false},
		{"read, no time left", read, syscall.ETIMEDOUT, forever, 1, 0, false},
		{"write, short", write, 0, 0, 0, 500 * time.Millisecond, false}, // never the last byte
		{"write, reset", write, syscall.EPIPE, forever, 1, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
				defer cancel()
				f := &failingSocket{err: os.NewSyscallError("call", tt.err), failuresLeft: tt.failures}
				startedAt := time.Now()
				err := tt.do(ctx, f)
				took := time.Since(startedAt)
				if (err == nil) != tt.succeeds || tt.calls > 0 && f.calls != tt.calls || took > tt.within {
					t.Errorf("%d calls, error %v after %v", f.calls, err, took)
				}
				if !tt.succeeds && !errors.Is(err, tt.err) && !errors.Is(err, io.ErrShortWrite) {
					t.Errorf("error %v", err)
				}
			})
		})
	}
}

// TestWriteContinuesAfterShortWrites has writes be short and fail in turn: all bytes are written once, in
// order.
func TestWriteContinuesAfterShortWrites(t *testing.T) {
	text := bytes.Repeat([]byte("0123456789"), 30)
	out := &bytes.Buffer{}
	turn := 0
	n, err := Write(writerFunc(func(p []byte) (int, error) {
		errs := []error{nil, syscall.ENOBUFS, syscall.EAGAIN}
		turn++
		n, _ := out.Write(p[:min(len(p), turn%4*7)])
		if n == len(p) {
			return n, nil
		}
		return n, errs[turn%3]
	}), text)
	if n != len(text) || err != nil || !bytes.Equal(out.Bytes(), text) {
		t.Errorf("%d bytes of %d, error %v, wrote %q", n, len(text), err, out)
	}
}

// writerFunc is an io.Writer by its function.
type writerFunc func(p []byte) (int, error)

// Write implements io.Writer.
func (w writerFunc) Write(p []byte) (int, error) { return w(p) }

// TestUninterruptedRetriesInterruptedCalls has a call be interrupted three times and then fail.
func TestUninterruptedRetriesInterruptedCalls(t *testing.T) {
	f := &failingSocket{err: os.NewSyscallError("poll", syscall.EINTR), failuresLeft: 3, finalErr: syscall.EBADF}
	if err := RetryOnEINTR(f.call); err != syscall.EBADF || f.calls != 4 {
		t.Errorf("error %v after %d calls", err, f.calls)
	}
}

//go:build go1.25

package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// fakeClockConn is one end of a pipe that passes for a connection with a file descriptor. Unlike a socket's, its
// deadlines follow the simulated clock.
type fakeClockConn struct{ net.Conn }

// SyscallConn implements syscall.Conn. The tests that use it never ask whether the connection is reusable.
func (fakeClockConn) SyscallConn() (syscall.RawConn, error) { return nil, nil }

// runWithPipe runs test on a simulated clock, with a connection and its server's end.
func runWithPipe(t *testing.T, test func(t *testing.T, conn *serverConn, serverEnd net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clientEnd, serverEnd := net.Pipe()
		defer clientEnd.Close()
		defer serverEnd.Close()
		p := newPool(1)
		p.dial = func(context.Context, string, string) (net.Conn, error) { return fakeClockConn{clientEnd}, nil }
		conn, err := p.dialServer(context.Background(), &server{})
		if err != nil {
			t.Fatal(err)
		}
		conn.limitedReader.N = MaxBufferedBody
		test(t, conn, serverEnd)
	})
}

// bodyOfLength returns a body on a connection of which nothing is read yet.
func bodyOfLength(conn *serverConn, length int64) *serverBody {
	return &serverBody{conn: conn, length: length, remaining: length}
}

// TestStalledStreamEndsAfterShutdownReadTimeout: a stream whose pauses are shortened ends after a pause of
// shutdownReadTimeout, whether it is stalled already or only later.
func TestStalledStreamEndsAfterShutdownReadTimeout(t *testing.T) {
	t.Run("stalled already", func(t *testing.T) {
		runWithPipe(t, func(t *testing.T, conn *serverConn, _ net.Conn) {
			conn.readTimeout = time.Hour
			ended := make(chan error, 1)
			go func() {
				_, err := bodyOfLength(conn, 2).Read(make([]byte, 2))
				ended <- err
			}()
			synctest.Wait()
			startedAt := time.Now()
			conn.shortenReadTimeout()
			err := <-ended
			took := time.Since(startedAt)
			if !errors.Is(err, os.ErrDeadlineExceeded) || took != shutdownReadTimeout {
				t.Errorf("error %v after %v, want a timeout after %v", err, took, shutdownReadTimeout)
			}
		})
	})
	t.Run("stalled later", func(t *testing.T) {
		runWithPipe(t, func(t *testing.T, conn *serverConn, serverEnd net.Conn) {
			conn.readTimeout = time.Hour
			conn.shortenReadTimeout()
			go func() { _, _ = serverEnd.Write([]byte("x")) }()
			body := bodyOfLength(conn, 2)
			if n, err := body.Read(make([]byte, 2)); n != 1 || err != nil {
				t.Fatalf("%d bytes, error %v", n, err)
			}
			startedAt := time.Now()
			_, err := body.Read(make([]byte, 2))
			took := time.Since(startedAt)
			if !errors.Is(err, os.ErrDeadlineExceeded) || took != shutdownReadTimeout {
				t.Errorf("error %v after %v, want a timeout after %v", err, took, shutdownReadTimeout)
			}
		})
	})
}

// TestSlowStreamIsReadWithShortenedReadTimeout: a stream whose pauses are shortened, and whose server pauses for less
// than shutdownReadTimeout at a time, is read to its end, however long that takes.
func TestSlowStreamIsReadWithShortenedReadTimeout(t *testing.T) {
	runWithPipe(t, func(t *testing.T, conn *serverConn, serverEnd net.Conn) {
		const size = 20
		conn.readTimeout = time.Hour
		var sender sync.WaitGroup
		defer sender.Wait()
		defer serverEnd.Close()
		sender.Go(func() {
			for range size {
				time.Sleep(shutdownReadTimeout / 2) // of the simulated clock
				if _, err := serverEnd.Write([]byte("x")); err != nil {
					return
				}
			}
		})
		conn.shortenReadTimeout()
		startedAt := time.Now()
		data, err := io.ReadAll(bodyOfLength(conn, size))
		took := time.Since(startedAt)
		if err != nil || len(data) != size || took != size*shutdownReadTimeout/2 {
			t.Errorf("%d bytes, error %v after %v, want %d", len(data), err, took, size)
		}
	})
}

// TestAbortedConnectionStaysAborted: no deadline that is set after abort makes the connection wait again.
func TestAbortedConnectionStaysAborted(t *testing.T) {
	for _, tt := range []struct {
		name string
		use  func(conn *serverConn) error
	}{
		{"read with an allowed pause", func(conn *serverConn) error {
			conn.readTimeout = time.Hour
			_, err := conn.Read(make([]byte, 1))
			return err
		}},
		{"read after shortenReadTimeout", func(conn *serverConn) error {
			conn.shortenReadTimeout()
			_, err := conn.Read(make([]byte, 1))
			return err
		}},
		{"write after setWriteDeadline", func(conn *serverConn) error {
			if err := conn.setWriteDeadline(time.Now().Add(time.Hour)); err != nil {
				return err
			}
			_, err := conn.Write([]byte("x"))
			return err
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runWithPipe(t, func(t *testing.T, conn *serverConn, _ net.Conn) {
				conn.abort()
				startedAt := time.Now()
				err := tt.use(conn)
				took := time.Since(startedAt)
				if !errors.Is(err, os.ErrDeadlineExceeded) || took != 0 {
					t.Errorf("error %v after %v, want a timeout at once", err, took)
				}
			})
		})
	}
}

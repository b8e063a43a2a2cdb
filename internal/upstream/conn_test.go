//go:build go1.25

package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// fakeClockConn is one end of a pipe that can replace a connection with a file descriptor. In contrast to those of a
// socket, its deadlines use the simulated clock.
type fakeClockConn struct{ net.Conn }

// SyscallConn implements syscall.Conn. The tests with this connection do not call isReusable.
func (fakeClockConn) SyscallConn() (syscall.RawConn, error) { return nil, nil }

// runWithPipe runs test on a simulated clock, with a connection and the server's end of it.
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

// bodyOfLength returns an unread body of declared length on a connection.
func bodyOfLength(conn *serverConn, length int64) *serverBody {
	return &serverBody{conn: conn, length: length, remaining: length}
}

// TestStalledStreamEndsAfterShutdownReadTimeout checks that a stream without earlier pauses ends shutdownReadTimeout
// after its pauses were limited if it is stalled, or after its last bytes if it stalls later.
func TestStalledStreamEndsAfterShutdownReadTimeout(t *testing.T) {
	t.Run("stalled before the timeout is shortened", func(t *testing.T) {
		runWithPipe(t, func(t *testing.T, conn *serverConn, _ net.Conn) {
			conn.readTimeout = time.Hour
			ended := make(chan error, 1)
			go func() {
				_, err := bodyOfLength(conn, 2).Read(make([]byte, 2))
				ended <- err
			}()
			synctest.Wait()
			startedAt := time.Now()
			conn.limitPauses()
			err := <-ended
			took := time.Since(startedAt)
			if !errors.Is(err, os.ErrDeadlineExceeded) || took != shutdownReadTimeout {
				t.Errorf("error %v after %v, want a timeout after %v", err, took, shutdownReadTimeout)
			}
		})
	})
	t.Run("stalled after the timeout is shortened", func(t *testing.T) {
		runWithPipe(t, func(t *testing.T, conn *serverConn, serverEnd net.Conn) {
			conn.readTimeout = time.Hour
			conn.limitPauses()
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

// TestSlowStreamIsReadWithLimitedPauses checks that a stream with limited pauses is read completely if the server never
// pauses for as long as shutdownReadTimeout, however long the stream takes in total.
func TestSlowStreamIsReadWithLimitedPauses(t *testing.T) {
	runWithPipe(t, func(t *testing.T, conn *serverConn, serverEnd net.Conn) {
		const size = 20
		conn.readTimeout = time.Hour
		var sender sync.WaitGroup
		defer sender.Wait()
		defer serverEnd.Close()
		sender.Go(func() {
			for range size {
				time.Sleep(shutdownReadTimeout / 2) // simulated clock
				if _, err := serverEnd.Write([]byte("x")); err != nil {
					return
				}
			}
		})
		conn.limitPauses()
		startedAt := time.Now()
		data, err := io.ReadAll(bodyOfLength(conn, size))
		took := time.Since(startedAt)
		if err != nil || len(data) != size || took != size*shutdownReadTimeout/2 {
			t.Errorf("%d bytes, error %v after %v, want %d", len(data), err, took, size)
		}
	})
}

// TestLimitOfPausesFollowsPaceOfServer guards against a response that is cut off at shutdown although its server goes on
// sending it at the pace that it had before. A server that stops must still be recognized.
func TestLimitOfPausesFollowsPaceOfServer(t *testing.T) {
	const (
		pause  = 4 * shutdownReadTimeout
		before = 3 // bytes before the pauses are limited
		size   = 20
	)
	for _, stalls := range []bool{false, true} {
		t.Run(fmt.Sprint("stalls ", stalls), func(t *testing.T) {
			runWithPipe(t, func(t *testing.T, conn *serverConn, serverEnd net.Conn) {
				conn.readTimeout = time.Hour
				var sender sync.WaitGroup
				defer sender.Wait()
				defer serverEnd.Close()
				sender.Go(func() {
					for n := range size {
						if stalls && n == before {
							return
						}
						time.Sleep(pause) // simulated clock
						if _, err := serverEnd.Write([]byte("x")); err != nil {
							return
						}
					}
				})
				body := bodyOfLength(conn, size)
				if _, err := io.ReadFull(body, make([]byte, before)); err != nil {
					t.Fatal(err)
				}
				conn.limitPauses()
				startedAt := time.Now()
				data, err := io.ReadAll(body)
				took := time.Since(startedAt)
				switch {
				case stalls && (!errors.Is(err, os.ErrDeadlineExceeded) || took != shutdownPauseFactor*pause):
					t.Errorf("error %v after %v, want a timeout after %v", err, took, shutdownPauseFactor*pause)
				case !stalls && (err != nil || len(data) != size-before):
					t.Errorf("%d bytes, error %v, want %d", len(data), err, size-before)
				}
			})
		})
	}
}

// writeByte writes a byte that the other end of a pipe reads, within an hour of the simulated clock.
func writeByte(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetWriteDeadline(time.Now().Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Error(err)
	}
}

// TestStreamEndsOnlyIfUnresponsiveSince checks that EndIfUnresponsiveSince ends a stream whose reader has waited since
// before the given time, and no other one.
func TestStreamEndsOnlyIfUnresponsiveSince(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprint("silent ", silent), func(t *testing.T) {
			runWithPipe(t, func(t *testing.T, conn *serverConn, serverEnd net.Conn) {
				conn.readTimeout = time.Hour
				stream := newStream(bodyOfLength(conn, 2))
				ended := make(chan error, 1)
				go func() {
					_, err := io.ReadFull(stream, make([]byte, 2))
					ended <- err
				}()
				time.Sleep(time.Second)
				since := time.Now()
				time.Sleep(time.Second)
				if !silent {
					writeByte(t, serverEnd)
				}
				synctest.Wait()
				stream.EndIfUnresponsiveSince(since)
				if !silent {
					writeByte(t, serverEnd)
				}
				if err := <-ended; silent != errors.Is(err, os.ErrDeadlineExceeded) || !silent && err != nil {
					t.Errorf("error %v", err)
				}
			})
		})
	}
}

// TestAbortedConnectionStaysAborted checks that no deadline set after abort makes the connection wait again.
func TestAbortedConnectionStaysAborted(t *testing.T) {
	for _, tt := range []struct {
		name string
		use  func(conn *serverConn) error
	}{
		{"read with a read timeout", func(conn *serverConn) error {
			conn.readTimeout = time.Hour
			_, err := conn.Read(make([]byte, 1))
			return err
		}},
		{"read after limitPauses", func(conn *serverConn) error {
			conn.limitPauses()
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
					t.Errorf("error %v after %v, want an immediate timeout", err, took)
				}
			})
		})
	}
}

package downstream

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"milletramp.example/milletramp/internal/lab/testserver"
)

var successorRounds = flag.Int("successor.rounds", 100, "rounds of TestNoConnectionIsResetWhenAListenerTakesOver")

// TestNoConnectionIsResetWhenAListenerTakesOver has clients open connections all the time while one listener after
// another takes over the address: none is reset.
func TestNoConnectionIsResetWhenAListenerTakesOver(t *testing.T) {
	rounds := *successorRounds
	log := slog.New(slog.DiscardHandler)
	var serving sync.WaitGroup
	startListener := func(address string) (*DrainListener, chan struct{}) {
		inner, err := ListenShared(address, log)
		if err != nil {
			t.Fatal(err)
		}
		l, ended := NewDrainListener(inner, nil, time.Millisecond), make(chan struct{})
		if err := l.ShareConnections(); err != nil {
			t.Fatal(err)
		}
		go func() {
			defer close(ended)
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				serving.Add(1)
				go func() {
					defer serving.Done()
					defer c.Close()
					_, _ = io.CopyN(c, c, 1)
				}()
			}
		}()
		return l, ended
	}
	l, ended := startListener("127.0.0.1:0")
	address := l.Addr().String()
	var stop atomic.Bool
	var clients sync.WaitGroup
	var connCount atomic.Int64
	failures := make(chan error, 100*rounds)
	for range 4 * runtime.GOMAXPROCS(0) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for !stop.Load() {
				if err := echo(address); err != nil {
					failures <- err
				}
				connCount.Add(1)
			}
		}()
	}
	for range rounds {
		next, nextEnded := startListener(address)
		if err := l.RedirectToSuccessor(); err != nil {
			t.Fatal(err)
		}
		if err := l.Drain(0); err != nil {
			t.Fatal(err)
		}
		<-ended
		l, ended = next, nextEnded
	}
	stop.Store(true)
	clients.Wait()
	_ = l.Close()
	<-ended
	serving.Wait()
	t.Logf("%d connections, %d reset", connCount.Load(), len(failures))
	if len(failures) > 0 {
		t.Errorf("%d of %d connections failed, first: %v", len(failures), connCount.Load(), <-failures)
	}
}

// echo opens a connection, and has a byte come back on it.
func echo(address string) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.(*net.TCPConn).SetLinger(0) // no port waits
	if _, err := c.Write([]byte("x")); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		return fmt.Errorf("read: %w", err)
	}
	return nil
}

// TestDrainAcceptsWaitingConnections has connections wait unaccepted when the accepting ends: none may be reset.
func TestDrainAcceptsWaitingConnections(t *testing.T) {
	inner := testserver.Listen(t).(*net.TCPListener)
	l := NewDrainListener(inner, nil, time.Second)
	const n = 3
	for range n {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	if err := l.Drain(-time.Second); err != nil { // long over
		t.Fatal(err)
	}
	for i := range n {
		c, err := l.Accept()
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		c.Close()
	}
	if _, err := l.Accept(); err == nil {
		t.Error("accepting did not end")
	}
}

// TestDrainEndsWhereAcceptFailsForGood has accepting fail for good while a connection waits: the end comes after some
// rounds.
func TestDrainEndsWhereAcceptFailsForGood(t *testing.T) {
	inner, calls := testserver.Listen(t).(*net.TCPListener), 0
	c, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fail := func(*net.TCPListener) (net.Conn, error) {
		if calls++; calls%3 == 0 {
			return nil, os.ErrDeadlineExceeded
		}
		return nil, os.NewSyscallError("accept4", unix.EMFILE)
	}
	l := NewDrainListener(inner, fail, time.Nanosecond)
	for calls < 10*maxFailedRounds && !errors.Is(err, net.ErrClosed) {
		_, err = l.Accept()
	}
	if !errors.Is(err, net.ErrClosed) || calls < 3*maxFailedRounds {
		t.Errorf("error %v after %d calls", err, calls)
	}
}

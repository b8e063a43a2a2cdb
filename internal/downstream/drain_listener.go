package downstream

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"milletramp.example/milletramp/internal/netretry"
)

const (
	// maxDrainRounds bounds the rounds of a drain in which connections keep coming.
	maxDrainRounds = 8
	// maxFailedRounds bounds the rounds of a drain in which connections wait and accepting them fails. Closing resets
	// these connections, of which nothing was read.
	maxFailedRounds = 20
)

// DrainListener is a listener that, once it is to end, goes on accepting until no connection is left waiting. One
// goroutine calls Accept.
type DrainListener struct {
	*net.TCPListener
	accept      func(*net.TCPListener) (net.Conn, error) // nil: its Accept
	quietPeriod time.Duration
	rounds      int  // of looking for waiting connections; 0: the drain has not begun
	accepted    bool // a connection in this round
	failed      bool // to accept in this round
}

// NewDrainListener returns a DrainListener on l. accept takes a connection from it; nil: its Accept. quietPeriod is how
// long a round of the drain lasts: the drain ends behind one in which no connection came.
func NewDrainListener(l *net.TCPListener, accept func(*net.TCPListener) (net.Conn, error),
	quietPeriod time.Duration) *DrainListener {
	return &DrainListener{TCPListener: l, accept: accept, quietPeriod: quietPeriod}
}

// Drain makes Accept go on for a time at least, and end once no connection is left waiting.
func (l *DrainListener) Drain(minDuration time.Duration) error {
	return l.SetDeadline(time.Now().Add(minDuration))
}

// Accept implements net.Listener. Its deadline can pass with connections waiting, which closing the listener would
// reset, so it ends only behind a round in which none was found. It returns other errors of the system call, after
// which netretry.Listener calls it again.
func (l *DrainListener) Accept() (net.Conn, error) {
	for {
		c, err := l.acceptOne()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			l.accepted = l.accepted || err == nil
			l.failed = l.failed || err != nil
			return c, err
		}
		if l.isDrained() {
			return nil, errors.Join(net.ErrClosed, l.Close())
		}
		if err := l.beginRound(); err != nil {
			return nil, err
		}
	}
}

// acceptOne accepts a connection, or fails as the system call does.
func (l *DrainListener) acceptOne() (net.Conn, error) {
	if l.accept != nil {
		return l.accept(l.TCPListener)
	}
	return l.TCPListener.Accept()
}

// isDrained reports whether the drain is over: behind a round without a connection, or the last round, none waits, or
// too many rounds have failed.
func (l *DrainListener) isDrained() bool {
	if l.failed && !l.accepted && l.rounds >= maxFailedRounds {
		return true
	}
	isQuiet := l.rounds > 0 && !l.accepted
	isLast := l.rounds >= maxDrainRounds
	return (isQuiet || isLast) && !l.hasWaitingConns()
}

// beginRound begins the next round of the drain.
func (l *DrainListener) beginRound() error {
	l.rounds++
	l.accepted = false
	l.failed = false
	return l.SetDeadline(time.Now().Add(l.quietPeriod))
}

// hasWaitingConns reports whether a connection waits to be accepted. Accept does not look any more once its deadline is
// over, which a busy machine may say late.
func (l *DrainListener) hasWaitingConns() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	var events int16
	var pollErr error
	err = raw.Control(func(fd uintptr) { events, pollErr = netretry.Poll(int(fd), unix.POLLIN) })
	return err == nil && pollErr == nil && events != 0
}

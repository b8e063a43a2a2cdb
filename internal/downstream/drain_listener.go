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
	// maxDrainRounds is the maximum number of rounds of a drain while new connections keep arriving.
	maxDrainRounds = 8
	// maxFailedRounds is the maximum number of rounds of a drain while connections wait and accepting them fails.
	// Closing the listener then resets these connections, from which nothing was read.
	maxFailedRounds = 20
)

// DrainListener is a listener that can be drained: it continues to accept until no connection waits to be accepted, and
// then closes. Only one goroutine may call Accept.
type DrainListener struct {
	*net.TCPListener
	accept      func(*net.TCPListener) (net.Conn, error) // nil: TCPListener.Accept
	quietPeriod time.Duration
	rounds      int  // number of drain rounds begun; 0: not draining
	accepted    bool // a connection was accepted in this round
	failed      bool // an accept failed in this round
}

// NewDrainListener returns a DrainListener on l. accept accepts a connection from l; nil means l.Accept. quietPeriod is
// the length of a drain round. The drain ends after a round in which no connection arrived.
func NewDrainListener(l *net.TCPListener, accept func(*net.TCPListener) (net.Conn, error),
	quietPeriod time.Duration) *DrainListener {
	return &DrainListener{TCPListener: l, accept: accept, quietPeriod: quietPeriod}
}

// Drain makes Accept continue for minDuration at least and then return net.ErrClosed once no connection waits.
func (l *DrainListener) Drain(minDuration time.Duration) error {
	return l.SetDeadline(time.Now().Add(minDuration))
}

// Accept implements net.Listener. The deadline can pass while connections wait, and closing the listener would reset
// them. Accept therefore closes the listener only after a round in which no connection was found. It returns other
// errors of the system call; netretry.Listener calls it again after these.
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

// acceptOne accepts a connection or returns the error of the system call.
func (l *DrainListener) acceptOne() (net.Conn, error) {
	if l.accept != nil {
		return l.accept(l.TCPListener)
	}
	return l.TCPListener.Accept()
}

// isDrained reports whether the drain is complete: no connection waits after a round without connections or after the
// last round, or too many rounds have failed.
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

// hasWaitingConns reports whether a connection waits to be accepted. Accept no longer checks this once its deadline has
// passed, and a busy machine may report the deadline late.
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

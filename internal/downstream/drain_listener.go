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

// Drain starts to drain the listener: Accept continues for at least minDuration, and then returns net.ErrClosed once no
// connection waits.
func (l *DrainListener) Drain(minDuration time.Duration) error {
	return l.SetDeadline(time.Now().Add(minDuration))
}

// Accept implements net.Listener. When the deadline set by Drain passes, connections may still wait to be accepted, and
// closing the listener would reset them. Accept therefore continues in rounds and closes the listener only when
// isDrained reports true. It returns other errors of the system call, after which netretry.Listener calls it again.
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

// isDrained reports whether the drain is complete. It is complete if no connection waits after a round without
// connections or after the last round. It is also complete if accepting has failed in too many rounds.
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

// hasWaitingConns reports whether a connection waits to be accepted. TCPListener.Accept does not check this after its
// deadline. On a busy machine it may report the deadline late, and connections may have arrived in the meantime.
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

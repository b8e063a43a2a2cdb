package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const linkSeedStream = 0x117c // sets the random numbers of links apart from others of the same seed

// Link is a TCP relay between a sidecar and a server, whose condition can be changed at any time.
type Link struct {
	listener *net.TCPListener
	source   net.IP // local address of its connections to the target
	target   string
	rng      *rand.Rand // guarded by mu

	mu         sync.Mutex
	changed    *sync.Cond // condition, closed or holding has changed
	condition  LinkCondition
	closed     bool
	holding    bool // an accepted connection waits for the blackhole to end; none behind it is accepted
	conns      map[*relayedConn]bool
	fillers    []net.Conn // they fill the listener's backlog during a blackhole
	goroutines sync.WaitGroup
	cancel     context.CancelFunc
	ctx        context.Context // done once the link is closed
}

// NewLink returns a link that listens on loopback and leads to a server's address.
func NewLink(source net.IP, target string, condition LinkCondition, seed uint64) (*Link, error) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	l := &Link{
		listener:  listener,
		source:    source,
		target:    target,
		rng:       rand.New(rand.NewPCG(seed, linkSeedStream)),
		condition: condition,
		conns:     map[*relayedConn]bool{},
	}
	l.changed = sync.NewCond(&l.mu)
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.goroutines.Add(1)
	go l.accept()
	return l, nil
}

// Address returns where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Close ends the link and its connections, and waits until its goroutines have ended.
func (l *Link) Close() {
	l.cancel()
	_ = l.listener.Close()
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	for c := range l.conns {
		c.close()
	}
	l.closeFillers()
	l.mu.Unlock()
	l.goroutines.Wait()
}

// SetCondition changes the condition. It returns once a blackhole that begins keeps new connections from coming up.
func (l *Link) SetCondition(condition LinkCondition) {
	l.mu.Lock()
	wasBlackhole := l.condition.Blackhole
	l.condition = condition
	if condition.Blackhole && !wasBlackhole {
		l.mu.Unlock()
		l.fillBacklog()
		return
	}
	if wasBlackhole && !condition.Blackhole {
		l.endBlackhole()
	}
	l.changed.Broadcast()
	l.mu.Unlock()
}

// endBlackhole resets the connections from before the blackhole and lets new ones come up. The lock is held.
func (l *Link) endBlackhole() {
	for c := range l.conns {
		c.reset()
	}
	l.closeFillers()
	_ = l.setBacklog(normalBacklog)
}

// accept starts a relay for each connection until the listener is closed.
func (l *Link) accept() {
	defer l.goroutines.Done()
	for {
		c, err := l.listener.AcceptTCP()
		if err != nil {
			return
		}
		condition, ok := l.holdWhileBlackhole()
		if !ok {
			_ = c.Close()
			return
		}
		l.goroutines.Add(1)
		go l.relay(c, condition)
	}
}

// holdWhileBlackhole keeps the accepting goroutine, which has just accepted a connection, until the blackhole ends. It
// returns the condition, and false if the link is closed.
func (l *Link) holdWhileBlackhole() (LinkCondition, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.condition.Blackhole && !l.closed {
		l.holding = true
		l.changed.Broadcast()
		l.changed.Wait()
	}
	l.holding = false
	return l.condition, !l.closed
}

// awaitOpen waits until the link is no blackhole, and returns the condition. It returns false if the link is closed.
func (l *Link) awaitOpen() (LinkCondition, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.condition.Blackhole && !l.closed {
		l.changed.Wait()
	}
	return l.condition, !l.closed
}

func (l *Link) currentCondition() LinkCondition {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.condition
}

// drawFault draws the fault of a request.
func (l *Link) drawFault(condition LinkCondition) linkFault {
	return condition.faultAt(l.drawFloat())
}

// drawDelay draws how long a chunk is on its way.
func (l *Link) drawDelay(condition LinkCondition, handshakeRoundTrips float64) time.Duration {
	return condition.delayAt(l.drawFloat(), handshakeRoundTrips)
}

func (l *Link) drawFloat() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

// randomize overwrites bytes at random.
func (l *Link) randomize(bytes []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range bytes {
		bytes[i] = byte(l.rng.Uint32())
	}
}

// sleep waits, and returns false if the link is closed first.
func (l *Link) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.ctx.Done():
		return false
	}
}

package testserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Agent is a discovery service on net.Pipe connections, for tests in a synctest bubble. Each call gets a complete list
// with one endpoint, and then a heartbeat every heartbeatPeriod.
type Agent struct {
	mu         sync.Mutex
	calls      int
	epoch      int           // watches of former epochs stay silent
	down       bool          // new calls get no response
	unanswered int           // calls that get no response although it is up
	delay      time.Duration // before the first list of each call
	holdsCalls bool          // calls that come while it is down are answered once it is up
	refuses    func() bool   // reports whether a connection is refused; nil: none is
}

// heartbeatPeriod is how often an Agent writes an empty line on an open watch.
const heartbeatPeriod = 2 * time.Second

// Dial returns a connection to the agent, or ECONNREFUSED.
func (a *Agent) Dial(context.Context, string, string) (net.Conn, error) {
	a.mu.Lock()
	refuses := a.refuses
	a.mu.Unlock()
	if refuses != nil && refuses() {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	go a.serve(far)
	return near, nil
}

// Silence makes all open watches silent. New calls get no response while the agent is down; if it is up, the first
// unanswered calls get none.
func (a *Agent) Silence(down bool, unanswered int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch++
	a.down = down
	a.unanswered = unanswered
}

// SetDown sets whether new calls get no response.
func (a *Agent) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
}

// SetDelay sets the time before the first list of each call.
func (a *Agent) SetDelay(delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delay = delay
}

// HoldCalls makes calls that come while the agent is down be answered once it is up.
func (a *Agent) HoldCalls() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holdsCalls = true
}

// RefuseWhen makes the agent refuse connections for which refuses returns true.
func (a *Agent) RefuseWhen(refuses func() bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refuses = refuses
}

// startCall counts a call and returns its number, its epoch, and whether it is answered.
func (a *Agent) startCall() (number, epoch int, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	answered = !a.down && a.unanswered == 0
	if !answered {
		a.unanswered = max(a.unanswered-1, 0)
	}
	return a.calls, a.epoch, answered
}

// isHolding reports whether calls wait for the agent to be up.
func (a *Agent) isHolding() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holdsCalls
}

// isUp reports whether new calls are answered.
func (a *Agent) isUp() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.down
}

// firstListDelay is the time before the first list of a call.
func (a *Agent) firstListDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.delay
}

// isCurrent reports whether watches of an epoch still get heartbeats.
func (a *Agent) isCurrent(epoch int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch == epoch
}

// holdPollPeriod is how often a call that is held looks whether the agent is up.
const holdPollPeriod = 10 * time.Millisecond

// serve answers the call on a connection, and then keeps it open until the caller closes it.
func (a *Agent) serve(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	ended := make(chan struct{})
	go func() { // ends when the caller closes the connection
		_, _ = io.Copy(io.Discard, c)
		close(ended)
	}()
	number, epoch, answered := a.startCall()
	for !answered && a.isHolding() {
		if !sleep(holdPollPeriod, ended) {
			return
		}
		answered = a.isUp()
	}
	if answered {
		a.writeWatch(c, number, epoch, ended)
	}
	<-ended
}

// writeWatch writes a list, and then a heartbeat each heartbeatPeriod while watches of the epoch get any.
func (a *Agent) writeWatch(c net.Conn, number, epoch int, ended <-chan struct{}) {
	if !sleep(a.firstListDelay(), ended) {
		return
	}
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" // ahead of the list
	line := ListText(number, true, EndpointEntry("s-0", "127.0.0.1:9", "SERVING", 0))
	for a.isCurrent(epoch) {
		if _, err := fmt.Fprintf(c, "%s%x\r\n%s\n\r\n", head, len(line)+1, line); err != nil {
			return
		}
		head, line = "", ""
		if !sleep(heartbeatPeriod, ended) {
			return
		}
	}
}

// sleep waits for a time, or until ended is closed, and reports whether the time is over.
func sleep(d time.Duration, ended <-chan struct{}) bool {
	select {
	case <-time.After(d):
		return true
	case <-ended:
		return false
	}
}

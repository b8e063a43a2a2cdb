package proxy

import (
	"net/http"
	"sync"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/upstream"
)

const (
	// lostAfterDeadline is the time after its deadline from which a client counts a final response as lost.
	lostAfterDeadline = 500 * time.Millisecond
	// lateResponseGrace is the time after the client's deadline by which a response that is not long has to end.
	lateResponseGrace = lostAfterDeadline - balance.SchedulingStall
	// longResponse is the size in bytes above which only the first bytes of a response are due at the client's
	// deadline.
	longResponse = upstream.MaxBufferedBody
	// minForwardedPace is the pace in bytes per second at which a response that was forwarded may go on after its
	// deadline. It is less than minFlowPace, as cutting off a long one is worse than forwarding one later.
	minForwardedPace = minFlowPace / 2
	// maxExpectation is the time for which a response may go on that is expected to be long and not known to be.
	maxExpectation = maxServerSilence
)

// streamDeadlineState is the state of a streamDeadline.
type streamDeadlineState int

const (
	deadlinePending  streamDeadlineState = iota // the response has to be complete or long by the deadline
	deadlineExtended                            // the deadline has passed, the response is expected to be long
	deadlineLifted                              // the response is long or complete, or has ended
	deadlineOverdue                             // the response was ended
)

// streamDeadline ends a forwarded response that its server does not give in time. A response is long if it declares
// more than longResponse bytes, or if more have arrived, and then has no deadline. A response without a length that was
// forwarded because it is expected to be long may go on if it keeps its pace up to the deadline. What has arrived
// counts, so a client that reads slowly does not make a response overdue.
type streamDeadline struct {
	response       *upstream.Stream
	client         ClientConn // nil if unknown
	writer         *http.ResponseController
	forwardedAt    time.Time
	forwardedBytes int64 // that had arrived when forwarding began

	mu    sync.Mutex
	state streamDeadlineState
	dueAt time.Time // when the next decision is made
	timer *time.Timer
}

// startStreamDeadline starts the deadline of a response that is read from response and written to client by writer. It
// passes at dueAt. The caller must call disarm before it finishes response.
func startStreamDeadline(response *upstream.Stream, client ClientConn, writer *http.ResponseController,
	dueAt time.Time) *streamDeadline {
	arrived, _ := response.Arrival()
	d := &streamDeadline{
		response:       response,
		client:         client,
		writer:         writer,
		forwardedAt:    time.Now(),
		forwardedBytes: arrived,
		dueAt:          dueAt,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case response.Length() > longResponse:
		d.state = deadlineLifted
		return d
	case response.Length() < 0 && !d.forwardedAt.Before(dueAt): // forwarded at the last moment
		d.extend()
	}
	d.timer = time.AfterFunc(time.Until(d.dueAt), func() { d.check() })
	return d
}

// disarm ends the deadline. The response is not ended after disarm has returned.
func (d *streamDeadline) disarm() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lift()
}

// check decides about the response if that is due, and returns the state. Any goroutine may call it; it waits for a
// read of the response in progress, which ends when the decision is due.
func (d *streamDeadline) check() streamDeadlineState {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isSettled() || time.Now().Before(d.dueAt) {
		return d.state
	}
	arrived, isAll := d.response.Arrival()
	switch {
	case isAll || arrived > longResponse:
		d.lift()
	case d.state == deadlinePending && d.keepsPace(arrived):
		d.extend()
		d.timer.Reset(time.Until(d.dueAt))
	default:
		d.state = deadlineOverdue
		d.interruptWrite()
	}
	return d.state
}

// keepsPace reports whether a response without a length has gone on at minForwardedPace since it is forwarded.
func (d *streamDeadline) keepsPace(arrived int64) bool {
	pace := meanPace(arrived-d.forwardedBytes, d.forwardedAt, time.Now())
	return d.response.Length() < 0 && pace >= minForwardedPace
}

// isSettled reports whether nothing is left to decide. The caller must hold d.mu.
func (d *streamDeadline) isSettled() bool {
	return d.state == deadlineLifted || d.state == deadlineOverdue
}

// extend lets a response go on that is still expected to be long. The caller must hold d.mu.
func (d *streamDeadline) extend() {
	d.state = deadlineExtended
	d.dueAt = d.dueAt.Add(maxExpectation)
}

// lift ends the deadline of a response that goes on or has ended. The caller must hold d.mu.
func (d *streamDeadline) lift() {
	if d.isSettled() {
		return
	}
	d.state = deadlineLifted
	d.timer.Stop()
}

// interruptWrite ends the write in progress. A read in progress ends by itself at the deadline. If the client reads
// slowly, its connection is reset, so that the end reaches it in time. net/http closes the connection when the write
// fails, so this has to be decided before.
func (d *streamDeadline) interruptWrite() {
	if d.client != nil {
		d.client.ResetIfUndelivered()
	}
	_ = d.writer.SetWriteDeadline(expiredDeadline) // fails on a closed connection
}

// isOverdue reports whether the response was ended because it is overdue.
func (d *streamDeadline) isOverdue() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state == deadlineOverdue
}

// nextReadDeadline returns the deadline of the next read, or the zero time if there is none. A read ends when the
// deadline passes, so that the decision does not have to wait for it. The deadline is lifted as soon as the response is
// known to be long: a read that ends and is then repeated would hide how long the server has been silent.
func (d *streamDeadline) nextReadDeadline() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.response.Received() > longResponse {
		d.lift()
	}
	if d.isSettled() {
		return time.Time{}
	}
	return d.dueAt
}

// mayContinue reports whether reading may continue after a read with this deadline has timed out.
func (d *streamDeadline) mayContinue(readDeadline time.Time) bool {
	if readDeadline.IsZero() || time.Now().Before(readDeadline) { // it timed out for another reason
		return false
	}
	return d.check() != deadlineOverdue
}

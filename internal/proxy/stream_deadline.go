package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/internal/upstream"
)

const (
	// lateResponseGrace is the time after the client's deadline by which a streamed response of at most longResponse
	// bytes has to end. Clients count a response as lost 0.5 s after the deadline.
	lateResponseGrace = 250 * time.Millisecond
	// longResponse is the size in bytes above which only the first bytes of a response are due at the client's
	// deadline.
	longResponse = upstream.MaxBufferedBody
)

// streamDeadline ends a streamed response that its server has not given in time: a response whose length is at most
// longResponse bytes, or of which, if it has no declared length, no more have arrived by then. What has arrived counts,
// so a client that reads slowly does not make a response overdue.
type streamDeadline struct {
	at       time.Time
	response *upstream.Stream
	client   ClientConn // nil if unknown
	writer   *http.ResponseController
	timer    *time.Timer
	decide   sync.Once   // decides whether the response is overdue
	overdue  atomic.Bool // it is, and was ended

	// lifted is set if the response has no deadline, or has met it. Only the goroutine that reads the response uses it.
	lifted bool
}

// startStreamDeadline starts the deadline of a response that is read from response and written to client by writer. The
// caller must call disarm before it finishes response.
func startStreamDeadline(response *upstream.Stream, client ClientConn, writer *http.ResponseController,
	at time.Time) *streamDeadline {
	d := &streamDeadline{at: at, response: response, client: client, writer: writer}
	if response.Length() > longResponse {
		d.lifted = true
		return d
	}
	d.timer = time.AfterFunc(time.Until(at), func() { d.endIfOverdue() })
	return d
}

// disarm ends the deadline. The response is not ended after disarm has returned.
func (d *streamDeadline) disarm() {
	if d.timer != nil {
		d.timer.Stop()
	}
	d.decide.Do(func() {})
}

// endIfOverdue decides, once the deadline has passed, whether the response is overdue, and ends it if it is. Any
// goroutine may call it.
func (d *streamDeadline) endIfOverdue() (isOverdue bool) {
	d.decide.Do(func() {
		if d.response.HasArrived(longResponse) {
			return
		}
		d.overdue.Store(true)
		d.interruptWrite()
	})
	return d.isOverdue()
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
func (d *streamDeadline) isOverdue() bool { return d.overdue.Load() }

// readDeadline returns the deadline of the next read, or the zero time if there is none. As a read ends at the deadline
// of the response, endIfOverdue does not have to wait for it.
func (d *streamDeadline) readDeadline() time.Time {
	if d.lifted {
		return time.Time{}
	}
	return d.at
}

// hasPassed reports whether the deadline has passed and was not lifted.
func (d *streamDeadline) hasPassed() bool { return !d.lifted && !time.Now().Before(d.at) }

// liftIfLong lifts the deadline if the response is known to be long. A read that the deadline ends and that is then
// repeated would hide how long the server has been silent.
func (d *streamDeadline) liftIfLong() {
	if !d.lifted && d.response.Received() > longResponse {
		d.lift()
	}
}

// lift ends the deadline of a response that goes on.
func (d *streamDeadline) lift() {
	d.lifted = true
	d.disarm()
}

package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/internal/upstream"
)

const (
	// lateResponseGrace is the time after the client's deadline by which a streamed response that is not long has to
	// end. Clients count a response as lost 0.5 s after the deadline.
	lateResponseGrace = 250 * time.Millisecond
	// longResponse is the size in bytes above which only the first bytes of a response are due at the client's
	// deadline.
	longResponse = upstream.MaxBufferedBody
)

// streamDeadline ends a streamed response that its server does not give in time. A response is long if it declares more
// than longResponse bytes, or if more have arrived by the client's deadline; it is not ended. Any other one has to be
// complete lateResponseGrace later. What has arrived counts, so a client that reads slowly does not make a response
// overdue.
type streamDeadline struct {
	at       time.Time // the client's deadline
	response *upstream.Stream
	client   ClientConn // nil if unknown
	writer   *http.ResponseController
	timers   []*time.Timer

	classify sync.Once   // decides at the client's deadline whether the response is due
	due      bool        // result of classify: the response is not long
	decide   sync.Once   // decides at the end of the grace whether the response is overdue
	overdue  atomic.Bool // result of decide: it is, and was ended

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
	d.timers = []*time.Timer{
		time.AfterFunc(time.Until(at), func() { d.isDue() }),
		time.AfterFunc(time.Until(d.end()), func() { d.endIfOverdue() }),
	}
	return d
}

// end returns the time at which a response that is due is ended.
func (d *streamDeadline) end() time.Time { return d.at.Add(lateResponseGrace) }

// disarm ends the deadline. The response is not ended after disarm has returned.
func (d *streamDeadline) disarm() {
	for _, timer := range d.timers {
		timer.Stop()
	}
	d.classify.Do(func() {})
	d.decide.Do(func() {})
}

// isDue decides at the client's deadline whether the response is due by the end of the grace. Any goroutine may call
// it.
func (d *streamDeadline) isDue() bool {
	d.classify.Do(func() { d.due = !d.response.HasArrived(longResponse) })
	return d.due
}

// endIfOverdue decides at the end of the grace whether the response is overdue, and ends it if it is. Any goroutine may
// call it.
func (d *streamDeadline) endIfOverdue() (isOverdue bool) {
	d.decide.Do(func() {
		if !d.isDue() || d.response.HasArrivedCompletely() {
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

// nextReadDeadline returns the deadline of the next read, or the zero time if there is none. Reads end at the client's
// deadline and at the end of the grace, so that the decisions do not have to wait for them. Before the client's
// deadline, the deadline is lifted as soon as the response is known to be long: a read that ends and is then repeated
// would hide how long the server has been silent.
func (d *streamDeadline) nextReadDeadline() time.Time {
	isBefore := time.Now().Before(d.at)
	isLong := isBefore && d.response.Received() > longResponse
	if !d.lifted && (isLong || !isBefore && !d.isDue()) {
		d.lift()
	}
	switch {
	case d.lifted:
		return time.Time{}
	case isBefore:
		return d.at
	}
	return d.end()
}

// mayContinue reports whether reading may continue after a read with this deadline has timed out.
func (d *streamDeadline) mayContinue(readDeadline time.Time) bool {
	switch {
	case readDeadline.IsZero() || time.Now().Before(readDeadline): // it timed out for another reason
		return false
	case readDeadline.Equal(d.at):
		return true
	case d.endIfOverdue():
		return false
	}
	d.lift()
	return true
}

// lift ends the deadline of a response that goes on.
func (d *streamDeadline) lift() {
	d.lifted = true
	d.disarm()
}

package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/upstream"
)

const (
	// maxHoldBack is the time after its first byte by which a long response has to be forwarded. Clients count it as
	// lost if a part of it is held back for 2 s.
	maxHoldBack = 2*time.Second - 2*balance.SchedulingStall
	// observationTime is the minimum time between forwarding a response that is expected to be long and the look at
	// whether it has kept its pace. Within less, a slow server may give nothing.
	observationTime = 300 * time.Millisecond
	// heldReadSize is the minimum free space in bytes for a read of a held response.
	heldReadSize = 4 << 10
	// heldCheckInterval is the time between two checks whether a held response is expected to be long.
	heldCheckInterval = 50 * time.Millisecond
)

// heldResponse is a response without a length of which nothing was forwarded. As long as its server has given no more
// than longResponse bytes and not its end, it may be a short one that is late, one without an end, or a long one that
// is slow. Until something is forwarded, an error is a final response for each of them; afterwards none is right for
// all.
type heldResponse struct {
	stream  *upstream.Stream
	body    []byte // what was read
	maxBody int    // size in bytes up to which body may grow; the rest stays in the socket
	flow    responseFlow
	// holdLimit is when a response is forwarded that has much time left to become long.
	holdLimit time.Time
	checkAt   time.Time // from then on, the response is forwarded if it is expected to be long
	endAt     time.Time // when it ends if it was not forwarded
}

// newHeldResponse returns the held response to a request, which ends at endAt. body is its first part.
func newHeldResponse(stream *upstream.Stream, body []byte, request *inflightRequest, endAt time.Time) *heldResponse {
	maxBody := stream.BufferSize()
	if maxBody >= longResponse {
		maxBody = longResponse + heldReadSize // so that reading tells a long response
	}
	holdLimit := stream.FirstByteAt().Add(maxHoldBack)
	checkAt := request.deadline
	if holdLimit.Before(checkAt) {
		checkAt = holdLimit
	}
	return &heldResponse{
		stream:    stream,
		body:      body,
		maxBody:   maxBody,
		flow:      newResponseFlow(stream.FirstByteAt(), int64(len(body))),
		holdLimit: holdLimit,
		checkAt:   checkAt,
		endAt:     endAt,
	}
}

// responseEnd returns when a response has to end that is neither complete nor long. The client's time runs from when
// the request reached this machine. A busy process may have read it later, and then there is less time left.
func responseEnd(request *inflightRequest, client ClientConn) time.Time {
	end := request.deadline.Add(responseMargin + lateResponseGrace)
	if client == nil {
		return end
	}
	sentAt, ok := client.LastInputAt()
	if delay := request.receivedAt.Sub(sentAt); ok && delay > 0 {
		return end.Add(-delay)
	}
	return end
}

// await reads the response until it may be forwarded, and returns what was read. It fails if the response ends before,
// or at shutdown.
func (r *heldResponse) await(shutdown context.Context) (body []byte, err error) {
	interrupt := func() { r.stream.LimitSilence(time.Nanosecond) }
	stop := context.AfterFunc(shutdown, interrupt)
	defer stop()
	for !r.mayBeForwarded(time.Now()) {
		if shutdown.Err() != nil || !time.Now().Before(r.endAt) {
			return nil, errUndecided
		}
		if err := r.readMore(time.Now()); err != nil {
			return nil, err
		}
	}
	if isInterrupted := !stop(); isInterrupted && !r.stream.IsComplete() {
		return nil, errUndecided
	}
	return r.body, nil
}

// isFull reports whether no more is read while the response is held.
func (r *heldResponse) isFull() bool { return len(r.body) >= r.maxBody }

// mayBeForwarded reports whether the response is complete, long, or expected to be long.
func (r *heldResponse) mayBeForwarded(now time.Time) bool {
	if r.stream.IsComplete() || r.stream.Received() > longResponse {
		return true
	}
	if now.Before(r.checkAt) && !r.isFull() {
		return false
	}
	arrived, isAll := r.stream.Arrival()
	r.flow.record(arrived, now)
	switch {
	case arrived > longResponse || isAll && (r.isFull() || !now.Before(r.endAt)):
		return true
	case !now.Before(r.holdLimit) && r.endAt.Sub(now) > maxHoldBack:
		return true
	}
	left := r.endAt.Sub(now)
	return !now.Before(r.checkAt) && (left <= 0 || left >= observationTime) && r.flow.isExpectedLong(now, r.endAt)
}

// readMore reads available bytes. It waits for them until the next check at most.
func (r *heldResponse) readMore(now time.Time) error {
	nextCheck := r.nextCheck(now)
	if r.isFull() {
		time.Sleep(nextCheck.Sub(now))
		return nil
	}
	r.body = slices.Grow(r.body, min(heldReadSize, r.maxBody-len(r.body)))
	r.stream.SetReadDeadline(nextCheck)
	n, err := r.stream.Read(r.body[len(r.body):min(cap(r.body), r.maxBody)])
	r.body = r.body[:len(r.body)+n]
	r.flow.record(r.stream.Received(), time.Now())
	isCheckDue := errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(nextCheck)
	if err == nil || errors.Is(err, io.EOF) || isCheckDue {
		return nil
	}
	return fmt.Errorf("%w: %w", errServerRead, err)
}

// nextCheck returns when mayBeForwarded is to be called again.
func (r *heldResponse) nextCheck(now time.Time) time.Time {
	next := r.checkAt
	if !now.Before(r.checkAt) || r.isFull() {
		next = now.Add(heldCheckInterval)
	}
	if r.endAt.Before(next) {
		return r.endAt
	}
	return next
}

package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/upstream"
)

const (
	// clientSendBuffer is the size in bytes of the send buffer of the client's connection. A full send buffer accepts
	// data again once a third of it is free. With a large buffer, a slow client could need more than partWriteTimeout
	// to free a third.
	clientSendBuffer = 64 << 10
	// partWriteTimeout is the maximum time in which a client has to receive one part of a streamed body. A client that
	// pauses closes its receive window, and TCP may learn only as long again after the pause that it has reopened: it
	// probes 0.2 s, 0.6 s, 1.4 s, 3.0 s, 6.2 s and 12.6 s after the close.
	partWriteTimeout = 13 * time.Second
	// maxServerSilence is the maximum time for which a server may be silent in a streamed body. A server that is cut
	// off from the network is silent on open connections, and continues when the network is back: after two cuts of
	// 6 s in a row, and as long again until TCP retransmits. The limit frees the connections of servers that never come
	// back.
	maxServerSilence = 30 * time.Second
	// drainSilence replaces maxServerSilence at the end of a drain: one cut of 6 s, and as long again until TCP
	// retransmits. A process that is killed before has cut nothing off itself.
	drainSilence = 13 * time.Second
	// abandonedSilence replaces maxServerSilence once the client has closed its sending side.
	abandonedSilence = 5 * time.Second
)

// Errors of a stream that ends before the body is complete.
var (
	errClientWrite = errors.New("writing the response to the client failed")
	errServerRead  = errors.New("reading the response from the server failed")
	errOverdue     = fmt.Errorf("%w: it was neither complete nor long in time", errServerRead)
	errUndecided   = fmt.Errorf("%w: nothing was forwarded, as nothing told in time whether it is long", errServerRead)
)

// stream writes a response while it arrives from the server, and counts it. A response without a length is held until
// it is complete, long or expected to be long; if it ends before, the client gets an error. If the stream ends early,
// the handler is aborted, so that the response does not look complete to the client: the connection ends before the
// declared length or without the last chunk.
func (h *Handler) stream(w http.ResponseWriter, r *http.Request, conn *http.ResponseController,
	response finalResponse, request *inflightRequest) {
	client := clientConnOf(r)
	if client != nil {
		_ = client.SetWriteBuffer(clientSendBuffer) // on failure, the default size of the system remains
	}
	isComplete := false
	// What is used after the beginning of the stream must not keep the first part of the body.
	remainder, source, body := response.remainder, response.source, response.body
	defer func() { remainder.Finish(isComplete) }()
	defer context.AfterFunc(r.Context(), func() { remainder.LimitSilence(abandonedSilence) })()
	defer context.AfterFunc(h.shutdown, func() { remainder.LimitSilence(drainSilence) })()
	remainder.SetReadTimeout(maxServerSilence)
	endAt := responseEnd(request, client)
	if remainder.Length() < 0 {
		var err error
		if body, err = newHeldResponse(remainder, body, request, endAt).await(h.shutdown); err != nil {
			h.endStream(r, request, source, remainder, err)
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			finalResponse{kind: badGateway}.write(w)
			return
		}
	}
	response.writeContentType(w)
	if length := remainder.Length(); length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	deadline := startStreamDeadline(remainder, client, conn, endAt)
	defer deadline.disarm()
	err := h.copyStream(w, conn, body, remainder, deadline)
	h.endStream(r, request, source, remainder, err)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	isComplete = true
}

// endStream counts and reports the end of a stream. err tells why it is incomplete; nil: it is complete.
func (h *Handler) endStream(r *http.Request, request *inflightRequest, source streamSource, response *upstream.Stream,
	err error) {
	h.loop.endStream(source, h.streamOutcome(r, response, err))
	if err == nil {
		request.counters.Served.Add(1)
		return
	}
	if errors.Is(err, errServerRead) {
		request.counters.Failed.Add(1)
	}
	h.logIncomplete(request, source, response, err)
}

// streamOutcome returns the outcome of a stream that ended with err. It is a failure of the server only if neither the
// client nor this process had a part in the end. A server that has kept the pace of a sound one until this process
// ended its response may be sound.
func (h *Handler) streamOutcome(r *http.Request, response *upstream.Stream, err error) balance.Outcome {
	switch {
	case err == nil:
		return balance.Served
	case errors.Is(err, errOverdue) || errors.Is(err, errUndecided):
		arrived, _ := response.Arrival()
		if meanPace(arrived, response.FirstByteAt(), time.Now()) >= minFlowPace || h.shutdown.Err() != nil {
			return balance.Cancelled
		}
		return balance.Errored
	case !errors.Is(err, errServerRead) || errors.Is(err, upstream.ErrStreamYielded),
		r.Context().Err() != nil, h.shutdown.Err() != nil:
		return balance.Cancelled
	}
	return balance.Reset
}

// copyStream writes part, the first part of a body, and then the remainder. It does not keep the first part meanwhile.
// It returns errClientWrite, or an error that wraps errServerRead, if the body could not be completed.
func (h *Handler) copyStream(w http.ResponseWriter, conn *http.ResponseController, part []byte,
	remainder *upstream.Stream, deadline *streamDeadline) error {
	buffer := h.streamBuffers.Get().(*[]byte)
	defer h.streamBuffers.Put(buffer)
	for {
		err := writePart(w, conn, part, deadline)
		switch {
		case deadline.isOverdue():
			return errOverdue
		case err != nil:
			return errClientWrite
		case remainder.IsComplete():
			return nil
		}
		n, err := readPart(remainder, *buffer, deadline)
		if err != nil {
			return err
		}
		part = (*buffer)[:n]
	}
}

// readPart reads the next part of a body into buffer.
func readPart(remainder *upstream.Stream, buffer []byte, deadline *streamDeadline) (int, error) {
	for {
		readDeadline := deadline.nextReadDeadline()
		remainder.SetReadDeadline(readDeadline)
		n, err := remainder.Read(buffer)
		switch {
		case err == nil || errors.Is(err, io.EOF):
			return n, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && deadline.mayContinue(readDeadline):
		case deadline.isOverdue():
			return 0, errOverdue
		default:
			return 0, fmt.Errorf("%w: %w", errServerRead, err)
		}
	}
}

// writePart writes one part of a body, with a write deadline of its own.
func writePart(w http.ResponseWriter, conn *http.ResponseController, part []byte, deadline *streamDeadline) error {
	if err := conn.SetWriteDeadline(time.Now().Add(partWriteTimeout)); err != nil {
		return err
	}
	if deadline.isOverdue() { // the write deadline above may have replaced the one that ends the stream
		return errOverdue
	}
	if _, err := w.Write(part); err != nil {
		return err
	}
	return conn.Flush()
}

package upstream

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"
)

const (
	// initialHeadCapacity is the initial capacity in bytes of the buffer for a request's head.
	initialHeadCapacity = 512
	// maxAppendedBody is the size in bytes up to which a body is written together with the head.
	maxAppendedBody = 4 << 10
)

// Message is a client's request as it is forwarded to servers.
type Message struct {
	Method         string
	URL            *url.URL // path and query
	ID             string   // X-Request-ID
	IdempotencyKey string   // Idempotency-Key; "": none
	ContentType    string   // Content-Type; "": none
	Body           [][]byte // the body in one or more pieces
}

// bodyLength returns the length of the body in bytes.
func (m *Message) bodyLength() int { return totalLength(m.Body) }

func totalLength(pieces [][]byte) (length int) {
	for _, piece := range pieces {
		length += len(piece)
	}
	return length
}

// encodedRequest is a request in its wire format. A short body is appended to head. A longer one is not copied, because
// copies of many bodies would exhaust the memory.
type encodedRequest struct {
	head []byte
	body [][]byte
}

// length returns the length of the complete request in bytes.
func (r *encodedRequest) length() int { return len(r.head) + totalLength(r.body) }

// encode returns the request to be sent to address. X-Timeout-Ms is the time until the deadline of ctx. The time spent
// on acquiring a connection is already deducted.
func (m *Message) encode(ctx context.Context, address string) encodedRequest {
	head := make([]byte, 0, initialHeadCapacity+min(m.bodyLength(), maxAppendedBody))
	appendLine := func(parts ...string) {
		for _, part := range parts {
			head = append(head, part...)
		}
		head = append(head, "\r\n"...)
	}
	appendLine(m.Method, " ", m.URL.RequestURI(), " HTTP/1.1")
	appendLine("Host: ", address)
	appendLine("X-Request-ID: ", m.ID)
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		appendLine("X-Timeout-Ms: ", strconv.FormatInt(remaining, 10))
	}
	if m.IdempotencyKey != "" {
		appendLine("Idempotency-Key: ", m.IdempotencyKey)
	}
	if m.ContentType != "" {
		appendLine("Content-Type: ", m.ContentType)
	}
	if m.Method == http.MethodPost {
		appendLine("Content-Length: ", strconv.Itoa(m.bodyLength()))
	}
	appendLine()
	if len(m.Body) == 1 && len(m.Body[0]) <= maxAppendedBody {
		return encodedRequest{head: append(head, m.Body[0]...)}
	}
	return encodedRequest{head: head, body: m.Body}
}

// writeRequest writes a request and returns the number of bytes written. It stops at the deadline. At the deadline the
// server's dedupe window ends, so the last byte must not be written after it: the server does not process a request
// whose last byte is missing.
func (c *serverConn) writeRequest(deadline *SendDeadline, request encodedRequest) (written int, err error) {
	stop := deadline.followChanges(func(at time.Time) {
		_ = c.setWriteDeadline(at) // fails only on a closed connection
	})
	defer stop()
	written, err = c.writeParts(request)
	if errors.Is(err, os.ErrDeadlineExceeded) && deadline.hasPassed() {
		err = errSendDeadline
	}
	return written, err
}

// writeParts writes the head and each piece of the body, up to the first error.
func (c *serverConn) writeParts(request encodedRequest) (written int, err error) {
	written, err = c.Write(request.head)
	for _, piece := range request.body {
		if err != nil {
			break
		}
		var n int
		n, err = c.Write(piece)
		written += n
	}
	return written, err
}

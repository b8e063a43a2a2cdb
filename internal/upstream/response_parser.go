package upstream

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/chunked"
)

// MaxBufferedBody is how many bytes of a request's or a response's body are buffered in any case.
const MaxBufferedBody = 64 << 10

const (
	maxHeaderBytes = 16 << 10 // bytes of a response's header

	maxResponseBody     = 64 << 20 // bytes that an answer may say it has; 32 MB are agreed on
	maxInterimResponses = 8        // 1xx answers ahead of one
	// unknownLengthHold is how long an answer whose length is not told is held from its first byte on. Passed on sooner, one
	// that stops is not made good by a repeat; later, a long one is late.
	unknownLengthHold = 150 * time.Millisecond
)

// readResponse reads the answer to the request just written. clean says that nothing was left behind it, so that the
// connection can have another request. It reads strictly: http.ReadResponse lets a length pass that is given twice or
// beside chunks, and does not tell a body that has no length from one that was cut off.
func (c *serverConn) readResponse() (r Response, clean bool, err error) {
	c.limitedReader.N = maxHeaderBytes // or a head that never ends would be read on
	status, header, err := c.readHead()
	for n := 0; err == nil && status/100 == 1; n++ {
		if status == http.StatusSwitchingProtocols || n == maxInterimResponses {
			return Response{}, false, malformed("status %d, the %dth ahead of an answer", status, n+1)
		}
		status, header, err = c.readHead()
	}
	if err != nil {
		return Response{}, false, err
	}
	r.Outcome = outcomeOf(status, header.Get("X-Not-Processed") == "1")
	if r.Outcome != balance.Served && isCloseDelimited(header) {
		return r, false, nil // its body is not needed and may never end
	}
	body, rest, err := c.readFramedBody(header)
	switch {
	case err == nil:
	case r.Outcome == balance.Served:
		return Response{}, false, err
	default: // other answers have said all in their head
		return r, false, nil
	}
	if r.Outcome != balance.Served {
		if rest != nil {
			return r, false, nil
		}
	} else {
		r.Body, r.Remainder, r.ContentType = body, rest, header.Get("Content-Type")
	}
	if rest != nil {
		rest.connectionCloses = strings.EqualFold(header.Get("Connection"), "close")
		return r, false, nil
	}
	return r, c.isReusable() && !strings.EqualFold(header.Get("Connection"), "close"), nil
}

func outcomeOf(status int, notProcessed bool) balance.Outcome {
	switch {
	case status == http.StatusOK:
		return balance.Served
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && notProcessed:
		return balance.Saturated
	}
	return balance.Errored
}

// readHead reads one head.
func (c *serverConn) readHead() (status int, header http.Header, err error) {
	line, err := c.textReader.ReadLine()
	if err != nil {
		return 0, nil, c.classifyReadError(err)
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return 0, nil, malformed("status line %.40q", line)
	}
	fields, err := c.textReader.ReadMIMEHeader()
	if err != nil {
		return 0, nil, c.classifyReadError(err)
	}
	return status, http.Header(fields), nil
}

// readFramedBody reads the body behind a head: all of it, or where it is long or pauses with its length untold, what has come and
// the rest as a stream.
func (c *serverConn) readFramedBody(header http.Header) (whole []byte, rest *Stream, err error) {
	b := &serverBody{conn: c, length: -1}
	lengths, codings := header["Content-Length"], header["Transfer-Encoding"]
	c.limitedReader.N = math.MaxInt64 // pieces of bodies are bounded, not bodies
	switch {
	case len(codings) == 0 && len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil || n > maxResponseBody {
			return nil, nil, malformed("length %.40q", lengths[0])
		}
		b.length, b.remaining = int64(n), int64(n)
	case len(lengths) == 0 && len(codings) == 1 && strings.EqualFold(codings[0], "chunked"):
		b.decoder = &chunked.Decoder{}
	case isCloseDelimited(header):
		// Whole once the server has closed the connection in order, whether or not it announced that. A reset or a
		// silence is no end.
	default:
		return nil, nil, malformed("lengths %q, codings %q", lengths, codings)
	}
	return c.readBody(b)
}

// isCloseDelimited reports whether a response declares no length, so that the close of its connection ends its body
// (RFC 9112, section 6.3).
func isCloseDelimited(header http.Header) bool {
	return len(header["Content-Length"]) == 0 && len(header["Transfer-Encoding"]) == 0
}

// readBody reads a body until it is whole or is to be passed on.
func (c *serverConn) readBody(b *serverBody) (whole []byte, rest *Stream, err error) {
	long, usual, first := b.length > MaxBufferedBody, c.allowedPause, time.Time{}
	if b.length >= 0 && !long {
		whole = make([]byte, 0, b.length)
	}
	for !b.isComplete() {
		if long && len(whole) > 0 || len(whole) >= MaxBufferedBody {
			return whole, &Stream{body: b, reusable: make(chan bool, 1)}, nil
		}
		untold := b.length < 0 && len(whole) > 0
		if c.allowedPause = usual; untold {
			c.allowedPause = min(usual, max(time.Until(first.Add(unknownLengthHold)), time.Nanosecond))
		}
		if len(whole) == cap(whole) {
			whole = slices.Grow(whole, 4<<10)
		}
		n, err := b.Read(whole[len(whole):min(cap(whole), MaxBufferedBody)])
		if whole = whole[:len(whole)+n]; !untold {
			first = time.Now()
		}
		switch {
		case err == nil || err == io.EOF:
		case untold && errors.Is(err, os.ErrDeadlineExceeded):
			return whole, &Stream{body: b, reusable: make(chan bool, 1)}, nil
		default:
			return nil, nil, c.classifyReadError(err)
		}
	}
	return whole, nil, nil
}

// classifyReadError tells an answer that is spoilt from a connection that broke.
func (c *serverConn) classifyReadError(err error) error {
	var broken net.Error
	switch {
	case errors.As(err, &broken):
		return err
	case (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) && c.limitedReader.N > 0:
		return err
	}
	return malformed("%v", err)
}

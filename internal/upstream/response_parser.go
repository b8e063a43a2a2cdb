package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"milletramp.example/milletramp/balance"
)

const (
	maxHeaderBytes      = 16 << 10 // bytes of a response's heads, interim ones included
	maxInterimResponses = 8        // 1xx responses before the final one
)

// responseHead is the status and the header of a response.
type responseHead struct {
	status int
	header http.Header
}

// isInterim reports whether another response follows (1xx).
func (h *responseHead) isInterim() bool { return h.status/100 == 1 }

// closesConnection reports whether the server announces that it closes the connection.
func (h *responseHead) closesConnection() bool {
	return strings.EqualFold(h.header.Get("Connection"), "close")
}

// outcome returns what the response says of its request.
func (h *responseHead) outcome() balance.Outcome {
	notProcessed := h.header.Get("X-Not-Processed") == "1"
	switch {
	case h.status == http.StatusOK:
		return balance.Served
	case (h.status == http.StatusServiceUnavailable || h.status == http.StatusGatewayTimeout) && notProcessed:
		return balance.Saturated
	}
	return balance.Errored
}

// readResponse reads the response to the request just written. reusable reports whether nothing follows it, so that the
// connection can have another request. http.ReadResponse is too lenient: it accepts a length that is declared twice or
// next to chunks, and a body of unknown length that was cut off.
func (c *serverConn) readResponse() (r Response, reusable bool, err error) {
	c.limitedReader.N = maxHeaderBytes // ends a head that never ends
	head, err := c.readFinalHead()
	if err != nil {
		return Response{}, false, err
	}
	r.Outcome = head.outcome()
	if r.Outcome != balance.Served {
		return r, c.discardBody(&head), nil
	}
	r.Body, r.Remainder, err = c.readBody(head.header)
	if err != nil {
		return Response{}, false, err
	}
	r.ContentType = head.header.Get("Content-Type")
	if r.Remainder != nil {
		r.Remainder.connectionCloses = head.closesConnection()
		return r, false, nil
	}
	return r, c.isReusable() && !head.closesConnection(), nil
}

// discardBody reads the body of a response whose head says all, and reports whether the connection is reusable. A body
// that is long or may never end is left unread.
func (c *serverConn) discardBody(head *responseHead) (reusable bool) {
	if isCloseDelimited(head.header) {
		return false
	}
	_, rest, err := c.readBody(head.header)
	if err != nil || rest != nil {
		return false
	}
	return c.isReusable() && !head.closesConnection()
}

// readFinalHead reads the head of the final response, after those of interim ones.
func (c *serverConn) readFinalHead() (responseHead, error) {
	for interim := 1; ; interim++ {
		head, err := c.readHead()
		if err != nil || !head.isInterim() {
			return head, err
		}
		if head.status == http.StatusSwitchingProtocols || interim > maxInterimResponses {
			return responseHead{}, malformed("status %d, interim response %d", head.status, interim)
		}
	}
}

// readHead reads the head of one response.
func (c *serverConn) readHead() (responseHead, error) {
	line, err := c.textReader.ReadLine()
	if err != nil {
		return responseHead{}, c.classifyReadError(err)
	}
	status, err := parseStatusLine(line)
	if err != nil {
		return responseHead{}, err
	}
	fields, err := c.textReader.ReadMIMEHeader()
	if err != nil {
		return responseHead{}, c.classifyReadError(err)
	}
	return responseHead{status: status, header: http.Header(fields)}, nil
}

// parseStatusLine returns the status code of a status line.
func parseStatusLine(line string) (status int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return 0, malformed("status line %.40q", line)
	}
	return status, nil
}

// classifyReadError distinguishes a connection that broke, whose error it returns, from a response that is malformed.
func (c *serverConn) classifyReadError(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) {
		return err
	}
	// At the bound of limitedReader an EOF is not the connection's.
	isEOF := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	if isEOF && c.limitedReader.N > 0 {
		return err
	}
	return malformed("%v", err)
}

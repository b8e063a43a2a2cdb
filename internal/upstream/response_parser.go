package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"milletramp.example/milletramp/balance"
)

const (
	maxHeaderBytes      = 16 << 10 // maximum size in bytes of a response's heads, including interim responses
	maxInterimResponses = 8        // maximum number of 1xx responses before the final response
)

// responseHead is the status code and the header of a response.
type responseHead struct {
	status int
	header http.Header
}

// isInterim reports whether the response is interim (1xx), so that another response follows.
func (h *responseHead) isInterim() bool { return h.status/100 == 1 }

// closesConnection reports whether the response has "Connection: close".
func (h *responseHead) closesConnection() bool {
	return strings.EqualFold(h.header.Get("Connection"), "close")
}

// outcome returns the outcome of the request according to the status code and X-Not-Processed.
func (h *responseHead) outcome() balance.Outcome {
	switch {
	case h.status == http.StatusOK:
		return balance.Served
	case (h.status == http.StatusServiceUnavailable || h.status == http.StatusGatewayTimeout) && h.isNotProcessed():
		return balance.Saturated
	}
	return balance.Errored
}

// isNotProcessed reports whether the response says that the server has not processed the request. Several values of the
// field may contradict each other.
func (h *responseHead) isNotProcessed() bool {
	values := h.header["X-Not-Processed"]
	return len(values) == 1 && values[0] == "1"
}

// readResponse reads the response to the current request. reusable reports whether the connection can carry another
// request, which requires that no bytes follow the response. http.ReadResponse is too lenient: it accepts a duplicate
// Content-Length, a Content-Length together with a chunked body, and a truncated body of unknown length.
// errorBodyTimeout is the read timeout for the body of a response that is not forwarded.
func (c *serverConn) readResponse(errorBodyTimeout time.Duration) (r Response, reusable bool, err error) {
	c.limitedReader.N = maxHeaderBytes // stops reading an endless head
	head, err := c.readFinalHead()
	if err != nil {
		return Response{}, false, err
	}
	r.Outcome = head.outcome()
	if r.Outcome == balance.Served {
		return c.readServedBody(&head)
	}
	c.readTimeout = errorBodyTimeout
	c.onStall = nil
	if r.Outcome == balance.Saturated {
		reusable, err = c.verifyRefusal(&head)
		return r, reusable, err
	}
	return r, c.discardBody(&head), nil
}

// readServedBody reads the body of a response with status 200, or the first part of a long one.
func (c *serverConn) readServedBody(head *responseHead) (r Response, reusable bool, err error) {
	r.Outcome = balance.Served
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

// verifyRefusal reads the rest of a response whose head says that the request was not processed. A request of an unsafe
// class is sent again after such a response, so the head alone does not suffice: verifyRefusal returns an error if the
// response is ambiguous, malformed or incomplete, or if more bytes follow it. Like discardBody, it does not await the
// end of a close-delimited body.
func (c *serverConn) verifyRefusal(head *responseHead) (reusable bool, err error) {
	if isCloseDelimited(head.header) {
		return false, nil
	}
	readTimeout := c.readTimeout
	_, rest, err := c.readBody(head.header)
	if err != nil {
		return false, err
	}
	if rest != nil {
		rest.SetReadTimeout(readTimeout)
		_, err = io.Copy(io.Discard, rest)
		return false, c.classifyReadError(err)
	}
	if c.hasUnreadInput() {
		return false, malformed("unexpected bytes after the response")
	}
	return c.isReusable() && !head.closesConnection(), nil
}

// discardBody reads and discards the body of a response with the outcome Errored, and reports whether the connection is
// reusable. The body has no effect on the outcome. discardBody does not read a close-delimited body, which may never
// end. It reads only the first part of a long body, and the connection is then not reusable.
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

// readFinalHead reads the heads of all interim responses and returns the head of the final response.
func (c *serverConn) readFinalHead() (responseHead, error) {
	for interim := 1; ; interim++ {
		head, err := c.readHead()
		if err != nil || !head.isInterim() {
			return head, err
		}
		if head.status == http.StatusSwitchingProtocols || interim > maxInterimResponses {
			return responseHead{}, malformed("unexpected status %d of interim response %d", head.status, interim)
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
		return 0, malformed("invalid status line %.40q", line)
	}
	return status, nil
}

// classifyReadError returns err if it is nil or the connection failed, and a malformed-response error otherwise.
func (c *serverConn) classifyReadError(err error) error {
	var netErr net.Error
	if err == nil || errors.As(err, &netErr) {
		return err
	}
	// At the limit of limitedReader, an EOF does not come from the connection.
	isEOF := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	if isEOF && c.limitedReader.N > 0 {
		return err
	}
	return malformed("%v", err)
}

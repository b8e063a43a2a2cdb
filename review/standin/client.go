package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// call is a request of the application.
type call struct {
	id      string
	class   string
	key     string // Idempotency-Key; "": the class is idempotent and the method GET
	timeout time.Duration
	body    []byte
}

// result is what the application sees of a request.
type result struct {
	status int    // 0: no answer
	body   []byte // as far as it came
	err    error  // why the answer is not whole; nil: it is
	closes bool   // the connection closes after the answer
	sentAt time.Time
	endAt  time.Time
}

// text returns the result in one line.
func (r result) text() string {
	took := r.endAt.Sub(r.sentAt).Seconds()
	if r.err != nil {
		return fmt.Sprintf("status %d, %d bytes, not whole after %.3f s: %v", r.status, len(r.body), took, r.err)
	}
	return fmt.Sprintf("status %d, %d bytes, whole after %.3f s", r.status, len(r.body), took)
}

// isTimeout reports whether the client gave up.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// clientConn is a connection of the application, which carries one request at a time.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialSidecar(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// head returns the head of the request.
func (q call) head() string {
	method := http.MethodGet
	if q.key != "" {
		method = http.MethodPost
	}
	lines := []string{
		method + " /api HTTP/1.1", "Host: origin.svc", "X-Request-ID: " + q.id, "X-Priority-Class: " + q.class,
		fmt.Sprintf("X-Timeout-Ms: %d", q.timeout.Milliseconds()),
	}
	if q.key != "" {
		lines = append(lines, "Idempotency-Key: "+q.key, fmt.Sprintf("Content-Length: %d", len(q.body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// send writes a request and waits for the head of its answer until patience after its last byte was sent.
func (c *clientConn) send(q call, patience time.Duration) (response *http.Response, sentAt time.Time, err error) {
	if _, err := c.Write(append([]byte(q.head()), q.body...)); err != nil {
		return nil, time.Now(), err
	}
	sentAt = time.Now()
	if err := c.SetReadDeadline(sentAt.Add(patience)); err != nil {
		return nil, sentAt, err
	}
	response, err = http.ReadResponse(c.reader, nil)
	return response, sentAt, err
}

// do sends a request and waits for its answer until patience after its last byte was sent.
func (c *clientConn) do(q call, patience time.Duration) (r result) {
	var response *http.Response
	defer func() { r.endAt = time.Now() }()
	if response, r.sentAt, r.err = c.send(q, patience); r.err != nil {
		return r
	}
	defer response.Body.Close()
	r.status, r.closes = response.StatusCode, response.Close
	r.body, r.err = io.ReadAll(response.Body)
	return r
}

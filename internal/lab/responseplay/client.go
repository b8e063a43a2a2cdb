package responseplay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// LostAfter is the time after a client's timeout from which a final response is lost, with the tolerance of the
// network.
const LostAfter = 550 * time.Millisecond

const (
	// watchTime is how long after its timeout a client waits for the end of a response that goes on.
	watchTime = 12 * time.Second
	// endlessWatchTime is the same for a response that its server never ends.
	endlessWatchTime = 2 * time.Second
	// slowWatchTime is the same for a client that reads slowly.
	slowWatchTime = 45 * time.Second
	// slowReadSize and slowReadPause make a client read 64 kB a second.
	slowReadSize  = 6400
	slowReadPause = 100 * time.Millisecond
)

// Effect is the effect of a class of requests.
type Effect int

// The effects.
const (
	Idempotent Effect = iota
	WithKey
	Unsafe
)

// Class is a class of requests.
type Class struct {
	Name   string
	Effect Effect
}

// Request is one request of a client.
type Request struct {
	ID         string
	Class      Class
	Timeout    time.Duration
	ReadSlowly bool
}

// Observation is what a client saw of one request.
type Observation struct {
	Request  Request
	SentAt   time.Time // when its last byte was written
	Status   int       // 0: no response
	Received []Mark    // bytes of the body
	Content  []byte    // the first bytes of the body
	Complete bool      // the response ended as its framing tells
	Left     bool      // the client closed the connection first
	EndedAt  time.Time
	Err      error
	Mixed    bool // the content is not that of one response
	Unread   bool // the connection ended before a byte of the response
}

// Bytes returns how many bytes of the body were received by a time.
func (o *Observation) Bytes(by time.Time) (bytes int64) {
	for _, mark := range o.Received {
		if mark.At.After(by) {
			break
		}
		bytes = mark.Bytes
	}
	return bytes
}

// total returns how many bytes of the body were received.
func (o *Observation) total() int64 {
	if len(o.Received) == 0 {
		return 0
	}
	return o.Received[len(o.Received)-1].Bytes
}

// Client sends requests to a sidecar, one at a time, on one connection for as long as that stays open.
type Client struct {
	Address  string
	Registry *Registry

	conn net.Conn
	in   *bufio.Reader
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// text returns a request as it is written.
func (r *Request) text() string {
	method, extra, body := "POST", "Content-Length: 2\r\n", "ok"
	switch r.Class.Effect {
	case Idempotent:
		method, extra, body = "GET", "", ""
	case WithKey:
		extra += "Idempotency-Key: k-" + r.ID + "\r\n"
	}
	return fmt.Sprintf("%s /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Timeout-Ms: %d\r\n%s\r\n%s", method, r.ID, r.Class.Name, r.Timeout.Milliseconds(), extra, body)
}

// Do sends a request and waits for its response. If an open connection ends before any byte of the response, the
// request is sent one more time on a new connection, as the platform's clients do.
func (c *Client) Do(r Request) *Observation {
	isReused := c.conn != nil
	o := c.send(r)
	if o.Unread && isReused {
		o = c.send(r)
	}
	if !o.Complete || o.Status == 0 {
		c.Close()
	}
	return o
}

// send sends a request once.
func (c *Client) send(r Request) *Observation {
	o := &Observation{Request: r}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Address, time.Second)
		if err != nil {
			o.Err, o.Unread, o.EndedAt = err, true, time.Now()
			return o
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_, err := io.WriteString(c.conn, r.text())
	o.SentAt = time.Now()
	stop := c.leaveInTime(o)
	if err == nil {
		err = c.receive(o)
	}
	o.Left = stop()
	o.Err, o.EndedAt = err, time.Now()
	o.Unread = o.Status == 0 && !o.Left
	if o.Unread {
		c.Close()
	}
	return o
}

// leaveInTime ends the wait for a response that goes on for long. stop ends that, and reports whether the client left.
func (c *Client) leaveInTime(o *Observation) (stop func() bool) {
	var once sync.Once
	done := make(chan struct{})
	left := make(chan bool, 1)
	conn, sentAt := c.conn, o.SentAt
	limit := watchTime
	if o.Request.ReadSlowly {
		limit = slowWatchTime
	}
	go func() {
		for {
			select {
			case <-done:
				left <- false
				return
			case <-time.After(100 * time.Millisecond):
			}
			waited := time.Since(sentAt) - o.Request.Timeout
			if waited > limit || waited > endlessWatchTime && c.isEndless(o.Request.ID) {
				_ = conn.SetReadDeadline(time.Now())
				left <- true
				return
			}
		}
	}()
	return func() (hasLeft bool) {
		once.Do(func() {
			close(done)
			hasLeft = <-left
		})
		return hasLeft
	}
}

// isEndless reports whether no server will end its response to a request.
func (c *Client) isEndless(id string) bool {
	for _, attempt := range c.Registry.AttemptsAt(id) {
		if attempt.Script.IsSound() || attempt.Script.Ending != Complete {
			return false
		}
	}
	return true
}

// receive reads a response.
func (c *Client) receive(o *Observation) error {
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	o.Status = response.StatusCode
	err = readBody(o, response.Body)
	if err != io.EOF {
		return err
	}
	o.Complete = true
	if response.Close || strings.EqualFold(response.Header.Get("Connection"), "close") {
		c.Close()
	}
	return nil
}

// readBody reads a body to its end and checks that its content is of one response. It returns io.EOF at a proper end.
func readBody(o *Observation, body io.Reader) error {
	buffer := make([]byte, 32<<10)
	if o.Request.ReadSlowly {
		buffer = buffer[:slowReadSize]
	}
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			o.appendBody(buffer[:n])
		}
		if err != nil {
			return err
		}
		if o.Request.ReadSlowly {
			time.Sleep(slowReadPause)
		}
	}
}

// appendBody records the next bytes of a body.
func (o *Observation) appendBody(data []byte) {
	position := o.total()
	if o.Status == http.StatusOK {
		if len(o.Content) == 0 {
			o.Content = append(o.Content, data[0])
		}
		for i, b := range data {
			if b != contentAt(int(o.Content[0]), position+int64(i)) {
				o.Mixed = true
				break
			}
		}
	}
	o.Received = append(o.Received, Mark{time.Now(), position + int64(len(data))})
}

// errNoAttempt means that a client got a response that no server gave.
var errNoAttempt = errors.New("no server gave this response")

// Source returns the attempt whose response the client got.
func (o *Observation) Source(attempts []*Attempt) (*Attempt, error) {
	if len(o.Content) == 0 && len(attempts) > 0 {
		return attempts[len(attempts)-1], nil
	}
	for _, attempt := range attempts {
		if len(o.Content) > 0 && contentAt(attempt.Offset, 0) == o.Content[0] {
			return attempt, nil
		}
	}
	return nil, errNoAttempt
}

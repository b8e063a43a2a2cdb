package upstream

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/netretry"
	"milletramp.example/milletramp/internal/wire"
)

const (
	MaxBufferedBody = 64 << 10 // bytes of a request's or an answer's body that are held in any case
	// minReadPause is the least time that an answer may pause in its midst, before it is passed on.
	minReadPause   = 500 * time.Millisecond
	maxHeaderBytes = 16 << 10 // bytes of a response's header
)

// Message is a client's request as servers get it.
type Message struct {
	Method         string
	URL            *url.URL // path and query
	ID             string
	IdempotencyKey string // Idempotency-Key, "" for none
	ContentType    string // Content-Type
	Body           [][]byte
}

// bodyLength is that of the body.
func (m *Message) bodyLength() (n int) {
	for _, piece := range m.Body {
		n += len(piece)
	}
	return n
}

// Response is how an attempt ended. body and ctype are those of a Served one.
type Response struct {
	Outcome     balance.Outcome
	Body        []byte
	ContentType string
	Remainder   *Stream // what is still to come of a long one
}

// Client makes attempts at the servers.
type Client struct {
	responseTimeoutNanos atomic.Int64 // nanoseconds for the rest of an answer that has begun
	pool                 *pool
	attemptsSent         *atomic.Int64 // written whole

	mu        sync.Mutex
	servers   map[string]*server
	adminDown map[string]bool // taken out by hand
}

// server is a server as last listed. A server that moved or restarted is a new one.
type server struct {
	address      string
	startedAt    time.Time
	lastResponse atomic.Pointer[time.Time] // when a response was last read in full; nil: never
	draining     atomic.Bool

	// The pool's lock guards these.
	removed bool          // it gets nothing new: it was removed, moved, restarted or taken out of service
	idle    []*serverConn // the longest idle first
}

// New returns an upstream that counts its tries. How long the network may take to bring a connection up, the
// rest of an answer that has begun may take too.
func New(limits wire.Limits, maxConns int, attemptsSent *atomic.Int64) *Client {
	u := &Client{pool: newPool(maxConns), attemptsSent: attemptsSent, servers: map[string]*server{},
		adminDown: map[string]bool{}}
	u.Configure(limits)
	return u
}

// SetDial replaces how connections to servers are opened; nil: over TCP. It is called before the first attempt.
func (u *Client) SetDial(dial discovery.DialFunc) { u.pool.dial = dial }

// ConnCounts returns how many connections to servers are open, and how many of these are idle.
func (u *Client) ConnCounts() (open, idle int) { return u.pool.connCounts() }

// SetMaxConns changes how many connections to servers may be open.
func (u *Client) SetMaxConns(n int) { u.pool.setMaxConns(n) }

// Configure takes new limits.
func (u *Client) Configure(l wire.Limits) {
	u.responseTimeoutNanos.Store(int64(l.ConnectTimeout))
	u.pool.connectTimeoutNanos.Store(int64(l.ConnectTimeout))
	u.pool.idleTimeoutNanos.Store(int64(l.IdleClose / 2)) // half of the time after which servers close keeps well clear of it
}

// SetAdminDown keeps everything new from a server that is taken out by hand, or lets it go there again. The staff
// restarts it meanwhile. Its connections would swallow what is sent on them, and one that is just coming up is new.
func (u *Client) SetAdminDown(id string, out bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.adminDown[id] = out; !out {
		delete(u.adminDown, id)
	}
	if t := u.servers[id]; t != nil && out {
		u.removeServer(id)
		fresh := &server{address: t.address, startedAt: t.startedAt}
		fresh.draining.Store(t.draining.Load())
		u.servers[id] = fresh
	}
}

// Update takes in a list: where each server listens now.
func (u *Client) Update(list discovery.List) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range list.Endpoints {
		u.applyEndpoint(e)
	}
	if !list.Complete { // what a change costs does not go with the number of servers
		return
	}
	listed := make(map[string]bool, len(list.Endpoints))
	for _, e := range list.Endpoints {
		listed[e.ID] = e.State != balance.Removed
	}
	for id := range u.servers {
		if !listed[id] {
			u.removeServer(id)
		}
	}
}

// applyEndpoint takes in one entry of a list. The lock is held.
func (u *Client) applyEndpoint(e discovery.Endpoint) {
	removed := e.State == balance.Removed
	old := u.servers[e.ID]
	if old != nil && (removed || old.address != e.Address || !old.startedAt.Equal(e.StartedAt)) {
		u.removeServer(e.ID)
		old = nil
	}
	if removed {
		return
	}
	if old == nil {
		old = &server{address: e.Address, startedAt: e.StartedAt}
		u.servers[e.ID] = old
	}
	old.draining.Store(e.State == balance.Draining)
}

// Endpoints tells which servers there are, and when each last started.
func (u *Client) Endpoints() (servers []discovery.Endpoint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, t := range u.servers {
		servers = append(servers, discovery.Endpoint{ID: id, StartedAt: t.startedAt})
	}
	return servers
}

// removeServer forgets a server. Attempts that are out keep their connections to their end, and put none back.
func (u *Client) removeServer(id string) {
	u.pool.removeServer(u.servers[id])
	delete(u.servers, id)
}

// AttemptRequest is an attempt as it is ordered.
type AttemptRequest struct {
	ServerID     string
	Message      *Message
	SendDeadline time.Time // it is written whole before then, or never; zero: at any time
	// withdrawn tells whether nobody waits for the request any more; nil: somebody does.
	IsCancelled func() bool
	// begins tells whether a long answer that has come in part is to be passed on.
	StartStreaming func(Response) bool
}

// checkSendable tells why an attempt whose connection is up must not begin any more, or nil. A connection may come up long
// after it was asked for, and another event may have come first. A close by the client has the least slack, so it is
// looked for last: what holds the process up after its clock was read is over by then.
func (u *Client) checkSendable(s *AttemptRequest, to *server) error {
	switch {
	case u.pool.isRemoved(to):
		return errServerRemoved
	case to.draining.Load():
		return errServerDraining
	case !s.SendDeadline.IsZero() && !time.Now().Before(s.SendDeadline):
		return errSendDeadline
	case s.IsCancelled != nil && s.IsCancelled():
		return errRequestCancelled
	}
	return nil
}

// Attempt sends a message to a server and waits for the end, until ctx is done. It sends it at most once. Where a long answer has
// come in part it asks begins whether that is passed on. If it is, the attempt lasts until all of it is, whatever ctx
// says, and its reply tells nothing more.
func (u *Client) Attempt(ctx context.Context, s AttemptRequest) Response {
	m := s.Message
	u.mu.Lock()
	to, barred := u.servers[s.ServerID], u.adminDown[s.ServerID]
	u.mu.Unlock()
	if to == nil || barred || ctx.Err() != nil || u.checkSendable(&s, to) != nil {
		return Response{Outcome: balance.NotSent}
	}
	begun := time.Now()
	c, err := u.acquire(ctx, &s, to)
	if err != nil {
		return u.classifyFailure(ctx, to, begun, false, err)
	}
	// An attempt that is given up must end now, wherever it stands.
	stop := context.AfterFunc(ctx, c.abort)
	request, body := m.encode(ctx, to.address)
	// A deadline set by another goroutine comes too late for a second copy that is called off as it is sent.
	n, err := 0, ctx.Err()
	if err == nil {
		err = u.checkSendable(&s, to)
	}
	unused := err != nil // the connection has had nothing written
	if err == nil {
		n, err = c.writeRequest(s.SendDeadline, request, body)
	}
	whole := len(request)
	if len(body) > 0 {
		whole += m.bodyLength()
	}
	ran := n == whole // A request taken for unwritten that was written runs twice.
	if ran {
		u.attemptsSent.Add(1)
	}
	var r Response
	clean := false
	if err == nil {
		r, clean, err = u.receiveResponse(ctx, c)
	}
	on := stop()
	if err == nil && r.Remainder != nil {
		switch {
		case !on:
			err = ctx.Err()
		case !s.StartStreaming(r): // another attempt's answer was there before
			u.pool.release(c, false)
			return Response{Outcome: balance.Cancelled}
		default:
			clean = <-r.Remainder.reusable
		}
	}
	u.pool.release(c, on && (clean || unused) && c.SetReadDeadline(time.Time{}) == nil)
	if err != nil {
		return u.classifyFailure(ctx, to, begun, ran, err)
	}
	now := time.Now()
	to.lastResponse.Store(&now)
	return r
}

// writeRequest writes a request whole, and tells how much of it was written. A server that gets its last byte after by would
// not drop it as a repeat, so it is given up then; without its last byte it never runs.
func (c *serverConn) writeRequest(by time.Time, head []byte, body [][]byte) (n int, err error) {
	if !by.IsZero() {
		if err := c.setWriteDeadline(by); err != nil {
			return 0, err
		}
	}
	n, err = c.Write(head)
	for i := 0; err == nil && i < len(body); i++ {
		more := 0
		more, err = c.Write(body[i])
		n += more
	}
	if !by.IsZero() {
		if errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(by) {
			err = errSendDeadline
		}
		err = errors.Join(err, c.setWriteDeadline(time.Time{}))
	}
	return n, err
}

// acquire takes a connection for an attempt. One that would come up too late for it is not waited for.
func (u *Client) acquire(ctx context.Context, s *AttemptRequest, to *server) (*serverConn, error) {
	if s.SendDeadline.IsZero() {
		return u.pool.acquire(ctx, to)
	}
	within, cancel := context.WithDeadline(ctx, s.SendDeadline)
	defer cancel()
	c, err := u.pool.acquire(within, to)
	if err != nil && within.Err() != nil && ctx.Err() == nil {
		return nil, errSendDeadline
	}
	return c, err
}

// receiveResponse waits for the answer and reads it. An answer that stops midway, as one whose length is too long,
// would hold its request to the end.
func (u *Client) receiveResponse(ctx context.Context, c *serverConn) (Response, bool, error) {
	c.limitedReader.N, c.allowedPause = 1<<10, 0
	if _, err := c.reader.Peek(1); err != nil {
		return Response{}, false, err
	}
	c.allowedPause = max(time.Duration(u.responseTimeoutNanos.Load()), minReadPause)
	r, clean, err := c.readResponse()
	if errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
		err = malformed("it stopped midway")
	}
	return r, clean, err
}

// classifyFailure tells how an attempt ended that got no answer. begun is when it began, ran says that it may have run.
func (u *Client) classifyFailure(ctx context.Context, to *server, begun time.Time, ran bool, err error) Response {
	cause := ctx.Err()
	switch {
	case errors.Is(err, errConnLimit) || errors.Is(err, errNotSendable) || errors.Is(cause, context.Canceled) && !ran:
		return Response{Outcome: balance.NotSent}
	case netretry.MachineError(err) && !ran: // it tells nothing of the server
		return Response{Outcome: balance.NotSent}
	case errors.Is(cause, context.Canceled) || netretry.MachineError(err):
		return Response{Outcome: balance.Cancelled}
	case errors.Is(err, errMalformedResponse):
		return Response{Outcome: balance.Errored}
	}
	// When a machine vanishes, its idle connections stay open and swallow requests that may then never be
	// repeated. A new connection fails before anything is sent. Where the server has answered since, only this one is
	// dead, and to close the others would have it work on new ones all the time.
	last := to.lastResponse.Load()
	if cause == nil || last == nil || last.Before(begun) {
		u.pool.closeIdle(to)
	}
	switch {
	case !ran:
		return Response{Outcome: balance.ConnectFailed}
	case cause != nil:
		return Response{Outcome: balance.TimedOut}
	}
	return Response{Outcome: balance.Reset}
}

// encode writes the request of one attempt, in two parts where its body is long. X-Timeout-Ms is what is left now: the wait for a connection was the
// client's time too.
func (m *Message) encode(ctx context.Context, address string) (head []byte, body [][]byte) {
	b := make([]byte, 0, 512+min(m.bodyLength(), MaxBufferedBody))
	line := func(parts ...string) {
		for _, p := range parts {
			b = append(b, p...)
		}
		b = append(b, "\r\n"...)
	}
	line(m.Method, " ", m.URL.RequestURI(), " HTTP/1.1")
	line("Host: ", address)
	line("X-Request-ID: ", m.ID)
	if end, ok := ctx.Deadline(); ok {
		line("X-Timeout-Ms: ", strconv.FormatInt(max(time.Until(end).Milliseconds(), 1), 10))
	}
	if m.IdempotencyKey != "" {
		line("Idempotency-Key: ", m.IdempotencyKey)
	}
	if m.ContentType != "" {
		line("Content-Type: ", m.ContentType)
	}
	if m.Method == http.MethodPost {
		line("Content-Length: ", strconv.Itoa(m.bodyLength()))
	}
	line()
	if len(m.Body) == 1 {
		return append(b, m.Body[0]...), nil
	}
	return b, m.Body // Copies of many large bodies would take all memory.
}

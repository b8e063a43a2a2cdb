package sidecar

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
	"milletramp.example/milletramp/internal/netretry"
	"milletramp.example/milletramp/internal/wire"
)

const (
	mostBody    = 64 << 10 // bytes of a request's or an answer's body that are held in any case
	mostRequest = 32 << 20 // bytes of a request's body
	// leastPause is the least time that an answer may pause in its midst, before it is passed on.
	leastPause = 500 * time.Millisecond
	mostHeader = 16 << 10 // bytes of a request's or an answer's header
)

// message is a client's request as servers get it.
type message struct {
	method string
	uri    *url.URL // path and query
	id     string
	key    string // Idempotency-Key, "" for none
	ctype  string // Content-Type
	body   [][]byte
}

// length is that of the body.
func (m *message) length() (n int) {
	for _, piece := range m.body {
		n += len(piece)
	}
	return n
}

// reply is how an attempt ended. body and ctype are those of a Served one.
type reply struct {
	outcome balance.Outcome
	body    []byte
	ctype   string
	rest    *stream // what is still to come of a long one
}

// upstream makes attempts at the servers.
type upstream struct {
	within atomic.Int64 // nanoseconds for the rest of an answer that has begun
	pool   *pool
	tries  *atomic.Int64 // written whole

	mu      sync.Mutex
	targets map[string]*target
	barred  map[string]bool // taken out by hand
}

// newUpstream returns an upstream that counts its tries. How long the network may take to bring a connection up, the
// rest of an answer that has begun may take too.
func newUpstream(c *Config, tries *atomic.Int64) *upstream {
	u := &upstream{pool: newPool(newBudget(c).upstream), tries: tries, targets: map[string]*target{},
		barred: map[string]bool{}}
	u.configure(c.Limits)
	return u
}

// configure takes new limits.
func (u *upstream) configure(l wire.Limits) {
	u.within.Store(int64(l.ConnectTimeout))
	u.pool.connectWithin.Store(int64(l.ConnectTimeout))
	u.pool.rest.Store(int64(l.IdleClose / 2)) // half of the time after which servers close keeps well clear of it
}

// bar keeps everything new from a server that is taken out by hand, or lets it go there again. The staff
// restarts it meanwhile. Its connections would swallow what is sent on them, and one that is just coming up is new.
func (u *upstream) bar(id string, out bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.barred[id] = out; !out {
		delete(u.barred, id)
	}
	if t := u.targets[id]; t != nil && out {
		u.drop(id)
		fresh := &target{address: t.address, boot: t.boot}
		fresh.draining.Store(t.draining.Load())
		u.targets[id] = fresh
	}
}

// update takes in a list: where each server listens now.
func (u *upstream) update(list List) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range list.Targets {
		u.take(e)
	}
	if !list.All { // what a change costs does not go with the number of servers
		return
	}
	listed := make(map[string]bool, len(list.Targets))
	for _, e := range list.Targets {
		listed[e.ID] = e.State != balance.Removed
	}
	for id := range u.targets {
		if !listed[id] {
			u.drop(id)
		}
	}
}

// take takes in one entry of a list. The lock is held.
func (u *upstream) take(e Target) {
	removed := e.State == balance.Removed
	old := u.targets[e.ID]
	if old != nil && (removed || old.address != e.Address || !old.boot.Equal(e.Boot)) {
		u.drop(e.ID)
		old = nil
	}
	if removed {
		return
	}
	if old == nil {
		old = &target{address: e.Address, boot: e.Boot}
		u.targets[e.ID] = old
	}
	old.draining.Store(e.State == balance.Draining)
}

// list tells which servers there are, and when each last started.
func (u *upstream) list() (servers []Target) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, t := range u.targets {
		servers = append(servers, Target{ID: id, Boot: t.boot})
	}
	return servers
}

// drop forgets a server. Attempts that are out keep their connections to their end, and put none back.
func (u *upstream) drop(id string) {
	u.pool.empty(u.targets[id], true)
	delete(u.targets, id)
}

// sending is an attempt as it is ordered.
type sending struct {
	server  string
	message *message
	by      time.Time // it is written whole before then, or never; zero: at any time
	// withdrawn tells whether nobody waits for the request any more; nil: somebody does.
	withdrawn func() bool
	// begins tells whether a long answer that has come in part is to be passed on.
	begins func(reply) bool
}

// notDue tells why an attempt whose connection is up must not begin any more, or nil. A connection may come up long
// after it was asked for, and another event may have come first. A close by the client has the least slack, so it is
// looked for last: what holds the process up after its clock was read is over by then.
func (u *upstream) notDue(s *sending, to *target) error {
	switch {
	case u.pool.left(to):
		return errGone
	case to.draining.Load():
		return errDraining
	case !s.by.IsZero() && !time.Now().Before(s.by):
		return errTooLate
	case s.withdrawn != nil && s.withdrawn():
		return errWithdrawn
	}
	return nil
}

// attempt sends a message to a server and waits for the end, until ctx is done. It sends it at most once. Where a long answer has
// come in part it asks begins whether that is passed on. If it is, the attempt lasts until all of it is, whatever ctx
// says, and its reply tells nothing more.
func (u *upstream) attempt(ctx context.Context, s sending) reply {
	m := s.message
	u.mu.Lock()
	to, barred := u.targets[s.server], u.barred[s.server]
	u.mu.Unlock()
	if to == nil || barred || ctx.Err() != nil || u.notDue(&s, to) != nil {
		return reply{outcome: balance.NotSent}
	}
	begun := time.Now()
	c, err := u.connect(ctx, &s, to)
	if err != nil {
		return u.failed(ctx, to, begun, false, err)
	}
	// An attempt that is given up must end now, wherever it stands.
	stop := context.AfterFunc(ctx, c.giveUp)
	request, body := m.request(ctx, to.address)
	// A deadline set by another goroutine comes too late for a second copy that is called off as it is sent.
	n, err := 0, ctx.Err()
	if err == nil {
		err = u.notDue(&s, to)
	}
	unused := err != nil // the connection has had nothing written
	if err == nil {
		n, err = c.send(s.by, request, body)
	}
	whole := len(request)
	if len(body) > 0 {
		whole += m.length()
	}
	ran := n == whole // A request taken for unwritten that was written runs twice.
	if ran {
		u.tries.Add(1)
	}
	var r reply
	clean := false
	if err == nil {
		r, clean, err = u.receive(ctx, c)
	}
	on := stop()
	if err == nil && r.rest != nil {
		switch {
		case !on:
			err = ctx.Err()
		case !s.begins(r): // another attempt's answer was there before
			u.pool.put(c, false)
			return reply{outcome: balance.Cancelled}
		default:
			clean = <-r.rest.passed
		}
	}
	u.pool.put(c, on && (clean || unused) && c.SetReadDeadline(time.Time{}) == nil)
	if err != nil {
		return u.failed(ctx, to, begun, ran, err)
	}
	to.answered.Store(int64(uptime(time.Now())))
	return r
}

// send writes a request whole, and tells how much of it was written. A server that gets its last byte after by would
// not drop it as a repeat, so it is given up then; without its last byte it never runs.
func (c *serverConn) send(by time.Time, head []byte, body [][]byte) (n int, err error) {
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
			err = errTooLate
		}
		err = errors.Join(err, c.setWriteDeadline(time.Time{}))
	}
	return n, err
}

// connect takes a connection for an attempt. One that would come up too late for it is not waited for.
func (u *upstream) connect(ctx context.Context, s *sending, to *target) (*serverConn, error) {
	if s.by.IsZero() {
		return u.pool.take(ctx, to)
	}
	within, cancel := context.WithDeadline(ctx, s.by)
	defer cancel()
	c, err := u.pool.take(within, to)
	if err != nil && within.Err() != nil && ctx.Err() == nil {
		return nil, errTooLate
	}
	return c, err
}

// receive waits for the answer and reads it. An answer that stops midway, as one whose length is too long,
// would hold its request to the end.
func (u *upstream) receive(ctx context.Context, c *serverConn) (reply, bool, error) {
	c.limit.N, c.pause = 1<<10, 0
	if _, err := c.in.Peek(1); err != nil {
		return reply{}, false, err
	}
	c.pause = max(time.Duration(u.within.Load()), leastPause)
	r, clean, err := c.answer()
	if errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
		err = spoilt("it stopped midway")
	}
	return r, clean, err
}

// failed tells how an attempt ended that got no answer. begun is when it began, ran says that it may have run.
func (u *upstream) failed(ctx context.Context, to *target, begun time.Time, ran bool, err error) reply {
	cause := ctx.Err()
	switch {
	case errors.Is(err, errNoSocket) || errors.Is(err, errNotDue) || errors.Is(cause, context.Canceled) && !ran:
		return reply{outcome: balance.NotSent}
	case netretry.MachineError(err) && !ran: // it tells nothing of the server
		return reply{outcome: balance.NotSent}
	case errors.Is(cause, context.Canceled) || netretry.MachineError(err):
		return reply{outcome: balance.Cancelled}
	case errors.Is(err, errSpoilt):
		return reply{outcome: balance.Errored}
	}
	// When a machine vanishes, its idle connections stay open and swallow requests that may then never be
	// repeated. A new connection fails before anything is sent. Where the server has answered since, only this one is
	// dead, and to close the others would have it work on new ones all the time.
	if cause == nil || time.Duration(to.answered.Load()) < uptime(begun) {
		u.pool.empty(to, false)
	}
	switch {
	case !ran:
		return reply{outcome: balance.ConnectFailed}
	case cause != nil:
		return reply{outcome: balance.TimedOut}
	}
	return reply{outcome: balance.Reset}
}

// request writes the request of one attempt, in two parts where its body is long. X-Timeout-Ms is what is left now: the wait for a connection was the
// client's time too.
func (m *message) request(ctx context.Context, address string) (head []byte, body [][]byte) {
	b := make([]byte, 0, 512+min(m.length(), mostBody))
	line := func(parts ...string) {
		for _, p := range parts {
			b = append(b, p...)
		}
		b = append(b, "\r\n"...)
	}
	line(m.method, " ", m.uri.RequestURI(), " HTTP/1.1")
	line("Host: ", address)
	line("X-Request-ID: ", m.id)
	if end, ok := ctx.Deadline(); ok {
		line("X-Timeout-Ms: ", strconv.FormatInt(max(time.Until(end).Milliseconds(), 1), 10))
	}
	if m.key != "" {
		line("Idempotency-Key: ", m.key)
	}
	if m.ctype != "" {
		line("Content-Type: ", m.ctype)
	}
	if m.method == http.MethodPost {
		line("Content-Length: ", strconv.Itoa(m.length()))
	}
	line()
	if len(m.body) == 1 {
		return append(b, m.body[0]...), nil
	}
	return b, m.body // Copies of many large bodies would take all memory.
}

package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/metrics"
	"milletramp.example/milletramp/internal/upstream"
)

const (
	// originAge is how far before the program's start the Balancer's clock begins. It takes a time of 0 or
	// less for long ago; a server that booted just before this program would pass for warm.
	originAge = 24 * time.Hour
	// answerMargin is kept free before the client's deadline for the way of the final answer.
	answerMargin = 5 * time.Millisecond
)

// responseKind is a kind of final answer.
type responseKind int

const (
	served responseKind = iota
	rejected
	badGateway
	policyChanged // none: the policy that it was read under is not in force any more
)

// finalResponse is a request's final answer.
type finalResponse struct {
	kind        responseKind
	body        []byte           // served: all of it, or what has come
	contentType string           // served
	remainder   *upstream.Stream // served: what is still to come; nil: nothing
	retryAfter  time.Duration    // refused: when to come back; 0: not said
}

// inflightRequest is a client's request while the host has it. The loop alone touches what follows answered.
type inflightRequest struct {
	upstream.Message
	*classSettings
	policyNumber uint64 // that it was read under; 0: there is none
	tenant       int
	isRetry      bool      // its client asked before
	deadline     time.Time // the final answer is due
	response     chan finalResponse

	// release gives back the room of the body, once no attempt can read it any more; nil: it took none.
	releaseBody func()

	// left tells whether its client has closed the connection; nil: nobody can tell.
	peerClosed func() bool

	requestID        balance.RequestID
	completed        atomic.Bool // has its final answer; the loop sets it
	attempts         []context.CancelFunc
	attemptsInFlight int
}

// EventLoop runs the Balancer. Its loop is the only goroutine that touches it; everything that happens is posted to it.
type EventLoop struct {
	log         *slog.Logger
	origin      time.Time
	upstream    *upstream.Client
	metrics     *metrics.Counters
	settings    atomic.Pointer[requestSettings]
	ready       chan struct{} // closed once servers are known
	firstUpdate chan struct{} // closed once discovery has told

	mu    sync.Mutex
	queue []event
	wake  chan struct{}

	// Of the loop.
	ctx           context.Context
	balancer      *balance.Balancer
	now           balance.Time
	lastID        balance.RequestID
	inflight      map[balance.RequestID]*inflightRequest
	isReady       bool
	hasUpdate     bool
	subscriptions *discovery.Subscriptions
	starts        *discovery.StartTimes
	shutdownAt    time.Time                  // what is open then is given up, as the process may be killed; zero: it goes on
	gate          *PolicyGate                // nil: the settings are those of the own file
	onList        func([]discovery.Endpoint) // is told each list; nil: nobody is
}

// event is what happened at a time.
type event struct {
	at balance.Time
	do func()
}

// NewEventLoop returns a host whose attempts and watches end with ctx. dial opens connections to discovery; nil: over TCP.
func NewEventLoop(ctx context.Context, c *config.Config, maxUpstreamConns int, log *slog.Logger,
	dialDiscovery discovery.DialFunc) (*EventLoop, error) {
	h := &EventLoop{log: log, origin: time.Now().Add(-originAge), ready: make(chan struct{}), firstUpdate: make(chan struct{}), wake: make(chan struct{}, 1),
		metrics: &metrics.Counters{}, inflight: map[balance.RequestID]*inflightRequest{}, ctx: ctx}
	h.upstream = upstream.New(c.Limits, maxUpstreamConns, &h.metrics.Attempts)
	h.now = h.clock()
	h.starts = discovery.NewStartTimes(h.clock)
	h.subscriptions = discovery.NewSubscriptions(ctx, h, discovery.Options{Address: c.Discovery, Revision: knownRevision(c.Known),
		ConnectTimeout: c.Limits.ConnectTimeout, Dial: dialDiscovery, Log: log})
	var err error
	if h.balancer, err = balance.New(c.Settings, h); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	places := make([]int, len(c.Settings.Classes))
	for i := range places {
		places[i] = i
	}
	h.settings.Store(newRequestSettings(c.Settings, c.Names, places, h.metrics))
	h.OnUpdate(balance.ListRemembered, c.Known)
	if !c.Settings.PollDiscovery {
		h.Subscribe() // an agent that pushes tells all who listen
	}
	return h, nil
}

// knownRevision is that of the list that a process begins with; -1: it begins with none.
func knownRevision(known discovery.List) int64 {
	if len(known.Endpoints) == 0 {
		return -1
	}
	return known.Revision
}

// Subscribe implements balance.Actions. It opens a watch of discovery if there is none.
func (h *EventLoop) Subscribe() { h.subscriptions.Subscribe() }

// clock reads the Balancer's time.
func (h *EventLoop) clock() balance.Time { return time.Since(h.origin) }

// Post has the loop do something. It never waits: what the loop waits for may be posting.
func (h *EventLoop) Post(do func()) {
	h.mu.Lock()
	h.queue = append(h.queue, event{h.clock(), do}) // timed under the lock: the order is that of the times
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Run is the loop. It ends with ctx.
func (h *EventLoop) Run(ctx context.Context) {
	for {
		h.mu.Lock()
		batch := h.queue
		h.queue = nil
		h.mu.Unlock()
		for _, e := range batch {
			h.now = e.at
			e.do()
		}
		if len(batch) > 0 {
			continue
		}
		select {
		case <-h.wake:
		case <-ctx.Done():
			return
		}
	}
}

// serve has the Balancer decide on a request and returns its final answer, or false if ctx, the client's connection,
// ends first.
func (h *EventLoop) serve(ctx context.Context, c *inflightRequest) (finalResponse, bool) {
	c.response = make(chan finalResponse, 1)
	h.Post(func() { h.start(c) })
	// A request that the Balancer left without an answer would hang until the client gives up.
	due := time.AfterFunc(time.Until(c.deadline)+answerMargin/2, func() { h.Post(func() { h.abandon(c, true) }) })
	defer due.Stop()
	select {
	case a := <-c.response:
		return a, true
	case <-ctx.Done():
		h.Post(func() { h.abandon(c, false) })
		return finalResponse{}, false
	}
}

func (h *EventLoop) start(c *inflightRequest) {
	if c.clientGone() {
		h.respond(c, finalResponse{kind: badGateway})
		c.dropBody()
		return
	}
	if h.gate != nil && !h.gate.isInForce(c.policyNumber) {
		h.respond(c, finalResponse{kind: policyChanged})
		return
	}
	h.lastID++
	c.requestID = h.lastID
	h.inflight[c.requestID] = c
	h.scheduleExpiry(c)
	h.balancer.Request(h.now, balance.Request{ID: c.requestID, Class: c.index, Tenant: c.tenant,
		Timeout: c.deadline.Sub(h.origin) - h.now, Retry: c.isRetry, ClassTerms: &c.Class})
}

// clientGone tells whether the client of a request has left, also where its connection still has bytes that nobody has read.
func (c *inflightRequest) clientGone() bool { return c.peerClosed != nil && c.peerClosed() }

// isCancelled tells whether nobody waits for a request any more. No attempt at it may begin then.
func (h *EventLoop) isCancelled(c *inflightRequest) bool {
	if c.completed.Load() {
		return true
	}
	gone := c.clientGone()
	if gone {
		h.Post(func() {
			// The request may have got its answer meanwhile, which its handler is about to take.
			if !c.completed.Load() {
				h.abandon(c, false)
			}
		})
	}
	return gone
}

// expireBy has all requests answered by a time, those in hand too: one may have longer to go than this process has.
func (h *EventLoop) expireBy(ends time.Time) {
	h.shutdownAt = ends
	for _, c := range h.inflight {
		h.scheduleExpiry(c)
	}
}

// scheduleExpiry has a request given up where the process ends before its deadline.
func (h *EventLoop) scheduleExpiry(c *inflightRequest) {
	if !h.shutdownAt.IsZero() && h.shutdownAt.Before(c.deadline) {
		time.AfterFunc(time.Until(h.shutdownAt), func() { h.Post(func() { h.abandon(c, true) }) })
	}
}

// abandon ends a request that nobody waits for any more, or that is overdue.
func (h *EventLoop) abandon(c *inflightRequest, overdue bool) {
	if c.completed.Load() {
		if !overdue {
			select {
			case a := <-c.response: // nobody takes it any more
				if a.remainder != nil {
					a.remainder.Finish(false)
				}
			default:
			}
		}
		return
	}
	if overdue {
		h.log.Warn("request overdue", "class", c.Name)
	}
	final := finalResponse{kind: badGateway}
	if len(c.attempts) == 0 || h.balancer.MayReject(c.requestID) {
		final = finalResponse{kind: rejected, retryAfter: h.settings.Load().retryAfter}
	}
	h.respond(c, final)
	h.balancer.ClientGone(h.now, c.requestID)
	h.releaseIfDone(c)
}

// respond gives a request its final answer. The first counts.
func (h *EventLoop) respond(c *inflightRequest, a finalResponse) {
	if c != nil && !c.completed.Load() {
		c.completed.Store(true)
		c.response <- a
	}
}

// dropBody gives back the room of the body. Given back while an attempt still writes it, the next request's body
// would go out in its place.
func (c *inflightRequest) dropBody() {
	if c.releaseBody != nil {
		c.releaseBody()
		c.releaseBody, c.Body = nil, nil
	}
}

// releaseIfDone lets go of a request that has its answer and has nothing out.
func (h *EventLoop) releaseIfDone(c *inflightRequest) {
	if c.completed.Load() && c.attemptsInFlight == 0 {
		delete(h.inflight, c.requestID)
		c.dropBody()
	}
}

// Send implements balance.Actions, as do the methods after it. It starts an attempt.
func (h *EventLoop) Send(id balance.RequestID, endpoint string, within time.Duration) {
	c := h.inflight[id]
	if c == nil {
		return
	}
	n, sent := len(c.attempts), h.now
	ctx, cancel := context.WithDeadline(h.ctx, c.deadline)
	c.attempts = append(c.attempts, cancel)
	c.attemptsInFlight++
	go func() {
		begun := false
		s := upstream.AttemptRequest{ServerID: endpoint, Message: &c.Message, IsCancelled: func() bool { return h.isCancelled(c) }, StartStreaming: func(r upstream.Response) bool {
			begun = h.startStreaming(c, n, endpoint, sent, r)
			return begun
		}}
		if within > 0 {
			s.SendDeadline = h.origin.Add(sent + within)
		}
		r := h.upstream.Attempt(ctx, s)
		cancel()
		if !begun {
			h.Post(func() { h.finishAttempt(c, n, endpoint, sent, r) })
		}
	}()
}

// startStreaming takes in that a long answer has come in part, and tells whether it is to be passed on. From then on the request
// has its answer, and the attempt has ended for the Balancer. Of two answers a client would get parts of both.
func (h *EventLoop) startStreaming(c *inflightRequest, n int, endpoint string, sent balance.Time, r upstream.Response) (wins bool) {
	decided := make(chan bool, 1)
	h.Post(func() {
		if c.completed.Load() {
			decided <- false
			return
		}
		h.finishAttempt(c, n, endpoint, sent, r)
		decided <- true
	})
	select {
	case wins = <-decided:
		return wins
	case <-h.ctx.Done():
		return false
	}
}

// finishAttempt takes in how an attempt ended.
func (h *EventLoop) finishAttempt(c *inflightRequest, n int, endpoint string, sent balance.Time, r upstream.Response) {
	wins := r.Outcome == balance.Served && !c.completed.Load()
	if wins {
		c.completed.Store(true)
	}
	c.attemptsInFlight--
	h.balancer.Result(h.now, balance.Result{ID: c.requestID, Attempt: n, Endpoint: endpoint, Outcome: r.Outcome,
		Took: h.now - sent, Finished: c.completed.Load()})
	if wins { // A second copy that is not called off before would be sent after the final answer.
		c.response <- finalResponse{kind: served, body: r.Body, contentType: r.ContentType, remainder: r.Remainder}
	}
	h.releaseIfDone(c)
}

// Cancel ends an attempt. Its result comes from its own goroutine.
func (h *EventLoop) Cancel(id balance.RequestID, attempt int) {
	if c := h.inflight[id]; c != nil && attempt >= 0 && attempt < len(c.attempts) {
		c.attempts[attempt]()
	}
}

// Reject answers that a retry does no harm.
func (h *EventLoop) Reject(id balance.RequestID, after time.Duration) {
	h.respondByID(id, finalResponse{kind: rejected, retryAfter: after})
}

// Fail answers without a promise.
func (h *EventLoop) Fail(id balance.RequestID) { h.respondByID(id, finalResponse{kind: badGateway}) }

func (h *EventLoop) respondByID(id balance.RequestID, a finalResponse) {
	if c := h.inflight[id]; c != nil {
		h.respond(c, a)
		h.releaseIfDone(c)
	}
}

// Timer starts a timer.
func (h *EventLoop) Timer(after time.Duration, token uint64) {
	time.AfterFunc(after, func() { h.Post(func() { h.balancer.Timer(h.now, token) }) })
}

// Log writes a line of the Balancer.
func (h *EventLoop) Log(text string) { h.log.Info(text) }

// OnUpdate implements discovery.Subscriber. It hands a list to the connections and to the Balancer, in this order: what
// the Balancer sends next must find its address.
func (h *EventLoop) OnUpdate(kind balance.ListKind, l discovery.List) {
	l.Complete = l.Complete || kind == balance.ListRemembered
	h.upstream.Update(l)
	entries := make([]balance.Endpoint, 0, len(l.Endpoints))
	for _, t := range l.Endpoints {
		entries = append(entries, balance.Endpoint{ID: t.ID, Zone: t.Zone, Kind: t.Kind, PodGroup: t.PodGroup, State: t.State,
			Weight: t.Weight, Started: h.starts.StartOf(t)})
	}
	h.starts.Update(h.now, kind, l)
	h.balancer.Endpoints(h.now, kind, entries)
	h.reportList()
	if !h.hasUpdate && kind != balance.ListRemembered {
		h.hasUpdate = true
		close(h.firstUpdate)
	}
	if !h.isReady && (kind != balance.ListRemembered || len(entries) > 0) {
		h.isReady = true
		close(h.ready)
	}
}

// OnUnchanged implements discovery.Subscriber.
func (h *EventLoop) OnUnchanged() { h.starts.Confirm(h.now) }

// OnWatchEnded implements discovery.Subscriber.
func (h *EventLoop) OnWatchEnded() { h.balancer.Endpoints(h.now, balance.ListRefused, nil) }

// Do has the loop do something and waits until it has, or until ctx ends: then it may still do it.
func (h *EventLoop) Do(ctx context.Context, do func()) error {
	done := make(chan struct{})
	h.Post(func() {
		do()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the sidecar is busy: %w", context.Cause(ctx))
	}
}

// SetAdminDown takes a server out by hand, or puts it back, and tells whether it is known.
func (h *EventLoop) SetAdminDown(id string, out bool) (known bool) {
	if known = h.balancer.SetAdminDown(h.now, id, out); known {
		h.upstream.SetAdminDown(id, out)
	}
	return known
}

// AdminDown returns the servers that are administratively down. It is called on the loop.
func (h *EventLoop) AdminDown() []string { return h.balancer.AdminDown() }

// AdoptAdminDown takes servers administratively down, known here or not. It is called on the loop.
func (h *EventLoop) AdoptAdminDown(ids []string) {
	for _, id := range ids {
		h.upstream.SetAdminDown(id, true)
	}
	h.balancer.AdoptAdminDown(h.now, ids)
}

// CountEndpoints returns how many servers are known, and how many of these are avoided. It is called on the loop.
func (h *EventLoop) CountEndpoints() (known, avoided int) { return h.balancer.CountEndpoints(h.now) }

// SuspectedServer is a server that other sidecars suspect.
type SuspectedServer struct {
	ID  string
	Age time.Duration // of the latest report
}

// SetSuspected replaces the servers that are suspected. It is called on the loop.
func (h *EventLoop) SetSuspected(servers []SuspectedServer) {
	reports := make([]balance.PeerReport, 0, len(servers))
	for _, s := range servers {
		reports = append(reports, balance.PeerReport{ID: s.ID, WrittenAt: h.now - s.Age})
	}
	h.balancer.SetSuspected(reports)
}

// SetObserver sets what gets the Balancer's observations of servers; nil: nothing does. It is called on the loop.
func (h *EventLoop) SetObserver(observer balance.Observer) { h.balancer.SetObserver(observer) }

// SetListObserver sets what gets each list of servers, and gives it the one in hand. It is called on the loop.
func (h *EventLoop) SetListObserver(onList func([]discovery.Endpoint)) {
	h.onList = onList
	h.reportList()
}

// PolicyNumber is the number of the policy in force; 0: the settings are those of the file.
func (h *EventLoop) PolicyNumber() uint64 { return h.settings.Load().policy }

// SetPolicyGate sets the gate that requests pass. It is called on the loop.
func (h *EventLoop) SetPolicyGate(gate *PolicyGate) { h.gate = gate }

// Ready is closed once servers are known.
func (h *EventLoop) Ready() <-chan struct{} { return h.ready }

// FirstUpdate is closed once discovery has answered.
func (h *EventLoop) FirstUpdate() <-chan struct{} { return h.firstUpdate }

// Metrics returns the counters of the process.
func (h *EventLoop) Metrics() *metrics.Counters { return h.metrics }

// Upstream returns the client that makes the attempts.
func (h *EventLoop) Upstream() *upstream.Client { return h.upstream }

// reportList passes the list of servers on, where it is wanted.
func (h *EventLoop) reportList() {
	if h.onList != nil {
		h.onList(h.upstream.Endpoints())
	}
}

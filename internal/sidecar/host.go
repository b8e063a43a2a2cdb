package sidecar

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
	"milletramp.example/milletramp/internal/stats"
	"milletramp.example/milletramp/internal/upstream"
)

const (
	// originAge is how far before the program's start the Balancer's clock begins. It takes a time of 0 or
	// less for long ago; a server that booted just before this program would pass for warm.
	originAge = 24 * time.Hour
	// answerMargin is kept free before the client's deadline for the way of the final answer.
	answerMargin = 5 * time.Millisecond
)

// answerKind is a kind of final answer.
type answerKind int

const (
	served answerKind = iota
	refused
	failed
	stale // none: the policy that it was read under is not in force any more
)

// answer is a request's final answer.
type answer struct {
	kind  answerKind
	body  []byte           // served: all of it, or what has come
	ctype string           // served
	rest  *upstream.Stream // served: what is still to come; nil: nothing
	after time.Duration    // refused: when to come back; 0: not said
}

// call is a client's request while the host has it. The loop alone touches what follows answered.
type call struct {
	upstream.Message
	*term
	policy   uint64 // that it was read under; 0: there is none
	tenant   int
	retry    bool      // its client asked before
	deadline time.Time // the final answer is due
	answered chan answer

	// release gives back the room of the body, once no attempt can read it any more; nil: it took none.
	release func()

	// left tells whether its client has closed the connection; nil: nobody can tell.
	left func() bool

	number   balance.RequestID
	over     atomic.Bool // has its final answer; the loop sets it
	attempts []context.CancelFunc
	out      int
}

// host runs the Balancer. Its loop is the only goroutine that touches it; everything that happens is posted to it.
type host struct {
	log      *slog.Logger
	origin   time.Time
	upstream *upstream.Client
	figures  *stats.Figures
	terms    atomic.Pointer[terms]
	ready    chan struct{} // closed once servers are known
	heard    chan struct{} // closed once discovery has told

	mu    sync.Mutex
	queue []event
	wake  chan struct{}

	// Of the loop.
	ctx           context.Context
	balancer      *balance.Balancer
	now           balance.Time
	last          balance.RequestID
	calls         map[balance.RequestID]*call
	isReady       bool
	hasHeard      bool
	subscriptions *discovery.Subscriptions
	starts        *discovery.StartTimes
	ends          time.Time      // what is open then is given up, as the process may be killed; zero: it goes on
	gate          *gate          // nil: the settings are those of the own file
	listed        func([]Server) // is told each list; nil: nobody is
}

// event is what happened at a time.
type event struct {
	at balance.Time
	do func()
}

// newHost returns a host whose attempts and watches end with ctx. dial opens connections to discovery; nil: over TCP.
func newHost(ctx context.Context, c *config.Config, log *slog.Logger, dial discovery.DialFunc) (*host, error) {
	h := &host{log: log, origin: time.Now().Add(-originAge), ready: make(chan struct{}), heard: make(chan struct{}), wake: make(chan struct{}, 1),
		figures: &stats.Figures{}, calls: map[balance.RequestID]*call{}, ctx: ctx}
	h.upstream = upstream.New(c.Limits, newBudget(c).upstream, &h.figures.Tries)
	h.now = h.clock()
	h.starts = discovery.NewStartTimes(h.clock)
	h.subscriptions = discovery.NewSubscriptions(ctx, h, discovery.Options{Address: c.Discovery, Revision: knownRevision(c.Known),
		ConnectTimeout: c.Limits.ConnectTimeout, Dial: dial, Log: log})
	var err error
	if h.balancer, err = balance.New(c.Settings, h); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	places := make([]int, len(c.Settings.Classes))
	for i := range places {
		places[i] = i
	}
	h.terms.Store(newTerms(c.Settings, c.Names, places, h.figures))
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
func (h *host) Subscribe() { h.subscriptions.Subscribe() }

// clock reads the Balancer's time.
func (h *host) clock() balance.Time { return time.Since(h.origin) }

// Post has the loop do something. It never waits: what the loop waits for may be posting.
func (h *host) Post(do func()) {
	h.mu.Lock()
	h.queue = append(h.queue, event{h.clock(), do}) // timed under the lock: the order is that of the times
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// run is the loop. It ends with ctx.
func (h *host) run(ctx context.Context) {
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
func (h *host) serve(ctx context.Context, c *call) (answer, bool) {
	c.answered = make(chan answer, 1)
	h.Post(func() { h.begin(c) })
	// A request that the Balancer left without an answer would hang until the client gives up.
	due := time.AfterFunc(time.Until(c.deadline)+answerMargin/2, func() { h.Post(func() { h.abandon(c, true) }) })
	defer due.Stop()
	select {
	case a := <-c.answered:
		return a, true
	case <-ctx.Done():
		h.Post(func() { h.abandon(c, false) })
		return answer{}, false
	}
}

func (h *host) begin(c *call) {
	if c.gone() {
		h.answer(c, answer{kind: failed})
		c.released()
		return
	}
	if h.gate != nil && !h.gate.holds(c.policy) {
		h.answer(c, answer{kind: stale})
		return
	}
	h.last++
	c.number = h.last
	h.calls[c.number] = c
	h.giveUpInTime(c)
	h.balancer.Request(h.now, balance.Request{ID: c.number, Class: c.place, Tenant: c.tenant,
		Timeout: c.deadline.Sub(h.origin) - h.now, Retry: c.retry, ClassTerms: &c.Class})
}

// gone tells whether the client of a request has left, also where its connection still has bytes that nobody has read.
func (c *call) gone() bool { return c.left != nil && c.left() }

// withdrawn tells whether nobody waits for a request any more. No attempt at it may begin then.
func (h *host) withdrawn(c *call) bool {
	if c.over.Load() {
		return true
	}
	gone := c.gone()
	if gone {
		h.Post(func() {
			// The request may have got its answer meanwhile, which its handler is about to take.
			if !c.over.Load() {
				h.abandon(c, false)
			}
		})
	}
	return gone
}

// endBy has all requests answered by a time, those in hand too: one may have longer to go than this process has.
func (h *host) endBy(ends time.Time) {
	h.ends = ends
	for _, c := range h.calls {
		h.giveUpInTime(c)
	}
}

// giveUpInTime has a request given up where the process ends before its deadline.
func (h *host) giveUpInTime(c *call) {
	if !h.ends.IsZero() && h.ends.Before(c.deadline) {
		time.AfterFunc(time.Until(h.ends), func() { h.Post(func() { h.abandon(c, true) }) })
	}
}

// abandon ends a request that nobody waits for any more, or that is overdue.
func (h *host) abandon(c *call, overdue bool) {
	if c.over.Load() {
		if !overdue {
			select {
			case a := <-c.answered: // nobody takes it any more
				if a.rest != nil {
					a.rest.Finish(false)
				}
			default:
			}
		}
		return
	}
	if overdue {
		h.log.Warn("request overdue", "class", c.Name)
	}
	final := answer{kind: failed}
	if len(c.attempts) == 0 || h.balancer.MayReject(c.number) {
		final = answer{kind: refused, after: h.terms.Load().again}
	}
	h.answer(c, final)
	h.balancer.ClientGone(h.now, c.number)
	h.forget(c)
}

// answer gives a request its final answer. The first counts.
func (h *host) answer(c *call, a answer) {
	if c != nil && !c.over.Load() {
		c.over.Store(true)
		c.answered <- a
	}
}

// released gives back the room of the body. Given back while an attempt still writes it, the next request's body
// would go out in its place.
func (c *call) released() {
	if c.release != nil {
		c.release()
		c.release, c.Body = nil, nil
	}
}

// forget lets go of a request that has its answer and has nothing out.
func (h *host) forget(c *call) {
	if c.over.Load() && c.out == 0 {
		delete(h.calls, c.number)
		c.released()
	}
}

// Send implements balance.Actions, as do the methods after it. It starts an attempt.
func (h *host) Send(id balance.RequestID, endpoint string, within time.Duration) {
	c := h.calls[id]
	if c == nil {
		return
	}
	n, sent := len(c.attempts), h.now
	ctx, cancel := context.WithDeadline(h.ctx, c.deadline)
	c.attempts = append(c.attempts, cancel)
	c.out++
	go func() {
		begun := false
		s := upstream.AttemptRequest{ServerID: endpoint, Message: &c.Message, IsCancelled: func() bool { return h.withdrawn(c) }, StartStreaming: func(r upstream.Response) bool {
			begun = h.begins(c, n, endpoint, sent, r)
			return begun
		}}
		if within > 0 {
			s.SendDeadline = h.origin.Add(sent + within)
		}
		r := h.upstream.Attempt(ctx, s)
		cancel()
		if !begun {
			h.Post(func() { h.result(c, n, endpoint, sent, r) })
		}
	}()
}

// begins takes in that a long answer has come in part, and tells whether it is to be passed on. From then on the request
// has its answer, and the attempt has ended for the Balancer. Of two answers a client would get parts of both.
func (h *host) begins(c *call, n int, endpoint string, sent balance.Time, r upstream.Response) (wins bool) {
	decided := make(chan bool, 1)
	h.Post(func() {
		if c.over.Load() {
			decided <- false
			return
		}
		h.result(c, n, endpoint, sent, r)
		decided <- true
	})
	select {
	case wins = <-decided:
		return wins
	case <-h.ctx.Done():
		return false
	}
}

// result takes in how an attempt ended.
func (h *host) result(c *call, n int, endpoint string, sent balance.Time, r upstream.Response) {
	wins := r.Outcome == balance.Served && !c.over.Load()
	if wins {
		c.over.Store(true)
	}
	c.out--
	h.balancer.Result(h.now, balance.Result{ID: c.number, Attempt: n, Endpoint: endpoint, Outcome: r.Outcome,
		Took: h.now - sent, Finished: c.over.Load()})
	if wins { // A second copy that is not called off before would be sent after the final answer.
		c.answered <- answer{kind: served, body: r.Body, ctype: r.ContentType, rest: r.Remainder}
	}
	h.forget(c)
}

// Cancel ends an attempt. Its result comes from its own goroutine.
func (h *host) Cancel(id balance.RequestID, attempt int) {
	if c := h.calls[id]; c != nil && attempt >= 0 && attempt < len(c.attempts) {
		c.attempts[attempt]()
	}
}

// Reject answers that a retry does no harm.
func (h *host) Reject(id balance.RequestID, after time.Duration) {
	h.end(id, answer{kind: refused, after: after})
}

// Fail answers without a promise.
func (h *host) Fail(id balance.RequestID) { h.end(id, answer{kind: failed}) }

func (h *host) end(id balance.RequestID, a answer) {
	if c := h.calls[id]; c != nil {
		h.answer(c, a)
		h.forget(c)
	}
}

// Timer starts a timer.
func (h *host) Timer(after time.Duration, token uint64) {
	time.AfterFunc(after, func() { h.Post(func() { h.balancer.Timer(h.now, token) }) })
}

// Log writes a line of the Balancer.
func (h *host) Log(text string) { h.log.Info(text) }

// OnUpdate implements discovery.Subscriber. It hands a list to the connections and to the Balancer, in this order: what
// the Balancer sends next must find its address.
func (h *host) OnUpdate(kind balance.ListKind, l discovery.List) {
	l.Complete = l.Complete || kind == balance.ListRemembered
	h.upstream.Update(l)
	entries := make([]balance.Endpoint, 0, len(l.Endpoints))
	for _, t := range l.Endpoints {
		entries = append(entries, balance.Endpoint{ID: t.ID, Zone: t.Zone, Kind: t.Kind, PodGroup: t.PodGroup, State: t.State,
			Weight: t.Weight, Started: h.starts.StartOf(t)})
	}
	h.starts.Update(h.now, kind, l)
	h.balancer.Endpoints(h.now, kind, entries)
	h.tellList()
	if !h.hasHeard && kind != balance.ListRemembered {
		h.hasHeard = true
		close(h.heard)
	}
	if !h.isReady && (kind != balance.ListRemembered || len(entries) > 0) {
		h.isReady = true
		close(h.ready)
	}
}

// OnUnchanged implements discovery.Subscriber.
func (h *host) OnUnchanged() { h.starts.Confirm(h.now) }

// OnWatchEnded implements discovery.Subscriber.
func (h *host) OnWatchEnded() { h.balancer.Endpoints(h.now, balance.ListRefused, nil) }

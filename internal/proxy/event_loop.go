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

// originAge is the time between the origin of the Balancer's clock and the start of the process. The Balancer treats a
// time of 0 or less as one in the distant past. With an origin at process start, a server that started shortly before
// the process would be treated as warmed up.
const originAge = 24 * time.Hour

// EventLoop owns the Balancer and the requests in flight. Only the loop's goroutine accesses them; other goroutines
// post functions to it. EventLoop implements balance.Actions and discovery.Subscriber.
type EventLoop struct {
	log         *slog.Logger
	attemptLog  *limitedLog // attempts that failed
	refusalLog  *limitedLog // requests that end without a server's response
	origin      time.Time   // origin of the Balancer's clock
	upstream    *upstream.Client
	metrics     *metrics.Counters
	settings    atomic.Pointer[requestSettings]
	ready       chan struct{} // closed on the first update with endpoints or from discovery
	firstUpdate chan struct{} // closed on the first update from discovery

	// runningAttempts counts the attempts whose responses are not streamed yet. Run waits for them, because an attempt
	// that is given up has to close its connection: at the end of the process, the system would send the rest of the
	// request.
	runningAttempts sync.WaitGroup

	mu    sync.Mutex
	queue []event
	wake  chan struct{} // buffered; receives a value when an event is posted

	// The fields below are accessed only by the loop's goroutine.
	ctx            context.Context // parent context of attempts and watches
	balancer       *balance.Balancer
	now            balance.Time // time of the current event
	lastID         balance.RequestID
	inflight       map[balance.RequestID]*inflightRequest
	isReady        bool
	hasFirstUpdate bool
	subscriptions  *discovery.Subscriptions
	starts         *discovery.StartTimes
	lateFrom       time.Time                  // responses to requests received later are not streamed; zero: no drain
	shutdownAt     time.Time                  // when requests in flight expire at shutdown; zero before
	gate           *PolicyGate                // nil if the settings come from the configuration file
	onList         func([]discovery.Endpoint) // called with each endpoint list; may be nil
}

// event is a posted function and the time at which it was posted.
type event struct {
	at     balance.Time
	handle func()
}

// NewEventLoop returns an EventLoop whose attempts and watches end with ctx. It starts with the endpoint list of the
// configuration and opens a watch if discovery pushes its lists. dialDiscovery opens connections to discovery; if it is
// nil, they are opened over TCP.
func NewEventLoop(ctx context.Context, c *config.Config, maxUpstreamConns int, log *slog.Logger,
	dialDiscovery discovery.DialFunc) (*EventLoop, error) {
	l := &EventLoop{
		log:         log,
		attemptLog:  newLimitedLog(log, "attempt failed"),
		refusalLog:  newLimitedLog(log, "request ended without a response of a server"),
		origin:      time.Now().Add(-originAge),
		metrics:     &metrics.Counters{},
		ready:       make(chan struct{}),
		firstUpdate: make(chan struct{}),
		wake:        make(chan struct{}, 1),
		ctx:         ctx,
		inflight:    map[balance.RequestID]*inflightRequest{},
	}
	l.upstream = upstream.New(c.Limits, maxUpstreamConns, &l.metrics.Attempts)
	l.now = l.clock()
	l.starts = discovery.NewStartTimes(l.clock)
	l.subscriptions = discovery.NewSubscriptions(ctx, l, discovery.Options{
		Address:        c.DiscoveryAddress,
		Revision:       initialRevision(c.InitialList),
		ConnectTimeout: c.Limits.ConnectTimeout,
		Dial:           dialDiscovery,
		Log:            log,
	})
	var err error
	l.balancer, err = balance.New(c.Settings, l)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	l.settings.Store(newRequestSettings(c.Settings, c.Names, identity(len(c.Settings.Classes)), l.metrics))
	l.OnUpdate(balance.ListCached, c.InitialList)
	if !c.Settings.PollDiscovery {
		l.Subscribe()
	}
	return l, nil
}

// identity returns the numbers from 0 to n-1. They are the class indexes of a new Balancer, which keeps the classes in
// the order of its settings.
func identity(n int) []int {
	indexes := make([]int, n)
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

// clock returns the current time of the Balancer's clock.
func (l *EventLoop) clock() balance.Time { return time.Since(l.origin) }

// Post queues handle to run on the loop's goroutine. It never blocks, because the loop may wait for a goroutine that is
// posting.
func (l *EventLoop) Post(handle func()) {
	l.mu.Lock()
	l.queue = append(l.queue, event{l.clock(), handle}) // under the lock, so that the queue is in clock order
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Do runs handle on the loop's goroutine and waits until it has returned. If ctx ends first, Do returns an error, and
// handle may still run later.
func (l *EventLoop) Do(ctx context.Context, handle func()) error {
	done := make(chan struct{})
	l.Post(func() {
		handle()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the sidecar is busy: %w", context.Cause(ctx))
	}
}

// Run handles events until ctx ends, which also ends the attempts, and returns once these have released their
// connections. It must be called by one goroutine only.
func (l *EventLoop) Run(ctx context.Context) {
	defer l.runningAttempts.Wait()
	for {
		batch := l.takeQueue()
		for _, e := range batch {
			l.now = e.at
			e.handle()
		}
		if len(batch) > 0 {
			continue
		}
		select {
		case <-l.wake:
		case <-ctx.Done():
			return
		}
	}
}

// takeQueue returns the queued events and empties the queue.
func (l *EventLoop) takeQueue() []event {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.queue
	l.queue = nil
	return batch
}

// Ready returns a channel that is closed on the first update that contains endpoints or comes from discovery.
func (l *EventLoop) Ready() <-chan struct{} { return l.ready }

// FirstUpdate returns a channel that is closed on the first update from discovery.
func (l *EventLoop) FirstUpdate() <-chan struct{} { return l.firstUpdate }

// Metrics returns the counters of the process.
func (l *EventLoop) Metrics() *metrics.Counters { return l.metrics }

// Upstream returns the client that sends the attempts to servers.
func (l *EventLoop) Upstream() *upstream.Client { return l.upstream }

// PolicyNumber returns the number of the policy that the loop has applied, or 0 if the settings come from the
// configuration file.
func (l *EventLoop) PolicyNumber() uint64 { return l.settings.Load().policy }

// SetPolicyGate sets the policy gate of all requests; nil means none. It is called on the loop's goroutine.
func (l *EventLoop) SetPolicyGate(gate *PolicyGate) { l.gate = gate }

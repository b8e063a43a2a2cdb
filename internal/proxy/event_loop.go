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

// originAge is how far before the process's start the Balancer's clock begins. The Balancer takes an instant of 0 or
// less for long ago, so that a server which started just before this process would pass for warm.
const originAge = 24 * time.Hour

// EventLoop owns the Balancer and the requests in flight. Only its goroutine touches them; other goroutines post to it.
// It implements balance.Actions and discovery.Subscriber.
type EventLoop struct {
	log         *slog.Logger
	origin      time.Time // where the Balancer's clock begins
	upstream    *upstream.Client
	metrics     *metrics.Counters
	settings    atomic.Pointer[requestSettings]
	ready       chan struct{} // closed once servers are known
	firstUpdate chan struct{} // closed once discovery has answered

	mu    sync.Mutex
	queue []event
	wake  chan struct{} // gets a value when the queue was empty

	// What follows belongs to the loop's goroutine.
	ctx           context.Context // of attempts and watches
	balancer      *balance.Balancer
	now           balance.Time // of the event in hand
	lastID        balance.RequestID
	inflight      map[balance.RequestID]*inflightRequest
	isReady       bool
	hasUpdate     bool
	subscriptions *discovery.Subscriptions
	starts        *discovery.StartTimes
	shutdownAt    time.Time                  // when open requests expire, as the process ends; zero: it goes on
	gate          *PolicyGate                // nil: the settings are those of the file
	onList        func([]discovery.Endpoint) // gets each list; nil: nothing does
}

// event is something that happened at an instant.
type event struct {
	at     balance.Time
	handle func()
}

// NewEventLoop returns a loop whose attempts and watches end with ctx. It knows the servers of the configuration and,
// if discovery pushes its lists, opens a watch. dialDiscovery opens connections to discovery; nil: over TCP.
func NewEventLoop(ctx context.Context, c *config.Config, maxUpstreamConns int, log *slog.Logger,
	dialDiscovery discovery.DialFunc) (*EventLoop, error) {
	l := &EventLoop{
		log:         log,
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
		Address:        c.Discovery,
		Revision:       knownRevision(c.Known),
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
	l.OnUpdate(balance.ListCached, c.Known)
	if !c.Settings.PollDiscovery {
		l.Subscribe()
	}
	return l, nil
}

// identity returns the numbers from 0 to n-1: a new Balancer has the classes in the order of its settings.
func identity(n int) []int {
	indexes := make([]int, n)
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

// clock reads the Balancer's time.
func (l *EventLoop) clock() balance.Time { return time.Since(l.origin) }

// Post runs handle on the loop's goroutine. It never waits: what the loop waits for may be posting.
func (l *EventLoop) Post(handle func()) {
	l.mu.Lock()
	l.queue = append(l.queue, event{l.clock(), handle}) // the clock is read under the lock: events are in its order
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Do runs handle on the loop's goroutine and waits until it has run. If ctx ends first, handle may still run.
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

// Run handles events until ctx ends. One goroutine calls it.
func (l *EventLoop) Run(ctx context.Context) {
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

// takeQueue returns the events that wait, and empties the queue.
func (l *EventLoop) takeQueue() []event {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.queue
	l.queue = nil
	return batch
}

// Ready is closed once servers are known.
func (l *EventLoop) Ready() <-chan struct{} { return l.ready }

// FirstUpdate is closed once discovery has answered.
func (l *EventLoop) FirstUpdate() <-chan struct{} { return l.firstUpdate }

// Metrics returns the counters of the process.
func (l *EventLoop) Metrics() *metrics.Counters { return l.metrics }

// Upstream returns the client that makes the attempts.
func (l *EventLoop) Upstream() *upstream.Client { return l.upstream }

// PolicyNumber is the number of the policy in force; 0: the settings are those of the file.
func (l *EventLoop) PolicyNumber() uint64 { return l.settings.Load().policy }

// SetPolicyGate sets the gate that requests pass; nil: none. It is called on the loop.
func (l *EventLoop) SetPolicyGate(gate *PolicyGate) { l.gate = gate }

package discovery

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"milletramp.example/milletramp/balance"
)

// Bounds of the exponential backoff between calls to a new discovery address.
const (
	minAddressBackoff = 200 * time.Millisecond
	maxAddressBackoff = 400 * time.Millisecond
	maxBackoffShift   = 8 // limits the number of doublings so that the shift does not overflow
)

// Subscriber is the event loop that receives the events of a Subscriptions. The methods that begin with On are called
// on the event loop's goroutine.
type Subscriber interface {
	// Post schedules f on the event loop's goroutine. It does not wait for f to run.
	Post(f func())
	// OnUpdate handles a new list.
	OnUpdate(kind balance.ListKind, list List)
	// OnUnchanged handles a confirmation that the latest list is still current.
	OnUnchanged()
	// OnWatchEnded handles the end or timeout of the current watch if no watch at a new address is pending. The event
	// loop calls Subscribe to open another one.
	OnWatchEnded()
}

// Options configure how a Subscriptions opens watches.
type Options struct {
	Address        string        // address of discovery
	Revision       int64         // revision of the list that the subscriber already has; -1: none
	ConnectTimeout time.Duration // timeout for opening a connection
	Dial           DialFunc      // opens connections to discovery; nil: over TCP
	Log            *slog.Logger
}

// Subscriptions manages the open watches of a process: the current watch, the watch at a new address while discovery
// moves, and a slow watch that may still deliver a list. Its methods must be called on the event loop's goroutine. Each
// watch runs in a goroutine of its own, which ends with the watch, at the latest when the context passed to
// NewSubscriptions is done.
type Subscriptions struct {
	ctx        context.Context
	subscriber Subscriber
	options    Options

	address        string        // address of discovery in the latest configuration
	addressRetries int           // number of failed calls to a new address
	revision       int64         // revision of the latest list; completeListRevision: there is none
	current        *subscription // the watch whose updates are applied; nil: none
	next           *subscription // the watch at a new address, until its first list arrives; nil: none
	slow           *subscription // a replaced watch that still waits for its late first list; nil: none
	// lastWatchTimedOut is set if no list has arrived since a watch timed out. The next watch then requests the
	// complete list, which discovery sends immediately.
	lastWatchTimedOut bool
}

// subscription is one watch that was started.
type subscription struct{ cancel context.CancelFunc }

// NewSubscriptions returns a Subscriptions without an open watch. Its watches end when ctx is done.
func NewSubscriptions(ctx context.Context, subscriber Subscriber, options Options) *Subscriptions {
	return &Subscriptions{
		ctx:        ctx,
		subscriber: subscriber,
		options:    options,
		address:    options.Address,
		revision:   options.Revision,
	}
}

// Subscribe opens a watch unless there is a current watch or a watch at a new address.
func (s *Subscriptions) Subscribe() {
	if s.current != nil || s.next != nil {
		return
	}
	revision := s.revision
	if s.lastWatchTimedOut {
		revision = completeListRevision
	}
	s.current = s.startWatch(revision)
}

// SwitchAddress opens a watch at another discovery address. The watch at the old address continues until the new watch
// delivers a list. If the switch ended the old watch, the Balancer would back off before subscribing again.
func (s *Subscriptions) SwitchAddress(address string) {
	if address == s.address {
		return
	}
	s.address = address
	s.addressRetries = 0
	for _, replaced := range []*subscription{s.next, s.slow} {
		if replaced != nil {
			replaced.cancel()
		}
	}
	s.slow = nil
	// The same revision may denote a different list at the new address.
	s.next = s.startWatch(completeListRevision)
}

// startWatch starts a watch of the changes after a revision, in a goroutine that ends with the watch.
func (s *Subscriptions) startWatch(revision int64) *subscription {
	ctx, cancel := context.WithCancel(s.ctx)
	opened := &subscription{cancel}
	client := NewClient(s.address, s.options.ConnectTimeout, s.options.Dial)
	client.onSlow = func() { s.subscriber.Post(func() { s.onWatchSlow(opened) }) }
	onUpdate := func(list List) { s.subscriber.Post(func() { s.onUpdate(opened, list) }) }
	onUnchanged := func() { s.subscriber.Post(func() { s.onUnchanged(opened) }) }
	go func() {
		defer cancel()
		err := client.Watch(ctx, revision, onUpdate, onUnchanged)
		if s.ctx.Err() == nil {
			s.subscriber.Post(func() { s.onWatchEnded(opened, err) })
		}
	}()
	return opened
}

// onUpdate handles a list from a watch. The watch becomes the current one and the other watches end, except that a list
// from the current watch does not end the watch at a new address. A late list from a previous address is dropped
// because it would overwrite newer state.
func (s *Subscriptions) onUpdate(source *subscription, list List) {
	switch {
	case source == s.next, source == s.slow, source == s.current && s.next == nil:
		s.makeCurrent(source)
	case source == s.current:
	default:
		return
	}
	kind := balance.ListChanges
	if list.Complete {
		kind = balance.ListFull
	}
	s.lastWatchTimedOut = false
	s.revision = list.Revision
	s.subscriber.OnUpdate(kind, list)
}

// makeCurrent makes a watch the current one and ends all others.
func (s *Subscriptions) makeCurrent(selected *subscription) {
	for _, other := range []*subscription{s.current, s.next, s.slow} {
		if other != nil && other != selected {
			other.cancel()
		}
	}
	s.current = selected
	s.next = nil
	s.slow = nil
}

// onUnchanged handles a heartbeat from a watch, which confirms its last list. Heartbeats from watches other than the
// current one are ignored.
func (s *Subscriptions) onUnchanged(source *subscription) {
	if source == s.current {
		s.subscriber.OnUnchanged()
	}
}

// onWatchSlow handles a watch whose first list is late. One slow watch continues along with the watches that are opened
// after it, and other slow watches end. If every slow watch were ended, no list from a slow discovery would ever
// arrive.
func (s *Subscriptions) onWatchSlow(slow *subscription) {
	if slow != s.current && slow != s.next {
		return
	}
	if s.slow != nil || slow == s.current && s.next != nil {
		slow.cancel()
	} else {
		s.slow = slow
	}
	s.replaceWatch(slow, errWatchTimeout)
}

// onWatchEnded handles the end of a watch and arranges a replacement if one is needed.
func (s *Subscriptions) onWatchEnded(ended *subscription, err error) {
	if ended == s.slow {
		s.slow = nil
	}
	s.replaceWatch(ended, err)
}

// replaceWatch arranges a replacement for a watch that has ended or is slow. A watch at a new address is retried after
// its own backoff. For the current watch the subscriber decides when to subscribe again, but while a watch at a new
// address is pending the current watch is not replaced.
func (s *Subscriptions) replaceWatch(ended *subscription, err error) {
	switch ended {
	case s.next:
		s.options.Log.Info("discovery watch failed", "err", err)
		s.retryAddress(ended)
	case s.current:
		s.options.Log.Info("discovery watch failed", "err", err)
		s.current = nil
		s.lastWatchTimedOut = s.lastWatchTimedOut || errors.Is(err, errWatchTimeout)
		if s.next == nil {
			s.subscriber.OnWatchEnded()
		}
	}
}

// retryAddress calls a new address again after a backoff. Without the backoff, an address that is not yet up would be
// flooded with calls.
func (s *Subscriptions) retryAddress(ended *subscription) {
	backoff := min(minAddressBackoff<<min(s.addressRetries, maxBackoffShift), maxAddressBackoff)
	s.addressRetries++
	time.AfterFunc(backoff, func() {
		s.subscriber.Post(func() {
			if s.next == ended {
				s.next = s.startWatch(completeListRevision)
			}
		})
	})
}

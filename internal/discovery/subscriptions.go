package discovery

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"milletramp.example/milletramp/balance"
)

// The backoff before a new address of discovery is called again doubles from the least to the greatest.
const (
	minAddressBackoff = 200 * time.Millisecond
	maxAddressBackoff = 400 * time.Millisecond
	maxBackoffShift   = 8 // doublings, which keeps the shift from overflowing
)

// Subscriber is the event loop that a Subscriptions serves. Its On methods are called on the loop's goroutine.
type Subscriber interface {
	// Post runs f on the loop's goroutine. It does not wait.
	Post(f func())
	// OnUpdate handles a list.
	OnUpdate(kind balance.ListKind, list List)
	// OnUnchanged handles that the list in hand is the current one.
	OnUnchanged()
	// OnWatchEnded handles that no watch is open. The loop calls Subscribe when another one is to be opened.
	OnWatchEnded()
}

// Options say how a Subscriptions opens watches.
type Options struct {
	Address        string        // of discovery
	Revision       int64         // of the list in hand; -1: there is none
	ConnectTimeout time.Duration // for a connection to open
	Dial           DialFunc      // opens connections to discovery; nil: over TCP
	Log            *slog.Logger
}

// Subscriptions holds the open watches of a process: the current one, the one at a new address while discovery moves,
// and a slow one that may still bring a list. Only the loop's goroutine calls its methods. Each watch has a
// goroutine, which ends with the watch, at the latest with the context given to NewSubscriptions.
type Subscriptions struct {
	ctx        context.Context
	subscriber Subscriber
	options    Options

	address        string        // of discovery, as last configured
	addressRetries int           // failed calls of a new address
	revision       int64         // of the list in hand; wholeList: there is none
	current        *subscription // the one whose updates count; nil: none is open
	next           *subscription // at a new address, until its first list has come; nil: none
	slow           *subscription // late with its first list and replaced, but not ended; nil: none
	// lastWatchTimedOut says that no list has come since a watch timed out. The next watch asks for the complete list,
	// which comes at once.
	lastWatchTimedOut bool
}

// subscription is one watch.
type subscription struct{ cancel context.CancelFunc }

// NewSubscriptions returns a Subscriptions with no watch open. Its watches end with ctx.
func NewSubscriptions(ctx context.Context, subscriber Subscriber, options Options) *Subscriptions {
	return &Subscriptions{
		ctx:        ctx,
		subscriber: subscriber,
		options:    options,
		address:    options.Address,
		revision:   options.Revision,
	}
}

// Subscribe opens a watch if there is none.
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

// SwitchAddress follows discovery at another address. The watch at the old address goes on until the new one has
// brought a list: if the switch ended it, the Balancer would back off before it subscribed again.
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
	// A revision of the old address may mean another list at the new one.
	s.next = s.startWatch(completeListRevision)
}

// startWatch opens a watch of the changes after a revision, in a goroutine that ends with it.
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

// onUpdate handles a list from a watch. The watch becomes the current one and the others end, except that the current
// one does not end the one at a new address. A late list from a former address is dropped: it would undo newer ones.
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

// makeCurrent makes a watch the only one.
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

// onUnchanged handles that a watch has nothing newer than its last list.
func (s *Subscriptions) onUnchanged(source *subscription) {
	if source == s.current {
		s.subscriber.OnUnchanged()
	}
}

// onWatchSlow handles that a watch is late with its first list. If each slow watch were given up, no list of a slow
// discovery would ever arrive: one goes on next to the watches opened after it, and any others end.
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

// onWatchEnded handles the end of a watch.
func (s *Subscriptions) onWatchEnded(ended *subscription, err error) {
	if ended == s.slow {
		s.slow = nil
	}
	s.replaceWatch(ended, err)
}

// replaceWatch has another watch opened in the place of one that has ended or is slow: at a new address after a
// backoff of its own, else as the Balancer decides. Where the new address is still to answer, the current watch is
// not replaced.
func (s *Subscriptions) replaceWatch(ended *subscription, err error) {
	switch ended {
	case s.next:
		s.options.Log.Info("discovery", "err", err)
		s.retryAddress(ended)
	case s.current:
		s.options.Log.Info("discovery", "err", err)
		s.current = nil
		s.lastWatchTimedOut = s.lastWatchTimedOut || errors.Is(err, errWatchTimeout)
		if s.next == nil {
			s.subscriber.OnWatchEnded()
		}
	}
}

// retryAddress calls a new address again after a backoff. Without one an address that is not up yet would be flooded
// with calls.
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

package discovery

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"milletramp.example/milletramp/balance"
)

// The backoff before a new address of discovery is called again doubles from the first to the longest.
const (
	minAddressBackoff = 200 * time.Millisecond
	maxAddressBackoff = 400 * time.Millisecond
)

// Subscriber is the event loop that a Subscriptions serves. Its On methods are called on the loop's goroutine.
type Subscriber interface {
	// Post runs f on the loop's goroutine. It does not wait.
	Post(f func())
	// OnUpdate takes in a list.
	OnUpdate(kind balance.ListKind, list List)
	// OnUnchanged takes in that the list in hand is the current one.
	OnUnchanged()
	// OnWatchEnded takes in that no watch is open. The loop calls Subscribe when another one is to be opened.
	OnWatchEnded()
}

// Options are what a Subscriptions needs to open watches.
type Options struct {
	Address        string        // of discovery
	Revision       int64         // of the list in hand; -1: there is none
	ConnectTimeout time.Duration // for a connection to come up
	Dial           DialFunc      // opens connections to discovery; nil: over TCP
	Log            *slog.Logger
}

// Subscriptions holds the open watches of a process: the current one, while discovery moves the one at its new address,
// and a slow one that may still answer. Only the loop's goroutine calls its methods. Each watch has a goroutine, which
// ends with the context given to NewSubscriptions or when the watch does.
type Subscriptions struct {
	ctx        context.Context
	subscriber Subscriber
	options    Options

	address           string        // of discovery, as last configured
	revision          int64         // of the list in hand; -1: none
	current           *subscription // whose updates count; nil: none is open
	next              *subscription // at a new address, until its first list has come; nil: none
	slow              *subscription // its first list is late, and another call was made at the same address; nil: none
	addressRetries    int           // calls of the new address that failed
	lastWatchTimedOut bool          // the last watch was silent: the next one asks for the complete list, which comes at once
}

// subscription is one watch.
type subscription struct{ cancel context.CancelFunc }

// NewSubscriptions returns a Subscriptions with no watch open. Its watches end with ctx.
func NewSubscriptions(ctx context.Context, subscriber Subscriber, options Options) *Subscriptions {
	return &Subscriptions{ctx: ctx, subscriber: subscriber, options: options, address: options.Address,
		revision: options.Revision}
}

// Subscribe opens a watch if there is none.
func (s *Subscriptions) Subscribe() {
	if s.current != nil || s.next != nil {
		return
	}
	from := s.revision
	if s.lastWatchTimedOut {
		from = wholeList
	}
	s.current = s.startWatch(from)
}

// SwitchAddress follows discovery at another address. The old address goes on telling until the new one has answered:
// the move itself is no end of a watch, for which the Balancer would wait before it subscribed again.
func (s *Subscriptions) SwitchAddress(address string) {
	if address == s.address {
		return
	}
	s.address = address
	s.addressRetries = 0
	for _, former := range []*subscription{s.next, s.slow} {
		if former != nil {
			former.cancel()
		}
	}
	s.slow = nil
	s.next = s.startWatch(wholeList) // a revision of the old address may mean another list at the new one
}

// startWatch opens a watch on what came after revision from.
func (s *Subscriptions) startWatch(from int64) *subscription {
	ctx, cancel := context.WithCancel(s.ctx)
	opened := &subscription{cancel}
	client := NewClient(s.address, s.options.ConnectTimeout, s.options.Dial)
	client.onSlow = func() { s.subscriber.Post(func() { s.onWatchSlow(opened) }) }
	go func() { // ends with the watch
		defer cancel()
		err := client.Watch(ctx, from,
			func(list List) { s.subscriber.Post(func() { s.onUpdate(opened, list) }) },
			func() { s.subscriber.Post(func() { s.onUnchanged(opened) }) })
		if s.ctx.Err() == nil {
			s.subscriber.Post(func() { s.onWatchEnded(opened, err) })
		}
	}()
	return opened
}

// onUpdate takes in a list from a watch. The first one from a watch other than the current one makes it the current one.
func (s *Subscriptions) onUpdate(from *subscription, list List) {
	switch {
	case from == s.next, from == s.slow, from == s.current && s.next == nil:
		for _, other := range []*subscription{s.current, s.next, s.slow} {
			if other != nil && other != from {
				other.cancel()
			}
		}
		s.current, s.next, s.slow = from, nil, nil
	case from == s.current:
	default:
		return // a late list from a former address would undo what the new one has told
	}
	kind := balance.ListChanges
	if list.Complete {
		kind = balance.ListFull
	}
	s.lastWatchTimedOut = false
	s.revision = list.Revision
	s.subscriber.OnUpdate(kind, list)
}

// onUnchanged takes in that a watch has nothing beyond what it has told.
func (s *Subscriptions) onUnchanged(from *subscription) {
	if from == s.current {
		s.subscriber.OnUnchanged()
	}
}

// onWatchSlow takes in that a watch is late with its first list. If each slow call were given up, a slow discovery would
// never be heard: one goes on beside the calls made anew, and any others end.
func (s *Subscriptions) onWatchSlow(late *subscription) {
	if late != s.current && late != s.next {
		return
	}
	if s.slow != nil || late == s.current && s.next != nil {
		late.cancel()
	} else {
		s.slow = late
	}
	s.replaceWatch(late, errWatchTimeout)
}

// onWatchEnded takes in that a watch has ended.
func (s *Subscriptions) onWatchEnded(ended *subscription, err error) {
	if s.slow == ended {
		s.slow = nil
	}
	s.replaceWatch(ended, err)
}

// replaceWatch takes in that another watch is to be opened in the place of one that has ended, or is slow.
func (s *Subscriptions) replaceWatch(ended *subscription, err error) {
	switch ended {
	case s.next:
		s.options.Log.Info("discovery", "err", err)
		s.retryAddress(ended)
	case s.current:
		s.options.Log.Info("discovery", "err", err)
		s.current = nil
		s.lastWatchTimedOut = s.lastWatchTimedOut || errors.Is(err, errWatchTimeout)
		if s.next == nil { // else the new address is about to answer
			s.subscriber.OnWatchEnded()
		}
	}
}

// retryAddress calls a new address again after a backoff. Without one an address that is not up yet would be flooded.
func (s *Subscriptions) retryAddress(ended *subscription) {
	backoff := min(minAddressBackoff<<min(s.addressRetries, 8), maxAddressBackoff)
	s.addressRetries++
	time.AfterFunc(backoff, func() {
		s.subscriber.Post(func() {
			if s.next == ended {
				s.next = s.startWatch(wholeList)
			}
		})
	})
}

package sidecar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"milletramp.example/milletramp/balance"
)

// The wait before a new address of discovery is asked again doubles from the first to the longest.
const (
	minAddressBackoff = 200 * time.Millisecond
	maxAddressBackoff = 400 * time.Millisecond
)

// Subscriptions are those that the host holds open. The loop alone touches them.
type Subscriptions struct {
	address        string        // of discovery, as last told
	current        *subscription // tells the news; nil: none does
	next           *subscription // at a new address, until it has answered; nil: none
	slow           *subscription // still owed its first list while another call was made; nil: none. It is always at address.
	addressRetries int           // times that the new address was asked in vain
	wasSilent      bool          // the last watch said nothing: the next one asks for the whole list, which is answered at once
}

// subscription is one call of discovery.
type subscription struct{ cancel context.CancelFunc }

// reload reads the configuration again, takes its settings and moves to the discovery that it names. It returns the
// configuration that is in use then: a file with any fault is turned down whole.
func (h *host) reload(ctx context.Context, c *Config) *Config {
	fresh, err := c.Reload()
	if err == nil {
		if asked := h.ask(ctx, func() { err = h.reconfigure(fresh) }); asked != nil {
			return c // the end
		}
	}
	if err != nil {
		h.figures.LoadErrors.Add(1)
		h.log.Error("not reloaded", "err", err)
		return c
	}
	h.figures.Loads.Add(1)
	h.log.Info("reloaded", "discovery", fresh.Discovery)
	return fresh
}

// reconfigure takes a new file. Where the fleet has a policy its settings must be that one's.
func (h *host) reconfigure(c *Config) error {
	if h.gate == nil {
		return h.configure(c)
	}
	if how := h.gate.differs(c); how != "" {
		return fmt.Errorf("%w: %s", errFixed, how)
	}
	h.moveTo(c.Discovery)
	return nil
}

// configure takes new settings. With an error, nothing has changed.
func (h *host) configure(c *Config) error {
	places, err := h.balancer.Configure(c.Settings)
	if err != nil {
		return err
	}
	h.terms.Store(newTerms(c.Settings, c.Names, places, h.figures))
	h.upstream.Configure(c.Limits)
	h.moveTo(c.Discovery)
	return nil
}

// moveTo has another address tell the list from now on. The old one goes on telling until the new one has answered:
// the move is no news for the Balancer, which would wait for seconds before it asked again.
func (h *host) moveTo(address string) {
	w := &h.watches
	if address == w.address {
		return
	}
	w.address, w.addressRetries = address, 0
	for _, former := range []*subscription{w.next, w.slow} {
		if former != nil {
			former.cancel()
		}
	}
	w.slow = nil
	w.next = h.open(-1) // Versions that the old address counted may mean another list at the new one.
}

// Subscribe implements balance.Actions. It opens a watch if there is none.
func (h *host) Subscribe() {
	if w := &h.watches; w.current == nil && w.next == nil {
		from := h.rev
		if w.wasSilent {
			from = -1
		}
		w.current = h.open(from)
	}
}

// open opens a watch on what came after version from.
func (h *host) open(from int64) *subscription {
	ctx, cancel := context.WithCancel(h.ctx)
	w := &subscription{cancel}
	d := NewDiscoveryClient(h.watches.address, h.connect, h.dialDiscovery)
	d.onSlow = func() { h.post(func() { h.slow(w) }) }
	go func() {
		defer cancel()
		told := func(l List) { h.post(func() { h.told(w, l) }) }
		err := d.Watch(ctx, from, told, func() { h.post(func() { h.unchanged(w) }) })
		if h.ctx.Err() == nil {
			h.post(func() {
				if h.watches.slow == w {
					h.watches.slow = nil
				}
				h.unwatched(w, err)
			})
		}
	}()
	return w
}

// told takes in what a watch says.
func (h *host) told(from *subscription, l List) {
	w := &h.watches
	switch {
	case from == w.next || from == w.slow || from == w.current && w.next == nil:
		for _, other := range []*subscription{w.current, w.next, w.slow} {
			if other != nil && other != from {
				other.cancel()
			}
		}
		w.current, w.next, w.slow = from, nil, nil
	case from == w.current:
	default:
		return // A late line of a former address would undo what the new one has told.
	}
	kind := balance.ListChanges
	if l.Complete {
		kind = balance.ListFull
	}
	w.wasSilent = false
	h.rev = l.Revision
	h.list(kind, l)
}

// unchanged takes in that a watch has nothing to tell beyond what it has told.
func (h *host) unchanged(from *subscription) {
	if from == h.watches.current {
		h.starts.Confirm(h.now)
	}
}

// slow takes in that a watch is late with its first list. Discovery may be slow: if each call were given up by then,
// none would ever be answered. One late call goes on for a while next to those made anew; any others end.
func (h *host) slow(late *subscription) {
	w := &h.watches
	if late != w.current && late != w.next {
		return
	}
	if w.slow != nil || late == w.current && w.next != nil {
		late.cancel()
	} else {
		w.slow = late
	}
	h.unwatched(late, errSilent)
}

// unwatched takes in that a watch has ended, or that others are to be made in its place.
func (h *host) unwatched(ended *subscription, err error) {
	w := &h.watches
	switch ended {
	case w.next: // The new address is not up yet. Asked without a pause it would never come up.
		h.log.Info("discovery", "err", err)
		pause := min(minAddressBackoff<<min(w.addressRetries, 8), maxAddressBackoff)
		w.addressRetries++
		time.AfterFunc(pause, func() {
			h.post(func() {
				if w.next == ended {
					w.next = h.open(-1)
				}
			})
		})
	case w.current:
		h.log.Info("discovery", "err", err)
		w.current, w.wasSilent = nil, w.wasSilent || errors.Is(err, errSilent)
		if w.next == nil { // else the new address is about to tell
			h.balancer.Endpoints(h.now, balance.ListRefused, nil)
		}
	}
}

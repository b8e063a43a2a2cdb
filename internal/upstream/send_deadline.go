package upstream

import (
	"context"
	"sync"
	"time"
)

// SendDeadline is the time by which the complete request of an attempt has to reach its server. It may change while the
// attempt is in progress. The zero value and nil are no deadline. Its methods are safe for concurrent use.
type SendDeadline struct {
	mu       sync.Mutex
	at       time.Time       // zero: no deadline
	follower func(time.Time) // applies the deadline to the current step of the attempt; nil: none
}

// Set changes the deadline. The zero time removes it.
func (d *SendDeadline) Set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = at
	if d.follower != nil {
		d.follower(at)
	}
}

// hasPassed reports whether there is a deadline and it has passed.
func (d *SendDeadline) hasPassed() bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hasPassedLocked()
}

// hasPassedLocked is hasPassed for a caller that holds d.mu.
func (d *SendDeadline) hasPassedLocked() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

// withContext returns a copy of ctx that is done with the cause errSendDeadline when the deadline passes. A deadline
// that is set at the time of the call cannot be extended for the copy.
func (d *SendDeadline) withContext(ctx context.Context) (sendCtx context.Context, stop func()) {
	if d == nil {
		return ctx, func() {}
	}
	sendCtx, cancel := context.WithCancelCause(ctx)
	cancelAtDeadline := func() {}
	if at := d.current(); !at.IsZero() {
		sendCtx, cancelAtDeadline = context.WithDeadlineCause(sendCtx, at, errSendDeadline)
	}
	stopWatching := d.whenPassed(func() { cancel(errSendDeadline) })
	return sendCtx, func() {
		stopWatching()
		cancelAtDeadline()
		cancel(nil)
	}
}

// current returns the deadline; zero means none.
func (d *SendDeadline) current() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at
}

// followChanges calls apply with the deadline, if there is one, and with each change of it until stop is called. If
// apply was called, stop calls it with the zero time. An attempt has one follower at a time.
func (d *SendDeadline) followChanges(apply func(at time.Time)) (stop func()) {
	if d == nil {
		return func() {}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	applied := false
	d.follower = func(at time.Time) {
		applied = true
		apply(at)
	}
	if !d.at.IsZero() {
		d.follower(d.at)
	}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.follower = nil
		if applied {
			apply(time.Time{})
		}
	}
}

// whenPassed calls expire when the deadline passes, until stop is called. After stop has returned, expire is neither
// running nor called again.
func (d *SendDeadline) whenPassed(expire func()) (stop func()) {
	var timer *time.Timer // guarded by d.mu; nil: no deadline
	runTimer := func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if timer != nil && d.hasPassedLocked() {
			expire()
		}
	}
	return d.followChanges(func(at time.Time) {
		if timer != nil {
			timer.Stop()
			timer = nil
		}
		if !at.IsZero() {
			timer = time.AfterFunc(time.Until(at), runTimer)
		}
	})
}

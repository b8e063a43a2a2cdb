package sim

import (
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/replication"
	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
)

const (
	tickInterval    = 50 * time.Millisecond
	wallClockOrigin = 1_700_000_000_000 // wall clock in Unix milliseconds at the plan's start
	monotonicOrigin = time.Hour         // monotonic clock at the plan's start
	maxPending      = 256               // limit on actions queued for a suspended process
)

// isSuspended reports whether the sidecar's processes are suspended now.
func (s *Sidecar) isSuspended() bool { return s.hasFault(faultplan.Suspend) }

// isKilled reports whether a Kill fault is active for the sidecar now.
func (s *Sidecar) isKilled() bool { return s.hasFault(faultplan.Kill) }

// hasFault reports whether a fault of a kind is active for the sidecar now.
func (s *Sidecar) hasFault(kind faultplan.Kind) bool {
	now := s.fleet.Now()
	return slices.ContainsFunc(s.fleet.Plan.Faults, func(fault faultplan.Fault) bool {
		return fault.Kind == kind &&
			now >= fault.At &&
			now < fault.At+fault.Duration &&
			slices.Contains(fault.From, s.Index)
	})
}

// Clock returns the current time of the sidecar's monotonic and wall clocks.
func (s *Sidecar) Clock() replication.Now {
	now := s.fleet.Now()
	wall := now + s.fleet.Plan.ClockOffset(now, s.Index)
	return replication.Now{Time: monotonicOrigin + now, Wall: wallClockOrigin + wall.Milliseconds()}
}

// tick steps the machine every tickInterval until its process ends or is replaced.
func (s *Sidecar) tick(epoch int) {
	if s.Machine == nil || s.epoch != epoch {
		return
	}
	if !s.isSuspended() {
		s.Machine.Tick(s.Clock())
		s.performActions()
	}
	s.fleet.scheduler.after(tickInterval, func() { s.tick(epoch) })
}

// execute runs an action in the current process, or drops the action if no process runs. While the process is
// suspended, up to maxPending actions are queued and further ones are dropped.
func (s *Sidecar) execute(action func()) {
	switch {
	case s.Machine == nil:
	case s.isSuspended():
		if len(s.pending) < maxPending {
			s.pending = append(s.pending, action)
		}
	default:
		action()
		s.performActions()
	}
}

// resume runs the actions that were queued while the sidecar's processes were suspended.
func (s *Sidecar) resume() {
	pending := s.pending
	s.pending = nil
	for _, action := range pending {
		s.execute(action)
	}
	if s.predecessor != nil {
		s.predecessor.resume()
	}
}

// performActions performs the I/O requested by the machine and records the deliveries of calls.
func (s *Sidecar) performActions() {
	actions := s.Machine.TakeActions()
	for _, datagram := range actions.Send {
		s.fleet.sendDatagram(s, datagram)
	}
	for _, address := range actions.Fetch {
		s.fetchSnapshot(address)
	}
	if len(actions.Updated) > 0 {
		s.recordDeliveries()
	}
}

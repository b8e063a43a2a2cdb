package sim

import (
	"errors"
	"time"

	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
)

const (
	maxLinkLatency = 2 * time.Millisecond // a message takes on a link that is well
	fetchTimeout   = time.Second          // a fetch is waited for
)

// latency is how long a message takes.
func (f *Fleet) latency(condition faultplan.LinkCondition) time.Duration {
	return time.Duration(f.rng.Int64N(int64(maxLinkLatency))) + time.Duration(f.rng.Float64()*float64(condition.Delay))
}

func (f *Fleet) transmit(sender, receiver *Sidecar, condition faultplan.LinkCondition, payload []byte) {
	at, senderAddress := f.now+f.latency(condition), sender.address
	if condition.Rate > 0 {
		pair := [2]int{sender.Index, receiver.Index}
		linkFree := max(f.linkFreeAt[pair], f.now)
		if linkFree-f.now > time.Second { // its queue is full
			f.Lost++
			return
		}
		f.linkFreeAt[pair] = linkFree + time.Duration(float64(len(payload))/condition.Rate*float64(time.Second))
		at = max(at, f.linkFreeAt[pair])
	}
	f.schedule(at, func() {
		receiver.execute(func() {
			_ = receiver.Machine.Receive(receiver.Clock(), senderAddress, payload) // what it thinks of it is in its figures
		})
	})
}

// fetchSnapshot gets a snapshot from an address, over the links both ways.
func (s *Sidecar) fetchSnapshot(address string) {
	fleet, epoch, done := s.fleet, s.epoch, false
	finish := func(snapshot []byte, err error) {
		if done {
			return
		}
		done = true
		if s.epoch == epoch {
			s.execute(func() { _ = s.Machine.ReceiveSnapshot(s.Clock(), address, snapshot, err) })
		}
	}
	fleet.schedule(fleet.now+fetchTimeout, func() { finish(nil, errors.New("no answer")) })
	source := fleet.processes[address]
	if source == nil {
		return
	}
	// A connection outlasts lost packets; cut links it does not.
	request, response := fleet.Plan.LinkCondition(fleet.now, s.Index, source.Index), fleet.Plan.LinkCondition(fleet.now, source.Index, s.Index)
	if request.Cut || response.Cut {
		return
	}
	fleet.schedule(fleet.now+fleet.latency(request), func() {
		source.execute(func() {
			snapshot, err := source.Machine.EncodeSnapshot(source.Clock())
			if err == nil && !fleet.Plan.LinkCondition(fleet.now, source.Index, s.Index).Cut {
				fleet.schedule(fleet.now+fleet.latency(response), func() { finish(snapshot, nil) })
			}
		})
	})
}

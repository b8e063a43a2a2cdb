package sim

import (
	"errors"
	"time"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
)

const (
	maxLinkLatency  = 2 * time.Millisecond // upper bound for a message on a link without faults
	maxLinkQueueing = time.Second          // queueing delay at which a rate-limited link drops datagrams
	fetchTimeout    = time.Second
)

// errFetchTimeout ends a snapshot fetch without a response within fetchTimeout.
var errFetchTimeout = errors.New("no snapshot received within 1 s")

// link is a directed pair of sidecars, by their indexes.
type link struct{ from, to int }

// linkCondition returns the current condition, under the plan, of the link from one sidecar to another.
func (f *Fleet) linkCondition(from, to *Sidecar) faultplan.LinkCondition {
	return f.Plan.LinkCondition(f.Now(), from.Index, to.Index)
}

// drawLatency draws the latency of a message on a link.
func (f *Fleet) drawLatency(condition faultplan.LinkCondition) time.Duration {
	base := time.Duration(f.rng.Int64N(int64(maxLinkLatency)))
	added := time.Duration(f.rng.Float64() * float64(condition.Delay))
	return base + added
}

// sendDatagram sends a datagram over a link, which may drop or duplicate it.
func (f *Fleet) sendDatagram(sender *Sidecar, datagram gossip.Datagram) {
	receiver := f.processes[datagram.To]
	if receiver == nil {
		return
	}
	condition := f.linkCondition(sender, receiver)
	f.Sent++
	if condition.Cut || f.rng.Float64() < condition.Drop {
		f.Lost++
		return
	}
	copies := 1
	if f.rng.Float64() < condition.Duplicate {
		copies = 2
	}
	for range copies {
		f.transmit(sender, receiver, condition, datagram.Payload)
	}
}

// transmit schedules the arrival of one copy of a datagram. A rate-limited link drops it when its queue is full.
func (f *Fleet) transmit(sender, receiver *Sidecar, condition faultplan.LinkCondition, payload []byte) {
	arrival := f.Now() + f.drawLatency(condition)
	senderAddress := sender.address
	if condition.Rate > 0 {
		pair := link{from: sender.Index, to: receiver.Index}
		freeAt := max(f.linkFreeAt[pair], f.Now())
		if freeAt-f.Now() > maxLinkQueueing {
			f.Lost++
			return
		}
		f.linkFreeAt[pair] = freeAt + time.Duration(float64(len(payload))/condition.Rate*float64(time.Second))
		arrival = max(arrival, f.linkFreeAt[pair])
	}
	f.scheduler.at(arrival, func() {
		receiver.execute(func() {
			// Rejected datagrams are included in the machine's counters.
			_ = receiver.Machine.Receive(receiver.Clock(), senderAddress, payload)
		})
	})
}

// snapshotFetch is a snapshot fetch by one process of a sidecar.
type snapshotFetch struct {
	sidecar *Sidecar
	epoch   int // of the fetching process
	address string
	done    bool
}

// fetchSnapshot fetches a snapshot from an address over a simulated connection. Packet loss does not fail the fetch, as
// a connection retransmits lost packets, but a cut link in either direction does.
func (s *Sidecar) fetchSnapshot(address string) {
	f := s.fleet
	fetch := &snapshotFetch{sidecar: s, epoch: s.epoch, address: address}
	f.scheduler.after(fetchTimeout, func() { fetch.finish(nil, errFetchTimeout) })
	source := f.processes[address]
	if source == nil {
		return
	}
	request := f.linkCondition(s, source)
	response := f.linkCondition(source, s)
	if request.Cut || response.Cut {
		return
	}
	f.scheduler.after(f.drawLatency(request), func() {
		source.execute(func() { fetch.respond(source, response) })
	})
}

// respond encodes the source's snapshot and schedules the response's arrival, unless the link is cut.
func (t *snapshotFetch) respond(source *Sidecar, response faultplan.LinkCondition) {
	f := source.fleet
	snapshot, err := source.Machine.EncodeSnapshot(source.Clock())
	if err != nil || f.linkCondition(source, t.sidecar).Cut {
		return
	}
	f.scheduler.after(f.drawLatency(response), func() { t.finish(snapshot, nil) })
}

// finish passes the result of the fetch to the machine, once, unless the fetching process has been replaced.
func (t *snapshotFetch) finish(snapshot []byte, err error) {
	if t.done {
		return
	}
	t.done = true
	s := t.sidecar
	if s.epoch != t.epoch {
		return
	}
	s.execute(func() {
		// The error is that of the fetch, or is included in the machine's counters.
		_ = s.Machine.ReceiveSnapshot(s.Clock(), t.address, snapshot, err)
	})
}

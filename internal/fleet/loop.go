package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/replication"
)

const (
	tickInterval    = 50 * time.Millisecond
	maxQueuedEvents = 256 // capacity of the queue for the loop; further datagrams are dropped
)

// run is the event loop. It ends with Close.
func (f *Fleet) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			f.leave()
			return
		case event := <-f.events:
			event(f.now())
		case <-ticker.C:
			f.tick(f.now())
		}
		f.carryOutActions()
	}
}

// tick runs the periodic work.
func (f *Fleet) tick(now replication.Now) {
	f.machine.Tick(now)
	if now.Time-f.servers.markedAt >= markListedInterval {
		f.markListed(now)
	}
	f.saveSnapshot(now)
	f.writeEvidence(now)
	f.updateSuspicions(now)
}

// leave notifies the other members, ends pending calls and saves the last snapshot, before the loop ends.
func (f *Fleet) leave() {
	f.machine.Leave(f.now())
	f.carryOutActions()
	f.endPendingConfirms()
	if f.saver != nil {
		f.saver.savedAt = 0 // skip the minimum interval for the last snapshot
		f.saveSnapshot(f.now())
		close(f.saver.snapshots)
	}
}

// post queues an event for the loop without waiting for its execution. It returns false if ctx ends or f is closed
// while the queue is full.
func (f *Fleet) post(ctx context.Context, event func(replication.Now)) bool {
	select {
	case f.events <- event:
		return true
	case <-ctx.Done():
	case <-f.ctx.Done():
	}
	return false
}

// tryPost queues an event for the loop, or drops it if the queue is full.
func (f *Fleet) tryPost(event func(replication.Now)) {
	select {
	case f.events <- event:
	default:
	}
}

// call runs an event in the loop and waits for its completion. After an error the event may still run later.
func (f *Fleet) call(ctx context.Context, event func(replication.Now)) error {
	done := make(chan struct{})
	if f.post(ctx, func(now replication.Now) { event(now); close(done) }) {
		select {
		case <-done:
			return nil
		case <-ctx.Done():
		case <-f.ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("fleet: %w", context.Cause(ctx))
	}
	return ErrClosed
}

// carryOutActions executes the actions of the machine and notifies the sidecar of changes.
func (f *Fleet) carryOutActions() {
	actions := f.machine.TakeActions()
	f.sendDatagrams(actions.Send)
	f.fetchSnapshots(actions.Fetch)
	for _, change := range actions.Changes {
		f.logMemberChange(change)
	}
	f.followIncarnation()
	for _, phase := range actions.Phases {
		f.enterPhase(phase)
	}
	for _, confirmation := range actions.Confirmations {
		f.admin.resolve(confirmation)
	}
	f.notifyAdminDown()
	f.handleEvidence(actions)
}

func (f *Fleet) sendDatagrams(datagrams []gossip.Datagram) {
	for _, datagram := range datagrams {
		if err := f.transport.Send(datagram.To, datagram.Payload); err != nil {
			f.log.Debug("datagram not sent", "to", datagram.To, "err", err)
		}
	}
}

// fetchSnapshots fetches a snapshot from each address, each in a goroutine that ends with the fetch or with Close.
func (f *Fleet) fetchSnapshots(addresses []string) {
	for _, address := range addresses {
		f.goroutines.Add(1)
		go func() {
			defer f.goroutines.Done()
			snapshot, err := f.transport.Fetch(f.ctx, address)
			f.post(f.ctx, func(now replication.Now) {
				if err := f.machine.ReceiveSnapshot(now, address, snapshot, err); err != nil {
					f.log.Debug("snapshot not received", "from", address, "err", err)
				}
			})
		}()
	}
}

// Datagram implements transport.Handler. While the queue is full, datagrams are dropped to bound memory use during a
// flood; anti-entropy repairs the loss.
func (f *Fleet) Datagram(from string, payload []byte) {
	payload = slices.Clone(payload)
	f.tryPost(func(now replication.Now) {
		if err := f.machine.Receive(now, from, payload); err != nil {
			f.log.Debug("datagram ignored", "from", from, "err", err)
		}
	})
}

// Snapshot implements transport.Handler.
func (f *Fleet) Snapshot(ctx context.Context) (snapshot []byte, err error) {
	callErr := f.call(ctx, func(now replication.Now) { snapshot, err = f.machine.EncodeSnapshot(now) })
	return snapshot, errors.Join(callErr, err)
}

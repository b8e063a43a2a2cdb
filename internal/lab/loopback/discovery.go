package loopback

import (
	"fmt"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/runplan"
	"milletramp.example/milletramp/internal/standin"
)

// oldWatchLifetime is how long a discovery service that has moved keeps its old connections open.
const oldWatchLifetime = 1500 * time.Millisecond

// initialEntries returns the endpoint list of a sidecar at the start of the run.
func (r *run) initialEntries(sidecar int) []standin.Entry {
	var entries []standin.Entry
	for server, machine := range r.plan.Machines {
		if machine.StartsAt == 0 {
			entries = append(entries, r.entry(sidecar, server, record.Serving))
		}
	}
	return entries
}

// entry returns a server's entry in the endpoint list of a sidecar, with the address of the link between them.
func (r *run) entry(sidecar, server int, state record.State) standin.Entry {
	machine := r.plan.Machines[server]
	entry := standin.Entry{
		UID:      machine.ID,
		Endpoint: r.links[sidecar][server].Address(),
		AZ:       r.plan.Scenario.Fleet.Zones[machine.Zone],
		Model:    machine.Kind,
		PodGroup: machine.PodGroup,
		State:    standin.States[state],
		Capacity: machine.Weight,
	}
	if r.startTimes[server] > 0 {
		entry.BootMS = r.log.Start().Add(r.startTimes[server]).UnixMilli()
	}
	return entry
}

// serverIndex returns the index of the server with an ID, or -1.
func (r *run) serverIndex(id string) int32 {
	hasID := func(machine runplan.Machine) bool { return machine.ID == id }
	return int32(slices.IndexFunc(r.plan.Machines, hasID))
}

// notify has every discovery service publish a server's state, each after a random delay and in order.
func (r *run) notify(server int, state record.State) {
	notice := r.plan.Scenario.DiscoveryDelay
	for i, discovery := range r.discoveries {
		delay := notice.From.Std() + time.Duration(r.rng.Float64()*float64(notice.To-notice.From))
		due := r.log.Now() + delay
		r.lastNotices[i] = max(r.lastNotices[i]+time.Millisecond, due)
		entry := r.entry(i, server, state)
		time.AfterFunc(r.lastNotices[i]-r.log.Now(), func() { discovery.Publish(entry) })
	}
}

// moveDiscovery moves every discovery service to a new address, which the sidecars learn by a reload.
func (r *run) moveDiscovery() error {
	for i, discovery := range r.discoveries {
		if err := discovery.Move(oldWatchLifetime); err != nil {
			return err
		}
		sidecar := r.sidecars[i]
		if err := sidecar.reload(r.sidecarConfig(i)); err != nil {
			return fmt.Errorf("sidecar %s: %w", sidecar.name, err)
		}
	}
	return nil
}

package sim

import (
	"fmt"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
)

const (
	tickInterval    = 50 * time.Millisecond
	wallClockOrigin = 1_700_000_000_000 // Unix milliseconds at the plan's start
	monotonicOrigin = time.Hour         // of the sidecars' monotonic clocks
	maxPending      = 256               // datagrams that wait for a process that stands still
)

// Sidecar is one sidecar of the played fleet.
type Sidecar struct {
	Name        string
	Index       int
	Machine     *gossip.Machine // nil: killed
	Incarnation uint64          // counts up
	fleet       *Fleet
	pending     []func()
	rowVersions map[string]uint64 // written in this life, by server
	epoch       int
	address     string
	predecessor *Sidecar // the process that this one replaces, as long as it lives; nil: there is none
}

func sidecarAddress(i int) string { return fmt.Sprintf("a%d", i) }

// isSuspended tells whether a process stands still.
func (s *Sidecar) isSuspended() bool {
	return slices.ContainsFunc(s.fleet.Plan.Faults, func(fault faultplan.Fault) bool {
		return fault.Kind == faultplan.Suspend && s.fleet.now >= fault.At && s.fleet.now < fault.At+fault.Duration && slices.Contains(fault.From, s.Index)
	})
}

// isKilled tells whether a process is down by the plan.
func (s *Sidecar) isKilled() bool {
	return slices.ContainsFunc(s.fleet.Plan.Faults, func(fault faultplan.Fault) bool {
		return fault.Kind == faultplan.Kill && s.fleet.now >= fault.At && s.fleet.now < fault.At+fault.Duration && slices.Contains(fault.From, s.Index)
	})
}

// Clock is the sidecar's time.
func (s *Sidecar) Clock() replication.Now {
	now := s.fleet.now
	return replication.Now{Time: monotonicOrigin + now, Wall: wallClockOrigin + (now + s.fleet.Plan.ClockOffset(now, s.Index)).Milliseconds()}
}

func (s *Sidecar) start() {
	if s.Machine != nil || s.isKilled() {
		return
	}
	s.Incarnation++
	s.startProcess(nil)
}

// upgrade has another process take this one's place. The two overlap for a time.
func (s *Sidecar) upgrade(overlap time.Duration) {
	fleet := s.fleet
	if s.Machine == nil || s.predecessor != nil {
		return
	}
	predecessor := *s
	s.predecessor, s.pending = &predecessor, nil
	fleet.processes[predecessor.address] = s.predecessor
	if s.address = sidecarAddress(s.Index); s.address == predecessor.address {
		s.address += "b"
	}
	fleet.processes[s.address] = s
	s.startProcess([]string{predecessor.address})
	s.predecessor.tick(s.predecessor.epoch)
	fleet.schedule(fleet.now+overlap, func() {
		if s.predecessor == &predecessor && predecessor.Machine != nil {
			predecessor.Machine.Leave(predecessor.Clock())
			predecessor.performActions()
		}
		if predecessor.Machine = nil; s.predecessor == &predecessor {
			s.predecessor = nil
		}
	})
}

// startProcess starts a process, which takes the place of those at some addresses.
func (s *Sidecar) startProcess(predecessors []string) {
	fleet := s.fleet
	var peers []string
	for i := range min(fleet.options.SeedPeers, fleet.Plan.Sidecars) {
		peers = append(peers, sidecarAddress(i))
	}
	s.epoch++
	s.rowVersions = map[string]uint64{}
	now := s.Clock()
	s.Machine = gossip.New(now, gossip.Settings{Label: "lab", Predecessors: predecessors, Membership: membership.Settings{Name: s.Name, Address: s.address,
		Peers: peers, Seed: fleet.Plan.Seed, IncarnationNonce: fleet.rng.Uint64() | 1, IncarnationNumber: uint64(max(now.Wall, 1))}}, nil)
	s.tick(s.epoch)
}

func (s *Sidecar) kill() {
	if s.Machine == nil {
		return
	}
	s.Machine, s.pending = nil, nil
	if s.predecessor != nil {
		s.predecessor.Machine = nil
		s.predecessor = nil
	}
	for _, ack := range s.fleet.Record.OperatorCalls {
		dot := s.fleet.callDots[ack.ID]
		if !slices.ContainsFunc(s.fleet.Sidecars, func(other *Sidecar) bool { return other.hasCall(ack.Server, dot) }) {
			s.fleet.Record.LostCalls[ack.ID] = true
		}
	}
}

func (s *Sidecar) tick(epoch int) {
	if s.Machine == nil || s.epoch != epoch {
		return
	}
	if !s.isSuspended() {
		s.Machine.Tick(s.Clock())
		s.performActions()
	}
	s.fleet.schedule(s.fleet.now+tickInterval, func() { s.tick(epoch) })
}

// execute has the process do something, or once it goes on.
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

// resume goes on with what has waited.
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

// performActions carries out what the machine asks for.
func (s *Sidecar) performActions() {
	fleet := s.fleet
	actions := s.Machine.TakeActions()
	for _, datagram := range actions.Send {
		receiver := fleet.processes[datagram.To]
		if receiver == nil {
			continue
		}
		condition := fleet.Plan.LinkCondition(fleet.now, s.Index, receiver.Index)
		fleet.Sent++
		if condition.Cut || fleet.rng.Float64() < condition.Drop {
			fleet.Lost++
			continue
		}
		copies := 1
		if fleet.rng.Float64() < condition.Duplicate {
			copies = 2
		}
		for range copies {
			fleet.transmit(s, receiver, condition, datagram.Payload)
		}
	}
	for _, from := range actions.Fetch {
		s.fetchSnapshot(from)
	}
	if len(actions.Updated) > 0 {
		s.recordDeliveries()
	}
}

package sim

import (
	"fmt"
	"time"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/membership"
)

const (
	fleetLabel = "lab"
	// upgradedSuffix is appended to a sidecar's first address to form its second. Upgrades alternate between the two.
	upgradedSuffix = "b"
)

// Sidecar is one sidecar of the fleet: its current process and, during an upgrade, the process that is replaced.
type Sidecar struct {
	Name        string
	Index       int
	Machine     *gossip.Machine // nil: no process runs
	Incarnation uint64          // number of starts so far, not counting upgrades
	fleet       *Fleet
	pending     []func()          // actions queued while the process is suspended
	rowVersions map[string]uint64 // by server, of the rows written by this process
	epoch       int               // number of processes started so far, including upgrades
	address     string            // of the current process
	predecessor *Sidecar          // the process being replaced, while both run; otherwise nil
}

// sidecarName returns the name of the sidecar with the given index in the plan.
func sidecarName(index int) string { return fmt.Sprintf("n%d", index) }

// sidecarAddress returns the first address of the sidecar with the given index in the plan.
func sidecarAddress(index int) string { return fmt.Sprintf("a%d", index) }

// start starts a new incarnation, unless one runs or a Kill fault is active.
func (s *Sidecar) start() {
	if s.Machine != nil || s.isKilled() {
		return
	}
	s.Incarnation++
	s.startProcess(nil)
}

// kill ends the sidecar's processes without a graceful leave.
func (s *Sidecar) kill() {
	if s.Machine == nil {
		return
	}
	s.Machine = nil
	s.pending = nil
	if s.predecessor != nil {
		s.predecessor.Machine = nil
		s.predecessor = nil
	}
	s.fleet.recordLostCalls()
}

// upgrade replaces the process with a new one. Both run during the overlap; the predecessor then leaves the fleet.
func (s *Sidecar) upgrade(overlap time.Duration) {
	if s.Machine == nil || s.predecessor != nil {
		return
	}
	replaced := *s
	predecessor := &replaced
	s.predecessor = predecessor
	s.pending = nil
	s.fleet.processes[predecessor.address] = predecessor
	s.address = s.otherAddress()
	s.fleet.processes[s.address] = s
	s.startProcess([]string{predecessor.address})
	predecessor.tick(predecessor.epoch)
	s.fleet.scheduler.after(overlap, func() { s.endUpgrade(predecessor) })
}

// endUpgrade ends the predecessor's process. The predecessor leaves the fleet first, unless the sidecar was killed
// meanwhile.
func (s *Sidecar) endUpgrade(predecessor *Sidecar) {
	overlaps := s.predecessor == predecessor
	if overlaps && predecessor.Machine != nil {
		predecessor.Machine.Leave(predecessor.Clock())
		predecessor.performActions()
	}
	predecessor.Machine = nil
	if overlaps {
		s.predecessor = nil
	}
}

// otherAddress returns the sidecar's address that its current process does not use.
func (s *Sidecar) otherAddress() string {
	first := sidecarAddress(s.Index)
	if s.address == first {
		return first + upgradedSuffix
	}
	return first
}

// startProcess starts a process that replaces the processes at the predecessors' addresses.
func (s *Sidecar) startProcess(predecessors []string) {
	s.epoch++
	s.rowVersions = map[string]uint64{}
	now := s.Clock()
	settings := gossip.Settings{
		Label:        fleetLabel,
		Predecessors: predecessors,
		Membership: membership.Settings{
			Name:              s.Name,
			Address:           s.address,
			Peers:             s.fleet.seedAddresses(),
			Seed:              s.fleet.Plan.Seed,
			IncarnationNonce:  s.fleet.rng.Uint64() | 1, // never 0
			IncarnationNumber: uint64(max(now.Wall, 1)),
		},
	}
	s.Machine = gossip.New(now, settings, nil)
	s.tick(s.epoch)
}

// seedAddresses returns the peer addresses in every sidecar's configuration.
func (f *Fleet) seedAddresses() (addresses []string) {
	for i := range min(f.options.SeedPeers, f.Plan.Sidecars) {
		addresses = append(addresses, sidecarAddress(i))
	}
	return addresses
}

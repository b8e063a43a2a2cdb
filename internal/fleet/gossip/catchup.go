package gossip

import (
	"fmt"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

const (
	fetchInterval         = 250 * time.Millisecond // between two rounds of snapshot requests while catching up
	isolatedFetchInterval = time.Second            // the same while isolated
	fetchFanout           = 3                      // members requested at once, not counting predecessors
)

// Phase is a member's progress in catching up with the fleet's state.
type Phase uint8

// The phases of catching up.
const (
	CatchingUp   Phase = iota // fetches snapshots
	Synced                    // holds the fleet's state
	Bootstrapped              // no member holds any state: all have just started
	Isolated                  // no synced member responded in time; uses its own state and continues to fetch
	numPhases
)

var phaseNames = [numPhases]string{"catching up", "whole", "fresh", "alone"}

// String implements fmt.Stringer.
func (p Phase) String() string {
	if p < numPhases {
		return phaseNames[p]
	}
	return fmt.Sprintf("phase %d", uint8(p))
}

// Phase returns the current phase and the time at which it was entered.
func (m *Machine) Phase() (Phase, Time) { return m.phase, m.phaseSince }

func (m *Machine) enterPhase(now Time, p Phase) {
	m.phase, m.phaseSince = p, now
	if p == CatchingUp {
		clear(m.unsynced)
		m.nextFetch, m.syncedResponse = now, false
	} else {
		m.Members.MarkJoined()
	}
	m.actions.Phases = append(m.actions.Phases, p)
}

// requestSnapshots requests snapshots at intervals while the machine is in phase CatchingUp or Isolated: until a synced
// member has responded, or all seeds (CatchingUp) or all present members (Isolated) have responded as not synced.
func (m *Machine) requestSnapshots(now replication.Now) {
	if m.phase == CatchingUp && now.Time-m.phaseSince >= m.settings.CatchUpTimeout {
		m.endCatchUp(now.Time)
		return
	}
	if m.phase != CatchingUp && m.phase != Isolated || now.Time < m.nextFetch {
		return
	}
	m.nextFetch = now.Time + fetchInterval
	if m.phase == Isolated {
		m.nextFetch = now.Time + isolatedFetchInterval
	}
	for _, address := range m.fetchTargets() {
		m.counters.SnapshotsRequested++
		m.actions.Fetch = append(m.actions.Fetch, address)
	}
}

// endCatchUp ends the phase CatchingUp after its timeout. The next phase is Synced if a synced member has responded and
// only responses of predecessors are missing, otherwise Isolated.
func (m *Machine) endCatchUp(now Time) {
	m.predecessors = nil
	if m.syncedResponse {
		m.enterPhase(now, Synced)
		return
	}
	m.enterPhase(now, Isolated)
	m.nextFetch = now + isolatedFetchInterval
}

// fetchTargets returns the addresses of all awaited predecessors and of some random seeds and present members.
func (m *Machine) fetchTargets() []string {
	addresses := slices.Clone(m.settings.Membership.Peers)
	for _, member := range m.Members.Members() {
		if member.Present() {
			addresses = append(addresses, member.Address)
		}
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == m.settings.Membership.Address })
	m.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return slices.Concat(m.predecessors, addresses[:min(len(addresses), fetchFanout)])
}

// ReceiveSnapshot handles the snapshot that was fetched from an address, or the error of the fetch. It returns that
// error, or one that wraps ErrForeign or ErrMalformed.
func (m *Machine) ReceiveSnapshot(now replication.Now, from string, encoded []byte, fetchErr error) error {
	fromPredecessor := slices.Contains(m.predecessors, from)
	m.predecessors = slices.DeleteFunc(m.predecessors, func(a string) bool { return a == from })
	if fetchErr != nil {
		if fromPredecessor { // this response is no longer awaited; a synced member may have responded before
			m.advancePhase(now, "", false)
		}
		return fetchErr
	}
	if fromPredecessor { // notifies the predecessor, which then forwards the items that it still receives
		m.send(now.Time, from, Packet{})
	}
	s, err := DecodeSnapshot(encoded, m.settings.Label)
	if err != nil {
		m.counters.Malformed++
		return err
	}
	m.mergeMembers(now, s.From, s.Members)
	m.mergeItems(now, s.Items, s.From.Name)
	m.flushMembership(now, membership.Member{})
	m.advancePhase(now, from, s.Synced)
	return nil
}

// advancePhase enters the next phase if its conditions hold. from is the address that has responded, or "", and synced
// reports whether the member there is synced.
func (m *Machine) advancePhase(now replication.Now, from string, synced bool) {
	if m.phase != CatchingUp && m.phase != Isolated {
		return
	}
	if from != "" {
		m.unsynced[from] = !synced
	}
	m.syncedResponse = m.syncedResponse || synced
	if len(m.predecessors) > 0 {
		return
	}
	switch {
	case m.syncedResponse:
		m.enterPhase(now.Time, Synced)
	case m.phase == CatchingUp && m.allSeedsUnsynced():
		m.enterPhase(now.Time, Bootstrapped)
	case m.phase == Isolated && m.allPresentUnsynced():
		m.enterPhase(now.Time, Synced) // no present member holds more state
	}
}

// allSeedsUnsynced reports whether all seeds have responded and none of them is synced. A seed that has not responded
// may hold the fleet's state.
func (m *Machine) allSeedsUnsynced() bool {
	return !slices.ContainsFunc(m.settings.Membership.Peers, func(address string) bool {
		return address != m.settings.Membership.Address && !m.unsynced[address]
	})
}

// allPresentUnsynced reports whether all other present members have responded, none of them is synced, and there is at
// least one.
func (m *Machine) allPresentUnsynced() bool {
	present := 0
	for _, member := range m.Members.Members() {
		if !member.Present() {
			continue
		}
		if !m.unsynced[member.Address] {
			return false
		}
		present++
	}
	return present > 0
}

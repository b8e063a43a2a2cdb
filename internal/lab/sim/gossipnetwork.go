package sim

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"milletramp.example/milletramp/internal/fleet/gossip"
)

// addressPrefix is the prefix of a sidecar's address. The sidecar's index follows it.
const addressPrefix = "a"

// snapshotTimeout is the time after which a snapshot fetch fails.
const snapshotTimeout = time.Second

var errNoSnapshot = errors.New("snapshot fetch timed out")

func memberAddress(index int32) string { return fmt.Sprintf("%s%d", addressPrefix, index) }

// memberAt returns the member at an address, or nil if no sidecar runs there.
func (s *simulation) memberAt(address string) *member {
	i, err := strconv.Atoi(strings.TrimPrefix(address, addressPrefix))
	if err != nil || i < 0 || i >= len(s.sidecars) || s.sidecars[i].down {
		return nil
	}
	return s.sidecars[i].member
}

// send sends a datagram. The simulated network may drop it.
func (m *member) send(datagram gossip.Datagram) {
	s := m.sidecar.simulation
	sent := &s.options.Fleet.Sent
	sent.Messages++
	sent.Bytes += uint64(len(datagram.Payload))
	if to := s.memberAt(datagram.To); to != nil && m.reaches(to) {
		s.scheduleAfter(m.drawDelay(to), datagramArrived{from: m, to: to, payload: datagram.Payload})
	}
}

// datagramArrived is the event that a datagram arrives at a member.
type datagramArrived struct {
	from, to *member
	payload  []byte
}

// handle ignores the error of Receive, as the gossip state machine counts datagrams that it cannot decode.
func (e datagramArrived) handle(*simulation) {
	if !e.to.isCurrent() {
		return
	}
	_ = e.to.machine.Receive(e.to.now(), memberAddress(e.from.sidecar.index), e.payload)
	e.to.performActions()
}

// reaches reports whether a message to another member is delivered. It draws a random number for message loss.
func (m *member) reaches(to *member) bool {
	s, fleet := m.sidecar.simulation, m.sidecar.simulation.options.Fleet
	cut := s.network.isCut(m.sidecar.zone, to.sidecar.zone)
	if fleet.LinkCut != nil {
		cut = fleet.LinkCut(s.now, int(m.sidecar.index), int(to.sidecar.index))
	}
	return !cut && m.random.Float64() >= fleet.DropShare
}

// drawDelay draws a random one-way delay of a message to another member.
func (m *member) drawDelay(to *member) time.Duration {
	return m.sidecar.simulation.network.drawDelay(m.sidecar.zone, to.sidecar.zone, m.random)
}

// snapshotFetch is a member's fetch of a snapshot from another member.
type snapshotFetch struct {
	member   *member
	address  string // address of the other member
	finished bool
}

// fetchSnapshot starts a fetch of the snapshot of the member at an address.
func (m *member) fetchSnapshot(address string) {
	s := m.sidecar.simulation
	fetch := &snapshotFetch{member: m, address: address}
	s.scheduleAfter(snapshotTimeout, snapshotTimedOut{fetch})
	if from := s.memberAt(address); from != nil && m.reaches(from) {
		s.scheduleAfter(m.drawDelay(from), snapshotRequested{fetch, from})
	}
}

// finish passes the snapshot or the error to the gossip state machine, unless the fetch has already finished. The error
// of ReceiveSnapshot is ignored, as the state machine counts snapshots that it cannot decode.
func (f *snapshotFetch) finish(encoded []byte, fetchErr error) {
	m := f.member
	if f.finished || !m.isCurrent() {
		return
	}
	f.finished = true
	_ = m.machine.ReceiveSnapshot(m.now(), f.address, encoded, fetchErr)
	m.performActions()
}

// snapshotTimedOut is the event that a snapshot fetch times out.
type snapshotTimedOut struct{ fetch *snapshotFetch }

func (e snapshotTimedOut) handle(*simulation) { e.fetch.finish(nil, errNoSnapshot) }

// snapshotRequested is the event that a snapshot request arrives at the member that serves it.
type snapshotRequested struct {
	fetch *snapshotFetch
	from  *member
}

func (e snapshotRequested) handle(s *simulation) {
	if !e.from.isCurrent() {
		return
	}
	encoded, err := e.from.machine.EncodeSnapshot(e.from.now())
	if err != nil || !e.from.reaches(e.fetch.member) {
		return
	}
	s.scheduleAfter(e.fetch.member.drawDelay(e.from), snapshotArrived{e.fetch, encoded})
}

// snapshotArrived is the event that a snapshot arrives at the member that requested it.
type snapshotArrived struct {
	fetch   *snapshotFetch
	encoded []byte
}

func (e snapshotArrived) handle(*simulation) { e.fetch.finish(e.encoded, nil) }

package gossip

import (
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// TestCatchUpPhases checks that a member is synced after it received the snapshot of a synced member, bootstrapped if
// all members have just started, and isolated if none responds. It must catch up again after a stall, and after others
// have considered it dead.
func TestCatchUpPhases(t *testing.T) {
	now := start
	all := newSyncedTrio(t, &now)
	expectPhase(t, all[0], Bootstrapped, 0)
	recordCall(t, all[0], now, "s", true)
	joiner := newMachine(now, 3, "a0", "a1", "a2")
	joiner.Tick(now)
	expectPhase(t, joiner, CatchingUp, 0)
	exchange(t, now, append(all, joiner)...)
	expectPhase(t, joiner, Synced, 1)

	isolated := newMachine(now, 4, "a7", "a8")
	run(t, &now, defaultCatchUpTimeout+100*time.Millisecond, isolated)
	expectPhase(t, isolated, Isolated, 0)

	advance(&now, time.Minute)
	joiner.Tick(now)
	expectPhase(t, joiner, CatchingUp, 1)
	exchange(t, now, append(all, joiner)...)
	expectPhase(t, joiner, Synced, 1)

	self, _ := joiner.Members.Self()
	self.State = membership.Dead
	from, _ := all[0].Members.Self()
	packet := Packet{Format: Format, Label: "test", From: from, Members: []membership.Member{self}}
	if err := joiner.Receive(now, "a0", encodePacket(t, packet)); err != nil {
		t.Fatal(err)
	}
	expectPhase(t, joiner, CatchingUp, 1)
}

// TestIsolatedMembersSync checks that the snapshot of an isolated member is not marked as synced, and that two isolated
// members become synced once they have contacted each other, although one of their seeds never responds.
func TestIsolatedMembersSync(t *testing.T) {
	now := start
	first := newMachine(now, 0, "a9")
	run(t, &now, 5*time.Second, first)
	expectPhase(t, first, Isolated, 0)
	if s, err := DecodeSnapshot(encodeSnapshot(t, first, now), "test"); err != nil || s.Synced {
		t.Errorf("isolated member's snapshot is synced: %v, error %v", s.Synced, err)
	}
	recordCall(t, first, now, "s-1", true)
	second := newMachine(now, 1, "a0", "a9")
	run(t, &now, time.Second, first, second)
	if p, _ := second.Phase(); p != CatchingUp {
		t.Errorf("phase %v before the timeout, want catching up", p)
	}
	run(t, &now, 10*time.Second, first, second)
	expectPhase(t, first, Synced, 1)
	expectPhase(t, second, Synced, 1)
}

// expectPhase fails the test unless a machine is in the wanted phase and has the wanted number of servers
// administratively down.
func expectPhase(t testing.TB, m *Machine, want Phase, wantDown int) {
	t.Helper()
	if p, _ := m.Phase(); p != want || len(m.Store.AdminDown()) != wantDown {
		t.Errorf("phase %v with servers %v administratively down, want phase %v with %d servers", p, m.Store.AdminDown(), want, wantDown)
	}
}

// encodeSnapshot returns the encoded snapshot of a machine.
func encodeSnapshot(t testing.TB, m *Machine, now replication.Now) []byte {
	t.Helper()
	encoded, err := m.EncodeSnapshot(now)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// newSuccessor returns a machine that replaces the one at a0 and has a1 as its seed.
func newSuccessor(now replication.Now, address string, number uint64) *Machine {
	return New(now, Settings{Label: "test", Predecessors: []string{"a0"}, Membership: membership.Settings{
		Name:              "n0",
		Address:           address,
		Peers:             []string{"a1"},
		IncarnationNonce:  number,
		IncarnationNumber: number,
	}}, nil)
}

// TestSuccessorWaitsForPredecessor checks that a successor waits for its predecessor's snapshot although another member
// has responded, and that the predecessor forwards the items that it receives afterwards, until it ends.
func TestSuccessorWaitsForPredecessor(t *testing.T) {
	now := start
	predecessor, third := newMachine(now, 0), newMachine(now, 1)
	recordCall(t, predecessor, now, "s-0", true) // not received by the third machine
	successor := newSuccessor(advance(&now, time.Second), "b0", 9)
	if err := successor.ReceiveSnapshot(now, "a1", encodeSnapshot(t, third, now), nil); err != nil {
		t.Fatal(err)
	}
	expectPhase(t, successor, CatchingUp, 0)
	successor.Tick(now)
	exchange(t, now, predecessor, successor)
	expectPhase(t, successor, Synced, 1)
	if _, ownsName := predecessor.Members.Self(); ownsName {
		t.Error("the predecessor still owns its name")
	}
	recordCall(t, third, now, "s-1", true)
	sendItem(t, now, third, predecessor, replication.Key{Kind: replication.KindAdmin, Server: "s-1"})
	exchange(t, now, predecessor, successor)
	expectPhase(t, successor, Synced, 2)
	predecessor.Leave(now)
	exchange(t, now, predecessor, successor)
	expectPhase(t, successor, Synced, 2)
}

// sendItem sends one item of a machine to another one, with a1 as the address of the sender.
func sendItem(t testing.TB, now replication.Now, from, to *Machine, key replication.Key) {
	t.Helper()
	item, ok := from.Store.Item(now, key)
	if !ok {
		t.Fatalf("sender has no item %+v", key)
	}
	encoded, err := encMode.Marshal(item)
	if err != nil {
		t.Fatal(err)
	}
	self, _ := from.Members.Self()
	packet := Packet{Format: Format, Label: "test", From: self, Items: []cbor.RawMessage{encoded}}
	if err := to.Receive(now, "a1", encodePacket(t, packet)); err != nil {
		t.Error(err)
	}
}

// TestSuccessorOfDeadPredecessor checks that a successor does not wait for a predecessor that has ended.
func TestSuccessorOfDeadPredecessor(t *testing.T) {
	now := start
	third := newMachine(now, 1)
	successor := newSuccessor(now, "c0", 10)
	if err := successor.ReceiveSnapshot(now, "a1", encodeSnapshot(t, third, now), nil); err != nil {
		t.Fatal(err)
	}
	expectPhase(t, successor, CatchingUp, 0)
	errFetch := errors.New("refused")
	if err := successor.ReceiveSnapshot(now, "a0", nil, errFetch); !errors.Is(err, errFetch) {
		t.Errorf("error %v, want the error of the failed fetch", err)
	}
	expectPhase(t, successor, Synced, 0)
}

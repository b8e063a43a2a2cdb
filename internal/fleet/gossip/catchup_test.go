package gossip

import (
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// TestCatchUpPhases: a member is synced with a synced one's snapshot, bootstrapped where all start anew and isolated
// where none answers. It catches up again after a stall, and when others have held it for dead.
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

// TestIsolatedMembersSync: an isolated member's snapshot is not a synced one, and two isolated members sync once they
// have found each other, though one of their seeds never answers.
func TestIsolatedMembersSync(t *testing.T) {
	now := start
	first := newMachine(now, 0, "a9")
	run(t, &now, 5*time.Second, first)
	expectPhase(t, first, Isolated, 0)
	if s, err := DecodeSnapshot(encodeSnapshot(t, first, now), "test"); err != nil || s.Synced {
		t.Errorf("snapshot is synced: %v, error %v", s.Synced, err)
	}
	recordCall(t, first, now, "s-1", true)
	second := newMachine(now, 1, "a0", "a9")
	run(t, &now, time.Second, first, second)
	if p, _ := second.Phase(); p != CatchingUp {
		t.Errorf("phase %v before the timeout", p)
	}
	run(t, &now, 10*time.Second, first, second)
	expectPhase(t, first, Synced, 1)
	expectPhase(t, second, Synced, 1)
}

// expectPhase fails unless a machine is in a phase and has some servers administratively down.
func expectPhase(t testing.TB, m *Machine, want Phase, wantDown int) {
	t.Helper()
	if p, _ := m.Phase(); p != want || len(m.Store.AdminDown()) != wantDown {
		t.Errorf("phase %v with %v down, want %v with %d", p, m.Store.AdminDown(), want, wantDown)
	}
}

// encodeSnapshot returns a machine's snapshot.
func encodeSnapshot(t testing.TB, m *Machine, now replication.Now) []byte {
	t.Helper()
	encoded, err := m.EncodeSnapshot(now)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// newSuccessor returns a machine that replaces the one at a0, with a1 for a seed.
func newSuccessor(now replication.Now, address string, number uint64) *Machine {
	return New(now, Settings{Label: "test", Predecessors: []string{"a0"}, Membership: membership.Settings{
		Name:              "n0",
		Address:           address,
		Peers:             []string{"a1"},
		IncarnationNonce:  number,
		IncarnationNumber: number,
	}}, nil)
}

// TestSuccessorWaitsForPredecessor: a successor waits for its predecessor's snapshot, though another member has
// answered, and the predecessor forwards what it receives afterwards, until it ends.
func TestSuccessorWaitsForPredecessor(t *testing.T) {
	now := start
	predecessor, third := newMachine(now, 0), newMachine(now, 1)
	recordCall(t, predecessor, now, "s-0", true) // the third has not received it
	successor := newSuccessor(advance(&now, time.Second), "b0", 9)
	if err := successor.ReceiveSnapshot(now, "a1", encodeSnapshot(t, third, now), nil); err != nil {
		t.Fatal(err)
	}
	expectPhase(t, successor, CatchingUp, 0)
	successor.Tick(now)
	exchange(t, now, predecessor, successor)
	expectPhase(t, successor, Synced, 1)
	if _, ownsName := predecessor.Members.Self(); ownsName {
		t.Error("the predecessor does not know that it is superseded")
	}
	recordCall(t, third, now, "s-1", true)
	sendItem(t, now, third, predecessor, replication.Key{Kind: replication.KindAdmin, Server: "s-1"})
	exchange(t, now, predecessor, successor)
	expectPhase(t, successor, Synced, 2)
	predecessor.Leave(now)
	exchange(t, now, predecessor, successor)
	expectPhase(t, successor, Synced, 2)
}

// sendItem passes one item of the machine at a1 to another one.
func sendItem(t testing.TB, now replication.Now, from, to *Machine, key replication.Key) {
	t.Helper()
	item, ok := from.Store.Item(now, key)
	if !ok {
		t.Fatalf("no item %+v", key)
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

// TestSuccessorOfDeadPredecessor: a predecessor that has ended is not waited for.
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
		t.Errorf("error %v of a failed fetch", err)
	}
	expectPhase(t, successor, Synced, 0)
}

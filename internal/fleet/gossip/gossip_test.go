package gossip

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"milletramp.example/milletramp/internal/fleet/failuredetector"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// start is the time at which tests begin.
var start = replication.Now{Time: time.Hour, Wall: 1_700_000_000_000}

func newMachine(now replication.Now, i int, peers ...string) *Machine {
	return New(now, Settings{Label: "test", Membership: membership.Settings{Name: fmt.Sprint("n", i), Address: fmt.Sprint("a", i),
		Peers: peers, LifeNonce: uint64(i + 1)}}, nil)
}

// exchange carries out what machines ask for, at once, until they have nothing more to say.
func exchange(t testing.TB, now replication.Now, all ...*Machine) (held []Confirmation) {
	t.Helper()
	held, _ = exchangeAll(t, now, all...)
	return held
}

// exchangeAll also returns who is asked to speak, and how often.
func exchangeAll(t testing.TB, now replication.Now, all ...*Machine) (held []Confirmation, spoke map[string]int) {
	t.Helper()
	spoke = map[string]int{}
	at := func(address string) *Machine {
		for _, m := range all {
			if self, _ := m.Members.Self(); self.Address == address {
				return m
			}
		}
		return nil
	}
	for busy := true; busy; {
		busy = false
		for _, m := range all {
			self, _ := m.Members.Self()
			out := m.TakeActions()
			held = append(held, out.Confirmations...)
			spoke[self.Name] += len(out.ReportServers)
			for _, d := range out.Send {
				if to := at(d.To); to != nil {
					busy = true
					if err := to.Receive(now, self.Address, d.Payload); err != nil {
						t.Error(err)
					}
				}
			}
			for _, from := range out.Fetch {
				if o := at(from); o != nil {
					busy = true
					text, err := o.EncodeSnapshot(now)
					if err := m.ReceiveSnapshot(now, from, text, err); err != nil {
						t.Error(err)
					}
				}
			}
		}
	}
	return held, spoke
}

func advance(now *replication.Now, d time.Duration) replication.Now {
	now.Time += d
	now.Wall += d.Milliseconds()
	return *now
}

// run ticks machines for some time.
func run(t testing.TB, now *replication.Now, d time.Duration, all ...*Machine) (held []Confirmation) {
	t.Helper()
	for end := now.Time + d; now.Time < end; advance(now, 50*time.Millisecond) {
		for _, m := range all {
			m.Tick(*now)
		}
		held = append(held, exchange(t, *now, all...)...)
	}
	return held
}

func newSyncedTrio(t testing.TB, now *replication.Now) []*Machine {
	t.Helper()
	var all []*Machine
	for i := range 3 {
		all = append(all, newMachine(*now, i, "a0", "a1", "a2"))
	}
	run(t, now, 10*time.Second, all...)
	for _, m := range all {
		if p, _ := m.Phase(); m.Members.NumPresent() != 3 || p == CatchingUp || p == Isolated {
			t.Fatalf("%d members, phase %v", m.Members.NumPresent(), p)
		}
	}
	return all
}

func recordCall(t testing.TB, m *Machine, now replication.Now, server string, out bool) replication.Key {
	t.Helper()
	key, err := m.Store.RecordCall(now, server, out)
	if err != nil {
		t.Fatal(err)
	}
	m.Broadcast(key)
	return key
}

// TestConfirmCountsHolders: a yes to the staff waits until others hold the call, and says so where nobody does.
func TestConfirmCountsHolders(t *testing.T) {
	now := start
	all := newSyncedTrio(t, &now)
	key := recordCall(t, all[0], now, "s", true)
	all[0].Confirm(now, key)
	held := exchange(t, now, all...)
	if len(held) != 1 || held[0].Holders != 2 {
		t.Errorf("held %+v, want by two others", held)
	}
	for _, m := range all {
		if len(m.Store.AdminDown()) != 1 {
			t.Errorf("out %v", m.Store.AdminDown())
		}
	}
	key = recordCall(t, all[0], now, "r", true)
	all[0].Confirm(now, key)
	held = run(t, &now, time.Second, all[0]) // nobody hears it
	if len(held) != 1 || held[0].Holders != 0 || held[0].Asked == 0 {
		t.Errorf("held %+v, want by nobody of those asked", held)
	}
	alone := newMachine(now, 9)
	alone.Confirm(now, recordCall(t, alone, now, "r", true))
	if held := exchange(t, now, alone); len(held) != 1 || held[0].Asked != 0 {
		t.Errorf("held %+v, want nobody asked", held)
	}
}

// TestCatchUpPhases: a sidecar is whole with a whole one's snapshot, fresh where most start anew, alone where nobody answers; and
// catches up again when it stood still or was buried.
func TestCatchUpPhases(t *testing.T) {
	now := start
	all := newSyncedTrio(t, &now)
	if p, _ := all[0].Phase(); p != Bootstrapped {
		t.Errorf("phase %v of three that started together", p)
	}
	recordCall(t, all[0], now, "s", true)
	last := newMachine(now, 3, "a0", "a1", "a2")
	last.Tick(now)
	if p, _ := last.Phase(); p != CatchingUp {
		t.Errorf("phase %v before anybody has answered", p)
	}
	exchange(t, now, append(all, last)...)
	if p, _ := last.Phase(); p != Synced || len(last.Store.AdminDown()) != 1 {
		t.Errorf("phase %v, out %v with a snapshot", p, last.Store.AdminDown())
	}
	lost := newMachine(now, 4, "a7", "a8")
	run(t, &now, defaultCatchUpTimeout+100*time.Millisecond, lost)
	if p, _ := lost.Phase(); p != Isolated {
		t.Errorf("phase %v where nobody answers", p)
	}
	advance(&now, time.Minute)
	last.Tick(now)
	if p, _ := last.Phase(); p != CatchingUp {
		t.Errorf("phase %v after standing still for a minute", p)
	}
	exchange(t, now, append(all, last)...)
	if p, _ := last.Phase(); p != Synced {
		t.Errorf("phase %v when it goes on", p)
	}
	self, _ := last.Members.Self()
	self.State = membership.Dead
	from, _ := all[0].Members.Self()
	text, err := Packet{Format: Format, Label: "test", From: from, Members: []membership.Member{self}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := last.Receive(now, "a0", text); err != nil {
		t.Fatal(err)
	}
	if p, _ := last.Phase(); p != CatchingUp {
		t.Errorf("phase %v when it hears that it was buried", p)
	}
}

// TestAntiEntropyRecoversMissed: what no news has brought is found by the sums.
func TestAntiEntropyRecoversMissed(t *testing.T) {
	now := start
	all := newSyncedTrio(t, &now)
	for i := range 40 {
		if _, err := all[1].Store.RecordCall(now, fmt.Sprint("s-", i), true); err != nil { // and nobody is told
			t.Fatal(err)
		}
	}
	run(t, &now, 15*time.Second, all...)
	for i, m := range all {
		if n := len(m.Store.AdminDown()); n != 40 {
			t.Errorf("copy %d has %d of 40", i, n)
		}
	}
	for _, l := range all[0].Divergences(now.Time) {
		if !l.Known || !l.Equal {
			t.Errorf("lag %+v", l)
		}
	}
	if all[0].Figures().Recovered == 0 {
		t.Error("nothing was counted as found")
	}
}

// TestForeignPacketsAreRejected passes over what is of another fleet, format, or nobody's, and counts it.
func TestForeignPacketsAreRejected(t *testing.T) {
	now := start
	m := newMachine(now, 0)
	member := membership.Member{Name: "x", Address: "ax", Life: membership.Life{Number: 1, Nonce: 1}}
	for name, p := range map[string]Packet{
		"another fleet": {Format: Format, Label: "other", From: member}, "a newer format": {Format: Format + 1, Label: "test", From: member},
	} {
		text, err := p.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if err := m.Receive(now, "ax", text); !errors.Is(err, ErrForeign) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	nobody, err := Packet{Format: Format, Label: "test"}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"of nobody": nobody, "nothing": nil, "garbage": []byte(strings.Repeat("x", 300)),
		"too long": make([]byte, MaxPacketBytes+1), "a million members": {0x9b, 0, 0, 0, 0, 0, 0x0f, 0x42, 0x40}} {
		if err := m.Receive(now, "ax", text); err == nil {
			t.Errorf("%s was taken", name)
		}
	}
	if f := m.Figures(); f.Foreign != 2 || f.Malformed != 5 || f.Received != 0 || m.Members.NumPresent() != 1 {
		t.Errorf("figures %+v, %d members", f, m.Members.NumPresent())
	}
}

// TestSendRateIsBounded has one sidecar hold, and be told, far more than it may send: the bound holds in every second.
func TestSendRateIsBounded(t *testing.T) {
	now := start
	all := newSyncedTrio(t, &now)
	for i := range 3 {
		all = append(all, newMachine(now, 3+i, "a0", "a1", "a2"))
	}
	run(t, &now, 10*time.Second, all...)
	var seconds []uint64
	for range 10 {
		before := all[0].Figures().Bytes
		for range 20 {
			for i := range 60 {
				key, err := all[0].Store.WriteRow(now, fmt.Sprint("s-", i), 0, replication.Evidence{Tries: 9, Silent: 9})
				if err != nil {
					t.Fatal(err)
				}
				all[0].Broadcast(key)
			}
			run(t, &now, 50*time.Millisecond, all...)
		}
		seconds = append(seconds, all[0].Figures().Bytes-before)
	}
	for i, n := range seconds {
		if most := float64(MaxBytesPerSecond + maxBurstBytes + 10*MaxPacketBytes); float64(n) > most { // and ten probes and answers
			t.Errorf("%d bytes in second %d, %.0f are allowed", n, i, most)
		}
	}
	if all[0].Figures().Throttled == 0 {
		t.Error("nothing was held back, so nothing was tested")
	}
}

// FuzzReceive takes in anything as a datagram and as a snapshot: nothing panics, and nothing comes of what is no message.
func FuzzReceive(f *testing.F) {
	member := membership.Member{Name: "x", Address: "ax", Life: membership.Life{Number: 1, Nonce: 1}}
	for _, p := range []Packet{
		{Format: Format, Label: "test", From: member, Probe: &membership.Message{Kind: membership.Ping, Seq: math.MaxUint64}},
		{Format: Format, Label: "test", From: member, WantMissing: &replication.Digest{}, Sums: &[replication.NumKinds]uint64{1}},
	} {
		text, err := p.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	now := start
	m := newMachine(now, 1)
	recordCall(f, m, now, "s", true)
	text, err := m.EncodeSnapshot(now)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add(bytes.Repeat([]byte{0x81}, 500))
	f.Fuzz(func(t *testing.T, text []byte) {
		m := newMachine(now, 0)
		err := m.Receive(now, "ax", text)
		if err != nil && (m.Members.NumPresent() != 1 || len(m.Store.Keys()) != 0) {
			t.Errorf("something came of a datagram with error %v", err)
		}
		_ = m.ReceiveSnapshot(now, "ax", text, nil)
		for i := range 10 {
			m.Tick(replication.Now{Time: now.Time + time.Duration(i)*time.Second, Wall: now.Wall})
			m.TakeActions()
		}
	})
}

// TestQuorumOfNotesAsksForReports has sidecars note that a server's answers are late: those who wait at the same time are asked to speak, nobody
// else is, and nobody at all while answers still come.
func TestQuorumOfNotesAsksForReports(t *testing.T) {
	now := start
	var all []*Machine
	for i := range 8 {
		all = append(all, newMachine(now, i, "a0", "a1", "a2"))
	}
	run(t, &now, 10*time.Second, all...)
	asked := map[string]int{}
	note := func(i int, w failuredetector.NoteKind) {
		all[i].SendNote(now.Time, failuredetector.Note{Server: "s-1", Kind: w})
		_, spoke := exchangeAll(t, now, all...)
		for name, n := range spoke {
			asked[name] += n
		}
	}
	for _, i := range []int{0, 1, 2} {
		note(i, failuredetector.NoteLate)
	}
	note(0, failuredetector.NoteAnswered)
	for _, i := range []int{0, 1, 2} {
		note(i, failuredetector.NoteLate)
	}
	for name, n := range asked {
		if n > 0 {
			t.Errorf("three wait at the same time, and %s is asked", name)
		}
	}
	note(5, failuredetector.NoteLate)
	for i := range all {
		if want := i < 3 || i == 5; (asked[fmt.Sprint("n", i)] > 0) != want {
			t.Errorf("sidecar %d is asked %d times, wanted: %v", i, asked[fmt.Sprint("n", i)], want)
		}
	}
	for i := range 4 * MaxBytesPerSecond / 60 { // a flood of notes keeps to the bound
		all[0].SendNote(now.Time, failuredetector.Note{Server: fmt.Sprint("s-", i), Kind: failuredetector.NoteLate})
	}
	bytes := 0
	for _, d := range all[0].TakeActions().Send {
		bytes += len(d.Payload)
	}
	if bytes > maxBurstBytes+MaxPacketBytes {
		t.Errorf("%d bytes at once", bytes)
	}
}

// TestIsolatedMembersSync: one that found nobody in time does not vouch for its copy, and two that did are alone no more once they have
// found each other, though a peer in the file is never there.
func TestIsolatedMembersSync(t *testing.T) {
	now := start
	first := newMachine(now, 0, "a9")
	run(t, &now, 5*time.Second, first)
	if p, _ := first.Phase(); p != Isolated {
		t.Fatalf("phase %v, though nobody is there", p)
	}
	text, err := first.EncodeSnapshot(now)
	if err != nil {
		t.Fatal(err)
	}
	if s, err := DecodeSnapshot(text, "test"); err != nil || s.Synced {
		t.Errorf("vouches for its copy: %v, error %v", s.Synced, err)
	}
	recordCall(t, first, now, "s-1", true)
	second := newMachine(now, 1, "a0", "a9")
	run(t, &now, time.Second, first, second)
	if p, _ := second.Phase(); p != CatchingUp {
		t.Errorf("phase %v before the time is over", p)
	}
	run(t, &now, 10*time.Second, first, second)
	for i, m := range []*Machine{first, second} {
		if p, _ := m.Phase(); p != Synced || len(m.Store.AdminDown()) != 1 {
			t.Errorf("machine %d: phase %v, out %v", i, p, m.Store.AdminDown())
		}
	}
}

// TestPredecessorHandsStateOver: a process that takes another's place waits for what that one holds, though a third has answered, and gets what
// that one hears of until it ends.
func TestPredecessorHandsStateOver(t *testing.T) {
	now := start
	former, third := newMachine(now, 0), newMachine(now, 1)
	call := func(m *Machine, server string) {
		t.Helper()
		key, err := m.Store.RecordCall(now, server, true)
		if err != nil {
			t.Fatal(err)
		}
		m.Broadcast(key)
	}
	call(former, "s-0") // the third has not heard of it
	next := New(advance(&now, time.Second), Settings{Label: "test", Predecessors: []string{"a0"}, Membership: membership.Settings{Name: "n0", Address: "b0",
		Peers: []string{"a1"}, LifeNonce: 9, LifeNumber: 9}}, nil)
	text, err := third.EncodeSnapshot(now)
	if err != nil {
		t.Fatal(err)
	}
	if err := next.ReceiveSnapshot(now, "a1", text, nil); err != nil {
		t.Fatal(err)
	}
	if p, _ := next.Phase(); p != CatchingUp {
		t.Errorf("%v before the process that it replaces has answered", p)
	}
	next.Tick(now)
	exchange(t, now, former, next)
	if p, _ := next.Phase(); p != Synced || len(next.Store.AdminDown()) != 1 {
		t.Errorf("%v with %v out, the process that it replaces has answered", p, next.Store.AdminDown())
	}
	if _, bears := former.Members.Self(); bears {
		t.Error("the process that is replaced has not heard of it")
	}
	call(third, "s-1") // of which only the former one hears
	item, ok := third.Store.Item(now, replication.Key{Kind: replication.KindAdmin, Server: "s-1"})
	if !ok {
		t.Fatal("the third has no call")
	}
	piece, err := encMode.Marshal(item)
	if err != nil {
		t.Fatal(err)
	}
	self, _ := third.Members.Self()
	packet, err := Packet{Format: Format, Label: "test", From: self, Items: []cbor.RawMessage{piece}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := former.Receive(now, "a1", packet); err != nil {
		t.Error(err)
	}
	exchange(t, now, former, next)
	if len(next.Store.AdminDown()) != 2 {
		t.Errorf("%v out, want what the former process has heard as well", next.Store.AdminDown())
	}
	former.Leave(now)
	exchange(t, now, former, next)
	if len(next.Store.AdminDown()) != 2 {
		t.Errorf("%v out, want what the former process had as well", next.Store.AdminDown())
	}
	// One that is gone is not waited for.
	alone := New(now, Settings{Label: "test", Predecessors: []string{"a0"}, Membership: membership.Settings{Name: "n0", Address: "c0", Peers: []string{"a1"}, LifeNonce: 10, LifeNumber: 10}}, nil)
	if err := alone.ReceiveSnapshot(now, "a1", text, nil); err != nil {
		t.Fatal(err)
	}
	if err := alone.ReceiveSnapshot(now, "a0", nil, errors.New("refused")); err == nil {
		t.Error("a failed fetch passed for one")
	}
	if p, _ := alone.Phase(); p != Synced {
		t.Errorf("%v once the process that it replaces is gone", p)
	}
}

package gossip

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// start is the time at which tests begin.
var start = replication.Now{Time: time.Hour, Wall: 1_700_000_000_000}

func newMachine(now replication.Now, i int, seeds ...string) *Machine {
	return New(now, Settings{Label: "test", Membership: membership.Settings{
		Name:             fmt.Sprint("n", i),
		Address:          fmt.Sprint("a", i),
		Peers:            seeds,
		IncarnationNonce: uint64(i + 1),
	}}, nil)
}

// exchange carries out the actions of machines, in no time, until they have none left.
func exchange(t testing.TB, now replication.Now, all ...*Machine) []Confirmation {
	t.Helper()
	confirmations, _ := exchangeAll(t, now, all...)
	return confirmations
}

// exchangeAll also returns how many reports each machine is asked for, by name.
func exchangeAll(t testing.TB, now replication.Now, all ...*Machine) (
	confirmations []Confirmation, reports map[string]int,
) {
	t.Helper()
	reports = map[string]int{}
	for busy := true; busy; {
		busy = false
		for _, m := range all {
			self, _ := m.Members.Self()
			actions := m.TakeActions()
			confirmations = append(confirmations, actions.Confirmations...)
			reports[self.Name] += len(actions.ReportServers)
			delivered := deliver(t, now, self.Address, actions.Send, all)
			fetched := fetch(t, now, m, actions.Fetch, all)
			busy = busy || delivered || fetched
		}
	}
	return confirmations, reports
}

func machineAt(all []*Machine, address string) *Machine {
	for _, m := range all {
		if self, _ := m.Members.Self(); self.Address == address {
			return m
		}
	}
	return nil
}

// deliver delivers datagrams to the machines that are there, and reports whether there was any.
func deliver(t testing.TB, now replication.Now, from string, datagrams []Datagram, all []*Machine) (delivered bool) {
	t.Helper()
	for _, d := range datagrams {
		to := machineAt(all, d.To)
		if to == nil {
			continue
		}
		delivered = true
		if err := to.Receive(now, from, d.Payload); err != nil {
			t.Error(err)
		}
	}
	return delivered
}

// fetch fetches snapshots from the machines that are there, and reports whether there was any.
func fetch(t testing.TB, now replication.Now, m *Machine, addresses []string, all []*Machine) (fetched bool) {
	t.Helper()
	for _, from := range addresses {
		other := machineAt(all, from)
		if other == nil {
			continue
		}
		fetched = true
		encoded, err := other.EncodeSnapshot(now)
		if err := m.ReceiveSnapshot(now, from, encoded, err); err != nil {
			t.Error(err)
		}
	}
	return fetched
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
	return newSyncedFleet(t, now, 3)
}

// newSyncedFleet returns machines that have started together and found each other.
func newSyncedFleet(t testing.TB, now *replication.Now, n int) []*Machine {
	t.Helper()
	var all []*Machine
	for i := range n {
		all = append(all, newMachine(*now, i, "a0", "a1", "a2"))
	}
	run(t, now, 10*time.Second, all...)
	for _, m := range all {
		if p, _ := m.Phase(); m.Members.NumPresent() != n || p == CatchingUp || p == Isolated {
			t.Fatalf("%d members, phase %v", m.Members.NumPresent(), p)
		}
	}
	return all
}

func recordCall(t testing.TB, m *Machine, now replication.Now, server string, down bool) replication.Key {
	t.Helper()
	key, err := m.Store.RecordCall(now, server, down)
	if err != nil {
		t.Fatal(err)
	}
	m.Broadcast(key)
	return key
}

// TestConfirmCountsHolders: Confirm counts the members that hold an operator's call, and ends where none acknowledges
// it and where there is no other member.
func TestConfirmCountsHolders(t *testing.T) {
	now := start
	all := newSyncedTrio(t, &now)
	all[0].Confirm(now, recordCall(t, all[0], now, "s", true))
	held := exchange(t, now, all...)
	if len(held) != 1 || held[0].Holders != 2 {
		t.Errorf("confirmations %+v, want two holders", held)
	}
	for _, m := range all {
		if len(m.Store.AdminDown()) != 1 {
			t.Errorf("administratively down %v, want one server", m.Store.AdminDown())
		}
	}
	all[0].Confirm(now, recordCall(t, all[0], now, "r", true))
	held = run(t, &now, time.Second, all[0]) // its packets get lost
	if len(held) != 1 || held[0].Holders != 0 || held[0].Recipients == 0 {
		t.Errorf("confirmations %+v, want no holder of those asked", held)
	}
	alone := newMachine(now, 9)
	alone.Confirm(now, recordCall(t, alone, now, "r", true))
	if held := exchange(t, now, alone); len(held) != 1 || held[0].Recipients != 0 {
		t.Errorf("confirmations %+v, want none asked", held)
	}
}

func encodePacket(t testing.TB, p Packet) []byte {
	t.Helper()
	payload, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return payload
}

// TestAntiEntropyRecoversMissed: items that were never a rumor reach all members, as their sums differ.
func TestAntiEntropyRecoversMissed(t *testing.T) {
	now := start
	all := newSyncedTrio(t, &now)
	for i := range 40 {
		if _, err := all[1].Store.RecordCall(now, fmt.Sprint("s-", i), true); err != nil { // and no Broadcast
			t.Fatal(err)
		}
	}
	run(t, &now, 15*time.Second, all...)
	for i, m := range all {
		if n := len(m.Store.AdminDown()); n != 40 {
			t.Errorf("copy %d has %d of 40", i, n)
		}
	}
	for _, d := range all[0].Divergences(now.Time) {
		if !d.Known || !d.Equal {
			t.Errorf("divergence %+v", d)
		}
	}
	if all[0].Counters().Recovered == 0 {
		t.Error("no item was counted as recovered")
	}
}

// TestBadPacketsAreRejected: a packet of another fleet or format, and one that is malformed, is counted and not used.
func TestBadPacketsAreRejected(t *testing.T) {
	now := start
	m := newMachine(now, 0)
	member := membership.Member{Name: "x", Address: "ax", ProcessIncarnation: membership.ProcessIncarnation{Number: 1, Nonce: 1}}
	for _, tt := range []struct {
		name    string
		payload []byte
		want    error
	}{
		{"another fleet", encodePacket(t, Packet{Format: Format, Label: "other", From: member}), ErrForeign},
		{"a newer format", encodePacket(t, Packet{Format: Format + 1, Label: "test", From: member}), ErrForeign},
		{"no sender", encodePacket(t, Packet{Format: Format, Label: "test"}), ErrMalformed},
		{"empty", nil, ErrMalformed},
		{"garbage", []byte(strings.Repeat("x", 300)), ErrMalformed},
		{"too long", make([]byte, MaxPacketBytes+1), ErrMalformed},
		{"a million members", []byte{0x9b, 0, 0, 0, 0, 0, 0x0f, 0x42, 0x40}, ErrMalformed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if err := m.Receive(now, "ax", tt.payload); !errors.Is(err, tt.want) {
				t.Errorf("error %v, want %v", err, tt.want)
			}
		})
	}
	if f := m.Counters(); f.Foreign != 2 || f.Malformed != 5 || f.Received != 0 || m.Members.NumPresent() != 1 {
		t.Errorf("figures %+v, %d members", f, m.Members.NumPresent())
	}
}

// TestSendRateIsBounded has one member hold, and receive, far more than it may send: the bound holds in every second.
func TestSendRateIsBounded(t *testing.T) {
	now := start
	all := newSyncedTrio(t, &now)
	for i := range 3 {
		all = append(all, newMachine(now, 3+i, "a0", "a1", "a2"))
	}
	run(t, &now, 10*time.Second, all...)
	const limit = MaxBytesPerSecond + maxBurstBytes + 10*MaxPacketBytes // with ten probes and acks
	for second := range 10 {
		before := all[0].Counters().Bytes
		for range 20 {
			broadcastRows(t, now, all[0], 60)
			run(t, &now, 50*time.Millisecond, all...)
		}
		if sent := all[0].Counters().Bytes - before; sent > limit {
			t.Errorf("%d bytes in second %d, %d are allowed", sent, second, limit)
		}
	}
	if all[0].Counters().Throttled == 0 {
		t.Error("nothing was held back, so nothing was tested")
	}
}

// broadcastRows has a machine write rows on some servers.
func broadcastRows(t testing.TB, now replication.Now, m *Machine, servers int) {
	t.Helper()
	for i := range servers {
		key, err := m.Store.WriteRow(now, fmt.Sprint("s-", i), 0, replication.Evidence{Attempts: 9, Unanswered: 9})
		if err != nil {
			t.Fatal(err)
		}
		m.Broadcast(key)
	}
}

// FuzzReceive receives arbitrary input as a datagram and as a snapshot: it never panics, and a datagram that is
// rejected changes nothing.
func FuzzReceive(f *testing.F) {
	member := membership.Member{Name: "x", Address: "ax", ProcessIncarnation: membership.ProcessIncarnation{Number: 1, Nonce: 1}}
	ping := membership.Message{Kind: membership.Ping, Seq: math.MaxUint64}
	header := Packet{Format: Format, Label: "test", From: member}
	probe, request := header, header
	probe.Probe = &ping
	request.WantMissing, request.Sums = &replication.Digest{}, &[replication.NumKinds]uint64{1}
	f.Add(encodePacket(f, probe))
	f.Add(encodePacket(f, request))
	now := start
	m := newMachine(now, 1)
	recordCall(f, m, now, "s", true)
	f.Add(encodeSnapshot(f, m, now))
	f.Add(bytes.Repeat([]byte{0x81}, 500))
	f.Fuzz(func(t *testing.T, payload []byte) {
		m := newMachine(now, 0)
		err := m.Receive(now, "ax", payload)
		if err != nil && (m.Members.NumPresent() != 1 || len(m.Store.Keys()) != 0) {
			t.Errorf("a datagram with error %v had an effect", err)
		}
		_ = m.ReceiveSnapshot(now, "ax", payload, nil)
		for i := range 10 {
			m.Tick(replication.Now{Time: now.Time + time.Duration(i)*time.Second, Wall: now.Wall})
			m.TakeActions()
		}
	})
}

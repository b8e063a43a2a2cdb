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

// start is the initial time of the tests.
var start = replication.Now{Time: time.Hour, Wall: 1_700_000_000_000}

func newMachine(now replication.Now, i int, seeds ...string) *Machine {
	return New(now, Settings{Label: "test", Membership: membership.Settings{
		Name:             fmt.Sprint("n", i),
		Address:          fmt.Sprint("a", i),
		Peers:            seeds,
		IncarnationNonce: uint64(i + 1),
	}}, nil)
}

// exchange performs the actions of machines, without advancing the time, until none are left.
func exchange(t testing.TB, now replication.Now, all ...*Machine) []Confirmation {
	t.Helper()
	confirmations, _ := exchangeAll(t, now, all...)
	return confirmations
}

// exchangeAll is like exchange, but also returns the number of reports requested from each machine, by name.
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

// deliver delivers datagrams to the machines among all, and reports whether it delivered any.
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

// fetch fetches snapshots from the machines among all, and reports whether it fetched any.
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

// run advances the time by d, ticks the machines and performs their actions.
func run(t testing.TB, now *replication.Now, d time.Duration, all ...*Machine) (confirmations []Confirmation) {
	t.Helper()
	for end := now.Time + d; now.Time < end; advance(now, 50*time.Millisecond) {
		for _, m := range all {
			m.Tick(*now)
		}
		confirmations = append(confirmations, exchange(t, *now, all...)...)
	}
	return confirmations
}

func newSyncedTrio(t testing.TB, now *replication.Now) []*Machine {
	t.Helper()
	return newSyncedFleet(t, now, 3)
}

// newSyncedFleet returns n machines that have started together and have joined each other.
func newSyncedFleet(t testing.TB, now *replication.Now, n int) []*Machine {
	t.Helper()
	var all []*Machine
	for i := range n {
		all = append(all, newMachine(*now, i, "a0", "a1", "a2"))
	}
	run(t, now, 10*time.Second, all...)
	for _, m := range all {
		if p, _ := m.Phase(); m.Members.NumPresent() != n || p == CatchingUp || p == Isolated {
			t.Fatalf("%d members present, phase %v", m.Members.NumPresent(), p)
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

// TestConfirmCountsHolders checks that Confirm counts the members that hold an operator's call, and that it ends if
// none acknowledges the call or there is no other member.
func TestConfirmCountsHolders(t *testing.T) {
	now := start
	all := newSyncedTrio(t, &now)
	all[0].Confirm(now, recordCall(t, all[0], now, "s", true))
	confirmations := exchange(t, now, all...)
	if len(confirmations) != 1 || confirmations[0].Holders != 2 {
		t.Errorf("confirmations %+v, want one with two holders", confirmations)
	}
	for _, m := range all {
		if len(m.Store.AdminDown()) != 1 {
			t.Errorf("administratively down %v, want one server", m.Store.AdminDown())
		}
	}
	all[0].Confirm(now, recordCall(t, all[0], now, "r", true))
	confirmations = run(t, &now, time.Second, all[0]) // its packets are lost
	if len(confirmations) != 1 || confirmations[0].Holders != 0 || confirmations[0].Recipients == 0 {
		t.Errorf("confirmations %+v, want one with recipients but no holder", confirmations)
	}
	single := newMachine(now, 9)
	single.Confirm(now, recordCall(t, single, now, "r", true))
	if confirmations := exchange(t, now, single); len(confirmations) != 1 || confirmations[0].Recipients != 0 {
		t.Errorf("confirmations %+v, want one without recipients", confirmations)
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

// TestAntiEntropyRecoversMissed checks that items that were never rumors reach all members by anti-entropy.
func TestAntiEntropyRecoversMissed(t *testing.T) {
	now := start
	all := newSyncedTrio(t, &now)
	for i := range 40 {
		if _, err := all[1].Store.RecordCall(now, fmt.Sprint("s-", i), true); err != nil { // without a Broadcast
			t.Fatal(err)
		}
	}
	run(t, &now, 15*time.Second, all...)
	for i, m := range all {
		if n := len(m.Store.AdminDown()); n != 40 {
			t.Errorf("machine %d has %d of 40 items", i, n)
		}
	}
	for _, d := range all[0].Divergences(now.Time) {
		if !d.Known || !d.Equal {
			t.Errorf("divergence %+v, want equal stores", d)
		}
	}
	if all[0].Counters().Recovered == 0 {
		t.Error("no item was counted as recovered")
	}
}

// TestInvalidPacketsAreRejected checks that malformed packets and packets of another fleet or format are counted and
// have no effect.
func TestInvalidPacketsAreRejected(t *testing.T) {
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
		{"too large", make([]byte, MaxPacketBytes+1), ErrMalformed},
		{"a million members", []byte{0x9b, 0, 0, 0, 0, 0, 0x0f, 0x42, 0x40}, ErrMalformed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if err := m.Receive(now, "ax", tt.payload); !errors.Is(err, tt.want) {
				t.Errorf("error %v, want %v", err, tt.want)
			}
		})
	}
	if f := m.Counters(); f.Foreign != 2 || f.Malformed != 5 || f.Received != 0 || m.Members.NumPresent() != 1 {
		t.Errorf("counters %+v, %d members present", f, m.Members.NumPresent())
	}
}

// TestSendRateIsBounded makes one member change far more items than it may send. The send rate limit must hold in every
// second.
func TestSendRateIsBounded(t *testing.T) {
	now := start
	all := newSyncedTrio(t, &now)
	for i := range 3 {
		all = append(all, newMachine(now, 3+i, "a0", "a1", "a2"))
	}
	run(t, &now, 10*time.Second, all...)
	const limit = MaxBytesPerSecond + maxBurstBytes + 10*MaxPacketBytes // including ten probes and acks
	for second := range 10 {
		bytesBefore := all[0].Counters().Bytes
		for range 20 {
			broadcastRows(t, now, all[0], 60)
			run(t, &now, 50*time.Millisecond, all...)
		}
		if sent := all[0].Counters().Bytes - bytesBefore; sent > limit {
			t.Errorf("%d bytes sent in second %d, want at most %d", sent, second, limit)
		}
	}
	if all[0].Counters().Throttled == 0 {
		t.Error("no packet was throttled: the test did not reach the limit")
	}
}

// broadcastRows writes and broadcasts rows of a machine on a number of servers.
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

// FuzzReceive receives arbitrary input as a datagram and as a snapshot. The machine must never panic, and a rejected
// datagram must have no effect.
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
			t.Errorf("datagram rejected with error %v changed the state", err)
		}
		_ = m.ReceiveSnapshot(now, "ax", payload, nil)
		for i := range 10 {
			m.Tick(replication.Now{Time: now.Time + time.Duration(i)*time.Second, Wall: now.Wall})
			m.TakeActions()
		}
	})
}

package consensus

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"testing"

	"milletramp.example/milletramp/internal/fleet/policy"
)

var seeds = flag.Int("consensus.plays", 12, "number of random runs of TestConsensus")

// TestConsensus proposes changes to three voters under random faults. It checks that no two sidecars ever serve under
// different policies, that no outcome is contradicted, and that after the faults a change comes into force everywhere.
func TestConsensus(t *testing.T) {
	for seed := range uint64(*seeds) {
		c := newCluster(t, seed, 3, 4)
		c.loss = 0.1
		for i := range 3000 {
			if c.random.IntN(80) == 0 {
				c.injectFault()
			}
			if c.random.IntN(150) == 0 {
				c.propose(fmt.Sprint("text ", i))
			}
			if c.step(); c.violation != "" {
				t.Fatalf("seed %d: %s", seed, c.violation)
			}
		}
		c.endFaults()
		c.steps(1500)
		id := c.propose("the last")
		if id == "" {
			t.Fatalf("seed %d: no leader after the faults", seed)
		}
		c.steps(300)
		if c.violation != "" {
			t.Fatalf("seed %d: %s", seed, c.violation)
		}
		c.checkInForceEverywhere(seed, id)
	}
}

// checkInForceEverywhere checks that a change is in force at all voters and that all sidecars serve under it.
func (c *cluster) checkInForceEverywhere(seed uint64, id string) {
	c.t.Helper()
	for _, v := range c.voters {
		if o := v.machine.Ledger().Outcome(id); o.State != policy.InForce {
			c.t.Errorf("seed %d: last change at voter %d is %v (%s), want in force", seed, v.id, o.State, o.Reason)
		}
	}
	for _, s := range c.sidecars {
		number, _, ok := s.Serves(c.now)
		if !ok || number != c.voters[0].machine.Ledger().InForce().Number {
			c.t.Errorf("seed %d: %s serves under policy %d (%v), want the last one", seed, s.name, number, ok)
		}
	}
}

// TestMinorityLost checks that changes continue after the loss of one of three voters. After the loss of two they stop,
// and sidecars serve until their leases expire and no longer.
func TestMinorityLost(t *testing.T) {
	c := newCluster(t, 1, 3, 3)
	c.steps(600)
	c.leader().machine = nil
	c.steps(600)
	id := c.propose("second")
	c.steps(300)
	if l := c.leader(); l == nil || l.machine.Ledger().Outcome(id).State != policy.InForce {
		t.Fatalf("change not in force after the loss of one voter: leader %v", l)
	}
	c.leader().machine = nil
	c.steps(100)
	if got := c.servingCount(); got != 3 {
		t.Errorf("%d of 3 sidecars serve 1 s after the loss of the majority", got)
	}
	if c.propose("third") != "" {
		t.Error("one of three voters accepted a change")
	}
	c.steps(400)
	if got := c.servingCount(); got != 0 {
		t.Errorf("%d of 3 sidecars serve 5 s after the loss of the majority: leases last %v",
			got, policy.DefaultTerms.Length)
	}
	c.startCrashed()
	c.steps(600)
	inForce := c.leader().machine.Ledger().InForce().Number
	if got := c.servingCount(); got != 3 || inForce != 2 || c.violation != "" {
		t.Errorf("after the restart: %d of 3 sidecars serve, policy %d is in force, want 3 and policy 2; violation %q",
			got, inForce, c.violation)
	}
}

// TestRestoreFromPersistedState checks that a voter restores its ledger from its persisted snapshot and entries.
func TestRestoreFromPersistedState(t *testing.T) {
	c := newCluster(t, 2, 3, 1)
	c.steps(600)
	for i := range 30 {
		c.propose(fmt.Sprint("text ", i))
		c.steps(120)
	}
	v := c.voters[1]
	want, err := v.machine.Ledger().Encode()
	if err != nil {
		t.Fatal(err)
	}
	index, entries := v.persisted.Snapshot.Metadata.Index, len(v.persisted.Entries)
	if index == 0 || entries > 2*snapshotThreshold {
		t.Errorf("snapshot at %d, %d entries after it", index, entries)
	}
	v.start()
	c.steps(200)
	if got, err := v.machine.Ledger().Encode(); err != nil || string(got) != string(want) {
		t.Errorf("restored ledger differs: %d bytes, before %d, error %v", len(got), len(want), err)
	}
	if v.machine.Ledger().InForce().Number < 20 {
		t.Errorf("policy %d is in force, want 20 or later", v.machine.Ledger().InForce().Number)
	}
}

// TestRejectUnknownMessages checks that malformed messages, a voter that is not a member, and a proposal to a follower
// are rejected.
func TestRejectUnknownMessages(t *testing.T) {
	c := newCluster(t, 3, 3, 1)
	m := c.voters[0].machine
	for _, tt := range []struct {
		name    string
		message []byte
	}{
		{"empty", nil},
		{"one byte", []byte{1}},
		{"text", []byte("who is there")},
		{"zeros", make([]byte, 5000)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if err := m.Step(tt.message); err == nil {
				t.Errorf("a malformed message of %d bytes was accepted", len(tt.message))
			}
		})
	}
	if _, err := New(0, testSettings(9, 1), slog.New(slog.DiscardHandler)); err == nil {
		t.Error("a voter that is not a member was started")
	}
	if err := m.Propose(policy.Proposal{ID: "x"}); !errors.Is(err, ErrNoLeader) {
		t.Errorf("error %v of a follower, want ErrNoLeader", err)
	}
}

package consensus

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"testing"

	"milletramp.example/milletramp/internal/fleet/policy"
)

var seeds = flag.Int("consensus.plays", 12, "drawn runs of TestConsensus")

// TestConsensus proposes changes to three voters under drawn faults: no two sidecars ever serve under different
// policies, no outcome is contradicted, and once the faults are over a change comes into force everywhere.
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
			t.Fatalf("seed %d: nobody leads", seed)
		}
		c.steps(300)
		if c.violation != "" {
			t.Fatalf("seed %d: %s", seed, c.violation)
		}
		c.checkInForceEverywhere(seed, id)
	}
}

// checkInForceEverywhere checks that all voters have a change in force, and all sidecars serve under it.
func (c *cluster) checkInForceEverywhere(seed uint64, id string) {
	c.t.Helper()
	for _, v := range c.voters {
		if o := v.machine.Ledger().Outcome(id); o.State != policy.InForce {
			c.t.Errorf("seed %d: at voter %d the last change is %v (%s)", seed, v.id, o.State, o.Reason)
		}
	}
	for _, s := range c.sidecars {
		number, _, ok := s.Serves(c.now)
		if !ok || number != c.voters[0].machine.Ledger().InForce().Number {
			c.t.Errorf("seed %d: %s serves under %d, %v", seed, s.name, number, ok)
		}
	}
}

// TestMinorityLost: with one of three voters gone changes go on, with two gone they stop, and serving goes on for the
// leases' length and no longer.
func TestMinorityLost(t *testing.T) {
	c := newCluster(t, 1, 3, 3)
	c.steps(600)
	c.leader().machine = nil
	c.steps(600)
	id := c.propose("second")
	c.steps(300)
	if l := c.leader(); l == nil || l.machine.Ledger().Outcome(id).State != policy.InForce {
		t.Fatalf("with one voter gone: leader %v", l)
	}
	c.leader().machine = nil
	c.steps(100)
	if got := c.servingCount(); got != 3 {
		t.Errorf("%d of 3 serve 1 s after the majority was lost", got)
	}
	if c.propose("third") != "" {
		t.Error("one voter of three accepts a change")
	}
	c.steps(400)
	if got := c.servingCount(); got != 0 {
		t.Errorf("%d of 3 serve 5 s after the majority was lost: leases last %v", got, policy.DefaultTerms.Length)
	}
	c.startCrashed()
	c.steps(600)
	inForce := c.leader().machine.Ledger().InForce().Number
	if got := c.servingCount(); got != 3 || inForce != 2 || c.violation != "" {
		t.Errorf("back again: %d of 3 serve, policy %d is in force, %s", got, inForce, c.violation)
	}
}

// TestRestoreFromPersistedState: what a voter has persisted brings it to where it was, also behind a snapshot.
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
		t.Errorf("snapshot at %d, %d entries behind it", index, entries)
	}
	v.start()
	c.steps(200)
	if got, err := v.machine.Ledger().Encode(); err != nil || string(got) != string(want) {
		t.Errorf("%d bytes, before %d, error %v", len(got), len(want), err)
	}
	if v.machine.Ledger().InForce().Number < 20 {
		t.Errorf("policy %d is in force", v.machine.Ledger().InForce().Number)
	}
}

// TestRejectUnknownMessages: what no member sent is refused, and so are a voter that is no member and a proposal to one
// that does not lead.
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
				t.Errorf("%d bytes are accepted", len(tt.message))
			}
		})
	}
	if _, err := New(0, testSettings(9, 1), slog.New(slog.DiscardHandler)); err == nil {
		t.Error("one that is no member starts")
	}
	if err := m.Propose(policy.Proposal{ID: "x"}); !errors.Is(err, ErrNoLeader) {
		t.Errorf("error %v from one that does not lead", err)
	}
}

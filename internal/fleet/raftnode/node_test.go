package raftnode

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/fleet/policy"
)

var seeds = flag.Int("raftnode.plays", 5,
	"number of seeds for TestCrashAnywhere; TestReplaceVoterAnywhere uses twice as many")

// TestCrashAnywhere crashes three voters at random times and after random writes, and makes writes to their folders
// fail for some time. No final outcome may be contradicted, all voters must be in one group, and after the faults a
// change must come into force.
func TestCrashAnywhere(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := newCluster(t, seed)
			c.loss = 0.1
			for range 20 + c.random.IntN(280) {
				c.injectFault(c.randomVoter())
				c.step()
			}
			c.endFaults()
			c.steps(250)
			c.requireInForceEverywhere()
			groups := map[uint64]bool{}
			for _, m := range c.members {
				groups[m.node.bootstrapper.Bootstrap().GroupID()] = true
			}
			if len(groups) != 1 {
				t.Errorf("%d groups, want 1", len(groups))
			}
		})
	}
}

// injectFault injects a random fault at a member, restarts the member, proposes a change, or does nothing.
func (c *cluster) injectFault(m *member) {
	switch c.random.IntN(30) {
	case 0, 1:
		c.kill(m)
	case 2, 3, 4, 5:
		c.start(m)
	case 6:
		m.killAtWrite = 1 + c.random.IntN(6)
	case 7:
		m.pausedUntil = c.now + time.Duration(c.random.IntN(3000))*time.Millisecond
	case 8:
		c.propose()
	case 9, 10:
		m.failsUntil = c.now + time.Duration(c.random.IntN(4000))*time.Millisecond
	}
}

// TestFolderLost requires that a voter that restarts with an empty folder becomes a standby, and the others continue.
// After a majority has lost its folders, the committed entries are unknown, so no further change may come into force.
func TestFolderLost(t *testing.T) {
	c := newRunningCluster(t, 1)
	first := c.propose()
	c.steps(150)
	if c.outcomes[first].State != policy.InForce {
		t.Fatalf("first change is not in force: %+v", c.outcomes[first])
	}
	c.loseFolder("c")
	c.steps(100)
	if n := c.members["c"].node; !n.IsStandby() || n.Ledger() != nil {
		t.Errorf("c without its folder: standby %v, ledger %v", n.IsStandby(), n.Ledger())
	}
	second := c.propose()
	c.steps(150)
	if c.outcomes[second].State != policy.InForce {
		t.Errorf("change among the other voters is not in force: %+v", c.outcomes[second])
	}
	c.loseFolder("b")
	c.steps(200)
	if n := c.members["b"].node; !n.IsStandby() || n.Ledger() != nil {
		t.Errorf("b without its folder: standby %v, ledger %v", n.IsStandby(), n.Ledger())
	}
	if id := c.propose(); id != "" && c.outcomes[id].State == policy.InForce {
		t.Errorf("change with one folder of three: %+v", c.outcomes[id])
	}
	a := c.members["a"].node
	if a.Err() != nil || a.Ledger().Outcome(second).State != policy.InForce {
		t.Errorf("a, which has its folder: error %v, outcome %v", a.Err(), a.Ledger().Outcome(second))
	}
	a.RequestLease(c.now, 7, policy.LeaseRequest{Sidecar: "n1", Incarnation: 1})
	c.steps(100)
	if got, ok := c.leaseReplies[7]; ok && got.Err == nil {
		t.Errorf("lease granted by one voter of three: %+v", got.Grant)
	}
}

// TestRejectMalformedMessages requires that a malformed message causes an error and does not stop the node, both before
// a group exists and in a group.
func TestRejectMalformedMessages(t *testing.T) {
	c := newCluster(t, 2)
	c.startAll()
	for _, state := range []string{"before a group exists", "in a group"} {
		for _, tt := range []struct {
			name    string
			message []byte
		}{
			{"empty", nil},
			{"one byte", []byte{1}},
			{"text", []byte("plain text")},
			{"zeros", make([]byte, 5000)},
			{"too long", make([]byte, maxMessageBytes+1)},
		} {
			t.Run(state+"/"+tt.name, func(t *testing.T) {
				if err := c.members["a"].node.Receive(c.now, tt.message); err == nil {
					t.Errorf("message of %d bytes accepted", len(tt.message))
				}
			})
		}
		c.steps(100)
	}
	if err := c.members["a"].node.Err(); err != nil || c.propose() == "" {
		t.Errorf("the group does not accept changes: %v", err)
	}
}

package raftnode

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/fleet/policy"
)

var seeds = flag.Int("raftnode.plays", 5, "drawn runs of TestCrashAnywhere; TestReplaceVoterAnywhere has twice as many")

// TestCrashAnywhere has three voters on disk crash at any moment, behind any write, and their folders fail for a while:
// no outcome that was ever seen is contradicted, they are of one group, and once the faults are over changes come into
// force.
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
				t.Errorf("%d groups", len(groups))
			}
		})
	}
}

// injectFault has a drawn fault happen to a member, or ends one, or proposes a change.
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

// TestFolderLost: a voter that returns with an empty folder is a standby, and the others go on. It is the same with a
// majority of them, after which nobody can say what was committed: nothing comes into force any more.
func TestFolderLost(t *testing.T) {
	c := newRunningCluster(t, 1)
	first := c.propose()
	c.steps(150)
	if c.outcomes[first].State != policy.InForce {
		t.Fatalf("%+v", c.outcomes[first])
	}
	c.loseFolder("c")
	c.steps(100)
	if n := c.members["c"].node; !n.IsStandby() || n.Ledger() != nil {
		t.Errorf("without its folder it is a standby: %v, ledger %v", n.IsStandby(), n.Ledger())
	}
	second := c.propose()
	c.steps(150)
	if c.outcomes[second].State != policy.InForce {
		t.Errorf("the others do not go on: %+v", c.outcomes[second])
	}
	c.loseFolder("b")
	c.steps(200)
	if n := c.members["b"].node; !n.IsStandby() || n.Ledger() != nil {
		t.Errorf("the second without its folder is a standby: %v, ledger %v", n.IsStandby(), n.Ledger())
	}
	if id := c.propose(); id != "" && c.outcomes[id].State == policy.InForce {
		t.Errorf("%+v with one folder of three", c.outcomes[id])
	}
	a := c.members["a"].node
	if a.Err() != nil || a.Ledger().Outcome(second).State != policy.InForce {
		t.Errorf("the one that has its folder: %v, %v", a.Err(), a.Ledger().Outcome(second))
	}
	a.RequestLease(c.now, 7, policy.LeaseRequest{Sidecar: "n1", Incarnation: 1})
	c.steps(100)
	if got, ok := c.leaseReplies[7]; ok && got.Err == nil {
		t.Errorf("one of three grants a lease: %+v", got.Grant)
	}
}

// TestRejectMalformedMessages: what is no message is an error, in a group and before there is one, and stops nothing.
func TestRejectMalformedMessages(t *testing.T) {
	c := newCluster(t, 2)
	c.startAll()
	for _, state := range []string{"before there is a group", "in a group"} {
		for _, tt := range []struct {
			name    string
			message []byte
		}{
			{"empty", nil},
			{"one byte", []byte{1}},
			{"text", []byte("who is there")},
			{"zeros", make([]byte, 5000)},
			{"too long", make([]byte, maxMessageBytes+1)},
		} {
			t.Run(state+"/"+tt.name, func(t *testing.T) {
				if err := c.members["a"].node.Receive(c.now, tt.message); err == nil {
					t.Errorf("%d bytes are accepted", len(tt.message))
				}
			})
		}
		c.steps(100)
	}
	if err := c.members["a"].node.Err(); err != nil || c.propose() == "" {
		t.Errorf("the group does not go on: %v", err)
	}
}

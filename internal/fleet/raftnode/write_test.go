package raftnode

import (
	"errors"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fleet/policy"
)

// TestFolderFails has a voter's folder fail for a while: it acknowledges nothing, answers nobody, leads no more, logs
// that once, and takes part again once its folder can be written.
func TestFolderFails(t *testing.T) {
	for _, tt := range []struct {
		name     string
		steps    int  // that all take before its folder fails
		leads    bool // it leads by then
		majority bool // of the others is there meanwhile
	}{
		{"before there is a group", 0, false, true},
		{"a follower", 100, false, true},
		{"a follower that is needed for a majority", 100, false, false},
		{"a leader", 100, true, true},
		{"a leader that is needed for a majority", 100, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 4)
			c.startAll()
			c.steps(tt.steps)
			m, other := c.pickFailing(tt.leads)
			if !tt.majority {
				c.kill(other)
			}
			m.failsUntil = c.now + time.Minute
			if tt.leads {
				c.run(m, func(n *Node) {
					_ = n.Propose(c.now, policy.Proposal{ID: "x", Author: "x", Follows: 1, Text: []byte("x")})
				})
			}
			c.steps(200)
			id := c.propose()
			c.steps(200)
			if inForce := c.outcomes[id].State == policy.InForce; inForce != tt.majority {
				t.Errorf("change %q in force: %v", id, inForce)
			}
			c.checkSuspended(m)
			m.failsUntil = 0
			c.steps(300)
			if err := m.node.Err(); err != nil || m.node.Ledger() == nil {
				t.Errorf("it takes no part again: %v, ledger %v", err, m.node.Ledger())
			}
			c.start(other)
			c.steps(100)
			c.requireChange("its folder can be written again")
			for _, line := range []string{"suspended until its folder can be written", "folder written again"} {
				if n := strings.Count(m.logOutput.String(), line); n != 1 {
					t.Errorf("it logs %d times %q", n, line)
				}
			}
		})
	}
}

// pickFailing returns the leader or a follower, and another follower.
func (c *cluster) pickFailing(leads bool) (failing, other *member) {
	leader := c.leader()
	followers := slices.DeleteFunc([]*member{c.members["a"], c.members["b"], c.members["c"]},
		func(m *member) bool { return m == leader })
	if leads {
		return leader, followers[1]
	}
	return followers[0], followers[1]
}

// checkSuspended fails the test where a member answers a request for a lease, or seems to run.
func (c *cluster) checkSuspended(m *member) {
	c.t.Helper()
	c.run(m, func(n *Node) { n.RequestLease(c.now, 7, policy.LeaseRequest{Sidecar: "n1", Incarnation: 1}) })
	if got := c.leaseReplies[7]; !errors.Is(got.Err, consensus.ErrNoLeader) ||
		!errors.Is(m.node.Err(), syscall.ENOSPC) || m.node.Leader() != "" {
		c.t.Errorf("it answers %+v, error %v, leader %q", got, m.node.Err(), m.node.Leader())
	}
}

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

// TestFolderFails makes all writes to a voter's folder fail for some time. Meanwhile the voter must not acknowledge or
// respond, must not be the leader, and must log the failure once. When writes succeed again, it must resume.
func TestFolderFails(t *testing.T) {
	for _, tt := range []struct {
		name     string
		steps    int  // of all voters before the folder fails
		leads    bool // the voter is the leader by then
		majority bool // the other voters are a majority meanwhile
	}{
		{"before a group exists", 0, false, true},
		{"follower", 100, false, true},
		{"follower required for a majority", 100, false, false},
		{"leader", 100, true, true},
		{"leader required for a majority", 100, true, false},
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
				t.Errorf("change %q in force: %v, want %v", id, inForce, tt.majority)
			}
			c.checkSuspended(m)
			m.failsUntil = 0
			c.steps(300)
			if err := m.node.Err(); err != nil || m.node.Ledger() == nil {
				t.Errorf("voter did not resume: error %v, ledger %v", err, m.node.Ledger())
			}
			c.start(other)
			c.steps(100)
			c.requireChange("after writes succeed again")
			for _, line := range []string{
				"suspended until its folder can be written",
				"folder can be written again, voter resumed",
			} {
				if n := strings.Count(m.logOutput.String(), line); n != 1 {
					t.Errorf("logged %d times %q, want once", n, line)
				}
			}
		})
	}
}

// pickFailing returns the voter whose folder fails, which is the leader or a follower, and another follower.
func (c *cluster) pickFailing(leads bool) (failing, other *member) {
	leader := c.leader()
	followers := slices.DeleteFunc([]*member{c.members["a"], c.members["b"], c.members["c"]},
		func(m *member) bool { return m == leader })
	if leads {
		return leader, followers[1]
	}
	return followers[0], followers[1]
}

// checkSuspended fails the test if a member grants a lease or does not report that it is suspended.
func (c *cluster) checkSuspended(m *member) {
	c.t.Helper()
	c.run(m, func(n *Node) { n.RequestLease(c.now, 7, policy.LeaseRequest{Sidecar: "n1", Incarnation: 1}) })
	if got := c.leaseReplies[7]; !errors.Is(got.Err, consensus.ErrNoLeader) ||
		!errors.Is(m.node.Err(), syscall.ENOSPC) || m.node.Leader() != "" {
		c.t.Errorf("suspended member: reply %+v, error %v, leader %q", got, m.node.Err(), m.node.Leader())
	}
}

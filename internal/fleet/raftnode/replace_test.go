package raftnode

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/fleet/consensus"
)

// TestReplaceVoter replaces a voter that has lost its folder by a voter with the same name, then a voter that is down
// and the leader by sidecars with other names. Changes must continue to come into force. Each new voter must count for
// a majority from then on, and a replaced voter must not.
func TestReplaceVoter(t *testing.T) {
	c := newRunningCluster(t, 3)
	c.requireChange("all voters running")
	c.checkReplaceFormerSelf()
	c.checkReplaceByAnother()
	for _, name := range []string{"a", "c", "d"} {
		c.start(c.members[name])
	}
	c.steps(100)
	c.checkReplaceLeader([]string{"a", "c", "d"})
}

// checkReplaceFormerSelf makes voter c lose its folder, and replaces it by the new c.
func (c *cluster) checkReplaceFormerSelf() {
	c.t.Helper()
	c.loseFolder("c")
	if c.replace("c", "c") {
		c.t.Error("replaced a voter by a sidecar that has sent no hello")
	}
	c.steps(100)
	for _, tt := range []struct{ name, outgoing, incoming string }{
		{"a sidecar that is not a voter", "x", "c"},
		{"a voter by another voter", "a", "b"},
		{"a voter by a sidecar that has sent no hello", "c", "d"},
	} {
		if c.replace(tt.outgoing, tt.incoming) {
			c.t.Errorf("replaced %s", tt.name)
		}
	}
	if !c.replace("c", "c") || c.replace("c", "c") {
		c.t.Fatal("c does not replace its former self, or is replaced twice at once")
	}
	c.steps(100)
	if got, settled := c.leader().node.Voters(); !settled || !slices.Equal(got, voterNames) || !c.settled() {
		c.t.Fatalf("voters %v, settled %v", got, settled)
	}
	c.kill(c.members["b"]) // so that c is needed for a majority
	c.steps(100)
	c.requireChange("a and the new c")
}

// checkReplaceByAnother replaces b, which is down, by d.
func (c *cluster) checkReplaceByAnother() {
	c.t.Helper()
	c.start(c.add("d", []string{"a", "c", "d"}))
	c.steps(100)
	if !c.replace("b", "d") {
		c.t.Fatal("d does not replace b")
	}
	c.steps(100)
	c.kill(c.members["a"])
	c.steps(100)
	c.requireChange("c and d")
	// b is not aware of the replacements, and in its settings b and one other voter are a majority.
	c.start(c.members["b"])
	c.kill(c.members["c"])
	c.steps(200)
	if m := c.leader(); m != nil {
		c.t.Errorf("%s is the leader with one of three voters running", m.name)
	}
	c.start(c.members["c"])
	c.steps(200)
	c.requireChange("c and d after the restart of c")
}

// checkReplaceLeader replaces the leader by a standby with an empty folder whose settings do not include the leader.
func (c *cluster) checkReplaceLeader(voters []string) {
	c.t.Helper()
	leader := c.leader().name
	others := slices.DeleteFunc(voters, func(name string) bool { return name == leader })
	c.start(c.add("e", append(others, "e")))
	c.steps(100)
	if now := c.leader(); now == nil || now.name != leader {
		c.t.Fatalf("leader %v without any fault, want %s", now, leader)
	}
	if !c.replace(leader, "e") {
		c.t.Fatalf("e does not replace the leader %s", leader)
	}
	c.steps(200)
	c.requireChange("without the former leader")
	if err := c.members[leader].node.Err(); !errors.Is(err, consensus.ErrReplaced) {
		c.t.Errorf("replaced voter %s: error %v", leader, err)
	}
}

// TestReplaceVoterAnywhere makes random voters lose their folders, one at a time, and replaces them by voters with the
// same names, while voters crash after random writes or pause, and messages are lost. No final outcome may be
// contradicted. In the end all voters must be members again and a change must come into force.
func TestReplaceVoterAnywhere(t *testing.T) {
	replaced := 0
	for seed := range uint64(2 * *seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := newRunningCluster(t, seed+100)
			c.loss = 0.1
			for range 400 {
				if c.injectFaultOrReplace(c.randomVoter()) {
					replaced++
				}
				c.step()
			}
			c.endFaults()
			c.steps(250)
			for _, name := range voterNames {
				if c.members[name].node.IsStandby() {
					c.replace(name, name)
					c.steps(100)
				}
			}
			c.steps(100)
			c.requireInForceEverywhere()
			if !c.settled() {
				t.Error("not all voters are members again")
			}
		})
	}
	if replaced < *seeds {
		t.Errorf("%d voters were replaced in %d runs, too few for a conclusive test", replaced, 2**seeds)
	}
}

// injectFaultOrReplace injects a random fault at a member, restarts or replaces the member, or proposes a change.
// replaced reports whether the member replaces its former self. Only one folder is lost at a time, because with two
// lost folders the committed entries are unknown.
func (c *cluster) injectFaultOrReplace(m *member) (replaced bool) {
	switch c.random.IntN(40) {
	case 0:
		c.kill(m)
	case 1, 2, 3, 4, 5:
		c.start(m)
	case 6:
		m.killAtWrite = 1 + c.random.IntN(6)
	case 7:
		m.pausedUntil = c.now + time.Duration(c.random.IntN(2000))*time.Millisecond
	case 8, 9:
		c.propose()
	case 10, 11:
		if c.settled() {
			c.loseFolder(m.name)
		}
	default:
		return c.random.IntN(4) == 0 && m.node != nil && m.node.IsStandby() && c.replace(m.name, m.name)
	}
	return false
}

package raftnode

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/fleet/consensus"
)

// TestReplaceVoter: a voter that has lost its folder replaces its former self, and others of other names replace one
// that is gone for good and the leader, while changes go on; each counts from then on, and who was replaced does not.
func TestReplaceVoter(t *testing.T) {
	c := newRunningCluster(t, 3)
	c.requireChange("all there")
	c.checkReplaceFormerSelf()
	c.checkReplaceByAnother()
	for _, name := range []string{"a", "c", "d"} {
		c.start(c.members[name])
	}
	c.steps(100)
	c.checkReplaceLeader([]string{"a", "c", "d"})
}

// checkReplaceFormerSelf has c, of a, b and c, lose its folder and replace its former self.
func (c *cluster) checkReplaceFormerSelf() {
	c.t.Helper()
	c.loseFolder("c")
	if c.replace("c", "c") {
		c.t.Error("one that has sent no hello replaces a voter")
	}
	c.steps(100)
	for _, tt := range []struct{ name, outgoing, incoming string }{
		{"one that is no voter", "x", "c"},
		{"a voter by another voter", "a", "b"},
		{"a voter by one that has sent no hello", "c", "d"},
	} {
		if c.replace(tt.outgoing, tt.incoming) {
			c.t.Errorf("replaced %s", tt.name)
		}
	}
	if !c.replace("c", "c") || c.replace("c", "c") {
		c.t.Fatal("c does not replace its former self, or does so twice at once")
	}
	c.steps(100)
	if got, settled := c.leader().node.Voters(); !settled || !slices.Equal(got, voterNames) || !c.settled() {
		c.t.Fatalf("voters %v, settled %v", got, settled)
	}
	c.kill(c.members["b"]) // so that c is needed for a majority
	c.steps(100)
	c.requireChange("a and the c that lost its folder")
}

// checkReplaceByAnother has d replace b, which is down.
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
	c.start(c.members["b"]) // it knows nothing of all that, and in its configuration one other makes a majority
	c.kill(c.members["c"])
	c.steps(200)
	if m := c.leader(); m != nil {
		c.t.Errorf("%s leads with one voter of three there", m.name)
	}
	c.start(c.members["c"])
	c.steps(200)
	c.requireChange("c and d again")
}

// checkReplaceLeader has a standby with an empty folder, whose settings do not name the leader, replace it.
func (c *cluster) checkReplaceLeader(voters []string) {
	c.t.Helper()
	leader := c.leader().name
	others := slices.DeleteFunc(voters, func(name string) bool { return name == leader })
	c.start(c.add("e", append(others, "e")))
	c.steps(100)
	if now := c.leader(); now == nil || now.name != leader {
		c.t.Fatalf("%v leads, with nothing amiss; %s did", now, leader)
	}
	if !c.replace(leader, "e") {
		c.t.Fatalf("e does not replace %s, which leads", leader)
	}
	c.steps(200)
	c.requireChange("without the former leader")
	if err := c.members[leader].node.Err(); !errors.Is(err, consensus.ErrReplaced) {
		c.t.Errorf("%s, which was replaced: %v", leader, err)
	}
}

// TestReplaceVoterAnywhere has voters lose their folders one after another and replace their former selves, while any
// crash behind any write, pause, and messages are lost: no outcome is contradicted, and in the end all are there again
// and changes go on.
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
				t.Error("not all are there again")
			}
		})
	}
	if replaced < *seeds {
		t.Errorf("%d voters were replaced in %d runs: too few to show anything", replaced, 2**seeds)
	}
}

// injectFaultOrReplace has a drawn fault happen to a member, or ends one, or proposes a change; replaced tells whether the
// member has replaced its former self. Folders are lost one at a time: with two lost nobody can say what was committed.
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

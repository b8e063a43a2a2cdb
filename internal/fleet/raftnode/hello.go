package raftnode

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"milletramp.example/milletramp/internal/fleet/consensus"
)

const (
	helloInterval   = 10 * consensus.TickInterval
	standbyLifetime = 4 * helloInterval // since its last hello
	maxStandbys     = 16
	maxHelloTargets = 16
	maxNameBytes    = 64
)

// standby is a sidecar that is in no group and sends hellos, as it may replace a voter.
type standby struct {
	id        uint64 // of its folder, as it said itself
	lastHello Time
}

func (s standby) expired(now Time) bool { return now-s.lastHello >= standbyLifetime }

// Standbys are the names, in order, of the sidecars that may replace a voter.
func (n *Node) Standbys(now Time) (names []string) {
	for name, s := range n.standbys {
		if !s.expired(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// IsStandby tells whether there is a group without this node, which may replace one of its voters.
func (n *Node) IsStandby() bool { return n.notInGroup && n.machine == nil }

// sendHellos says to the other voters that this node is in no group.
func (n *Node) sendHellos() {
	hello := n.bootstrapper.Hello()
	for _, name := range n.helloTargets {
		if name != n.settings.Name {
			n.send(name, packet{Hello: &hello})
		}
	}
}

// receiveHello takes in a hello, and replies to one of a node that is in no group, where this node is in one.
func (n *Node) receiveHello(now Time, hello consensus.Hello) error {
	if n.machine != nil {
		return n.replyToHello(now, hello)
	}
	err := n.bootstrapper.Receive(now, hello)
	if errors.Is(err, consensus.ErrNotInGroup) {
		n.becomeStandby(hello, err)
		return nil
	}
	bootstrap := n.bootstrapper.Bootstrap()
	if bootstrap == nil {
		return err
	}
	// The others count on what this node says of its group, so that it must not forget it.
	n.write(now, func() error { return n.storage.SaveBootstrap(*bootstrap) }, n.bootstrapPersisted)
	if n.Err() == nil && hello.Bootstrap == nil {
		return n.replyToHello(now, hello)
	}
	return nil
}

// bootstrapPersisted has this node take part in the group that its folder is of since the last write.
func (n *Node) bootstrapPersisted(now Time) {
	state := n.storage.State()
	n.log.Info("raftnode: joined a consensus group", "group", state.Bootstrap.String())
	if err := n.startMachine(now, state); err != nil {
		n.stop(err)
		return
	}
	n.flush(now)
}

// becomeStandby takes in that there is a group without this node. From then on it sends hellos to the group's present
// voters too: the leader, which has to know of it, need not be in its settings.
func (n *Node) becomeStandby(hello consensus.Hello, reason error) {
	n.helloTargets = n.settings.Voters
	for _, name := range slices.Sorted(maps.Keys(hello.Voters)) {
		if !slices.Contains(n.helloTargets, name) && len(n.helloTargets) < maxHelloTargets {
			n.helloTargets = append(slices.Clip(n.helloTargets), name)
		}
	}
	if !n.notInGroup {
		n.notInGroup = true
		n.log.Warn("raftnode: standby, waits to replace a voter", "reason", reason)
	}
}

// replyToHello replies to a node that is in no group with this one's group, and notes it as a standby unless it is a
// voter.
func (n *Node) replyToHello(now Time, hello consensus.Hello) error {
	if hello.Bootstrap != nil || hello.ID == 0 || hello.Name == "" || len(hello.Name) > maxNameBytes {
		return nil
	}
	voters, _ := n.machine.Voters()
	if voters[hello.Name] != hello.ID {
		if err := n.recordStandby(now, hello); err != nil {
			return err
		}
	}
	reply := n.bootstrapper.Hello()
	reply.Voters = voters
	n.send(hello.Name, packet{Hello: &reply})
	return nil
}

// recordStandby keeps a standby for Replace. It fails where there are too many.
func (n *Node) recordStandby(now Time, hello consensus.Hello) error {
	maps.DeleteFunc(n.standbys, func(_ string, s standby) bool { return s.expired(now) })
	if _, known := n.standbys[hello.Name]; !known && len(n.standbys) >= maxStandbys {
		return fmt.Errorf("raftnode: there are %d standbys already", maxStandbys)
	}
	n.standbys[hello.Name] = standby{hello.ID, now}
	return nil
}

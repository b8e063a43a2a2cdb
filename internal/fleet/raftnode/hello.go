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

// standby is a sidecar that is in no group and sends hellos. It may replace a voter.
type standby struct {
	id        uint64 // of its folder, as received in its hello
	lastHello Time
}

func (s standby) expired(now Time) bool { return now-s.lastHello >= standbyLifetime }

// Standbys returns the sorted names of the sidecars that may replace a voter.
func (n *Node) Standbys(now Time) (names []string) {
	for name, s := range n.standbys {
		if !s.expired(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// IsStandby reports whether a group exists that does not include this node. The node may replace one of its voters.
func (n *Node) IsStandby() bool { return n.notInGroup && n.machine == nil }

// sendHellos sends a hello, which announces that this node is in no group, to each of helloTargets.
func (n *Node) sendHellos() {
	hello := n.bootstrapper.Hello()
	for _, name := range n.helloTargets {
		if name != n.settings.Name {
			n.send(name, packet{Hello: &hello})
		}
	}
}

// receiveHello processes a hello. If this node is in a group, it replies to a hello from a node that is in none.
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
	// Other nodes rely on the group that this node announces, so it must be persisted before it is sent.
	n.write(now, func() error { return n.storage.SaveBootstrap(*bootstrap) }, n.bootstrapPersisted)
	if n.Err() == nil && hello.Bootstrap == nil {
		return n.replyToHello(now, hello)
	}
	return nil
}

// bootstrapPersisted starts this node's part in the group that SaveBootstrap has just stored in its folder.
func (n *Node) bootstrapPersisted(now Time) {
	state := n.storage.State()
	n.log.Info("raftnode: joined a consensus group", "group", state.Bootstrap.String())
	if err := n.startMachine(now, state); err != nil {
		n.stop(err)
		return
	}
	n.flush(now)
}

// becomeStandby records that a group exists that does not include this node. From then on the node also sends hellos to
// the group's current voters, because the leader needs to receive them and may be missing from this node's settings.
func (n *Node) becomeStandby(hello consensus.Hello, reason error) {
	n.helloTargets = n.settings.Voters
	for _, name := range slices.Sorted(maps.Keys(hello.Voters)) {
		if !slices.Contains(n.helloTargets, name) && len(n.helloTargets) < maxHelloTargets {
			n.helloTargets = append(slices.Clip(n.helloTargets), name)
		}
	}
	if !n.notInGroup {
		n.notInGroup = true
		n.log.Warn("raftnode: standby, waiting to replace a voter", "reason", reason)
	}
}

// replyToHello sends this node's group to a node that is in no group, and records that node as a standby unless it is a
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

// recordStandby records a standby for Replace. It returns an error if there are maxStandbys already.
func (n *Node) recordStandby(now Time, hello consensus.Hello) error {
	maps.DeleteFunc(n.standbys, func(_ string, s standby) bool { return s.expired(now) })
	if _, known := n.standbys[hello.Name]; !known && len(n.standbys) >= maxStandbys {
		return fmt.Errorf("raftnode: limit of %d standbys is reached", maxStandbys)
	}
	n.standbys[hello.Name] = standby{hello.ID, now}
	return nil
}

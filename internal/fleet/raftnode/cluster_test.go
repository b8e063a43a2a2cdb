package raftnode

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fleet/policy"
	"milletramp.example/milletramp/internal/fleet/raftlog"
)

var voterNames = []string{"a", "b", "c"}

// cluster is three voters, and possibly standbys, with folders on disk. Messages are lost or delayed. Voters crash at
// any time, including right after a write, pause, and lose their folders. Writes to folders fail for some time.
type cluster struct {
	t            *testing.T
	random       *rand.Rand
	dir          string
	now          time.Duration
	loss         float64
	members      map[string]*member
	order        []string // names of the members, in the order of their addition
	delayed      []func()
	leaseReplies map[uint64]consensus.LeaseReply // by token
	outcomes     map[string]policy.Outcome       // final ones, by the ID of the change
	lastID       uint64
}

type member struct {
	name        string
	configured  []string // voters in its settings
	node        *Node    // nil: down
	log         *raftlog.Log
	pausedUntil time.Duration
	killAtWrite int           // number of writes until it is killed; 0: it is not
	failsUntil  time.Duration // until then, writes to its folder fail
	logOutput   *bytes.Buffer
}

// faultyStorage is a folder whose writes fail for some time. It can also kill its process right after a write, before
// the process can send a message.
type faultyStorage struct {
	*raftlog.Log
	cluster *cluster
	member  *member
}

var errKilled = errors.New("killed")

func (s faultyStorage) write(write func() error) error {
	if s.cluster.now < s.member.failsUntil {
		return syscall.ENOSPC
	}
	err := write()
	if s.member.killAtWrite--; s.member.killAtWrite == 0 {
		return errKilled
	}
	return err
}

func (s faultyStorage) SaveBootstrap(b consensus.Bootstrap) error {
	return s.write(func() error { return s.Log.SaveBootstrap(b) })
}

func (s faultyStorage) Persist(b consensus.Batch) error {
	return s.write(func() error { return s.Log.Persist(b) })
}

func (s faultyStorage) Compact(image raftpb.Snapshot) error {
	return s.write(func() error { return s.Log.Compact(image) })
}

// newCluster returns a cluster whose voters are all down. All members are killed when the test ends.
func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{
		t:            t,
		random:       rand.New(rand.NewPCG(seed, 0x7ab1e)),
		dir:          t.TempDir(),
		now:          time.Hour,
		members:      map[string]*member{},
		leaseReplies: map[uint64]consensus.LeaseReply{},
		outcomes:     map[string]policy.Outcome{},
	}
	for _, name := range voterNames {
		c.add(name, voterNames)
	}
	t.Cleanup(func() {
		for _, name := range c.order {
			c.kill(c.members[name])
		}
	})
	return c
}

// newRunningCluster returns a cluster whose voters have formed a group.
func newRunningCluster(t *testing.T, seed uint64) *cluster {
	c := newCluster(t, seed)
	c.startAll()
	c.steps(100)
	return c
}

func (c *cluster) folder(name string) string { return filepath.Join(c.dir, name) }

// add adds a member without starting it.
func (c *cluster) add(name string, configured []string) *member {
	c.members[name] = &member{name: name, configured: configured, logOutput: &bytes.Buffer{}}
	c.order = append(c.order, name)
	return c.members[name]
}

// randomVoter returns a random one of the initial voters.
func (c *cluster) randomVoter() *member { return c.members[voterNames[c.random.IntN(len(voterNames))]] }

// loseFolder restarts a member without its folder.
func (c *cluster) loseFolder(name string) {
	c.kill(c.members[name])
	if err := os.RemoveAll(c.folder(name)); err != nil {
		c.t.Fatal(err)
	}
	c.start(c.members[name])
}

// leader returns the running member that is the leader, or nil if there is none.
func (c *cluster) leader() *member {
	for _, name := range c.order {
		if m := c.members[name]; m.node != nil && m.pausedUntil <= c.now && m.node.Leader() == m.name {
			return m
		}
	}
	return nil
}

// replace makes the leader replace a voter, and reports whether the replacement has begun.
func (c *cluster) replace(outgoing, incoming string) (begun bool) {
	if m := c.leader(); m != nil {
		c.run(m, func(n *Node) { begun = n.Replace(c.now, outgoing, incoming) == nil })
	}
	return begun
}

// settled reports whether no replacement is in progress at the leader, and each voter runs with the folder whose ID the
// leader has recorded.
func (c *cluster) settled() bool {
	m := c.leader()
	if m == nil {
		return false
	}
	voters, settled := m.node.machine.Voters()
	for name, id := range voters {
		o := c.members[name]
		if o.node == nil || o.log.State().Self.ID != id || o.node.machine == nil {
			return false
		}
	}
	return settled
}

// start starts a member that is down.
func (c *cluster) start(m *member) {
	if m.node != nil {
		return
	}
	log, _, err := raftlog.Open(c.folder(m.name), c.random.Uint64()|1)
	if err != nil {
		c.t.Fatal(err)
	}
	m.log = log
	settings := Settings{
		Name:          m.name,
		Voters:        m.configured,
		InitialPolicy: []byte("first"),
		Terms:         policy.DefaultTerms,
	}
	m.node, err = New(c.now, settings, faultyStorage{log, c, m}, slog.New(slog.NewTextHandler(m.logOutput, nil)))
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) startAll() {
	for _, name := range c.order {
		c.start(c.members[name])
	}
}

func (c *cluster) kill(m *member) {
	if m.node == nil {
		return
	}
	if err := m.log.Close(); err != nil {
		c.t.Fatal(err)
	}
	m.node, m.killAtWrite = nil, 0
}

// endFaults ends all faults and starts all members that are down.
func (c *cluster) endFaults() {
	c.loss = 0
	for _, m := range c.members {
		m.pausedUntil, m.killAtWrite, m.failsUntil = 0, 0, 0
	}
	c.startAll()
}

// run passes an event to a member that is neither down nor paused, and performs the resulting actions. It fails the
// test if a suspended member sends a message.
func (c *cluster) run(m *member, do func(*Node)) {
	if m.node == nil || m.pausedUntil > c.now {
		return
	}
	suspended := m.node.Err() != nil
	do(m.node)
	out := m.node.TakeActions()
	if suspended && m.node.Err() != nil && len(out.Send) > 0 {
		c.t.Fatalf("%s sent %d messages while suspended", m.name, len(out.Send))
	}
	if errors.Is(m.node.Err(), errKilled) {
		c.kill(m)
		return
	}
	for _, msg := range out.Send {
		c.send(msg)
	}
	for _, a := range out.LeaseReplies {
		c.leaseReplies[a.Token] = a
	}
}

// send delivers, delays or drops a message.
func (c *cluster) send(msg Message) {
	deliver := func() {
		c.run(c.members[msg.To], func(n *Node) {
			// Messages from earlier incarnations and from other groups may still arrive, and are rejected with an
			// error.
			_ = n.Receive(c.now, msg.Payload)
		})
	}
	switch {
	case c.random.Float64() < c.loss:
	case c.loss > 0 && c.random.IntN(8) == 0:
		c.delayed = append(c.delayed, deliver)
	default:
		deliver()
	}
}

// step runs a tick of all members. It fails the test if two final outcomes of a change differ.
func (c *cluster) step() {
	c.now += consensus.TickInterval
	for _, name := range c.order {
		c.run(c.members[name], func(n *Node) { n.Tick(c.now) })
	}
	if len(c.delayed) > 0 && c.random.IntN(3) == 0 {
		i := c.random.IntN(len(c.delayed))
		deliver := c.delayed[i]
		c.delayed = slices.Delete(c.delayed, i, i+1)
		deliver()
	}
	for _, m := range c.members {
		if m.node != nil && m.node.Ledger() != nil {
			c.checkOutcomes(m)
		}
	}
}

func (c *cluster) checkOutcomes(m *member) {
	c.t.Helper()
	for _, o := range m.node.Ledger().Outcomes() {
		if o.State != policy.InForce && o.State != policy.Refused {
			continue
		}
		if was, seen := c.outcomes[o.ID]; seen && was != o {
			c.t.Fatalf("change %s: first outcome %+v, outcome at %s %+v", o.ID, was, m.name, o)
		}
		c.outcomes[o.ID] = o
	}
}

func (c *cluster) steps(n int) {
	for range n {
		c.step()
	}
}

// propose proposes a change at the leader and returns its ID, or "" if no leader has accepted it.
func (c *cluster) propose() (id string) {
	m := c.leader()
	if m == nil {
		return ""
	}
	c.lastID++
	candidate := fmt.Sprint("p", c.lastID)
	c.run(m, func(n *Node) {
		follows := n.Ledger().InForce().Number
		p := policy.Proposal{ID: candidate, Author: "x", Follows: follows, Text: []byte(candidate)}
		if n.Propose(c.now, p) == nil {
			id = candidate
		}
	})
	return id
}

// requireChange proposes a change, and fails the test if it does not come into force.
func (c *cluster) requireChange(when string) {
	c.t.Helper()
	id := c.propose()
	c.steps(200)
	if id == "" || c.outcomes[id].State != policy.InForce {
		c.t.Fatalf("%s: change %q is not in force: %+v", when, id, c.outcomes[id])
	}
}

// requireInForceEverywhere proposes a change, and fails the test if a member is not running or does not have the change
// in force.
func (c *cluster) requireInForceEverywhere() {
	c.t.Helper()
	id := c.propose()
	c.steps(200)
	for _, m := range c.members {
		if m.node.Err() != nil || m.node.Ledger() == nil {
			c.t.Fatalf("%s: error %v, ledger %v", m.name, m.node.Err(), m.node.Ledger())
		}
		if o := m.node.Ledger().Outcome(id); id == "" || o.State != policy.InForce {
			c.t.Errorf("%s: last change %q has state %v (reason %q)", m.name, id, o.State, o.Reason)
		}
	}
}

package consensus

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"milletramp.example/milletramp/internal/fleet/policy"
)

// stepInterval is the simulated time that one step of a cluster takes.
const stepInterval = 10 * time.Millisecond

var initialPolicy = []byte("first")

// testBootstrap is a group of the voters 1, 2 and 3.
var testBootstrap = Bootstrap{Voters: map[string]uint64{"a": 1, "b": 2, "c": 3}, InitialPolicy: initialPolicy}

// cluster runs voters and sidecars in simulated time. Messages are lost and delayed, and voters and sidecars pause,
// crash, restart and are partitioned. Voters restart from their persisted state.
type cluster struct {
	t             *testing.T
	random        *rand.Rand
	now           time.Duration
	nextOrder     int
	queue         []event
	voters        []*voter
	sidecars      []*sidecar
	loss          float64
	tokens        uint64
	callbacks     map[uint64]func(LeaseReply) // by token
	highestServed uint64
	outcomes      map[string]policy.State // the latest state observed of each change, by ID
	violation     string                  // the last violated invariant; "": none
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type voter struct {
	cluster          *cluster
	id               uint64
	machine          *Machine // nil: crashed
	persisted        PersistentState
	incarnations     map[uint64]uint64
	lostState        bool // part of the persisted state was removed
	pausedUntil      time.Duration
	partitionedUntil time.Duration
	incarnation      int
}

func newCluster(t *testing.T, seed uint64, voters, sidecars int) *cluster {
	c := &cluster{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 0xc0c1)),
		now:       time.Hour,
		callbacks: map[uint64]func(LeaseReply){},
		outcomes:  map[string]policy.State{},
	}
	for i := range voters {
		v := &voter{cluster: c, id: uint64(i + 1), incarnations: map[uint64]uint64{}}
		c.voters = append(c.voters, v)
		v.start()
	}
	for i := range sidecars {
		s := &sidecar{name: fmt.Sprint("n", i)}
		c.sidecars = append(c.sidecars, s)
		s.start()
	}
	return c
}

// testSettings returns the settings of a voter of testBootstrap without persisted state.
func testSettings(id, incarnation uint64) Settings {
	return Settings{
		Identity:  Identity{id, incarnation},
		Bootstrap: testBootstrap,
		Terms:     policy.DefaultTerms,
	}
}

// start starts the voter's next incarnation.
func (v *voter) start() {
	v.incarnation++
	settings := testSettings(v.id, uint64(v.incarnation))
	settings.Incarnations = v.incarnations
	settings.Persisted = v.persisted
	m, err := New(v.cluster.now, settings, slog.New(slog.DiscardHandler))
	if err != nil {
		v.cluster.t.Fatal(err)
	}
	v.machine = m
}

func (c *cluster) schedule(wait time.Duration, do func()) {
	c.nextOrder++
	e := event{c.now + wait, c.nextOrder, do}
	i, _ := slices.BinarySearchFunc(c.queue, e, func(a, b event) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order))
	})
	c.queue = slices.Insert(c.queue, i, e)
}

// send schedules a delivery after the delay of a link, unless the message is lost.
func (c *cluster) send(do func()) {
	if c.random.Float64() < c.loss {
		return
	}
	delay := time.Duration(c.random.Int64N(int64(10 * time.Millisecond)))
	if c.loss > 0 && c.random.IntN(10) == 0 {
		delay = time.Duration(c.random.Int64N(int64(2 * time.Second)))
	}
	c.schedule(delay, do)
}

// run passes an event to a voter, after its pause if it is paused. It then persists batches, and sends the resulting
// messages and replies.
func (v *voter) run(do func(m *Machine)) {
	if v.machine == nil {
		return
	}
	if v.pausedUntil > v.cluster.now {
		incarnation := v.incarnation
		v.cluster.schedule(v.pausedUntil-v.cluster.now, func() {
			if v.incarnation == incarnation {
				v.run(do)
			}
		})
		return
	}
	do(v.machine)
	v.persistBatches()
	out := v.machine.TakeActions()
	for _, msg := range out.Send {
		v.deliver(msg)
	}
	for _, a := range out.LeaseReplies {
		if callback := v.cluster.callbacks[a.Token]; callback != nil {
			delete(v.cluster.callbacks, a.Token)
			v.cluster.send(func() { callback(a) })
		}
	}
}

// persistBatches persists batches until Batch returns no more.
func (v *voter) persistBatches() {
	for {
		b, ok := v.machine.Batch()
		if !ok {
			return
		}
		v.persist(b)
		if err := v.machine.Advance(v.cluster.now); err != nil {
			v.cluster.t.Fatal(err)
		}
		s, err := v.machine.Compact()
		if err != nil {
			v.cluster.t.Fatal(err)
		}
		if s != nil {
			v.persist(Batch{Snapshot: s})
		}
	}
}

// deliver sends a message to another voter, unless one of the two is partitioned.
func (v *voter) deliver(msg Message) {
	to := v.cluster.voters[msg.To-1]
	if v.partitionedUntil > v.cluster.now || to.partitionedUntil > v.cluster.now {
		return
	}
	v.cluster.send(func() {
		to.run(func(m *Machine) {
			err := m.Step(msg.Payload)
			switch {
			case err == nil, errors.Is(err, raft.ErrStepLocalMsg), errors.Is(err, errStaleIncarnation):
			case to.lostState && errors.Is(err, ErrLostState):
			default:
				v.cluster.t.Errorf("voter %d: %v", to.id, err)
			}
		})
	})
}

// persist applies a batch to the simulated disk.
func (v *voter) persist(b Batch) {
	maps.Copy(v.incarnations, b.Incarnations)
	if b.HardState != nil {
		v.persisted.HardState = *b.HardState
	}
	if b.Snapshot != nil {
		v.persisted.Snapshot = *b.Snapshot
		v.dropEntries(func(e raftpb.Entry) bool { return e.Index <= b.Snapshot.Metadata.Index })
	}
	if len(b.Entries) > 0 {
		v.dropEntries(func(e raftpb.Entry) bool { return e.Index >= b.Entries[0].Index })
		v.persisted.Entries = append(v.persisted.Entries, b.Entries...)
	}
}

func (v *voter) dropEntries(drop func(raftpb.Entry) bool) {
	v.persisted.Entries = slices.DeleteFunc(slices.Clone(v.persisted.Entries), drop)
}

// step advances the time by stepInterval and checks the invariants.
func (c *cluster) step() {
	c.now += stepInterval
	for len(c.queue) > 0 && c.queue[0].at <= c.now {
		e := c.queue[0]
		c.queue = c.queue[1:]
		e.do()
	}
	for _, v := range c.voters {
		if c.now%TickInterval < stepInterval && v.pausedUntil <= c.now {
			v.run(func(m *Machine) { m.Tick(c.now) })
		}
	}
	c.stepSidecars()
	for _, v := range c.voters {
		if v.machine != nil {
			c.checkOutcomes(v.machine.Ledger())
		}
	}
}

func (c *cluster) steps(n int) {
	for range n {
		c.step()
	}
}

// checkOutcomes checks that a change is not both committed and refused. The ledgers of the voters may contain different
// prefixes of the log.
func (c *cluster) checkOutcomes(l *policy.Ledger) {
	for _, o := range l.Outcomes() {
		was, known := c.outcomes[o.ID]
		final := was >= policy.Committed && o.State >= policy.Committed
		if known && final && (was == policy.Refused) != (o.State == policy.Refused) {
			c.violation = fmt.Sprintf("%v: change %s was %v and is %v", c.now, o.ID, was, o.State)
		}
		c.outcomes[o.ID] = max(was, o.State)
	}
}

// leader returns the voter that leads and grants leases, or nil if there is none.
func (c *cluster) leader() *voter {
	for _, v := range c.voters {
		if v.machine != nil && v.pausedUntil <= c.now && v.machine.leases != nil && v.machine.Leader() == v.id {
			return v
		}
	}
	return nil
}

// propose proposes a change at the leader and returns its ID, or "" if it was not accepted.
func (c *cluster) propose(text string) (id string) {
	v := c.leader()
	if v == nil {
		return ""
	}
	c.tokens++
	id = fmt.Sprint("p", c.tokens)
	v.run(func(m *Machine) {
		follows := m.Ledger().InForce().Number
		if m.Propose(policy.Proposal{ID: id, Author: "a", Follows: follows, Text: []byte(text)}) != nil {
			id = ""
		}
	})
	return id
}

// startCrashed restarts the crashed voters.
func (c *cluster) startCrashed() {
	for _, v := range c.voters {
		if v.machine == nil {
			v.start()
		}
	}
}

// requireProgress fails the test unless a change comes into force at the leader within three seconds.
func (c *cluster) requireProgress() {
	c.t.Helper()
	id := c.propose("another")
	c.steps(300)
	if l := c.leader(); l == nil || l.machine.Ledger().Outcome(id).State != policy.InForce || c.violation != "" {
		c.t.Errorf("the remaining voters make no progress, or violate an invariant: %q", c.violation)
	}
}

// injectFault pauses, crashes or partitions a randomly drawn voter or sidecar for up to four seconds.
func (c *cluster) injectFault() {
	until := c.now + time.Duration(c.random.Int64N(int64(4*time.Second)))
	v, s := c.voters[c.random.IntN(len(c.voters))], c.sidecars[c.random.IntN(len(c.sidecars))]
	switch c.random.IntN(6) {
	case 0:
		v.pausedUntil = until
	case 1:
		v.partitionedUntil = until
	case 2:
		if v.machine != nil {
			v.machine = nil
			c.schedule(until-c.now, func() {
				if v.machine == nil {
					v.start()
				}
			})
		}
	case 3:
		s.pausedUntil = until
	case 4:
		s.partitionedUntil = until
	case 5:
		s.start()
	}
}

// endFaults ends all faults and restarts crashed voters.
func (c *cluster) endFaults() {
	c.loss = 0
	for _, s := range c.sidecars {
		s.pausedUntil, s.partitionedUntil = 0, 0
	}
	for _, v := range c.voters {
		v.pausedUntil, v.partitionedUntil = 0, 0
	}
	c.startCrashed()
}

package policyagent

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"milletramp.example/milletramp/internal/fleet/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 30 * time.Second

var (
	voters     = []string{"n0", "n1", "n2"}
	shortTerms = policy.Terms{Length: 900 * time.Millisecond, Short: 150 * time.Millisecond, Drift: 0.01}
)

// cluster is sidecars that call each other directly, unless a pair is cut or the call gets lost.
type cluster struct {
	t     *testing.T
	dir   string
	terms policy.Terms

	mu           sync.Mutex
	agents       map[string]*Agent
	incarnations map[string]uint64
	partitioned  map[string]bool // cut off from all others
	lossRate     float64
	faults       map[string]string // what a sidecar says of documents that begin with "bad"
	begun        time.Time
	lastServed   map[uint64]time.Duration // when a look that showed a policy began last
	firstServed  map[uint64]time.Duration // when one that showed it ended first
	stop         chan struct{}
	observers    sync.WaitGroup
}

// peer is a sidecar's way to the others.
type peer struct {
	cluster *cluster
	name    string
}

var errPartitioned = errors.New("cut off")

func (d peer) Call(ctx context.Context, name string, text []byte) ([]byte, error) {
	d.cluster.mu.Lock()
	to, cut, lost := d.cluster.agents[name], d.cluster.partitioned[name] || d.cluster.partitioned[d.name], rand.Float64() < d.cluster.lossRate
	d.cluster.mu.Unlock()
	if to == nil || cut || lost {
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
		return nil, errPartitioned
	}
	return to.Call(ctx, text)
}

func newCluster(t *testing.T, sidecars int) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), terms: shortTerms, agents: map[string]*Agent{}, incarnations: map[string]uint64{}, partitioned: map[string]bool{}, faults: map[string]string{},
		begun: time.Now(), lastServed: map[uint64]time.Duration{}, firstServed: map[uint64]time.Duration{}, stop: make(chan struct{})}
	for i := range sidecars {
		c.start(fmt.Sprint("n", i), false)
	}
	t.Cleanup(func() {
		close(c.stop)
		c.observers.Wait()
		for name := range c.incarnations {
			c.kill(name)
		}
	})
	return c
}

func (c *cluster) start(name string, serveOn bool) {
	c.t.Helper()
	c.mu.Lock()
	c.incarnations[name]++
	life := c.incarnations[name]
	c.mu.Unlock()
	set := Settings{Name: name, Incarnation: life, Voters: voters, InitialPolicy: []byte("first"), Folder: filepath.Join(c.dir, name), Terms: c.terms, ServeWithoutLease: serveOn,
		Check: func(_ uint64, text []byte) string {
			if c.mu.Lock(); strings.HasPrefix(string(text), "bad") {
				defer c.mu.Unlock()
				return c.faults[name]
			}
			c.mu.Unlock()
			return ""
		}}
	agent, err := Start(set, peer{c, name}, slog.New(slog.DiscardHandler))
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agents[name] = agent
	if serveOn {
		return // what it serves without a promise is not held against the others
	}
	c.observers.Add(1)
	go func() {
		defer c.observers.Done()
		c.observe(agent)
	}()
}

// observe notes under what a sidecar serves, as a request would find it.
func (c *cluster) observe(agent *Agent) {
	for {
		select {
		case <-c.stop:
			return
		case <-agent.ctx.Done():
			return
		case <-time.After(time.Millisecond):
		}
		before := time.Since(c.begun)
		number, _, ok := agent.Serves()
		after := time.Since(c.begun)
		if !ok {
			continue
		}
		c.mu.Lock()
		c.lastServed[number] = max(c.lastServed[number], before)
		if at, seen := c.firstServed[number]; !seen || after < at {
			c.firstServed[number] = after
		}
		c.mu.Unlock()
	}
}

func (c *cluster) kill(name string) {
	c.mu.Lock()
	agent := c.agents[name]
	delete(c.agents, name)
	c.mu.Unlock()
	if agent != nil {
		agent.Close()
	}
}

func (c *cluster) agent(name string) *Agent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agents[name]
}

func (c *cluster) locked(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	do()
}

// checkNoOverlap fails where two policies were served at once.
func (c *cluster) checkNoOverlap() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, last := range c.lastServed {
		for next, at := range c.firstServed {
			if next > number && at < last {
				c.t.Errorf("policy %d was served until %v, and %d from %v on", number, last, next, at)
			}
		}
	}
}

func (c *cluster) waitUntil(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("never: %s", what)
		}
	}
}

// allServe tells whether these serve under a policy.
func (c *cluster) allServe(number uint64, names ...string) bool {
	for _, name := range names {
		if n, _, ok := c.agent(name).Serves(); !ok || n != number {
			return false
		}
	}
	return true
}

func (c *cluster) propose(at, id string, follows uint64, text string) policy.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return c.agent(at).Propose(ctx, policy.Proposal{ID: id, Author: "x", Follows: follows, Text: []byte(text)})
}

var sixNames = []string{"n0", "n1", "n2", "n3", "n4", "n5"}

// TestChangeReachesAll: all well, a change proposed anywhere is in force everywhere, the next author who follows the former policy is told
// so, one reasoned no refuses a change for all, and a document can be had again.
func TestChangeReachesAll(t *testing.T) {
	c := newCluster(t, 6)
	c.waitUntil("all serve", func() bool { return c.allServe(1, sixNames...) })
	if o := c.propose("n4", "c1", 1, "second"); o.State != policy.InForce || o.Number != 2 {
		t.Fatalf("%+v", o)
	}
	c.waitUntil("all serve under it", func() bool { return c.allServe(2, sixNames...) })
	if o := c.propose("n5", "c2", 1, "other"); o.State != policy.Refused || !strings.Contains(o.Reason, "2 is in force") {
		t.Errorf("%+v of one that follows the former policy", o)
	}
	c.locked(func() { c.faults["n3"] = "class x has no effect" })
	if o := c.propose("n0", "c3", 2, "bad"); o.State != policy.Refused || !strings.Contains(o.Reason, "n3: class x has no effect") {
		t.Errorf("%+v, one says no", o)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if o := c.agent("n5").Outcome(ctx, "c1"); o.State != policy.InForce {
		t.Errorf("asked again: %+v", o)
	}
	for number, want := range map[uint64]string{0: "second", 1: "first", 2: "second"} {
		if d, err := c.agent("n4").Document(ctx, number); err != nil || string(d.Text) != want {
			t.Errorf("document %d: %q, error %v", number, d.Text, err)
		}
	}
	s := c.agent("n3").Status(ctx)
	if s.Serves != 2 || len(s.Voters) != 3 || len(s.Unresponsive) != 0 || s.WithoutLease {
		t.Errorf("%+v", s)
	}
	c.checkNoOverlap()
}

// TestPartitionedSidecar: a sidecar that is cut off during a change stops by itself before the others begin with the new policy, and serves
// again once it has learnt it. One that was told to serve on goes on, and says so.
func TestPartitionedSidecar(t *testing.T) {
	c := newCluster(t, 5)
	c.start("n5", true)
	c.waitUntil("all serve", func() bool { return c.allServe(1, sixNames...) })
	c.locked(func() { c.partitioned["n4"], c.partitioned["n5"] = true, true })
	if o := c.propose("n3", "c1", 1, "second"); o.State != policy.InForce {
		t.Fatalf("%+v", o)
	}
	c.waitUntil("the others serve under it", func() bool { return c.allServe(2, sixNames[:4]...) })
	if _, _, ok := c.agent("n4").Serves(); ok {
		t.Error("one that is cut off serves on")
	}
	if n, _, ok := c.agent("n5").Serves(); !ok || n != 1 {
		t.Errorf("one that is to serve on: %d, %v", n, ok)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if s := c.agent("n5").Status(ctx); !s.WithoutLease || len(s.Unresponsive) != 3 {
		t.Errorf("%+v", s)
	}
	c.locked(func() { clear(c.partitioned) })
	c.waitUntil("all serve under it", func() bool { return c.allServe(2, sixNames...) })
	c.checkNoOverlap()
}

// TestVotersLost: with one of three deciders lost changes go on; with two, serving ends when the promise does, and goes on when
// they come back with their folders. What was in force is.
func TestVotersLost(t *testing.T) {
	c := newCluster(t, 5)
	five := sixNames[:5]
	c.waitUntil("all serve", func() bool { return c.allServe(1, five...) })
	c.kill("n0")
	if o := c.propose("n4", "c1", 1, "second"); o.State != policy.InForce {
		t.Fatalf("with one lost: %+v", o)
	}
	c.kill("n1")
	c.waitUntil("promises end", func() bool { _, _, ok := c.agent("n4").Serves(); return !ok })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if o := c.agent("n4").Propose(ctx, policy.Proposal{ID: "c2", Follows: 2, Text: []byte("third")}); o.State == policy.InForce || o.State == policy.Refused {
		t.Errorf("with two lost: %+v", o)
	}
	c.start("n0", false)
	c.start("n1", false)
	c.waitUntil("all serve", func() bool { return c.allServe(2, five...) || c.allServe(3, five...) })
	c.checkNoOverlap()
}

// TestChangesUnderFaults proposes one change after another while messages get lost and sidecars, deciders too, are cut off and started anew.
func TestChangesUnderFaults(t *testing.T) {
	c := newCluster(t, 6)
	c.waitUntil("all serve", func() bool { return c.allServe(1, sixNames...) })
	c.locked(func() { c.lossRate = 0.15 })
	rng := rand.New(rand.NewPCG(1, 2))
	now := uint64(1)
	for i := range 6 {
		who := sixNames[rng.IntN(len(sixNames))]
		switch rng.IntN(3) {
		case 0:
			c.locked(func() { c.partitioned[who] = true })
		case 1:
			c.kill(who)
			c.start(who, false)
		}
		at := sixNames[rng.IntN(len(sixNames))]
		if at == who {
			at = sixNames[(rng.IntN(len(sixNames)-1)+1+int(who[1]-'0'))%len(sixNames)]
		}
		if o := c.propose(at, fmt.Sprint("c", i), now, fmt.Sprint("text ", i)); o.State != policy.InForce {
			t.Errorf("change %d, proposed at %s with faults at %s: %+v", i, at, who, o)
		} else {
			now = o.Number
		}
		c.locked(func() { clear(c.partitioned) })
	}
	c.locked(func() { c.lossRate = 0 })
	c.waitUntil("all serve under the last", func() bool { return c.allServe(now, sixNames...) })
	c.checkNoOverlap()
}

var sizesFlag = flag.String("policyagent.sizes", "", "numbers of sidecars, by commas, that TestChangeDurations times changes at")

// TestChangeDurations prints how long changes take, from proposing to in force, with the usual promise: all well, with one of ten sidecars
// silent, and with a fifth of all calls lost.
func TestChangeDurations(t *testing.T) {
	if *sizesFlag == "" {
		t.Skip("no sizes are named by -policyagent.sizes")
	}
	for _, text := range strings.Split(*sizesFlag, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 10 {
			t.Fatalf("size %q", text)
		}
		c := newCluster(t, 0)
		c.terms = policy.DefaultTerms
		var all []string
		for i := range n {
			all = append(all, fmt.Sprint("n", i))
			c.start(all[i], false)
		}
		c.waitUntil("all serve", func() bool { return c.allServe(1, all...) })
		now := uint64(1)
		change := func(what string, by string) {
			var took []time.Duration
			for i := range 5 {
				begun := time.Now()
				o := c.propose(by, fmt.Sprint(what, i), now, fmt.Sprint(what, " text ", i))
				took = append(took, time.Since(begun).Round(10*time.Millisecond))
				if o.State != policy.InForce {
					t.Fatalf("%d sidecars, %s: %+v", n, what, o)
				}
				now = o.Number
			}
			slices.Sort(took)
			t.Logf("%d sidecars, %s: %v to %v, median %v", n, what, took[0], took[len(took)-1], took[len(took)/2])
		}
		change("all well", "n3")
		c.locked(func() { c.lossRate = 0.2 })
		change("a fifth of the calls lost", "n4")
		c.locked(func() {
			c.lossRate = 0
			for i := 3; i < n; i += 10 {
				c.partitioned[all[i]] = true
			}
		})
		change("one of ten silent", "n4") // the first of them finds promises that are waited for
		c.checkNoOverlap()
		for _, name := range all {
			c.kill(name)
		}
	}
}

// TestRaisedIncarnation has the fleet come to a higher life of a sidecar, and then be told of a lower one: it asks under the
// highest.
func TestRaisedIncarnation(t *testing.T) {
	c := newCluster(t, 1)
	agent := c.agent("n0")
	for _, life := range []uint64{7, 5} {
		agent.RaiseIncarnation(life)
		agent.mu.Lock()
		if got := agent.holder.Request().Incarnation; got != 7 {
			t.Errorf("it asks under life %d, want 7", got)
		}
		agent.mu.Unlock()
	}
}

package policyagent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/fleet/policy"
)

const (
	testTimeout   = 30 * time.Second
	lostCallDelay = 20 * time.Millisecond // until the caller of a lost call receives an error
)

var (
	voters     = []string{"n0", "n1", "n2"}
	shortTerms = policy.Terms{Length: 900 * time.Millisecond, ShortLength: 150 * time.Millisecond, Drift: 0.01}
	errNetwork = errors.New("peer not reachable")
)

// cluster is a set of sidecars that call each other directly, unless one of them is partitioned or the call is lost.
type cluster struct {
	t     *testing.T
	dir   string
	terms policy.Terms
	log   slog.Handler // of sidecars started from now on

	mu           sync.Mutex
	agents       map[string]*Agent
	incarnations map[string]uint64
	partitioned  map[string]bool // from all others
	lossRate     float64
	faults       map[string]string // by sidecar, found in documents with the prefix "bad"
	begun        time.Time
	lastServed   map[uint64]time.Duration // by policy, start of the latest observation
	firstServed  map[uint64]time.Duration // by policy, end of the earliest observation
	stop         chan struct{}
	observers    sync.WaitGroup
}

// peer implements Peers for one sidecar of a cluster.
type peer struct {
	*cluster
	name string
}

// Call implements Peers.
func (p peer) Call(ctx context.Context, name string, text []byte) ([]byte, error) {
	p.mu.Lock()
	to := p.agents[name]
	lost := p.partitioned[name] || p.partitioned[p.name] || rand.Float64() < p.lossRate
	p.mu.Unlock()
	if to == nil || lost {
		sleep(ctx, lostCallDelay)
		return nil, errNetwork
	}
	return to.Call(ctx, text)
}

func newCluster(t *testing.T, sidecars int) *cluster {
	t.Helper()
	c := &cluster{
		t:            t,
		dir:          t.TempDir(),
		terms:        shortTerms,
		log:          slog.DiscardHandler,
		agents:       map[string]*Agent{},
		incarnations: map[string]uint64{},
		partitioned:  map[string]bool{},
		faults:       map[string]string{},
		begun:        time.Now(),
		lastServed:   map[uint64]time.Duration{},
		firstServed:  map[uint64]time.Duration{},
		stop:         make(chan struct{}),
	}
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

// settings returns the settings of a new process of a sidecar.
func (c *cluster) settings(name string) Settings {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incarnations[name]++
	return Settings{
		Name:          name,
		Incarnation:   c.incarnations[name],
		Voters:        voters,
		InitialPolicy: []byte("first"),
		Folder:        filepath.Join(c.dir, name),
		Terms:         c.terms,
		Check: func(_ uint64, text []byte) string {
			if !strings.HasPrefix(string(text), "bad") {
				return ""
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.faults[name]
		},
	}
}

// start starts a sidecar. A sidecar with serveWithoutLease is excluded from the check for overlaps.
func (c *cluster) start(name string, serveWithoutLease bool) {
	c.t.Helper()
	settings := c.settings(name)
	settings.ServeWithoutLease = serveWithoutLease
	agent, err := Start(settings, peer{c, name}, slog.New(c.log))
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agents[name] = agent
	if serveWithoutLease {
		return
	}
	c.observers.Add(1)
	go func() { // ended by the cluster's cleanup, or when the agent is closed
		defer c.observers.Done()
		c.observe(agent)
	}()
}

// observe records the policies under which a sidecar serves, as a request would see them.
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

func (c *cluster) withLock(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	do()
}

// checkNoOverlap fails the test if two policies were served at the same time.
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
			c.t.Fatalf("timeout: %s", what)
		}
	}
}

// waitAllServe waits until all named sidecars serve under a policy.
func (c *cluster) waitAllServe(number uint64, names ...string) {
	c.t.Helper()
	what := fmt.Sprintf("%v serve under policy %d", names, number)
	c.waitUntil(what, func() bool { return c.allServe(number, names...) })
}

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

// proposeInForce proposes a change that must come into force, and returns its number.
func (c *cluster) proposeInForce(at, id string, follows uint64, text string) uint64 {
	c.t.Helper()
	outcome := c.propose(at, id, follows, text)
	if outcome.State != policy.InForce {
		c.t.Fatalf("change %s is not in force: %+v", id, outcome)
	}
	return outcome.Number
}

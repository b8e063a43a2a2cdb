// Package baseline has other ways to choose a node, to compare the decision module with: what a user would get from a plain
// load balancer. They keep the same rules on repeats and drains, retry up to two times, and refuse nothing of themselves.
// They exist in the simulated plane alone.
package baseline

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/sim"
)

// Names are the baseline policies.
var Names = []string{"random", "round-robin", "least-requests", "two-choices", "oracle"}

// New returns the maker of a policy: a baseline policy, or the decision module itself as "module".
func New(name string) (sim.NewPolicyFunc, error) {
	if name == "module" || name == "" {
		return sim.NewModule, nil
	}
	if !slices.Contains(Names, name) {
		return nil, fmt.Errorf("unknown policy %q, known are module, %s", name, strings.Join(Names, ", "))
	}
	return func(set balance.Settings, act balance.Actions, view sim.View) (sim.Policy, error) {
		return &baseline{name: name, set: set, act: act, view: view, rng: rand.New(rand.NewPCG(set.Seed, 0x217a1)),
			requests: map[balance.RequestID]*request{}, out: map[string]int{}}, nil
	}, nil
}

const mostAttempts = 3

type baseline struct {
	name     string
	set      balance.Settings
	act      balance.Actions
	view     sim.View
	rng      *rand.Rand
	list     []balance.Endpoint // by id
	ready    []balance.Endpoint
	next     int
	out      map[string]int // attempts of this sidecar in flight
	requests map[balance.RequestID]*request
}

type request struct {
	balance.Request
	deadline balance.Time
	over     bool
	attempts []attempt
	out      int
}

type attempt struct {
	to     balance.Endpoint
	sent   balance.Time
	done   bool
	mayRun bool
}

// Request implements sim.Policy, as do the methods after it.
func (b *baseline) Request(now balance.Time, r balance.Request) {
	q := &request{Request: r, deadline: now + r.Timeout}
	b.requests[r.ID] = q
	b.try(now, q)
}

func (b *baseline) try(now balance.Time, q *request) {
	var may []balance.Endpoint
	if len(q.attempts) < mostAttempts && now < q.deadline {
		for _, e := range b.ready {
			if b.mayGo(now, q, e) {
				may = append(may, e)
			}
		}
	}
	if len(may) == 0 {
		b.finish(q)
		return
	}
	to := may[b.choose(q, may)]
	q.attempts = append(q.attempts, attempt{to: to, sent: now})
	q.out++
	b.out[to.ID]++
	b.act.Send(q.ID, to.ID, 0)
}

// choose picks one of the nodes that the request may go to.
func (b *baseline) choose(q *request, may []balance.Endpoint) int {
	least := func(cost func(e balance.Endpoint) float64) int {
		best, lowest := 0, math.Inf(1)
		from := b.rng.IntN(len(may)) // ties go to anyone
		for i := range may {
			k := (from + i) % len(may)
			if c := cost(may[k]); c < lowest {
				best, lowest = k, c
			}
		}
		return best
	}
	held := func(e balance.Endpoint) float64 { return float64(b.out[e.ID]) }
	switch b.name {
	case "round-robin":
		b.next++
		return b.next % len(may)
	case "least-requests":
		return least(held)
	case "two-choices": // Mitzenmacher, 2001
		x, y := b.rng.IntN(len(may)), b.rng.IntN(len(may))
		if held(may[y]) < held(may[x]) {
			return y
		}
		return x
	case "oracle":
		return least(func(e balance.Endpoint) float64 {
			return b.view.ResponseTime(b.set.Ordinal, e.ID, q.Class, b.set.Classes[q.Class].LatencyObjective.Seconds()/4)
		})
	}
	return b.rng.IntN(len(may))
}

func (b *baseline) mayGo(now balance.Time, q *request, e balance.Endpoint) bool {
	c := b.set.Classes[q.Class]
	for _, a := range q.attempts {
		switch {
		case a.to.ID == e.ID:
			return false
		case a.done && !a.mayRun || c.Effect == balance.Idempotent:
		case c.Effect == balance.AtMostOnce, now-a.sent > c.DedupeWindow-time.Second/2,
			c.Scope == balance.ScopeZone && a.to.Zone != e.Zone, c.Scope == balance.ScopePodGroup && a.to.PodGroup != e.PodGroup:
			return false
		}
	}
	return true
}

func (b *baseline) finish(q *request) {
	c := b.set.Classes[q.Class]
	if c.Effect == balance.Idempotent || c.Effect == balance.Deduplicated && c.Scope == balance.ScopeAll ||
		!slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.done || a.mayRun }) {
		b.act.Reject(q.ID, 0)
	} else {
		b.act.Fail(q.ID)
	}
	b.end(q)
}

func (b *baseline) end(q *request) {
	for i := range q.attempts {
		if !q.attempts[i].done && !q.over {
			b.act.Cancel(q.ID, i)
		}
	}
	if q.over = true; q.out == 0 {
		delete(b.requests, q.ID)
	}
}

// Result takes in how an attempt ended.
func (b *baseline) Result(now balance.Time, r balance.Result) {
	q := b.requests[r.ID]
	if q == nil || q.attempts[r.Attempt].done {
		return
	}
	a := &q.attempts[r.Attempt]
	a.done = true
	a.mayRun = r.Outcome != balance.Saturated && r.Outcome != balance.ConnectFailed && r.Outcome != balance.NotSent
	q.out--
	b.out[a.to.ID]--
	switch {
	case r.Finished || q.over:
		b.end(q)
	case q.out == 0:
		b.try(now, q)
	}
}

// ClientGone takes in that the client has left.
func (b *baseline) ClientGone(_ balance.Time, id balance.RequestID) {
	if q := b.requests[id]; q != nil && !q.over {
		b.end(q)
	}
}

// Endpoints takes in discovery's news.
func (b *baseline) Endpoints(_ balance.Time, kind balance.ListKind, list []balance.Endpoint) {
	if kind == balance.ListRefused {
		return
	}
	if kind != balance.ListChanges {
		b.list = nil
	}
	for _, e := range list {
		at, ok := slices.BinarySearchFunc(b.list, e.ID, func(x balance.Endpoint, id string) int { return strings.Compare(x.ID, id) })
		if ok {
			b.list[at] = e
		} else {
			b.list = slices.Insert(b.list, at, e)
		}
	}
	b.ready = b.ready[:0]
	for _, e := range b.list {
		if e.State == balance.Ready {
			b.ready = append(b.ready, e)
		}
	}
}

// Timer does nothing: no baseline policy asks for one.
func (b *baseline) Timer(balance.Time, uint64) {}

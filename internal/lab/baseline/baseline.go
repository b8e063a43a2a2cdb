// Package baseline provides simple load-balancing policies for comparison with the decision module. They stand for a
// plain load balancer. They follow the same rules on repeated attempts and draining, retry up to two times, and do not
// shed load. They run only in simulated time.
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

// Names lists the names of the baseline policies.
var Names = []string{"random", "round-robin", "least-requests", "two-choices", "oracle"}

// New returns the constructor of the named policy: a baseline policy, or the decision module for "module" or "".
func New(name string) (sim.NewPolicyFunc, error) {
	if name == "module" || name == "" {
		return sim.NewModule, nil
	}
	if !slices.Contains(Names, name) {
		return nil, fmt.Errorf("unknown policy %q, known are module, %s", name, strings.Join(Names, ", "))
	}
	return func(settings balance.Settings, actions balance.Actions, view sim.View) (sim.Policy, error) {
		return &baseline{
			name:     name,
			settings: settings,
			actions:  actions,
			view:     view,
			random:   rand.New(rand.NewPCG(settings.Seed, 0x217a1)),
			requests: map[balance.RequestID]*request{},
			inFlight: map[string]int{},
		}, nil
	}, nil
}

// maxAttempts is the maximum number of attempts per request, including the first.
const maxAttempts = 3

// baseline implements the policies in Names for one sidecar.
type baseline struct {
	name     string
	settings balance.Settings
	actions  balance.Actions
	view     sim.View
	random   *rand.Rand
	list     []balance.Endpoint // sorted by id
	ready    []balance.Endpoint
	next     int
	inFlight map[string]int // number of this sidecar's attempts in flight, by endpoint id
	requests map[balance.RequestID]*request
}

type request struct {
	balance.Request
	deadline balance.Time
	finished bool
	attempts []attempt
	inFlight int
}

type attempt struct {
	to     balance.Endpoint
	sent   balance.Time
	done   bool
	mayRun bool // whether the server may have executed it, or may still do so
}

// Request implements sim.Policy.
func (b *baseline) Request(now balance.Time, r balance.Request) {
	q := &request{Request: r, deadline: now + r.Timeout}
	b.requests[r.ID] = q
	b.sendAttempt(now, q)
}

// sendAttempt sends another attempt of a request, or finishes the request if no endpoint is allowed.
func (b *baseline) sendAttempt(now balance.Time, q *request) {
	var allowed []balance.Endpoint
	if len(q.attempts) < maxAttempts && now < q.deadline {
		for _, e := range b.ready {
			if b.isAllowed(now, q, e) {
				allowed = append(allowed, e)
			}
		}
	}
	if len(allowed) == 0 {
		b.finish(q)
		return
	}
	to := allowed[b.choose(q, allowed)]
	q.attempts = append(q.attempts, attempt{to: to, sent: now})
	q.inFlight++
	b.inFlight[to.ID]++
	b.actions.Send(q.ID, to.ID, 0)
}

// choose returns the index of the endpoint to which the policy sends the request.
func (b *baseline) choose(q *request, allowed []balance.Endpoint) int {
	least := func(cost func(e balance.Endpoint) float64) int {
		best, lowest := 0, math.Inf(1)
		from := b.random.IntN(len(allowed)) // a random start index breaks ties
		for i := range allowed {
			k := (from + i) % len(allowed)
			if c := cost(allowed[k]); c < lowest {
				best, lowest = k, c
			}
		}
		return best
	}
	inFlight := func(e balance.Endpoint) float64 { return float64(b.inFlight[e.ID]) }
	switch b.name {
	case "round-robin":
		b.next++
		return b.next % len(allowed)
	case "least-requests":
		return least(inFlight)
	case "two-choices": // Mitzenmacher, 2001
		x, y := b.random.IntN(len(allowed)), b.random.IntN(len(allowed))
		if inFlight(allowed[y]) < inFlight(allowed[x]) {
			return y
		}
		return x
	case "oracle":
		return least(func(e balance.Endpoint) float64 {
			work := b.settings.Classes[q.Class].LatencyObjective.Seconds() / 4
			return b.view.ResponseTime(b.settings.Ordinal, e.ID, q.Class, work)
		})
	}
	return b.random.IntN(len(allowed))
}

// isAllowed reports whether a request may be sent to an endpoint, given its earlier attempts.
func (b *baseline) isAllowed(now balance.Time, q *request, e balance.Endpoint) bool {
	c := b.settings.Classes[q.Class]
	for _, a := range q.attempts {
		switch {
		case a.to.ID == e.ID:
			return false
		case a.done && !a.mayRun || c.Effect == balance.Idempotent:
		case c.Effect == balance.AtMostOnce, now-a.sent > c.DedupeWindow-time.Second/2,
			c.Scope == balance.ScopeZone && a.to.Zone != e.Zone,
			c.Scope == balance.ScopePodGroup && a.to.PodGroup != e.PodGroup:
			return false
		}
	}
	return true
}

// finish ends a request that was not served. It rejects the request if it cannot have had an effect or may safely be
// repeated, and fails it otherwise.
func (b *baseline) finish(q *request) {
	c := b.settings.Classes[q.Class]
	if c.Effect == balance.Idempotent || c.Effect == balance.Deduplicated && c.Scope == balance.ScopeAll ||
		!slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.done || a.mayRun }) {
		b.actions.Reject(q.ID, 0)
	} else {
		b.actions.Fail(q.ID)
	}
	b.end(q)
}

// end marks a request as finished and cancels its attempts in flight, if it was not finished before.
func (b *baseline) end(q *request) {
	for i := range q.attempts {
		if !q.attempts[i].done && !q.finished {
			b.actions.Cancel(q.ID, i)
		}
	}
	if q.finished = true; q.inFlight == 0 {
		delete(b.requests, q.ID)
	}
}

// Result implements sim.Policy.
func (b *baseline) Result(now balance.Time, r balance.Result) {
	q := b.requests[r.ID]
	if q == nil || q.attempts[r.Attempt].done {
		return
	}
	a := &q.attempts[r.Attempt]
	a.done = true
	a.mayRun = r.Outcome != balance.Saturated && r.Outcome != balance.ConnectFailed && r.Outcome != balance.NotSent
	q.inFlight--
	b.inFlight[a.to.ID]--
	switch {
	case r.Finished || q.finished:
		b.end(q)
	case q.inFlight == 0:
		b.sendAttempt(now, q)
	}
}

// ClientGone implements sim.Policy.
func (b *baseline) ClientGone(_ balance.Time, id balance.RequestID) {
	if q := b.requests[id]; q != nil && !q.finished {
		b.end(q)
	}
}

// Endpoints implements sim.Policy.
func (b *baseline) Endpoints(_ balance.Time, kind balance.ListKind, list []balance.Endpoint) {
	if kind == balance.ListFailed {
		return
	}
	if kind != balance.ListChanges {
		b.list = nil
	}
	for _, e := range list {
		at, ok := slices.BinarySearchFunc(b.list, e.ID, compareID)
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

func compareID(e balance.Endpoint, id string) int { return strings.Compare(e.ID, id) }

// Timer implements sim.Policy. It does nothing, as no baseline policy sets a timer.
func (b *baseline) Timer(balance.Time, uint64) {}

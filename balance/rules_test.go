package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// checker is a host that checks every action against the rules. It tracks requests and endpoints
// independently of the Balancer.
type checker struct {
	set           Settings
	now           Time
	requests      map[RequestID]*openRequest
	servers       map[string]*server
	order         []string // server IDs
	timers        map[Time][]uint64
	subscriptions int
	faults        []string
	sends         int
	done          []string        // actions in order
	adminDown     map[string]bool // servers that are administratively down
}

// openRequest is a request without a final response, or with attempts in flight.
type openRequest struct {
	class    *Class
	deadline Time
	ended    bool
	attempts []sentAttemptState
}

// sentAttemptState is one attempt of a request.
type sentAttemptState struct {
	to      string
	sent    Time
	sendBy  Time // when it has to have reached the server; 0: no limit
	done    bool
	ran     bool
	notSent bool // done, and never reached an endpoint
}

type server struct {
	Endpoint
	listed bool
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

func (c *checker) Send(id RequestID, to string, timeout time.Duration) {
	c.sends++
	c.done = append(c.done, fmt.Sprint("send ", id, to))
	r, s := c.requests[id], c.servers[to]
	if r == nil || r.ended {
		c.fault("rule 1: send for request %d, which is over", id)
		return
	}
	if s == nil || !s.listed || s.State != Ready {
		c.fault("rule 3: send to %s, which is not ready", to)
		return
	}
	if c.adminDown[to] {
		c.fault("send to %s, which is administratively down", to)
	}
	if timeout < 0 {
		c.fault("negative timeout")
	}
	if len(r.attempts) >= c.set.MaxAttempts {
		c.fault("attempt %d exceeds MaxAttempts", len(r.attempts))
	}
	inFlight := 0
	for _, a := range r.attempts {
		if !a.done {
			inFlight++
		}
		if inFlight > 1 || inFlight > 0 && !c.set.HedgingAllowed {
			c.fault("rule 2: %d attempts of request %d are in flight already", inFlight, id)
		}
		if a.done && !a.ran || r.class.Effect == Idempotent {
			continue
		}
		first := c.servers[a.to]
		switch {
		case r.class.Effect == AtMostOnce:
			c.fault("rule 2: at-most-once request %d is repeated", id)
		case c.now-a.sent >= r.class.DedupeWindow:
			c.fault("rule 2: request %d is repeated after its dedupe window", id)
		case r.class.Scope == ScopeZone && first.Zone != s.Zone,
			r.class.Scope == ScopePodGroup && first.PodGroup != s.PodGroup:
			c.fault("rule 2: request %d is repeated outside its scope", id)
		}
	}
	r.attempts = append(r.attempts, sentAttemptState{to: to, sent: c.now})
	c.SetSendTimeout(id, len(r.attempts)-1, timeout)
	c.checkSendLimits(id, r)
}

func (c *checker) SetSendTimeout(id RequestID, attempt int, timeout time.Duration) {
	r := c.requests[id]
	if r == nil || attempt >= len(r.attempts) || r.attempts[attempt].done || timeout < 0 {
		c.fault("send timeout of %v for request %d, attempt %d", timeout, id, attempt)
		return
	}
	r.attempts[attempt].sendBy = 0
	if timeout > 0 {
		r.attempts[attempt].sendBy = c.now + timeout
	}
}

// checkSendLimits checks that no attempt in flight at a deduplicated request can arrive after the dedupe window of
// another one that may have been executed, and that there is no other limit.
func (c *checker) checkSendLimits(id RequestID, r *openRequest) {
	for i, a := range r.attempts {
		if a.done {
			continue
		}
		limited := false
		for j, other := range r.attempts {
			if i == j || other.done && !other.ran || r.class.Effect != Deduplicated {
				continue
			}
			limited = true
			if a.sendBy == 0 || a.sendBy > other.sent+r.class.DedupeWindow {
				c.fault("rule 2: attempt %d of request %d may arrive by %v, after the window of attempt %d, sent at %v", i, id,
					a.sendBy, j, other.sent)
			}
		}
		if !limited && a.sendBy != 0 {
			c.fault("attempt %d of request %d has to arrive by %v, although no other one may have been executed", i, id,
				a.sendBy)
		}
	}
}

// finish ends a request with a final response and returns it, or nil if it is over.
func (c *checker) finish(id RequestID) *openRequest {
	c.done = append(c.done, fmt.Sprint("end ", id))
	r := c.requests[id]
	if r == nil || r.ended {
		c.fault("rule 1: second response to request %d", id)
		return nil
	}
	if c.now > r.deadline+10*time.Millisecond {
		c.fault("rule 1: late response to request %d", id)
	}
	r.ended = true
	return r
}

func (c *checker) Reject(id RequestID, after time.Duration) {
	r := c.finish(id)
	if r == nil {
		return
	}
	if after < 0 || after.Seconds() > c.shortestObjective() {
		c.fault("Retry-After of %v", after) // a retry after the latency objective is too late
	}
	for _, a := range r.attempts {
		if (!a.done || a.ran) &&
			(r.class.Effect == AtMostOnce || r.class.Effect == Deduplicated && r.class.Scope != ScopeAll) {
			c.fault("rule 2: rejection of request %d, which may have been executed", id)
		}
	}
}

// shortestObjective returns the shortest latency objective in seconds.
func (c *checker) shortestObjective() float64 {
	shortest := c.set.Classes[0].LatencyObjective
	for _, class := range c.set.Classes {
		shortest = min(shortest, class.LatencyObjective)
	}
	return shortest.Seconds()
}

func (c *checker) Fail(id RequestID) { c.finish(id) }

func (c *checker) Cancel(id RequestID, attempt int) {
	if r := c.requests[id]; !c.set.CancelAllowed || r == nil || attempt >= len(r.attempts) {
		c.fault("cancel of request %d, attempt %d", id, attempt)
	}
}

func (c *checker) Timer(after time.Duration, token uint64) {
	at := c.now + max(after, time.Millisecond)
	at = at.Truncate(time.Millisecond)
	c.timers[at] = append(c.timers[at], token)
}

func (c *checker) Subscribe() {
	if !c.set.PollDiscovery {
		c.fault("Subscribe called although changes are pushed")
	}
	c.subscriptions++
}

func (c *checker) Log(string) {}

// play runs a random sequence of events in steps of a millisecond and returns the checker with its faults.
func play(t testing.TB, seed uint64, steps int) *checker {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	flip := func(p float64) bool { return rng.Float64() < p }
	set := settings()
	set.Seed, set.Peers, set.Ordinal = seed, 1+rng.IntN(5), 0
	set.MaxAttempts = 1 + rng.IntN(4)
	set.CancelAllowed, set.HedgingAllowed = flip(.5), flip(.7)
	set.PollDiscovery, set.MaxListAge = flip(.7), 10*time.Second
	set.Tenants = []Tenant{{"a", 40}, {"b", 20}}
	set.Classes = nil
	for i, e := range []Effect{Idempotent, Deduplicated, Deduplicated, Deduplicated, AtMostOnce} {
		set.Classes = append(set.Classes, Class{Name: fmt.Sprint(i), Effect: e, Scope: Scope((i - 1 + 3) % 3),
			DedupeWindow: 300 * time.Millisecond, LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, Priority: float64(1 + i)})
	}
	c := &checker{
		set:       set,
		now:       time.Minute,
		requests:  map[RequestID]*openRequest{},
		servers:   map[string]*server{},
		timers:    map[Time][]uint64{},
		adminDown: map[string]bool{},
	}
	operator := rand.New(rand.NewPCG(seed, 8))
	b, err := New(set, c)
	if err != nil {
		t.Fatal(err)
	}
	var list []Endpoint
	for i := range 1 + rng.IntN(8) {
		list = append(
			list,
			Endpoint{ID: fmt.Sprint("s", i), Zone: set.Zones[rng.IntN(2)], Kind: set.Kinds[rng.IntN(2)],
				PodGroup: rng.IntN(2), Weight: 1},
		)
	}
	applyList := func(kind ListKind, entries []Endpoint) {
		if kind != ListChanges {
			for _, s := range c.servers {
				s.listed = false
			}
		}
		for _, e := range entries {
			s := c.servers[e.ID]
			if s == nil {
				s = &server{}
				c.servers[e.ID] = s
				c.order = append(c.order, e.ID)
			}
			s.Endpoint, s.listed = e, e.State != Removed
		}
		b.Endpoints(c.now, kind, entries)
	}
	applyList(ListCached, list)
	faults := map[string]Outcome{} // faulty servers and the outcome of their attempts
	type ending struct {
		at  Time
		id  RequestID
		n   int
		how Outcome
	}
	var endings []ending
	var next RequestID
	for range steps {
		c.now += time.Millisecond
		for _, token := range c.timers[c.now] {
			b.Timer(c.now, token)
		}
		delete(c.timers, c.now)
		for ; c.subscriptions > 0; c.subscriptions-- {
			if flip(.5) {
				b.Endpoints(c.now, ListFailed, nil)
			} else {
				applyList(ListFull, list)
			}
		}
		if flip(.01) { // the list changes
			i := rng.IntN(len(list))
			e := &list[i]
			switch rng.IntN(4) {
			case 0:
				e.State = Draining
			case 1:
				e.State, e.Started = Ready, c.now-time.Duration(rng.IntN(3000))*time.Millisecond
			case 2:
				e.State = Removed
			case 3:
				e.State = Ready
			}
			kind, entries := ListChanges, []Endpoint{*e}
			if flip(.3) {
				kind = ListFull
				entries = slices.DeleteFunc(slices.Clone(list), func(e Endpoint) bool { return e.State == Removed })
			}
			applyList(kind, entries)
		}
		if operator.Float64() < .01 { // the operator sets a server, listed or not, administratively down or up
			id, down := list[operator.IntN(len(list))].ID, operator.IntN(2) == 0
			known := c.servers[id].listed || c.adminDown[id]
			if got := b.SetAdminDown(c.now, id, down); got != known {
				c.fault("SetAdminDown reports server %s as known: %v, want %v", id, got, known)
			} else if known {
				c.adminDown[id] = down
			}
		}
		if flip(.005) { // a server becomes faulty or recovers
			id := list[rng.IntN(len(list))].ID
			if _, faulty := faults[id]; faulty {
				delete(faults, id)
			} else {
				faults[id] = Outcome(1 + rng.IntN(7))
			}
		}
		burst := 0
		if flip(.05) {
			burst = 1 + rng.IntN(3)
		}
		if flip(.002) {
			burst = 60
		}
		for range burst {
			next++
			r := Request{ID: next, Class: rng.IntN(len(set.Classes)), Tenant: rng.IntN(3) - 1,
				Timeout: time.Duration(50+rng.IntN(950)) * time.Millisecond}
			c.requests[next] = &openRequest{class: &set.Classes[r.Class], deadline: c.now + r.Timeout}
			b.Request(c.now, r)
			if flip(.02) && !c.requests[next].ended {
				b.Request(c.now, r) // a duplicate call by the host
			}
		}
		for id := max(next, 3000) - 2999; id <= next; id++ {
			r := c.requests[id]
			if r == nil || id == 0 {
				continue
			}
			for n := range r.attempts {
				if slices.ContainsFunc(endings, func(e ending) bool { return e.id == id && e.n == n }) ||
					r.attempts[n].done {
					continue
				}
				e := ending{at: c.now + time.Duration(20+rng.IntN(20))*time.Millisecond, id: id, n: n, how: Served}
				if how, faulty := faults[r.attempts[n].to]; faulty {
					e.how = how
					e.at = c.now + time.Duration(10+rng.IntN(390))*time.Millisecond
				}
				if flip(.02) {
					e.how = Outcome(rng.IntN(8))
				}
				if e.how == TimedOut || e.at > r.deadline {
					e.at, e.how = r.deadline, TimedOut
				}
				endings = append(endings, e)
			}
			if !r.ended && flip(.0005) {
				r.ended = true
				b.ClientGone(c.now, id)
			}
		}
		due := endings
		endings = nil
		for _, e := range due {
			if e.at > c.now {
				endings = append(endings, e)
				continue
			}
			r := c.requests[e.id]
			a := &r.attempts[e.n]
			a.done, a.ran = true, e.how != Saturated && e.how != ConnectFailed && e.how != NotSent
			if e.how == Served {
				r.ended = true
			}
			b.Result(c.now, Result{ID: e.id, Attempt: e.n, Endpoint: a.to, Outcome: e.how,
				Took: c.now - a.sent, Finished: r.ended})
			c.checkSendLimits(e.id, r)
			if flip(.02) {
				b.Result(c.now, Result{ID: e.id, Attempt: e.n, Endpoint: a.to, Outcome: e.how}) // a duplicate result
			}
		}
		for id, r := range c.requests {
			if !r.ended && c.now > r.deadline+15*time.Millisecond {
				c.fault("rule 1: no response to request %d", id)
				r.ended = true
			}
		}
		for id, r := range c.requests {
			open := !r.ended || slices.ContainsFunc(r.attempts, func(a sentAttemptState) bool { return !a.done })
			if !open {
				delete(c.requests, id)
			}
		}
	}
	if len(b.requests) > len(c.requests) {
		c.fault("the Balancer has %d open requests, want %d at most", len(b.requests), len(c.requests))
	}
	return c
}

// TestRandomEventsKeepRules checks every action of a Balancer in random sequences of events.
func TestRandomEventsKeepRules(t *testing.T) {
	sends := 0
	for seed := range uint64(40) {
		c := play(t, seed, 6000)
		sends += c.sends
		for i, f := range c.faults {
			if i == 5 {
				break
			}
			t.Errorf("seed %d: %s", seed, f)
		}
	}
	if sends < 5000 {
		t.Errorf("only %d attempts were sent: the sequences test too little", sends)
	}
}

// TestActionsAreDeterministic checks that the same events lead to the same actions.
func TestActionsAreDeterministic(t *testing.T) {
	for seed := range uint64(5) {
		a, b := play(t, seed, 3000), play(t, seed, 3000)
		if !slices.Equal(a.done, b.done) {
			t.Errorf("seed %d: the actions differ", seed)
		}
	}
}

// coldSends sends a burst to two warmed-up endpoints with a response time of 20 ms and to one that has just
// started. It returns the maximum number of attempts at the latter within an overload window, and the number
// that this sidecar may send.
func coldSends(t *testing.T, peers int, retries bool) (most int, limit float64) {
	t.Helper()
	set := settings()
	set.Peers = peers
	list := []Endpoint{
		{ID: "a", Zone: "x", Kind: "big", Weight: 1},
		{ID: "b", Zone: "x", Kind: "big", Weight: 1},
	}
	b, h := start(t, set, list)
	id := RequestID(0)
	step := func(n int) {
		h.now += 20 * time.Millisecond
		for range n {
			id++
			b.Request(h.now, Request{ID: id, Tenant: -1, Timeout: 3 * time.Second})
		}
	}
	for range 200 {
		step(2)
		sent := h.sent
		h.sent = nil
		for _, s := range sent {
			b.Result(
				h.now+20*time.Millisecond,
				Result{ID: s.id, Endpoint: s.to, Took: 20 * time.Millisecond, Finished: true},
			)
		}
	}
	b.Endpoints(h.now, ListChanges, []Endpoint{{ID: "c", Zone: "x", Kind: "big", Weight: 1, Started: h.now}})
	var coldAttempts []Time
	for range 50 {
		step(20)
		for n := 0; n < len(h.sent); n++ {
			if h.sent[n].to == "c" {
				coldAttempts = append(coldAttempts, h.now)
				if retries {
					b.Result(h.now, Result{ID: h.sent[n].id, Endpoint: "c", Outcome: Saturated})
				}
			}
		}
		h.sent = h.sent[:0]
	}
	for i, from := range coldAttempts {
		n := 0
		for _, at := range coldAttempts[i:] {
			if at-from < set.OverloadWindow {
				n++
			}
		}
		most = max(most, n)
	}
	// At the end of the second the endpoint's share of its capacity is a little higher than at the start.
	share := set.SlowStartCapacity + (1-set.SlowStartCapacity)*1.0/set.SlowStartWindow.Seconds()
	return most, set.OverloadMultiple * share * 50 * set.OverloadWindow.Seconds() / float64(peers)
}

// TestSlowStartAllowance checks that a sidecar sends a cold endpoint at most the sidecar's part of the
// overload limit, also if the endpoint rejects requests.
func TestSlowStartAllowance(t *testing.T) {
	for _, peers := range []int{1, 2, 5} {
		for _, retries := range []bool{false, true} {
			most, limit := coldSends(t, peers, retries)
			if float64(most) > max(limit, 1) || most == 0 {
				t.Errorf(
					"%d peers, retries %v: %d attempts at the cold endpoint, want 1 to %.1f",
					peers,
					retries,
					most,
					limit,
				)
			}
		}
	}
}

// overShares runs one of a thousand sidecars at rate requests per second for 20 s. Two tenants have equal
// allowances, and the second sends the given share of the requests. It returns, by tenant, the share of
// requests that count as beyond the allowance.
func overShares(t *testing.T, rate, second float64) (over [2]float64) {
	t.Helper()
	set := settings()
	set.Peers = 1000
	set.Tenants = []Tenant{{"a", 500}, {"b", 500}}
	b, h := start(t, set, twoEndpoints())
	rng := rand.New(rand.NewPCG(1, 1))
	var all [2]float64
	for range int(20 / tickInterval.Seconds()) {
		h.now += tickInterval
		b.Timer(h.now, tokenTick)
		for expected := rate * tickInterval.Seconds(); rng.Float64() < expected; expected-- {
			i := 0
			if rng.Float64() < second {
				i = 1
			}
			all[i]++
			if b.overAllowance(i, h.now) {
				over[i]++
			}
		}
	}
	return [2]float64{over[0] / max(all[0], 1), over[1] / max(all[1], 1)}
}

// TestTenantAllowanceOfManySidecars checks that in a large fleet few requests of usual traffic count as
// beyond the tenants' allowances. If one tenant sends most of the traffic, more of its requests must count
// so.
func TestTenantAllowanceOfManySidecars(t *testing.T) {
	for _, tt := range []struct {
		name         string
		rate, second float64
		low, high    [2]float64 // bounds of the shares that count as beyond the allowance
	}{
		{"normal traffic", 1, .5, [2]float64{0, 0}, [2]float64{.1, .1}},
		{"busy sidecar", 10, .5, [2]float64{0, 0}, [2]float64{.35, .35}},
		{"tenant with most of the traffic", 10, .9, [2]float64{0, .2}, [2]float64{0, .6}},
	} {
		got := overShares(t, tt.rate, tt.second)
		for i := range got {
			if got[i] < tt.low[i] || got[i] > tt.high[i] {
				t.Errorf("%s: share %.2f of the requests of tenant %d is beyond its allowance, want %.2f to %.2f", tt.name, got[i], i, tt.low[i],
					tt.high[i])
			}
		}
	}
}

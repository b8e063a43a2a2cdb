package balance

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// sequences is the number of random sequences of events, unless -rapid.checks sets another.
const sequences = 10_000

// TestSequences runs short random sequences of events, in which attempts are served, lost, reset and rejected
// in any order. The checker checks the rules on repeats and responses. In addition the test checks the retry
// budget, by class and in total, and that a request without attempts in flight is over.
func TestSequences(t *testing.T) {
	if f := flag.Lookup("rapid.checks"); f != nil && f.Value.String() == f.DefValue {
		_ = f.Value.Set(fmt.Sprint(testrun.Draws(sequences)))
		defer func() { _ = f.Value.Set(f.DefValue) }()
	}
	hedgedSequences := 0 // sequences with a hedged request
	rapid.Check(t, func(t *rapid.T) {
		set := settings()
		set.MaxAttempts = rapid.IntRange(1, 4).Draw(t, "attempts at most")
		set.CancelAllowed, set.HedgingAllowed = rapid.Bool().
			Draw(t, "cancelling"),
			rapid.Bool().
				Draw(t, "hedging")
		set.Classes = nil
		for i, e := range []Effect{Idempotent, Deduplicated, Deduplicated, AtMostOnce} {
			set.Classes = append(set.Classes, Class{Name: fmt.Sprint(i), Effect: e, Scope: ScopePodGroup,
				DedupeWindow: 600 * time.Millisecond, LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, Priority: 1})
		}
		set.Classes[2].Scope = ScopeAll
		c := &checker{set: set, now: time.Minute, requests: map[RequestID]*openRequest{}, servers: map[string]*server{},
			timers: map[Time][]uint64{}}
		b, err := New(set, c)
		if err != nil {
			t.Fatal(err)
		}
		list := identicalEndpoints(4)
		for i := range list {
			list[i].PodGroup = i / 2
			c.servers[list[i].ID] = &server{Endpoint: list[i], listed: true}
		}
		b.Endpoints(c.now, ListCached, list)
		var next RequestID
		var sent []*openRequest // by ID
		hedges, responses := 0, 0
		served := map[*Class]float64{}
		request := func(class int, within time.Duration) *openRequest {
			next++
			r := &openRequest{class: &set.Classes[class], deadline: c.now + within}
			c.requests[next] = r
			sent = append(sent, r)
			b.Request(
				c.now,
				Request{ID: next, Class: class, Tenant: -1, Timeout: within, Retry: next > 60 && next%3 == 0},
			)
			return r
		}
		end := func(id RequestID, n int, how Outcome) {
			r := c.requests[id]
			a := &r.attempts[n]
			a.notSent = how == ConnectFailed || how == NotSent
			a.done, a.ran = true, how != Saturated && !a.notSent
			if how == Served {
				responses++
				served[r.class]++
				r.ended = true
			}
			b.Result(
				c.now,
				Result{ID: id, Attempt: n, Endpoint: a.to, Outcome: how, Took: c.now - a.sent, Finished: r.ended},
			)
			c.checkSendLimits(id, r)
		}
		var ids []RequestID
		var ns []int
		open := func() ([]RequestID, []int) {
			ids, ns = ids[:0], ns[:0]
			for i := max(len(sent)-30, 0); i < len(sent); i++ {
				for n := range sent[i].attempts {
					if !sent[i].attempts[n].done {
						ids, ns = append(ids, RequestID(i+1)), append(ns, n)
					}
				}
			}
			return ids, ns
		}
		wait := func(d time.Duration) {
			for until := c.now + d; c.now < until; {
				c.now += time.Millisecond
				for _, token := range c.timers[c.now] {
					before := c.sends
					b.Timer(c.now, token)
					hedges += c.sends - before // only hedged attempts are sent by a timer
				}
				delete(c.timers, c.now)
				if len(b.requests) == 0 {
					continue
				}
				ids, ns := open()
				for i, id := range ids { // an attempt ends at the latest at the client's deadline or its cancellation
					r := sent[id-1]
					switch {
					case r.ended && set.CancelAllowed:
						end(id, ns[i], Cancelled)
					case c.now >= r.deadline:
						end(id, ns[i], TimedOut)
					}
				}
			}
		}
		for i := range 60 { // enough to estimate response times
			request(i%4, time.Second)
			wait(time.Duration(2+i%3) * time.Millisecond)
			ids, ns := open()
			for i, id := range ids {
				end(id, ns[i], Served)
			}
		}
		hedges, responses = 0, 0 // the retry budget is at its maximum by now
		clear(served)
		warm, spent := next, map[*Class]float64{}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				request(
					rapid.IntRange(0, 3).Draw(t, "class"),
					time.Duration(rapid.SampledFrom([]int{20, 200, 1000}).Draw(t, "within"))*time.Millisecond,
				)
			},
			"burst": func(t *rapid.T) { // more attempts fail than the retry budget allows to retry
				class := rapid.IntRange(0, 1).Draw(t, "class")
				for range 12 {
					request(class, time.Second)
				}
				for range 3 {
					wait(time.Millisecond)
					ids, ns := open()
					for i, id := range ids {
						end(id, ns[i], Errored)
					}
				}
			},
			"lose": func(t *rapid.T) { // a third of the attempts is lost
				for i := range 12 {
					request(i%4, 150*time.Millisecond)
				}
				wait(2 * time.Millisecond)
				ids, ns := open()
				for i := range ids {
					if i%3 > 0 {
						end(ids[i], ns[i], Served)
					}
				}
				wait(160 * time.Millisecond)
			},
			"wait": func(t *rapid.T) {
				wait(time.Duration(rapid.SampledFrom([]int{1, 5, 20, 60, 150, 300}).Draw(t, "ms")) * time.Millisecond)
			},
			"respond": func(t *rapid.T) {
				ids, ns := open()
				if len(ids) == 0 {
					t.Skip("nothing is in flight")
				}
				i := rapid.IntRange(0, len(ids)-1).Draw(t, "which")
				end(ids[i], ns[i], Served)
			},
			"fail": func(t *rapid.T) {
				ids, ns := open()
				if len(ids) == 0 {
					t.Skip("nothing is in flight")
				}
				i := rapid.IntRange(0, len(ids)-1).Draw(t, "which")
				how := rapid.SampledFrom([]Outcome{Errored, Saturated, ConnectFailed, Reset, Cancelled, NotSent}).
					Draw(t, "how")
				end(ids[i], ns[i], how)
			},
			"disconnect": func(t *rapid.T) {
				id := RequestID(rapid.IntRange(1, int(next)).Draw(t, "who"))
				if r := c.requests[id]; !r.ended {
					r.ended = true
					b.ClientGone(c.now, id)
				}
			},
			"": func(t *rapid.T) {
				if len(c.faults) > 0 {
					t.Fatal(c.faults[0])
				}
				clear(spent)
				total := 0.0
				for id := warm + 1; id <= next; id++ {
					r := c.requests[id]
					if !r.ended && !slices.ContainsFunc(r.attempts, func(a sentAttemptState) bool { return !a.done }) {
						t.Fatalf("request %d has no attempt in flight and no response", id)
					}
					for n := 1; n < len(r.attempts); n++ {
						if slices.ContainsFunc(r.attempts[:n], func(a sentAttemptState) bool { return !a.notSent }) {
							spent[r.class]++
							total++
						}
					}
				}
				for class, n := range spent {
					if most := retryBudgetMax + retryBudgetRatio*served[class]; n > most+1e-6 {
						t.Fatalf(
							"%.0f further attempts of a class after %.0f responses of the class, want %.0f at most",
							n,
							served[class],
							most,
						)
					}
				}
				if most := retryBudgetMax + retryBudgetRatio*float64(responses); total > most+1e-6 {
					t.Fatalf("%.0f further attempts after %d responses, want %.0f at most", total, responses, most)
				}
			},
		})
		hedgedSequences += min(hedges, 1)
	})
	if hedgedSequences < 100 {
		t.Errorf("hedged requests in only %d sequences, want 100 at least", hedgedSequences)
	}
}

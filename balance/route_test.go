package balance

import (
	"math"
	"strings"
	"testing"
	"time"
)

// TestBestRule checks which of several matching rules applies.
func TestBestRule(t *testing.T) {
	rule := func(name string, source Match) Rule {
		return Rule{Name: name, Source: source, Service: Match{"service": "backend"}}
	}
	mobile := map[string]string{"service": "mobile", "version": "2", "region": "eu"}
	tests := []struct {
		name   string
		client map[string]string
		rules  []Rule
		want   string
	}{
		{"newest of identical selectors", mobile,
			[]Rule{rule("1", Match{"service": "mobile"}), rule("2", Match{"service": "mobile"})}, "2"},
		{"more tags", mobile,
			[]Rule{rule("1", Match{"service": "mobile", "version": "2"}), rule("2", Match{"service": "mobile"})}, "1"},
		{"more tags, one of which is any", mobile,
			[]Rule{rule("1", Match{"service": "mobile", "version": "*"}), rule("2", Match{"service": "mobile"})}, "1"},
		{"exact over any", mobile,
			[]Rule{rule("1", Match{"service": "mobile"}), rule("2", Match{"service": "*"})}, "1"},
		{"newest of different tags", mobile,
			[]Rule{rule("1", Match{"service": "mobile", "version": "2"}),
				rule("2", Match{"service": "mobile", "region": "eu"})}, "2"},
		{"client without service and version matches any", map[string]string{"region": "eu"},
			[]Rule{rule("1", Match{"service": "*"}), rule("2", Match{"service": "mobile"})}, "1"},
		{"tag that the client lacks does not match any", map[string]string{"region": "eu"},
			[]Rule{rule("1", Match{"service": "*"}), rule("2", Match{"service": "*", "version": "*"})}, "1"},
		{"no source matches", mobile, []Rule{rule("1", Match{"service": "desktop"})}, ""},
		{"another service", mobile,
			[]Rule{{Name: "1", Source: Match{"service": "*"}, Service: Match{"service": "other"}}}, ""},
		{"any service", mobile,
			[]Rule{{Name: "1", Source: Match{"service": "*"}, Service: Match{"service": "*"}}}, "1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := ""
			if best := bestRule(tt.rules, tt.client, "backend"); best != nil {
				got = best.Name
			}
			if got != tt.want {
				t.Errorf("got rule %q, want %q", got, tt.want)
			}
		})
	}
}

// routes sends n requests, each served at once, and returns the endpoints in the order of selection.
func routes(t *testing.T, rules []Rule, list []Endpoint, n int) []string {
	t.Helper()
	set := settings()
	set.Rules = rules
	b, h := start(t, set, list)
	var order []string
	for i := range n {
		now := h.now + 10*time.Millisecond
		b.Request(now, Request{ID: RequestID(i), Tenant: -1, Timeout: time.Second})
		if len(h.sent) != 1 {
			t.Fatalf("request %d: %d sends", i, len(h.sent))
		}
		order = append(order, h.sent[0].to)
		h.finishAttempts(b, now+time.Millisecond, Served)
	}
	return order
}

// count counts the selections by endpoint.
func count(order []string) map[string]int {
	n := map[string]int{}
	for _, id := range order {
		n[id]++
	}
	return n
}

// canary returns a rule that splits traffic between kinds by weight.
func canary(weights ...float64) []Rule {
	kinds := []string{"big", "small"}
	r := Rule{Name: "canary", Source: Match{"service": "*"}, Service: Match{"service": "*"}}
	for i, w := range weights {
		r.Destinations = append(
			r.Destinations,
			Destination{Weight: w, Match: Match{"service": "backend", "version": kinds[i]}},
		)
	}
	return []Rule{r}
}

// TestWeightedSplitIsInterleaved checks that a split of 80 to 20 holds over every five requests.
func TestWeightedSplitIsInterleaved(t *testing.T) {
	list := []Endpoint{
		{ID: "a", Zone: "x", Kind: "big", Weight: 1},
		{ID: "b", Zone: "x", Kind: "small", Weight: 1},
	}
	order := routes(t, canary(80, 20), list, 100)
	if got := count(order); got["a"] != 80 || got["b"] != 20 {
		t.Fatalf("split is %v, want 80 and 20", got)
	}
	for i := 0; i+5 <= len(order); i++ {
		if got := count(order[i : i+5]); got["b"] != 1 {
			t.Fatalf("selections %d to %d are %v: not interleaved", i, i+5, order[i:i+5])
		}
	}
}

// TestRotationIsEven checks that equal endpoints are selected in a fixed order.
func TestRotationIsEven(t *testing.T) {
	var list []Endpoint
	for _, id := range []string{"a", "b", "c", "d"} {
		list = append(list, Endpoint{ID: id, Zone: "x", Kind: "big", Weight: 1})
	}
	order := routes(t, nil, list, 40)
	for i := 4; i < len(order); i++ {
		if order[i] != order[i-4] {
			t.Fatalf("selection %d is %s after %v", i, order[i], order[i-4:i])
		}
	}
}

// TestRotationFollowsWeight checks that endpoints are selected in proportion to their weight.
func TestRotationFollowsWeight(t *testing.T) {
	list := []Endpoint{
		{ID: "a", Zone: "x", Kind: "big", Weight: 3},
		{ID: "b", Zone: "x", Kind: "small", Weight: 1},
	}
	if got := count(routes(t, nil, list, 40)); got["a"] != 30 || got["b"] != 10 {
		t.Errorf("selections %v, want 30 and 10", got)
	}
}

// TestGroupWeightFollowsReadyMembers drains one of two members of a group, which halves the weight of the
// group. With its full weight the remaining member would be overloaded.
func TestGroupWeightFollowsReadyMembers(t *testing.T) {
	list := []Endpoint{
		{ID: "a", Zone: "x", Kind: "big", Weight: 1},
		{ID: "b", Zone: "x", Kind: "big", Weight: 1},
		{ID: "c", Zone: "x", Kind: "small", Weight: 1},
	}
	set := settings()
	set.Rules = canary(50, 50)
	b, _ := start(t, set, list)
	b.Endpoints(
		time.Second,
		ListChanges,
		[]Endpoint{{ID: "b", Zone: "x", Kind: "big", Weight: 1, State: Draining}},
	)
	if w := b.groups[0].weight(b.zoneWeight); math.Abs(w-25) > 1e-9 {
		t.Errorf("a group that lost half of its members has weight %v, want 25", w)
	}
}

// TestEmptyGroups checks that the traffic of a group without members goes to the other groups, and that all
// ready endpoints form one group if no group has a member.
func TestEmptyGroups(t *testing.T) {
	one := []Endpoint{{ID: "a", Zone: "x", Kind: "big", Weight: 1}}
	if got := count(routes(t, canary(50, 50), one, 10)); got["a"] != 10 {
		t.Errorf("selections %v, want all 10 at a", got)
	}
	unknown := []Endpoint{
		{ID: "a", Zone: "x", Kind: "new", Weight: 1},
		{ID: "b", Zone: "x", Kind: "new", Weight: 1},
	}
	if got := count(routes(t, canary(50, 50), unknown, 10)); got["a"] != 5 || got["b"] != 5 {
		t.Errorf("selections %v, want 5 each", got)
	}
}

// TestRotationSkipsBusierEndpoint checks that the next endpoint in the rotation is skipped if it has more
// requests in flight than the one after it.
func TestRotationSkipsBusierEndpoint(t *testing.T) {
	b, h := start(
		t,
		settings(),
		[]Endpoint{{ID: "a", Zone: "x", Kind: "big", Weight: 1}, {ID: "b", Zone: "x", Kind: "big", Weight: 1}},
	)
	for i := range 4 {
		b.Request(h.now, Request{ID: RequestID(i), Tenant: -1, Timeout: time.Second})
	}
	// Endpoints a and b have two requests in flight each. Then one at the endpoint that is not next ends.
	next := b.groups[0].subset[b.groups[0].nextIndex%2]
	other := h.sent[0]
	for _, s := range h.sent {
		if s.to != next.ID {
			other = s
		}
	}
	b.Result(h.now, Result{ID: other.id, Endpoint: other.to, Took: time.Millisecond, Finished: true})
	b.Request(h.now, Request{ID: 9, Tenant: -1, Timeout: time.Second})
	if got := h.sent[len(h.sent)-1].to; got == next.ID {
		t.Errorf("%s was selected, which has more requests in flight than the next endpoint", got)
	}
}

// TestRotationsStartAtDifferentEndpoints checks that sidecars with different seeds start their rotations at
// different endpoints.
func TestRotationsStartAtDifferentEndpoints(t *testing.T) {
	list := []Endpoint{}
	for _, id := range strings.Split("abcdefghij", "") {
		list = append(list, Endpoint{ID: id, Zone: "x", Kind: "big", Weight: 1})
	}
	first := map[string]bool{}
	for seed := range uint64(20) {
		set := settings()
		set.Seed, set.Ordinal, set.Peers = seed, int(seed), 20
		b, h := start(t, set, list)
		b.Request(h.now, Request{ID: 1, Tenant: -1, Timeout: time.Second})
		first[h.sent[0].to] = true
	}
	if len(first) < 5 {
		t.Errorf("the rotations of 20 sidecars start at only %d of 10 endpoints", len(first))
	}
}

// TestInvalidSettings checks that the error for invalid settings names the field.
func TestInvalidSettings(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Settings)
		want   string
	}{
		{"no classes", func(s *Settings) { s.Classes = nil }, "field Classes"},
		{"no latency objective", func(s *Settings) { s.Classes[0].LatencyObjective = 0 }, `class 0, "read": field Aim`},
		{
			"deadline shorter than the latency objective",
			func(s *Settings) { s.Classes[0].Deadline = time.Millisecond },
			"field Deadline",
		},
		{"unknown effect", func(s *Settings) { s.Classes[0].Effect = 9 }, "field Effect"},
		{"unknown scope", func(s *Settings) { s.Classes[0].Scope = -1 }, "field Scope"},
		{"priority weight is not a number", func(s *Settings) { s.Classes[0].Priority = math.NaN() }, "field Worth"},
		{"late responses with a higher priority weight", func(s *Settings) { s.Classes[0].LatePriorityShare = 1.5 }, "field LateWorth"},
		{"negative dedupe window", func(s *Settings) { s.Classes[0].DedupeWindow = -1 }, "field DedupeWindow"},
		{
			"negative allowance",
			func(s *Settings) { s.Tenants = []Tenant{{"t", -1}} },
			`tenant 0, "t": field Allowance`,
		},
		{"no peers", func(s *Settings) { s.Peers = 0 }, "field Peers"},
		{"ordinal beyond the number of sidecars", func(s *Settings) { s.Ordinal = 1 }, "field Ordinal: sidecar 1 of 1"},
		{"no attempts", func(s *Settings) { s.MaxAttempts = 0 }, "field MaxAttempts"},
		{"slow start capacity above 1", func(s *Settings) { s.SlowStartCapacity = 1.1 }, "field StartCapacity"},
		{"negative overload multiple", func(s *Settings) { s.OverloadMultiple = -1 }, "field FallMultiple"},
		{"infinite cross-zone charge", func(s *Settings) { s.CrossZoneCharge = math.Inf(1) }, "field CrossCharge"},
		{"negative maximum list age", func(s *Settings) { s.MaxListAge = -1 }, "field MustAsk"},
		{"negative slow start window", func(s *Settings) { s.SlowStartWindow = -1 }, "field ColdTime"},
		{"negative overload window", func(s *Settings) { s.OverloadWindow = -1 }, "field FallTime"},
		{"negative weight", func(s *Settings) { s.Rules = canary(2, -1) },
			`"canary": field Destinations[1]: weight -1`},
		{"weight is not a number", func(s *Settings) { s.Rules = canary(math.NaN(), 2) },
			`"canary": field Destinations[0]`},
		{"sum of weights overflows", func(s *Settings) { s.Rules = canary(math.MaxFloat64, math.MaxFloat64) },
			`"canary": field Destinations`},
		{"sum of weights is zero", func(s *Settings) { s.Rules = canary(0, 0) }, `"canary": field Destinations`},
		{"no destination", func(s *Settings) { s.Rules = canary() }, `"canary": field Destinations`},
		{
			"no source",
			func(s *Settings) { s.Rules = canary(1, 1); s.Rules[0].Source = nil },
			`"canary": field Source`,
		},
		{"service selector with another tag", func(s *Settings) {
			s.Rules = canary(1, 1)
			s.Rules[0].Service = Match{"region": "x"}
		}, `Service: tag "region"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			set := settings()
			tt.change(&set)
			if _, err := New(set, &host{}); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one that contains %q", err, tt.want)
			}
		})
	}
	if _, err := New(settings(), nil); err == nil {
		t.Error("New accepts nil Actions")
	}
}

// TestLowCrossZoneChargeShiftsMoreTraffic has the own zone respond in 200 ms and the other in 50 ms. The
// difference is 0.15 of the latency objective and exceeds only a low cross-zone charge.
func TestLowCrossZoneChargeShiftsMoreTraffic(t *testing.T) {
	otherZoneWeight := func(charge float64) float64 {
		set := settings()
		set.CrossZoneCharge = charge
		b, h := start(
			t,
			set,
			[]Endpoint{{ID: "a", Zone: "x", Kind: "big", Weight: 1}, {ID: "b", Zone: "y", Kind: "big", Weight: 1}},
		)
		for range 300 {
			h.now += tickInterval
			for id, took := range map[string]time.Duration{"a": 200 * time.Millisecond, "b": 50 * time.Millisecond} {
				b.recordOutcome(
					&attempt{endpoint: b.known[id], inFlightAtSend: 2},
					Result{Outcome: Served, Took: took},
					h.now,
				)
			}
			b.Timer(h.now, tokenTick)
		}
		return b.zoneWeight[1]
	}
	if low, high := otherZoneWeight(0.01), otherZoneWeight(0.1); low < 0.3 || high > 0.1 {
		t.Errorf("weight of other zones %.3f with a low charge and %.3f with a high one", low, high)
	}
}

// TestRemoteZoneIsNotAtCapacity has a busy own zone and an idle endpoint in a remote zone, whose response
// time includes a long round trip. The remote endpoint must get the next requests, and this must not count as
// overload.
func TestRemoteZoneIsNotAtCapacity(t *testing.T) {
	remote := Endpoint{ID: "remote", Zone: "y", Kind: "big", Weight: 1}
	b, h := start(t, settings(), append(twoEndpoints(), remote))
	objective := b.settings.Classes[0].LatencyObjective
	draining := twoEndpoints()
	draining[0].State, draining[1].State = Draining, Draining
	b.Endpoints(h.now, ListChanges, draining)
	serveRequests(b, h, 20, objective*6/10)
	b.Endpoints(h.now, ListChanges, twoEndpoints())
	b.known["remote"].ejectedUntil = h.now + time.Hour // the own zone responds in a tenth of that time
	serveRequests(b, h, 200, objective*6/100)
	b.known["remote"].ejectedUntil, b.zoneWeight[1] = 0, minZoneWeight
	for i := range RequestID(100) {
		switch to := sendRequest(b, h, i+1); {
		case to == "":
			t.Fatalf("request %d is rejected before the idle remote endpoint got any", i)
		case h.now < b.overloadedUntil:
			t.Fatalf("request %d finds all endpoints at capacity before the idle remote endpoint got any", i)
		case to == "remote":
			return
		}
	}
	t.Fatal("the remote endpoint gets no request")
}

package balance

import (
	"slices"
	"strconv"
	"testing"
	"time"
)

// serveRequests sends n requests, 20 ms apart, each served after took by the endpoint that it was sent to.
func serveRequests(b *Balancer, h *host, n int, took time.Duration) {
	for range n {
		h.now += 20 * time.Millisecond
		id := RequestID(h.now)
		b.Request(h.now, Request{ID: id, Tenant: -1, Timeout: 3 * time.Second})
		for _, s := range h.sent {
			b.Result(h.now, Result{ID: s.id, Endpoint: s.to, Took: took, Finished: true})
		}
		h.sent = nil
	}
}

func twoEndpoints() []Endpoint {
	return []Endpoint{{ID: "a", Zone: "x", Kind: "big", Weight: 1}, {ID: "b", Zone: "x", Kind: "big", Weight: 1}}
}

// sendRequest sends one request and returns the endpoint of its first attempt, or "" if there is none.
func sendRequest(b *Balancer, h *host, id RequestID) string {
	before := len(h.sent)
	b.Request(h.now, Request{ID: id, Tenant: -1, Timeout: 3 * time.Second})
	if len(h.sent) == before {
		return ""
	}
	return h.sent[before].to
}

// TestFastFailingEndpointIsEjected has an endpoint fail every request at once. Without an ejection it would
// look idle and attract all requests.
func TestFastFailingEndpointIsEjected(t *testing.T) {
	set := settings()
	set.MaxAttempts = 1
	b, h := start(t, set, append(twoEndpoints(), Endpoint{ID: "c", Zone: "x", Kind: "big", Weight: 1}))
	serveRequests(b, h, 60, 20*time.Millisecond)
	failed := 0
	for i := range RequestID(60) {
		h.now += 20 * time.Millisecond
		to := sendRequest(b, h, i)
		outcome := Served
		if to == "a" {
			outcome = Errored
			failed++
		}
		b.Result(
			h.now,
			Result{ID: i, Endpoint: to, Outcome: outcome, Took: time.Millisecond, Finished: outcome == Served},
		)
	}
	if failed == 0 || failed > 3 {
		t.Errorf("%d requests went to an endpoint that fails every one, want 1 to 3", failed)
	}
	// After the ejection the endpoint is used again, and the next failure ejects it at once.
	h.now += ejectionTime + time.Second
	b.Timer(h.now, tokenTick)
	back := 0
	for i := RequestID(100); i < 112; i++ {
		to := sendRequest(b, h, i)
		outcome := Served
		if to == "a" {
			outcome = Errored
			back++
		}
		b.Result(
			h.now,
			Result{ID: i, Endpoint: to, Outcome: outcome, Took: time.Millisecond, Finished: outcome == Served},
		)
	}
	if back != 1 {
		t.Errorf("%d requests after the end of the ejection, want 1", back)
	}
}

// TestPanicUsesEjectedEndpoints has every endpoint ejected. The cause is then probably on the sidecar's own
// side, and requests must still be sent.
func TestPanicUsesEjectedEndpoints(t *testing.T) {
	b, h := start(t, settings(), twoEndpoints())
	for _, e := range b.listed {
		e.ejectedUntil = h.now + time.Hour
	}
	if sendRequest(b, h, 1) != "" {
		t.Error("an ejected endpoint was used before the check of the panic threshold")
	}
	b.Timer(h.now, tokenTick)
	if sendRequest(b, h, 2) == "" {
		t.Error("no endpoint is used though all are ejected")
	}
}

// TestSilentEndpointGetsNoRequests leaves a request to an endpoint without a response for two latency
// objectives: the endpoint must get no further requests.
func TestSilentEndpointGetsNoRequests(t *testing.T) {
	b, h := start(t, settings(), twoEndpoints())
	serveRequests(b, h, 100, 20*time.Millisecond)
	first := sendRequest(b, h, 1) // gets no response
	h.now += 2 * time.Second
	for i := RequestID(10); i < 20; i++ {
		to := sendRequest(b, h, i)
		if to == first {
			t.Fatalf("request %d went to an endpoint that has not responded for two latency objectives", i)
		}
		b.Result(h.now, Result{ID: i, Endpoint: to, Took: 20 * time.Millisecond, Finished: true})
	}
}

// TestSlowEstimateDecaysUntilTested has all endpoints respond too late, which rejects all requests. Without
// new responses the estimate must decay until a request tests it, or the sidecar would reject requests for
// ever.
func TestSlowEstimateDecaysUntilTested(t *testing.T) {
	limit := rejectObjectiveShare * settings().Classes[0].LatencyObjective.Seconds()
	for _, tt := range []struct {
		name     string
		took     float64 // multiple of the limit
		rejected float64 // share of decayTimeConstant after which a request is still rejected
		sent     float64 // share after which a request is sent
	}{
		{"a little too slow", 1.2, 0.1, 0.25},
		{"twice the limit", 2, 0.4, 0.6},
		{"twelve times the limit", 12, 0.85, 1.05},
	} {
		b, h := start(t, settings(), twoEndpoints())
		serveRequests(b, h, 2, time.Duration(tt.took*limit*float64(time.Second)))
		at := h.now
		h.now = at + time.Duration(tt.rejected*float64(decayTimeConstant))
		if to := sendRequest(b, h, 1); to != "" {
			t.Errorf("%s: request sent to %s although no timely response is expected", tt.name, to)
		}
		h.now = at + time.Duration(tt.sent*float64(decayTimeConstant))
		if sendRequest(b, h, 2) == "" {
			t.Errorf("%s: no request tests an endpoint that has been unused for long", tt.name)
		}
	}
}

// TestWaitingTimeRaisesEstimate has two endpoints respond in 200 ms each. Then endpoint a is stuck with two
// requests in flight, for less time than the limit: the expected response time must rise before any response.
func TestWaitingTimeRaisesEstimate(t *testing.T) {
	b, h := start(t, settings(), twoEndpoints())
	serveRequests(b, h, 20, 200*time.Millisecond)
	for i := range RequestID(4) {
		if to := sendRequest(b, h, i); to == "b" {
			b.Result(h.now, Result{ID: i, Endpoint: to, Took: 200 * time.Millisecond, Finished: true})
		}
	}
	if b.known["a"].inFlight == 0 {
		t.Fatal("no request is in flight at endpoint a")
	}
	before := b.expectedTime(b.known["a"], h.now)
	h.now += 600 * time.Millisecond
	if after := b.expectedTime(b.known["a"], h.now); after < before*1.2 {
		t.Errorf("a stuck endpoint is expected to respond in %.3f s, %.3f s before", after, before)
	}
}

// TestLowPriorityClassIsShedOnlyUnderOverload checks that a class of low priority is served until all
// endpoints are at capacity and is shed then, while the class of high priority is still served.
func TestLowPriorityClassIsShedOnlyUnderOverload(t *testing.T) {
	set := settings()
	set.Classes = append(set.Classes, set.Classes[0])
	set.Classes[1].Priority = 3
	objective := set.Classes[0].LatencyObjective
	b, h := start(t, set, twoEndpoints())
	serveRequests(b, h, 40, time.Duration(float64(objective)*rejectObjectiveShare*0.8))
	b.meanResponseTime[1] = b.meanResponseTime[0] // the class of low priority has a third of the priority weight: its limit is 0.58 of the other's
	if sendRequest(b, h, 1) == "" {
		t.Fatal("the low-priority class is rejected although no endpoint is at capacity")
	}
	b.Result(h.now, Result{ID: 1, Endpoint: h.sent[0].to, Took: objective / 2, Finished: true})
	b.overloadedUntil = h.now + decayTimeConstant
	if to := sendRequest(b, h, 2); to != "" {
		t.Error("the low-priority class is not shed")
	}
	b.Request(h.now, Request{ID: 3, Class: 1, Tenant: -1, Timeout: 3 * time.Second})
	if last := h.sent[len(h.sent)-1]; last.id != 3 {
		t.Error("the high-priority class is shed too")
	}
	// Requests of the class of high priority fill both endpoints, which counts as overload.
	b, h = start(t, set, twoEndpoints())
	serveRequests(b, h, 40, objective/2)
	for i := RequestID(10); sendRequest(b, h, i) != ""; i++ {
		if i > 100 {
			t.Fatal("nothing is ever full")
		}
	}
	if h.now >= b.overloadedUntil {
		t.Error("all endpoints are at capacity, and this does not count as overload")
	}
}

// TestShedClassDoesNotProlongOverload rejects a class of low priority at its own lower limit while there is
// capacity for the class of high priority. Such a rejection is no sign of overload: if it prolonged the
// overload, the class would be shed for ever.
func TestShedClassDoesNotProlongOverload(t *testing.T) {
	set := settings()
	set.Classes = append(set.Classes, set.Classes[0])
	set.Classes[1].Priority = 3
	b, h := start(t, set, twoEndpoints())
	serveRequests(b, h, 40, time.Duration(float64(set.Classes[0].LatencyObjective)*rejectObjectiveShare*0.8))
	b.meanResponseTime[1] = b.meanResponseTime[0]
	h.now += time.Millisecond
	end := h.now + decayTimeConstant/2
	b.overloadedUntil = end
	if to := sendRequest(b, h, 1); to != "" || len(h.rejected) != 1 {
		t.Fatalf("low-priority request sent to %q, rejected %v: the class is not shed", to, h.rejected)
	}
	if b.overloadedUntil != end {
		t.Errorf("the rejection prolongs the overload by %v", b.overloadedUntil-end)
	}
}

// TestSheddingEndsWithOverload sheds a class of low priority during a short overload. Once the backlog is
// processed the class must be served again, although its responses take longer than its limit under overload.
func TestSheddingEndsWithOverload(t *testing.T) {
	set := settings()
	set.Classes = append(set.Classes, set.Classes[0])
	set.Classes[1].Priority = 3
	objective := set.Classes[0].LatencyObjective
	b, h := start(t, set, twoEndpoints())
	serveRequests(b, h, 40, time.Duration(float64(objective)*rejectObjectiveShare*0.8))
	b.meanResponseTime[1] = b.meanResponseTime[0]
	for i := RequestID(1); h.now >= b.overloadedUntil; i++ {
		if i > 100 {
			t.Fatal("nothing is ever full")
		}
		sendRequest(b, h, i)
	}
	for _, s := range h.sent {
		b.Result(h.now+objective/2, Result{ID: s.id, Endpoint: s.to, Took: objective / 2, Finished: true})
	}
	h.now += objective / 2
	if to := sendRequest(b, h, 200); to != "" {
		t.Errorf("low-priority request sent to %q half a latency objective after the overload: the class is not shed", to)
	}
	h.now += objective
	if to := sendRequest(b, h, 201); to == "" {
		t.Error("the low-priority class is still shed a latency objective after the overload, with nothing in flight")
	}
}

// TestRestartResetsObservations checks that an endpoint whose process has restarted starts without history,
// in slow start.
func TestRestartResetsObservations(t *testing.T) {
	b, h := start(t, settings(), twoEndpoints())
	serveRequests(b, h, 40, 20*time.Millisecond)
	e := b.known["a"]
	e.ejectedUntil = h.now + time.Hour
	again := e.Endpoint
	again.Started = h.now
	b.Endpoints(h.now, ListChanges, []Endpoint{again})
	if e.ejectedUntil != 0 || e.responseInFlight != 0 || e.capacityShare >= 1 {
		t.Errorf("a restarted endpoint keeps its observations: %+v", e)
	}
}

// TestRemovedEndpointsAreForgotten replaces the only endpoint a thousand times: removed endpoints must not
// accumulate.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	b, h := start(t, settings(), twoEndpoints())
	for i := range 1000 {
		list := []Endpoint{{ID: string(rune('c' + i)), Zone: "x", Kind: "big", Weight: 1}}
		b.Endpoints(h.now, ListFull, list)
		serveRequests(b, h, 2, time.Millisecond)
	}
	if len(b.known) > 2 || len(b.listed) != 1 || len(b.requests) != 0 {
		t.Errorf("%d endpoints and %d requests are still in memory", len(b.known), len(b.requests))
	}
}

// TestOneDiscoveryCallInFlight checks that discovery is not called again while a call is in flight, and that
// a failed call leaves the list as it is.
func TestOneDiscoveryCallInFlight(t *testing.T) {
	set := settings()
	set.PollDiscovery, set.MaxListAge = true, 10*time.Second
	b, h := start(t, set, twoEndpoints())
	for range 20 {
		calls := h.subscribed
		b.Timer(h.now, tokenDiscovery)
		b.Timer(h.now, tokenDiscovery)
		if h.subscribed != calls+1 {
			t.Fatalf("%d discovery calls, want one more than %d while a call is in flight", h.subscribed, calls)
		}
		b.Endpoints(h.now, ListFailed, nil)
	}
	if len(b.listed) != 2 {
		t.Error("a failed discovery call discarded the endpoint list")
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{2, 60} {
		b.Run(strconv.Itoa(n), func(b *testing.B) { benchmarkRequest(b, n) })
	}
}

func benchmarkRequest(b *testing.B, endpoints int) {
	var list []Endpoint
	for i := range endpoints {
		list = append(list, Endpoint{ID: strconv.Itoa(i), Zone: "x", Kind: "big", Weight: 1})
	}
	bal, h := start(b, settings(), list)
	b.ReportAllocs()
	for i := range b.N {
		h.sent, h.timers = h.sent[:0], h.timers[:0]
		if h.now += 10 * time.Millisecond; i%10 == 0 { // at 100 requests per second all 60 are in use
			bal.Timer(h.now, tokenTick)
		}
		bal.Request(h.now, Request{ID: RequestID(i), Tenant: -1, Timeout: time.Second})
		bal.Result(h.now, Result{ID: RequestID(i), Endpoint: h.sent[0].to, Took: time.Millisecond, Finished: true})
	}
}

// TestEstimateOfUnusedEndpointReliesOnItsGroup has two idle small endpoints respond fast and a busy big one,
// of twice the weight, slowly. A small endpoint without responses must not be expected to be slower than the
// big one.
func TestEstimateOfUnusedEndpointReliesOnItsGroup(t *testing.T) {
	list := []Endpoint{
		{ID: "a", Zone: "x", Kind: "big", Weight: 2},
		{ID: "b", Zone: "x", Kind: "small", Weight: 1},
		{ID: "c", Zone: "x", Kind: "small", Weight: 1},
	}
	b, h := start(t, settings(), list)
	for i := range RequestID(60) {
		to := sendRequest(b, h, i)
		took := 600 * time.Millisecond
		if to != "a" || i < 10 {
			took = 50 * time.Millisecond
		}
		h.now += took
		b.Result(h.now, Result{ID: i, Endpoint: to, Took: took, Finished: true})
	}
	unused := b.known["c"]
	unused.responseSeconds, unused.responseInFlight = 0, 0
	if got := b.expectedTime(unused, h.now); got > 0.15 {
		t.Errorf("an unused endpoint of a fast group is expected to respond in %.3f s", got)
	}
}

// TestSlowClassHasLowerOverloadLimit has two classes of the same priority weight, where the responses of the
// second take four times as long: under overload its limit is half that of the first.
func TestSlowClassHasLowerOverloadLimit(t *testing.T) {
	set := settings()
	set.Classes = append(set.Classes, set.Classes[0])
	b, h := start(t, set, twoEndpoints())
	for i := range RequestID(200) {
		class := int(i % 2)
		took := time.Duration(1+3*class) * 50 * time.Millisecond
		b.Request(h.now, Request{ID: i, Class: class, Tenant: -1, Timeout: 3 * time.Second})
		to := h.sent[len(h.sent)-1].to
		b.Result(h.now+took, Result{ID: i, Endpoint: to, Took: took, Finished: true})
	}
	fast, slow := b.overloadTimeLimit(0), b.overloadTimeLimit(1)
	if ratio := slow / fast; ratio < 0.45 || ratio > 0.55 || fast != rejectObjectiveShare*b.objective {
		t.Errorf("the limits under overload are %.3f and %.3f s, want the full limit and half of it", fast, slow)
	}
}

// TestWaitingTimeRaisesEstimateOfGroup has three endpoints of a group, fast so far, each leave a request
// without a response for half a second. The fourth, idle and without responses, must not be expected to be
// fast either.
func TestWaitingTimeRaisesEstimateOfGroup(t *testing.T) {
	b, h := start(t, settings(), fleet(4))
	serveRequests(b, h, 40, 20*time.Millisecond)
	for i := range RequestID(3) {
		sendRequest(b, h, i)
	}
	idle := b.listed[slices.IndexFunc(b.listed, func(e *endpoint) bool { return e.inFlight == 0 })]
	idle.responseSeconds, idle.responseInFlight = 0, 0
	before := b.expectedTime(idle, h.now)
	h.now += tickInterval * 5
	b.Timer(h.now, tokenTick)
	if after := b.expectedTime(idle, h.now); after < 1.3*before {
		t.Errorf("expected response time %.4f s while requests to the rest of the group wait, %.4f s before", after, before)
	}
}

// TestRetryAfterOfRejection fills an endpoint: rejected clients must be advised to retry when the backlog
// will have been processed. Without that advice all of them would retry at once.
func TestRetryAfterOfRejection(t *testing.T) {
	b, h := start(t, settings(), []Endpoint{{ID: "a", Zone: "x", Kind: "big", Weight: 1}})
	b.Request(h.now, Request{ID: 1, Tenant: -1, Timeout: time.Second})
	h.finishAttempts(b, h.now+200*time.Millisecond, Served)
	b.Result(h.now, Result{ID: 1, Outcome: Served, Took: 200 * time.Millisecond, Finished: true})
	for i := RequestID(2); len(h.rejected) == 0; i++ {
		if i > 1000 {
			t.Fatal("no request is ever rejected")
		}
		b.Request(h.now, Request{ID: i, Tenant: -1, Timeout: time.Second})
	}
	first := h.retryAfter
	if objective := b.settings.Classes[0].LatencyObjective; first <= 0 || first > objective {
		t.Errorf("Retry-After of %v with a latency objective of %v", first, objective)
	}
	h.rejected = nil
	b.Request(h.now+100*time.Millisecond, Request{ID: 2000, Tenant: -1, Timeout: 0})
	if len(h.rejected) != 1 || h.retryAfter != 0 {
		t.Errorf("%d rejections of a request without time left, Retry-After %v, want 1 and 0", len(h.rejected), h.retryAfter)
	}
}

// TestRetryLeavesTimeToArrive has a deduplicated request fail near the end of its dedupe window. A retry that
// has to connect first would arrive after the window and take effect twice.
func TestRetryLeavesTimeToArrive(t *testing.T) {
	for _, tt := range []struct {
		after   time.Duration
		retries int
	}{{4 * time.Second, 1}, {4800 * time.Millisecond, 0}} {
		set := settings()
		set.Classes[0].Effect, set.Classes[0].Scope, set.Classes[0].DedupeWindow = Deduplicated, ScopeAll, 5*time.Second
		b, h := start(t, set, twoEndpoints())
		b.Request(h.now, Request{ID: 1, Tenant: -1, Timeout: 10 * time.Second})
		h.finishAttempts(b, h.now+tt.after, Errored)
		if len(h.sent) != tt.retries {
			t.Errorf("%d retries after %v, want %d", len(h.sent), tt.after, tt.retries)
		}
	}
}

// TestSendTimeoutOfRetries checks the time within which a retry of a deduplicated request must begin: the
// dedupe window counts from the sending of the attempt that may have been executed, not from the arrival of
// the request. Attempts of other classes, and after attempts that were not executed, have no limit.
func TestSendTimeoutOfRetries(t *testing.T) {
	for _, tt := range []struct {
		name    string
		effect  Effect
		outcome Outcome
		want    time.Duration
	}{
		{"deduplicated, may have been executed", Deduplicated, Errored, 2*time.Second - arrivalMargin},
		{"deduplicated, not executed", Deduplicated, ConnectFailed, 0},
		{"idempotent", Idempotent, Errored, 0},
		{"at most once, not executed", AtMostOnce, ConnectFailed, 0},
	} {
		set := settings()
		set.Classes[0].Effect, set.Classes[0].Scope, set.Classes[0].DedupeWindow = tt.effect, ScopeAll, 5*time.Second
		b, h := start(t, set, twoEndpoints())
		b.Request(h.now, Request{ID: 1, Tenant: -1, Timeout: 10 * time.Second})
		if first := h.sent[0]; first.within != 0 {
			t.Errorf("%s: the first attempt must begin within %v, want no limit", tt.name, first.within)
		}
		if h.finishAttempts(b, h.now+3*time.Second, tt.outcome); len(h.sent) != 1 || h.sent[0].within != tt.want {
			t.Errorf("%s: sent %+v, want a retry within %v", tt.name, h.sent, tt.want)
		}
	}
}

// TestRejectedClassDoesNotAffectOthers has one endpoint reject one class and serve the other. The first class
// must go elsewhere, and the endpoint must keep its even share of the other class and its expected response
// time.
func TestRejectedClassDoesNotAffectOthers(t *testing.T) {
	set := settings()
	set.Classes = append(set.Classes, set.Classes[0])
	b, h := start(t, set, twoEndpoints())
	serveRequests(b, h, 40, 20*time.Millisecond)
	before := b.expectedTime(b.known["a"], h.now)
	var rejected, other, attempts int
	for i := range RequestID(400) {
		h.now += 5 * time.Millisecond
		first := len(h.sent)
		b.Request(h.now, Request{ID: i, Class: int(i / 2 % 2), Tenant: -1, Timeout: time.Second})
		for n := first; n < len(h.sent); n++ {
			outcome := Served
			if h.sent[n].to == "a" && i/2%2 == 0 {
				outcome = Saturated
				rejected++
			} else if h.sent[n].to == "a" {
				other++
			}
			attempts++
			b.Result(h.now, Result{ID: i, Attempt: n - first, Endpoint: h.sent[n].to, Outcome: outcome,
				Took: 20 * time.Millisecond, Finished: outcome == Served})
		}
	}
	if len(h.rejected)+len(h.failed) > 0 || attempts-rejected != 400 {
		t.Errorf("%d served, %d rejected, %d failed of 400", attempts-rejected, len(h.rejected), len(h.failed))
	}
	if rejected == 0 || rejected > 3 {
		t.Errorf("the class was rejected %d times in 2 s, want 1 to 3", rejected)
	}
	if other < 90 {
		t.Errorf("the endpoint got %d of 200 requests of the class that it serves", other)
	}
	if after := b.expectedTime(b.known["a"], h.now); after > before*1.1 {
		t.Errorf("the endpoint is expected to respond in %.4f s, %.4f s before", after, before)
	}
}

// TestSwallowedClassIsEjected has one endpoint never respond to one class and serve the other. After four
// losses the class must go elsewhere, one request at a time probes the endpoint, and the first response
// readmits the class.
func TestSwallowedClassIsEjected(t *testing.T) {
	set := settings()
	set.Classes = append(set.Classes, set.Classes[0])
	b, h := start(t, set, twoEndpoints())
	serveRequests(b, h, 40, 20*time.Millisecond)
	id := RequestID(0)
	send := func(class int) string {
		id++
		first := len(h.sent)
		b.Request(h.now, Request{ID: id, Class: class, Tenant: -1, Timeout: 3 * time.Second})
		if len(h.sent) == first {
			return ""
		}
		return h.sent[first].to
	}
	end := func(id RequestID, to string, outcome Outcome, took time.Duration) {
		b.Result(h.now, Result{ID: id, Endpoint: to, Outcome: outcome, Took: took, Finished: true})
	}
	e := b.known["a"]
	for range 8 { // requests of the class, half of which go to a
		if to := send(0); to == "a" {
			h.now += 3 * time.Second
			e.lastResponse = h.now // it responded to others meanwhile
			end(id, to, TimedOut, 3*time.Second)
		} else {
			end(id, to, Served, 20*time.Millisecond)
		}
	}
	share := func(class int) (n int) {
		for range 20 {
			h.now += 20 * time.Millisecond
			to := send(class)
			if end(id, to, Served, 20*time.Millisecond); to == "a" {
				n++
			}
		}
		return n
	}
	if n := share(0); n > 0 {
		t.Errorf("%d of 20 requests of the lost class go to the endpoint that loses all of them", n)
	}
	if n := share(1); n < 9 {
		t.Errorf("%d of 20 requests of the other class go to the endpoint, want 9 at least", n)
	}
	h.now += ejectionTime
	var probes []RequestID
	for range 6 {
		if send(0) == "a" {
			probes = append(probes, id)
		}
	}
	if len(probes) != 1 {
		t.Fatalf("requests %v probe the endpoint at the same time, want one", probes)
	}
	end(probes[0], "a", Served, 20*time.Millisecond)
	if n := share(0); n < 9 {
		t.Errorf("%d of 20 requests of the class go to the endpoint after a response, want 9 at least", n)
	}
}

package balance

import (
	"slices"
	"strconv"
	"testing"
	"time"
)

// serveRequests plays n requests, 20 ms apart, each answered after took by the one endpoint it was sent to.
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

// sendRequest sends one request and returns where it went, or "".
func sendRequest(b *Balancer, h *host, id RequestID) string {
	before := len(h.sent)
	b.Request(h.now, Request{ID: id, Tenant: -1, Timeout: 3 * time.Second})
	if len(h.sent) == before {
		return ""
	}
	return h.sent[before].to
}

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
	// When its time is over it comes back, and the next fault ejects it at once.
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
		t.Errorf("%d requests after its return, want 1", back)
	}
}

func TestPanicUsesEjectedEndpoints(t *testing.T) {
	// With every endpoint ejected, the fault is taken to be our own, and requests still go out.
	b, h := start(t, settings(), twoEndpoints())
	for _, e := range b.listed {
		e.ejectedUntil = h.now + time.Hour
	}
	if sendRequest(b, h, 1) != "" {
		t.Error("an ejected endpoint was used before the share was counted")
	}
	b.Timer(h.now, tokenTick)
	if sendRequest(b, h, 2) == "" {
		t.Error("no endpoint is used though all are ejected")
	}
}

func TestSilentEndpointGetsNoRequests(t *testing.T) {
	b, h := start(t, settings(), twoEndpoints())
	serveRequests(b, h, 100, 20*time.Millisecond)
	first := sendRequest(b, h, 1) // never answered
	h.now += 2 * time.Second
	for i := RequestID(10); i < 20; i++ {
		to := sendRequest(b, h, i)
		if to == first {
			t.Fatalf("request %d went to an endpoint that has been silent for two aims", i)
		}
		b.Result(h.now, Result{ID: i, Endpoint: to, Took: 20 * time.Millisecond, Finished: true})
	}
}

func TestSlowEstimateDecaysUntilTested(t *testing.T) {
	bar := rejectObjectiveShare * settings().Classes[0].LatencyObjective.Seconds()
	for _, tt := range []struct {
		name   string
		took   float64 // times the bar
		unused float64 // of the memory's time, when it must not be tried yet
		then   float64 // and when it must
	}{
		{"a little too slow", 1.2, 0.1, 0.25},
		{"twice too slow", 2, 0.4, 0.6},
		{"far beyond the aim", 12, 0.85, 1.05},
	} {
		b, h := start(t, settings(), twoEndpoints())
		serveRequests(b, h, 2, time.Duration(tt.took*bar*float64(time.Second)))
		at := h.now
		h.now = at + time.Duration(tt.unused*float64(decayTimeConstant))
		if to := sendRequest(b, h, 1); to != "" {
			t.Errorf("%s: sent to %s though no answer in time is expected", tt.name, to)
		}
		h.now = at + time.Duration(tt.then*float64(decayTimeConstant))
		if sendRequest(b, h, 2) == "" {
			t.Errorf("%s: an unused endpoint is not tried, so that nothing can be learnt", tt.name)
		}
	}
}

func TestWaitingTimeRaisesEstimate(t *testing.T) {
	// Both endpoints answered in 200 ms each; then "a" is stuck with two requests, for less time than the bar.
	b, h := start(t, settings(), twoEndpoints())
	serveRequests(b, h, 20, 200*time.Millisecond)
	for i := range RequestID(4) {
		if to := sendRequest(b, h, i); to == "b" {
			b.Result(h.now, Result{ID: i, Endpoint: to, Took: 200 * time.Millisecond, Finished: true})
		}
	}
	if b.known["a"].inFlight == 0 {
		t.Fatal("nothing is out at the endpoint")
	}
	before := b.expectedTime(b.known["a"], h.now)
	h.now += 600 * time.Millisecond
	if after := b.expectedTime(b.known["a"], h.now); after < before*1.2 {
		t.Errorf("a stuck endpoint is expected to answer in %.3f s, %.3f before", after, before)
	}
}

func TestLowPriorityClassIsShedOnlyUnderOverload(t *testing.T) {
	set := settings()
	set.Classes = append(set.Classes, set.Classes[0])
	set.Classes[1].Priority = 3
	aim := set.Classes[0].LatencyObjective
	b, h := start(t, set, twoEndpoints())
	serveRequests(b, h, 40, time.Duration(float64(aim)*rejectObjectiveShare*0.8))
	b.meanResponseTime[1] = b.meanResponseTime[0] // the lesser class has a third of the worth: its bar is at 0.58 of the other's
	if sendRequest(b, h, 1) == "" {
		t.Fatal("the lesser class is refused though nothing was full")
	}
	b.Result(h.now, Result{ID: 1, Endpoint: h.sent[0].to, Took: aim / 2, Finished: true})
	b.overloadedUntil = h.now + decayTimeConstant
	if to := sendRequest(b, h, 2); to != "" {
		t.Error("the lesser class does not give way")
	}
	b.Request(h.now, Request{ID: 3, Class: 1, Tenant: -1, Timeout: 3 * time.Second})
	if last := h.sent[len(h.sent)-1]; last.id != 3 {
		t.Error("the dearer class gives way too")
	}
	// Requests of the dearer class fill both endpoints, which makes it tight.
	b, h = start(t, set, twoEndpoints())
	serveRequests(b, h, 40, aim/2)
	for i := RequestID(10); sendRequest(b, h, i) != ""; i++ {
		if i > 100 {
			t.Fatal("nothing is ever full")
		}
	}
	if h.now >= b.overloadedUntil {
		t.Error("all is full, and it does not count as tight")
	}
}

// TestShedClassDoesNotProlongOverload has a lesser class refused by its own lowered bar while the
// dearer one finds room: that is no news of the load, and the time in which lesser classes give way must
// come to its end.
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
		t.Fatalf("the lesser class goes to %q, refused %v: it does not give way", to, h.rejected)
	}
	if b.overloadedUntil != end {
		t.Errorf("its refusal has lesser classes give way for %v more", b.overloadedUntil-end)
	}
}

// TestSheddingEndsWithOverload has a lesser class find all full for a moment: once that is worked off, it
// is served again, though its answers take longer than its lowered bar.
func TestSheddingEndsWithOverload(t *testing.T) {
	set := settings()
	set.Classes = append(set.Classes, set.Classes[0])
	set.Classes[1].Priority = 3
	aim := set.Classes[0].LatencyObjective
	b, h := start(t, set, twoEndpoints())
	serveRequests(b, h, 40, time.Duration(float64(aim)*rejectObjectiveShare*0.8))
	b.meanResponseTime[1] = b.meanResponseTime[0]
	for i := RequestID(1); h.now >= b.overloadedUntil; i++ {
		if i > 100 {
			t.Fatal("nothing is ever full")
		}
		sendRequest(b, h, i)
	}
	for _, s := range h.sent {
		b.Result(h.now+aim/2, Result{ID: s.id, Endpoint: s.to, Took: aim / 2, Finished: true})
	}
	h.now += aim / 2
	if to := sendRequest(b, h, 200); to != "" {
		t.Errorf("the lesser class goes to %q half an aim after all was full: it does not give way", to)
	}
	h.now += aim
	if to := sendRequest(b, h, 201); to == "" {
		t.Error("the lesser class still gives way an aim after the crowd, with nothing in flight")
	}
}

func TestRestartResetsObservations(t *testing.T) {
	b, h := start(t, settings(), twoEndpoints())
	serveRequests(b, h, 40, 20*time.Millisecond)
	e := b.known["a"]
	e.ejectedUntil = h.now + time.Hour
	again := e.Endpoint
	again.Started = h.now
	b.Endpoints(h.now, ListChanges, []Endpoint{again})
	if e.ejectedUntil != 0 || e.responseInFlight != 0 || e.capacityShare >= 1 {
		t.Errorf("a restarted endpoint keeps its past: %+v", e)
	}
}

func TestRemovedEndpointsAreForgotten(t *testing.T) {
	b, h := start(t, settings(), twoEndpoints())
	for i := range 1000 {
		list := []Endpoint{{ID: string(rune('c' + i)), Zone: "x", Kind: "big", Weight: 1}}
		b.Endpoints(h.now, ListFull, list)
		serveRequests(b, h, 2, time.Millisecond)
	}
	if len(b.known) > 2 || len(b.listed) != 1 || len(b.requests) != 0 {
		t.Errorf("%d endpoints and %d requests are still known", len(b.known), len(b.requests))
	}
}

func TestOneDiscoveryCallInFlight(t *testing.T) {
	set := settings()
	set.PollDiscovery, set.MaxListAge = true, 10*time.Second
	b, h := start(t, set, twoEndpoints())
	for range 20 {
		calls := h.subscribed
		b.Timer(h.now, tokenDiscovery)
		b.Timer(h.now, tokenDiscovery)
		if h.subscribed != calls+1 {
			t.Fatalf("%d calls, want one more than %d: a call is out", h.subscribed, calls)
		}
		b.Endpoints(h.now, ListFailed, nil)
	}
	if len(b.listed) != 2 {
		t.Error("a refused call lost the list in hand")
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
		if h.now += 10 * time.Millisecond; i%10 == 0 { // at 100 requests a second all 60 are in use
			bal.Timer(h.now, tokenTick)
		}
		bal.Request(h.now, Request{ID: RequestID(i), Tenant: -1, Timeout: time.Second})
		bal.Result(h.now, Result{ID: RequestID(i), Endpoint: h.sent[0].to, Took: time.Millisecond, Finished: true})
	}
}

func TestEstimateOfUnusedEndpointReliesOnItsGroup(t *testing.T) {
	// Small endpoints are idle and quick, big ones crowded and slow, though twice the size. A small one that was
	// never used must not be expected to be slower than the big ones.
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
		t.Errorf("an unused endpoint of a quick group is expected to take %.3f s", got)
	}
}

func TestSlowClassHasLowerOverloadLimit(t *testing.T) {
	// Two classes of one worth; the answers of the second take four times as long, and with them the same worth.
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
	light, heavy := b.overloadTimeLimit(0), b.overloadTimeLimit(1)
	if ratio := heavy / light; ratio < 0.45 || ratio > 0.55 || light != rejectObjectiveShare*b.objective {
		t.Errorf("the tight bars are %.3f and %.3f s, want the full bar and half of it", light, heavy)
	}
}

func TestWaitingTimeRaisesEstimateOfGroup(t *testing.T) {
	// Three endpoints of one group, quick so far, hold a request each for half a second: the fourth, idle
	// and never heard of, is not expected to be quick either.
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
		t.Errorf("%.4f s are expected of it while its peers owe answers, %.4f before", after, before)
	}
}

// TestRetryAfterOfRejection has clients ask a busy endpoint for more than it can do: each is told to come back
// when what is there will have been worked off. Without that they come back at once, all together.
func TestRetryAfterOfRejection(t *testing.T) {
	b, h := start(t, settings(), []Endpoint{{ID: "a", Zone: "x", Kind: "big", Weight: 1}})
	b.Request(h.now, Request{ID: 1, Tenant: -1, Timeout: time.Second})
	h.finishAttempts(b, h.now+200*time.Millisecond, Served)
	b.Result(h.now, Result{ID: 1, Outcome: Served, Took: 200 * time.Millisecond, Finished: true})
	for i := RequestID(2); len(h.rejected) == 0; i++ {
		if i > 1000 {
			t.Fatal("never full")
		}
		b.Request(h.now, Request{ID: i, Tenant: -1, Timeout: time.Second})
	}
	first := h.retryAfter
	if aim := b.settings.Classes[0].LatencyObjective; first <= 0 || first > aim {
		t.Errorf("advice to wait %v with an aim of %v", first, aim)
	}
	h.rejected = nil
	b.Request(h.now+100*time.Millisecond, Request{ID: 2000, Tenant: -1, Timeout: 0})
	if len(h.rejected) != 1 || h.retryAfter != 0 {
		t.Errorf("%d refusals of what has no time left, advice to wait %v", len(h.rejected), h.retryAfter)
	}
}

// TestRetryLeavesTimeToArrive has a keyed request fail near the end of the time for which its repeats are
// dropped: one that has to connect first would arrive after it and take effect twice.
func TestRetryLeavesTimeToArrive(t *testing.T) {
	for _, tt := range []struct {
		after   time.Duration
		repeats int
	}{{4 * time.Second, 1}, {4800 * time.Millisecond, 0}} {
		set := settings()
		set.Classes[0].Effect, set.Classes[0].Scope, set.Classes[0].DedupeWindow = Deduplicated, ScopeAll, 5*time.Second
		b, h := start(t, set, twoEndpoints())
		b.Request(h.now, Request{ID: 1, Tenant: -1, Timeout: 10 * time.Second})
		h.finishAttempts(b, h.now+tt.after, Errored)
		if len(h.sent) != tt.repeats {
			t.Errorf("%d repeats after %v, want %d", len(h.sent), tt.after, tt.repeats)
		}
	}
}

// TestSendTimeoutOfRetries: a repeat of a keyed request may begin only as long as the attempt before it has
// its repeats dropped, counted from the sending of that one, not from the request's arrival. Attempts at
// others may begin at any time.
func TestSendTimeoutOfRetries(t *testing.T) {
	for _, tt := range []struct {
		name    string
		effect  Effect
		outcome Outcome
		want    time.Duration
	}{
		{"keyed, may have run", Deduplicated, Errored, 2*time.Second - arrivalMargin},
		{"keyed, never ran", Deduplicated, ConnectFailed, 0},
		{"idempotent", Idempotent, Errored, 0},
		{"at most once, never ran", AtMostOnce, ConnectFailed, 0},
	} {
		set := settings()
		set.Classes[0].Effect, set.Classes[0].Scope, set.Classes[0].DedupeWindow = tt.effect, ScopeAll, 5*time.Second
		b, h := start(t, set, twoEndpoints())
		b.Request(h.now, Request{ID: 1, Tenant: -1, Timeout: 10 * time.Second})
		if first := h.sent[0]; first.within != 0 {
			t.Errorf("%s: the first attempt is to begin within %v", tt.name, first.within)
		}
		if h.finishAttempts(b, h.now+3*time.Second, tt.outcome); len(h.sent) != 1 || h.sent[0].within != tt.want {
			t.Errorf("%s: %+v, want a repeat within %v", tt.name, h.sent, tt.want)
		}
	}
}

// TestRejectedClassDoesNotAffectOthers has one endpoint turn one class away and serve the other: the first
// class goes elsewhere, and the endpoint keeps its even share of the other class and passes for as quick as
// it is.
func TestRejectedClassDoesNotAffectOthers(t *testing.T) {
	set := settings()
	set.Classes = append(set.Classes, set.Classes[0])
	b, h := start(t, set, twoEndpoints())
	serveRequests(b, h, 40, 20*time.Millisecond)
	before := b.expectedTime(b.known["a"], h.now)
	var away, other, tries int
	for i := range RequestID(400) {
		h.now += 5 * time.Millisecond
		first := len(h.sent)
		b.Request(h.now, Request{ID: i, Class: int(i / 2 % 2), Tenant: -1, Timeout: time.Second})
		for n := first; n < len(h.sent); n++ {
			outcome := Served
			if h.sent[n].to == "a" && i/2%2 == 0 {
				outcome = Saturated
				away++
			} else if h.sent[n].to == "a" {
				other++
			}
			tries++
			b.Result(h.now, Result{ID: i, Attempt: n - first, Endpoint: h.sent[n].to, Outcome: outcome,
				Took: 20 * time.Millisecond, Finished: outcome == Served})
		}
	}
	if len(h.rejected)+len(h.failed) > 0 || tries-away != 400 {
		t.Errorf("%d served, %d refused, %d failed of 400", tries-away, len(h.rejected), len(h.failed))
	}
	if away == 0 || away > 3 {
		t.Errorf("the class was turned away %d times in 2 s", away)
	}
	if other < 90 {
		t.Errorf("the endpoint had %d of 200 requests of the class that it serves", other)
	}
	if after := b.expectedTime(b.known["a"], h.now); after > before*1.1 {
		t.Errorf("it is expected to answer in %.4f s, %.4f before", after, before)
	}
}

// TestSwallowedClassIsEjected has one endpoint never answer one class and serve the other: after four losses
// the class goes elsewhere, one request at a time tries again, and the first answer opens the endpoint to
// all.
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
			e.lastResponse = h.now // it answered others meanwhile
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
		t.Errorf("%d of 20 requests of the class go where it was swallowed each time", n)
	}
	if n := share(1); n < 9 {
		t.Errorf("%d of 20 requests of the other class go there", n)
	}
	h.now += ejectionTime
	var tries []RequestID
	for range 6 {
		if send(0) == "a" {
			tries = append(tries, id)
		}
	}
	if len(tries) != 1 {
		t.Fatalf("requests %v try it at once, want one", tries)
	}
	end(tries[0], "a", Served, 20*time.Millisecond)
	if n := share(0); n < 9 {
		t.Errorf("%d of 20 requests of the class go there after an answer", n)
	}
}

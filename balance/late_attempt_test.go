package balance

import (
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lossdetect"
)

// TestDeadConnectionIsNotASlowEndpoint leaves one attempt without a response while its endpoint responds to
// all others: the attempt must not count against the endpoint. If the endpoint responds to none, it must.
func TestDeadConnectionIsNotASlowEndpoint(t *testing.T) {
	for _, silent := range []bool{false, true} {
		b, h := start(t, settings(), twoEndpoints())
		serveRequests(b, h, 200, 20*time.Millisecond)
		to := sendRequest(b, h, 1)
		late := h.timers[len(h.timers)-1]
		h.sent = nil
		e := b.known[to]
		h.now += time.Second
		if e.lastResponse = 0; !silent {
			e.lastResponse = h.now
		}
		if waiting := e.waitingSeconds(h.now); waiting < 0.9 {
			t.Fatalf("waiting time %v s before the check of the late attempt, want 0.9 s at least", waiting)
		}
		b.Timer(h.now, late)
		if waiting := e.waitingSeconds(h.now); (waiting < 0.1) == silent || (e.inFlight == 0) == silent {
			t.Errorf("endpoint silent %v: %d in flight, waiting time %v s", silent, e.inFlight, waiting)
		}
		b.Result(h.now, Result{ID: 1, Endpoint: to, Outcome: TimedOut, Took: time.Second})
		if len(h.sent) > 0 { // the next attempt, at the other endpoint
			b.Result(h.now, Result{ID: 1, Attempt: 1, Endpoint: h.sent[0].to, Finished: true})
		}
		if e.inFlight != 0 || e.waitingSinceSum != 0 || len(b.requests) != 0 {
			t.Errorf("%d in flight, sum of waiting times %v, %d requests are left", e.inFlight, e.waitingSinceSum, len(b.requests))
		}
	}
}

// TestSwallowedRequestsDoNotSlowEndpoint has attempts time out while their endpoint responds to all others,
// and then while it responds to none: only then may the endpoint look slower and be ejected.
func TestSwallowedRequestsDoNotSlowEndpoint(t *testing.T) {
	for _, silent := range []bool{false, true} {
		b, h := start(t, settings(), identicalEndpoints(4))
		serveRequests(b, h, 400, 20*time.Millisecond)
		before := b.expectedTime(b.known["a"], h.now)
		h.sent, h.timers = nil, nil
		h.now += time.Millisecond
		for i := range RequestID(28) {
			sendRequest(b, h, i+1)
		}
		sent, late := h.sent, h.timers
		h.sent = nil
		if !silent {
			serveRequests(b, h, 12, 20*time.Millisecond)
		}
		for _, token := range late {
			b.Timer(h.now, token)
		}
		h.now += 3 * time.Second // no time is left for another attempt
		for _, s := range sent {
			if !silent {
				serveRequests(b, h, 12, 20*time.Millisecond)
			}
			b.Result(h.now, Result{ID: s.id, Endpoint: s.to, Outcome: TimedOut, Took: 3 * time.Second})
		}
		if after := b.expectedTime(b.known["a"], h.now); (after > 1.5*before) != silent {
			t.Errorf("endpoints silent %v: expected response time %.3f s after time-outs, %.3f s before", silent, after, before)
		}
		if n := len(h.logs); (n == 4) != silent || n > 0 && !silent {
			t.Errorf("endpoints silent %v: %d of 4 endpoints were ejected", silent, n)
		}
	}
}

// TestSlowEndpointIsProbed has one endpoint be far too slow while the other responds as before. The slow one
// must be probed from time to time, with one request at a time.
func TestSlowEndpointIsProbed(t *testing.T) {
	b, h := start(t, settings(), twoEndpoints())
	serveRequests(b, h, 200, 20*time.Millisecond)
	e := b.known["a"]
	e.responseSeconds, e.lastSample = e.responseInFlight*10*b.objective, h.now
	started, probes, pending := h.now, 0, Result{}
	for i := RequestID(1e6); h.now < started+5*decayTimeConstant; i++ {
		h.now += 20 * time.Millisecond
		if e.inFlight > 0 && h.now >= Time(pending.ID) { // it is still as slow
			pending.ID, pending.Took, pending.Finished = RequestID(probes), 2*time.Second, true
			b.Result(h.now, pending)
		}
		id := i
		if e.inFlight == 0 {
			id = RequestID(probes + 1)
		}
		if to := sendRequest(b, h, id); to != "a" {
			b.Result(h.now, Result{ID: id, Endpoint: to, Took: 20 * time.Millisecond, Finished: true})
			continue
		}
		if probes++; e.inFlight > 1 {
			t.Fatal("a second probe while the first is in flight")
		}
		pending = Result{ID: RequestID(h.now + 2*time.Second), Endpoint: "a"}
	}
	if probes < 2 || probes > 8 {
		t.Errorf("the slow endpoint was probed %d times in %v, want 2 to 8", probes, 5*decayTimeConstant)
	}
}

// TestLateAttemptIsCheckedAgain has an endpoint respond to nothing until an attempt is late and then respond
// to others: the attempt is on a dead connection and must no longer count as in flight.
func TestLateAttemptIsCheckedAgain(t *testing.T) {
	b, h := start(t, settings(), twoEndpoints())
	serveRequests(b, h, 200, 20*time.Millisecond)
	h.timers = nil
	e := b.known[sendRequest(b, h, 1)]
	late := h.timers[0]
	h.now += time.Second
	b.Timer(h.now, late)
	if e.inFlight != 1 {
		t.Fatalf("%d in flight while the endpoint responds to nothing, want 1", e.inFlight)
	}
	e.lastResponse = h.now
	b.Timer(h.now+tickInterval, h.timers[len(h.timers)-1])
	if e.inFlight != 0 {
		t.Error("an attempt on a dead connection counts as in flight although its endpoint responds to others")
	}
}

// TestSwallowedRequestIsRetried has one request in six get no response while all others do. Once the loss is
// detected, late attempts must be cancelled and retried, except those of a class without repeats. If
// responses are merely late, or nothing is lost, nothing may be cancelled.
func TestSwallowedRequestIsRetried(t *testing.T) {
	for _, tt := range []struct {
		name      string
		effect    Effect
		swallowed bool
		late      bool
		want      bool // some attempts are cancelled
	}{
		{"swallowed", Idempotent, true, false, true},
		{"swallowed, at most once", AtMostOnce, true, false, false},
		{"late", Idempotent, false, true, false},
		{"in time", Idempotent, false, false, false},
	} {
		set := settings()
		set.CancelAllowed, set.Classes[0].Effect = true, tt.effect
		b, h := start(t, set, identicalEndpoints(6))
		serveRequests(b, h, 400, 20*time.Millisecond)
		type end struct {
			at Time
			Result
		}
		var pending []end
		cancelled := 0
		for i := RequestID(1e6); i < 1e6+2000; i++ {
			h.now += 10 * time.Millisecond
			h.timers, h.sent, h.cancelled = nil, nil, 0
			b.Request(h.now, Request{ID: i, Tenant: -1, Timeout: time.Second})
			took := 20 * time.Millisecond
			if tt.late {
				took = time.Duration(200+i%7*100) * time.Millisecond
			}
			for _, s := range h.sent {
				r := end{h.now + took, Result{ID: s.id, Endpoint: s.to, Took: took, Finished: true}}
				if tt.swallowed && i%6 == 0 {
					r = end{h.now + time.Second, Result{ID: s.id, Endpoint: s.to, Outcome: TimedOut, Took: time.Second}}
				}
				pending = append(pending, r)
			}
			late := h.timers // of this request: it is checked after half a latency objective
			due := pending[:0:0]
			for _, r := range pending {
				if r.at > h.now {
					due = append(due, r)
					continue
				}
				b.Result(h.now, r.Result)
			}
			pending = due
			for _, token := range late {
				q := b.requests[i]
				if q == nil {
					continue
				}
				q.attempts[0].sent -= set.Classes[0].LatencyObjective / 2 // as if half a latency objective had passed
				b.Timer(h.now, token)
				q.attempts[0].sent += set.Classes[0].LatencyObjective / 2
			}
			cancelled += h.cancelled
			if i%10 == 0 {
				b.Timer(h.now, tokenTick)
			}
		}
		if (cancelled > 20) != tt.want { // a hundredth: the first late responses cannot be distinguished from lost ones
			t.Errorf("%s: %d of 2000 requests were cancelled", tt.name, cancelled)
		}
	}
}

// TestPauseDoesNotEject has an endpoint pause with many requests in flight, each for longer than nearly all
// responses take. If the pause ejected the largest endpoint of a nearly full fleet for seconds, the others
// would be overloaded. An endpoint that is gone, however, loses all requests until it is ejected. Therefore
// attempts sent after the detection count at once, and those in flight count in full once the silence
// persists.
func TestPauseDoesNotEject(t *testing.T) {
	const survival, requests = 0.001, 40
	for _, tt := range []struct {
		name    string
		later   bool          // each attempt is sent after the detection of the previous one
		noticed time.Duration // time after which the other attempts are detected as late
		ejected bool
	}{
		{"a pause", false, 200 * time.Millisecond, false},
		{"attempts sent later", true, 0, true},
		{"the silence persists", false, time.Duration(maxPauseObjectives * float64(time.Second)), true},
	} {
		b, h := start(t, settings(), identicalEndpoints(4))
		serveRequests(b, h, 400, 20*time.Millisecond)
		e := b.known["a"]
		sent := h.now
		for i := range requests {
			if h.now += 10 * time.Millisecond; tt.later {
				sent = h.now
			}
			if i == 1 {
				h.now += tt.noticed
			}
			a := attempt{endpoint: e, sent: sent, expectedNow: 0.02}
			b.recordNoResponse(0, &a, survival, lossdetect.LossProbability(defaultLossShare, survival), h.now)
		}
		if ejected := h.now < e.ejectedUntil; ejected != tt.ejected {
			t.Errorf("%s: ejected %v, want %v", tt.name, ejected, tt.ejected)
		}
	}
}

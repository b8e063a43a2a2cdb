package balance

import (
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lossdetect"
)

// TestDeadConnectionIsNotASlowEndpoint has one attempt stay without an answer while its endpoint answers
// all others: it must not count against the endpoint. Where the endpoint is silent to all, it must.
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
		if owed := e.waitingSeconds(h.now); owed < 0.9 {
			t.Fatalf("%v s are owed before it is late", owed)
		}
		b.Timer(h.now, late)
		if owed := e.waitingSeconds(h.now); (owed < 0.1) == silent || (e.inFlight == 0) == silent {
			t.Errorf("silent to all %v: %d in flight, %v s are owed", silent, e.inFlight, owed)
		}
		b.Result(h.now, Result{ID: 1, Endpoint: to, Outcome: TimedOut, Took: time.Second})
		if len(h.sent) > 0 { // its next attempt, at the other one
			b.Result(h.now, Result{ID: 1, Attempt: 1, Endpoint: h.sent[0].to, Finished: true})
		}
		if e.inFlight != 0 || e.waitingSinceSum != 0 || len(b.requests) != 0 {
			t.Errorf("%d in flight, %v owed since, %d requests are left", e.inFlight, e.waitingSinceSum, len(b.requests))
		}
	}
}

// TestSwallowedRequestsDoNotSlowEndpoint has attempts time out while their endpoint answers all others, and then
// while it answers none: only then does it look slower, and only then are they its own fault.
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
		out, late := h.sent, h.timers
		h.sent = nil
		if !silent {
			serveRequests(b, h, 12, 20*time.Millisecond)
		}
		for _, token := range late {
			b.Timer(h.now, token)
		}
		h.now += 3 * time.Second // and so no time is left for another attempt
		for _, s := range out {
			if !silent {
				serveRequests(b, h, 12, 20*time.Millisecond)
			}
			b.Result(h.now, Result{ID: s.id, Endpoint: s.to, Outcome: TimedOut, Took: 3 * time.Second})
		}
		if after := b.expectedTime(b.known["a"], h.now); (after > 1.5*before) != silent {
			t.Errorf("silent to all %v: %.3f s are expected after time-outs, %.3f before", silent, after, before)
		}
		if n := len(h.logs); (n == 4) != silent || n > 0 && !silent {
			t.Errorf("silent to all %v: %d of 4 endpoints were ejected", silent, n)
		}
	}
}

// TestSlowEndpointIsProbed has one endpoint be far too slow while the other goes on answering: it is tried
// again in time, with one request at a time, and as long as it is slow only now and then.
func TestSlowEndpointIsProbed(t *testing.T) {
	b, h := start(t, settings(), twoEndpoints())
	serveRequests(b, h, 200, 20*time.Millisecond)
	e := b.known["a"]
	e.responseSeconds, e.lastSample = e.responseInFlight*10*b.objective, h.now
	begun, tries, out := h.now, 0, Result{}
	for i := RequestID(1e6); h.now < begun+5*decayTimeConstant; i++ {
		h.now += 20 * time.Millisecond
		if e.inFlight > 0 && h.now >= Time(out.ID) { // it is as slow as ever
			out.ID, out.Took, out.Finished = RequestID(tries), 2*time.Second, true
			b.Result(h.now, out)
		}
		id := i
		if e.inFlight == 0 {
			id = RequestID(tries + 1)
		}
		if to := sendRequest(b, h, id); to != "a" {
			b.Result(h.now, Result{ID: id, Endpoint: to, Took: 20 * time.Millisecond, Finished: true})
			continue
		}
		if tries++; e.inFlight > 1 {
			t.Fatal("a second try before the first has told")
		}
		out = Result{ID: RequestID(h.now + 2*time.Second), Endpoint: "a"}
	}
	if tries < 2 || tries > 8 {
		t.Errorf("it was tried %d times in %v", tries, 5*decayTimeConstant)
	}
}

// TestLateAttemptIsCheckedAgain has an endpoint be silent to all until an attempt is late and then answer
// others: the attempt is on a dead connection, and counts no more from then on.
func TestLateAttemptIsCheckedAgain(t *testing.T) {
	b, h := start(t, settings(), twoEndpoints())
	serveRequests(b, h, 200, 20*time.Millisecond)
	h.timers = nil
	e := b.known[sendRequest(b, h, 1)]
	late := h.timers[0]
	h.now += time.Second
	b.Timer(h.now, late)
	if e.inFlight != 1 {
		t.Fatalf("%d in flight while it is silent to all", e.inFlight)
	}
	e.lastResponse = h.now
	b.Timer(h.now+tickInterval, h.timers[len(h.timers)-1])
	if e.inFlight != 0 {
		t.Error("an attempt on a dead connection counts as in flight though its endpoint answers others")
	}
}

// TestSwallowedRequestIsRetried has one request in six swallowed while all others are answered: once that
// is seen, late attempts are called off and made anew, a payment's never. Where answers just come late, or
// where requests are no longer swallowed, nothing is called off.
func TestSwallowedRequestIsRetried(t *testing.T) {
	for _, tt := range []struct {
		name      string
		effect    Effect
		swallowed bool
		late      bool
		want      bool // some are called off
	}{
		{"swallowed", Idempotent, true, false, true},
		{"swallowed payments", AtMostOnce, true, false, false},
		{"late", Idempotent, false, true, false},
		{"quick", Idempotent, false, false, false},
	} {
		set := settings()
		set.CancelAllowed, set.Classes[0].Effect = true, tt.effect
		b, h := start(t, set, identicalEndpoints(6))
		serveRequests(b, h, 400, 20*time.Millisecond)
		type end struct {
			at Time
			Result
		}
		var out []end
		off := 0
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
				out = append(out, r)
			}
			late := h.timers // of this request: it is looked at again at half an aim
			due := out[:0:0]
			for _, r := range out {
				if r.at > h.now {
					due = append(due, r)
					continue
				}
				b.Result(h.now, r.Result)
			}
			out = due
			for _, token := range late {
				out := b.requests[i]
				if out == nil {
					continue
				}
				out.attempts[0].sent -= set.Classes[0].LatencyObjective / 2 // as if half an aim had passed
				b.Timer(h.now, token)
				out.attempts[0].sent += set.Classes[0].LatencyObjective / 2
			}
			off += h.cancelled
			if i%10 == 0 {
				b.Timer(h.now, tokenTick)
			}
		}
		if (off > 20) != tt.want { // a hundredth: the first late answers are not told from lost ones
			t.Errorf("%s: %d of 2000 requests were called off", tt.name, off)
		}
	}
}

// TestPauseDoesNotEject has an endpoint pause with many requests out, each for longer than nearly all
// answers take. Danger: where all is nearly full, a pause that takes the largest endpoint out for seconds
// leaves the others overrun. Danger: one that has vanished swallows what is sent to it until it is known.
// So what is sent later tells more at once, and what was out counts in full once the silence lasts.
func TestPauseDoesNotEject(t *testing.T) {
	const survival, requests = 0.001, 40
	for _, tt := range []struct {
		name    string
		later   bool          // each is sent after the last was missed
		noticed time.Duration // after which the rest of them is missed
		ejected bool
	}{
		{"a pause", false, 200 * time.Millisecond, false},
		{"what is sent later", true, 0, true},
		{"it lasts", false, time.Duration(maxPauseObjectives * float64(time.Second)), true},
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

package checker

import (
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

const (
	idempotent = iota // the classes of the tests
	deduplicated
	atMostOnce
)

func testLimits() Limits {
	pod := func(n int32) int { return int(n) / 2 }
	return Limits{Classes: []RetryRules{{Idempotent: true, MayReject: true}, {Deduplicated: true, DedupeWindow: 3 * time.Second, PodGroup: pod},
		{PodGroup: pod}}, ResponseSlack: 20 * time.Millisecond, DrainGrace: time.Second, GiveUpGrace: 50 * time.Millisecond, SendGrace: time.Millisecond, OverloadMultiple: 2,
		OverloadWindow: time.Second, SlowStartCapacity: 0.5, SlowStartWindow: 10 * time.Second}
}

// at sets the time of an event, in milliseconds. The event is of request 1 and sidecar 0 unless it has others.
func at(ms int, e record.Event) record.Event {
	e.At = time.Duration(ms) * time.Millisecond
	if e.Request == 0 {
		e.Request = 1
	}
	return e
}

func requested(class uint8) record.Event {
	return at(0, record.Event{Kind: record.Requested, Class: class, Wait: 10 * time.Second})
}

func sent(ms int, attempt uint8, node int32) record.Event {
	return at(ms, record.Event{Kind: record.Sent, Attempt: attempt, Node: node})
}

func replied(ms int, attempt uint8, s record.Status, token uint64) record.Event {
	return at(ms, record.Event{Kind: record.Replied, Attempt: attempt, Status: s, Token: token})
}

func attemptEnded(ms int, attempt uint8) record.Event {
	return at(ms, record.Event{Kind: record.AttemptEnded, Attempt: attempt})
}

func answered(ms int, s record.Status, token uint64) record.Event {
	return at(ms, record.Event{Kind: record.Answered, Status: s, Token: token})
}

func notified(ms int, node int32, s record.State) record.Event {
	return at(ms, record.Event{Kind: record.Notified, Node: node, State: s})
}

func arrived(ms int, node int32, work float64) record.Event {
	return at(ms, record.Event{Kind: record.Arrived, Node: node, Work: work})
}

var served = []record.Event{sent(1, 0, 0), replied(5, 0, record.Served, 9), attemptEnded(5, 0), answered(6, record.Served, 9)}

func TestRules(t *testing.T) {
	for _, tt := range []struct {
		name   string
		rule   Rule // "": none is broken
		class  uint8
		events []record.Event
	}{
		{"served", "", idempotent, served},
		{"response at the end of the slack", "", idempotent, append(served[:3:3], answered(10020, record.Served, 9))},
		{"response after the slack", RuleResponse, idempotent, append(served[:3:3], answered(10021, record.Served, 9))},
		{"two responses", RuleResponse, idempotent, append(served[:4:4], answered(7, record.Failed, 0))},
		{"no response", RuleResponse, idempotent, served[:3]},
		{"client left", "", idempotent, append(served[:3:3], at(6, record.Event{Kind: record.ClientLeft}))},
		{"sidecar down", "", idempotent, append(served[:2:2], at(6, record.Event{Kind: record.SidecarDown}))},
		{"another sidecar down", RuleResponse, idempotent, append(served[:2:2], at(6, record.Event{Kind: record.SidecarDown, Sidecar: 3}))},
		{"sidecar not reached", "", atMostOnce, []record.Event{answered(1, record.NotReached, 0)}},
		{"response with the token of another request", RuleGenuine, idempotent, append(served[:3:3], answered(6, record.Served, 8))},
		{"response without an attempt", RuleGenuine, idempotent, []record.Event{answered(6, record.Served, 1)}},
		{"response to an unknown request", RuleGenuine, idempotent, append(served[:4:4], at(9, record.Event{Kind: record.Answered, Request: 5}))},
		{"attempt of an unknown request", RuleGenuine, idempotent, append(served[:4:4], at(9, record.Event{Kind: record.Sent, Request: 5}))},
		{"rejected within the grace period", "", deduplicated, []record.Event{answered(2, record.Rejected, 0)}},
		{"rejected after the grace period", RulePrompt, deduplicated, []record.Event{answered(80, record.Rejected, 0)}},
		{"failed within the grace period after an attempt", "", atMostOnce, []record.Event{sent(1, 0, 0), attemptEnded(4000, 0), answered(4050, record.Failed, 0)}},
		{"failed after the grace period after an attempt", RulePrompt, atMostOnce, []record.Event{sent(1, 0, 0), attemptEnded(4000, 0), answered(4051, record.Failed, 0)}},
		{"rejected though it may have run", RuleEffect, deduplicated, []record.Event{sent(1, 0, 0), attemptEnded(9, 0), answered(9, record.Rejected, 0)}},
		{"rejected after its node rejected it", "", atMostOnce, []record.Event{sent(1, 0, 0), replied(3, 0, record.Rejected, 0), attemptEnded(4, 0), answered(5, record.Rejected, 0)}},
		{"idempotent request retried in another pod group", "", idempotent, append([]record.Event{sent(0, 7, 8)}, served...)},
		{"deduplicated request retried in the pod group", "", deduplicated, append([]record.Event{sent(0, 7, 1)}, served...)},
		{"deduplicated request retried in another pod group", RuleEffect, deduplicated, append([]record.Event{sent(0, 7, 2)}, served...)},
		{"deduplicated request retried in another pod group after a rejection", "", deduplicated, append([]record.Event{sent(0, 7, 2), replied(1, 7, record.Rejected, 0), attemptEnded(1, 7)}, served...)},
		{"deduplicated request retried after the dedupe window", RuleEffect, deduplicated, []record.Event{sent(1, 0, 0), attemptEnded(9, 0), sent(3002, 1, 1), replied(3003, 1, record.Served, 9), attemptEnded(3003, 1), answered(3004, record.Served, 9)}},
		{"at-most-once request retried", RuleEffect, atMostOnce, append([]record.Event{sent(0, 7, 0)}, served...)},
		{"at-most-once request ran twice", RuleEffect, atMostOnce, append(served[:4:4], at(7, record.Event{Kind: record.Ran}), at(8, record.Event{Kind: record.Ran}))},
		{"attempt after the final response", RuleEffect, idempotent, append(served[:4:4], sent(9, 1, 2))},
		{"attempt within the drain grace period", "", idempotent, append([]record.Event{notified(-999, 0, record.Draining)}, served...)},
		{"attempt after the drain grace period", RuleDrain, idempotent, append([]record.Event{notified(-1000, 0, record.Gone)}, served...)},
		{"second drain notice does not extend the grace period", RuleDrain, idempotent, append([]record.Event{notified(-1000, 0, record.Draining), notified(-1, 0, record.Gone)}, served...)},
		{"node serving again", "", idempotent, append([]record.Event{notified(-1000, 0, record.Gone), notified(-1, 0, record.Serving)}, served...)},
		{"cold node within the overload limit", "", idempotent, append([]record.Event{arrived(2, 4, 1), arrived(900, 4, 0.9)}, served...)},
		{"cold node overloaded", RuleSlowStart, idempotent, append([]record.Event{arrived(2, 4, 1.2), arrived(900, 4, 1.2)}, served...)},
		{"work spread over more than one window", "", idempotent, append([]record.Event{arrived(2, 4, 1.2), arrived(1003, 4, 1)}, served...)},
		{"more work at a warmed-up node", "", idempotent, append([]record.Event{arrived(2, 5, 9)}, served...)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			checker := New(testLimits())
			checker.Record(&record.Event{Kind: record.NodeStarted, Node: 4, Boot: time.Millisecond, Capacity: 2})
			checker.Record(&record.Event{Kind: record.NodeStarted, Node: 5, Capacity: 2})
			first := requested(tt.class)
			checker.Record(&first)
			for _, e := range tt.events {
				checker.Record(&e)
			}
			verdict := checker.Verdict(time.Hour)
			if tt.rule == "" && !verdict.Clean() || tt.rule != "" && (verdict.Counts[tt.rule] != 1 || len(verdict.Counts) != 1) {
				t.Errorf("violations %v, want one of rule %q only (none if empty)\n%v", verdict.Counts, tt.rule, verdict.Violations)
			}
		})
	}
}

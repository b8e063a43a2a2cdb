package checker

import (
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

const (
	anywhere = iota // the classes of the tests
	inPod
	once
)

func terms() Limits {
	pod := func(n int32) int { return int(n) / 2 }
	return Limits{Classes: []RetryRules{{Idempotent: true, MayReject: true}, {Deduplicated: true, DedupeWindow: 3 * time.Second, PodGroup: pod},
		{PodGroup: pod}}, ResponseSlack: 20 * time.Millisecond, DrainGrace: time.Second, GiveUpGrace: 50 * time.Millisecond, SendGrace: time.Millisecond, OverloadMultiple: 2,
		OverloadWindow: time.Second, SlowStartCapacity: 0.5, SlowStartWindow: 10 * time.Second}
}

// at words events of request 1 at sidecar 0, in milliseconds.
func at(ms int, e record.Event) record.Event {
	e.At = time.Duration(ms) * time.Millisecond
	if e.Request == 0 {
		e.Request = 1
	}
	return e
}

func ask(class uint8) record.Event {
	return at(0, record.Event{Kind: record.Requested, Class: class, Wait: 10 * time.Second})
}

func send(ms int, attempt uint8, node int32) record.Event {
	return at(ms, record.Event{Kind: record.Sent, Attempt: attempt, Node: node})
}

func reply(ms int, attempt uint8, s record.Status, token uint64) record.Event {
	return at(ms, record.Event{Kind: record.Replied, Attempt: attempt, Status: s, Token: token})
}

func end(ms int, attempt uint8) record.Event {
	return at(ms, record.Event{Kind: record.AttemptEnded, Attempt: attempt})
}

func answer(ms int, s record.Status, token uint64) record.Event {
	return at(ms, record.Event{Kind: record.Answered, Status: s, Token: token})
}

func tell(ms int, node int32, s record.State) record.Event {
	return at(ms, record.Event{Kind: record.Notified, Node: node, State: s})
}

func arrive(ms int, node int32, work float64) record.Event {
	return at(ms, record.Event{Kind: record.Arrived, Node: node, Work: work})
}

var served = []record.Event{send(1, 0, 0), reply(5, 0, record.Served, 9), end(5, 0), answer(6, record.Served, 9)}

func TestRules(t *testing.T) {
	for _, tt := range []struct {
		name   string
		rule   Rule // "": none is broken
		class  uint8
		events []record.Event
	}{
		{"served", "", anywhere, served},
		{"served just in time", "", anywhere, append(served[:3:3], answer(10020, record.Served, 9))},
		{"served late", RuleResponse, anywhere, append(served[:3:3], answer(10021, record.Served, 9))},
		{"answered twice", RuleResponse, anywhere, append(served[:4:4], answer(7, record.Failed, 0))},
		{"never answered", RuleResponse, anywhere, served[:3]},
		{"its client left", "", anywhere, append(served[:3:3], at(6, record.Event{Kind: record.ClientLeft}))},
		{"its sidecar died", "", anywhere, append(served[:2:2], at(6, record.Event{Kind: record.SidecarDown}))},
		{"another sidecar died", RuleResponse, anywhere, append(served[:2:2], at(6, record.Event{Kind: record.SidecarDown, Sidecar: 3}))},
		{"the sidecar was not reached", "", once, []record.Event{answer(1, record.NotReached, 0)}},
		{"another's answer", RuleGenuine, anywhere, append(served[:3:3], answer(6, record.Served, 8))},
		{"an answer out of thin air", RuleGenuine, anywhere, []record.Event{answer(6, record.Served, 1)}},
		{"an answer to nobody", RuleGenuine, anywhere, append(served[:4:4], at(9, record.Event{Kind: record.Answered, Request: 5}))},
		{"a request of nobody", RuleGenuine, anywhere, append(served[:4:4], at(9, record.Event{Kind: record.Sent, Request: 5}))},
		{"refused at once", "", inPod, []record.Event{answer(2, record.Rejected, 0)}},
		{"refused after a while", RulePrompt, inPod, []record.Event{answer(80, record.Rejected, 0)}},
		{"failed just after an attempt", "", once, []record.Event{send(1, 0, 0), end(4000, 0), answer(4050, record.Failed, 0)}},
		{"failed long after an attempt", RulePrompt, once, []record.Event{send(1, 0, 0), end(4000, 0), answer(4051, record.Failed, 0)}},
		{"refused where it may have run", RuleEffect, inPod, []record.Event{send(1, 0, 0), end(9, 0), answer(9, record.Rejected, 0)}},
		{"refused where it was turned away", "", once, []record.Event{send(1, 0, 0), reply(3, 0, record.Rejected, 0), end(4, 0), answer(5, record.Rejected, 0)}},
		{"repeated anywhere", "", anywhere, append([]record.Event{send(0, 7, 8)}, served...)},
		{"repeated within the pod", "", inPod, append([]record.Event{send(0, 7, 1)}, served...)},
		{"repeated outside the pod", RuleEffect, inPod, append([]record.Event{send(0, 7, 2)}, served...)},
		{"repeated outside once turned away", "", inPod, append([]record.Event{send(0, 7, 2), reply(1, 7, record.Rejected, 0), end(1, 7)}, served...)},
		{"repeated too late", RuleEffect, inPod, []record.Event{send(1, 0, 0), end(9, 0), send(3002, 1, 1), reply(3003, 1, record.Served, 9), end(3003, 1), answer(3004, record.Served, 9)}},
		{"what must run once goes out again", RuleEffect, once, append([]record.Event{send(0, 7, 0)}, served...)},
		{"it ran twice", RuleEffect, once, append(served[:4:4], at(7, record.Event{Kind: record.Ran}), at(8, record.Event{Kind: record.Ran}))},
		{"sent after its answer", RuleEffect, anywhere, append(served[:4:4], send(9, 1, 2))},
		{"sent just after being told", "", anywhere, append([]record.Event{tell(-999, 0, record.Draining)}, served...)},
		{"sent long after being told", RuleDrain, anywhere, append([]record.Event{tell(-1000, 0, record.Gone)}, served...)},
		{"told again later", RuleDrain, anywhere, append([]record.Event{tell(-1000, 0, record.Draining), tell(-1, 0, record.Gone)}, served...)},
		{"back in service", "", anywhere, append([]record.Event{tell(-1000, 0, record.Gone), tell(-1, 0, record.Serving)}, served...)},
		{"a cold node gets what it can take", "", anywhere, append([]record.Event{arrive(2, 4, 1), arrive(900, 4, 0.9)}, served...)},
		{"a cold node is pushed over", RuleSlowStart, anywhere, append([]record.Event{arrive(2, 4, 1.2), arrive(900, 4, 1.2)}, served...)},
		{"the same over a longer time", "", anywhere, append([]record.Event{arrive(2, 4, 1.2), arrive(1003, 4, 1)}, served...)},
		{"the same at a warm node", "", anywhere, append([]record.Event{arrive(2, 5, 9)}, served...)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := New(terms())
			r.Record(&record.Event{Kind: record.NodeStarted, Node: 4, Boot: time.Millisecond, Capacity: 2})
			r.Record(&record.Event{Kind: record.NodeStarted, Node: 5, Capacity: 2})
			first := ask(tt.class)
			r.Record(&first)
			for _, e := range tt.events {
				r.Record(&e)
			}
			v := r.Verdict(time.Hour)
			if tt.rule == "" && !v.Clean() || tt.rule != "" && (v.Counts[tt.rule] != 1 || len(v.Counts) != 1) {
				t.Errorf("breaches %v, want %q alone\n%v", v.Counts, tt.rule, v.Violations)
			}
		})
	}
}

// Package record is what the lab's parties saw of a day: clients, nodes and discovery, never the sidecar's own word.
// Both planes write the same events; the referee and the report read them.
package record

import "time"

// Kind says what happened.
type Kind uint8

// The kinds of events. The fields that count are named with each.
const (
	Requested      Kind = iota // a client's request was taken: Request, First, Sidecar, Class, Tenant, Wait, Work, Effect
	Answered                   // its client got an answer: Request, Sidecar, Status, Token (served), After
	ClientLeft                 // its client left: Request
	Sent                       // an attempt's first byte left the sidecar: Request, Attempt, Sidecar, Node
	Arrived                    // its last byte reached the node: Request, Attempt, Sidecar, Node, Work, Effect
	Ran                        // the node took it into work: Request, Attempt, Node
	Deduplicated               // the node knew the effect and dropped the repeat: Request, Attempt, Node
	Replied                    // the node made a whole answer: Request, Attempt, Node, Token, Status
	AttemptEnded               // the sidecar's side of the attempt is over: Request, Attempt, Status
	Notified                   // discovery told a sidecar of a node: Sidecar, Node, State
	NodeStarted                // a node started: Node, Capacity, Boot (cold) or not
	NodeWork                   // a node's life is over: Node, Work done
	SidecarDown                // a sidecar died: Sidecar; what it held is not owed any more
	FaultOver                  // the last effect of a trouble ended
	LossDetected               // a sidecar knows, Wait after the first of Attempt losses there, that a node loses: Sidecar, Node
	LossUndetected             // a node was mended before the sidecar knew, with the same fields
)

// Status is how something ended, as the wire shows it.
type Status uint8

// The statuses of answers and attempts.
const (
	Served     Status = iota
	Rejected          // to a client: 429 or 503; from a node: turned away, it has not run
	Failed            // to a client: any other answer; from a node: 500 or one that cannot be read
	Broken            // the connection ended without a whole answer
	NotReached        // no connection came up, or it broke before the last byte: it has not run
	Cancelled         // called off by the sidecar
	TimedOut          // nothing came
)

// State is what discovery says of a node.
type State uint8

// The states of a node.
const (
	Serving State = iota
	Draining
	Gone
)

// Event is one thing that happened. IDs are counted from 0 in each run; Token names an answer that a node made, 0 none.
type Event struct {
	At           time.Duration
	Kind         Kind
	Status       Status
	State        State
	Class        uint8
	Attempt      uint8
	Sidecar      int32
	Node         int32
	Tenant       int32
	Request      uint64
	FirstRequest uint64 // the request's first try
	Effect       uint64 // what the request brings about; a repeat has the same
	Token        uint64
	Wait         time.Duration // the client's patience
	RetryAfter   time.Duration // when to come back
	Boot         time.Duration // 0: long ago
	Work         float64       // seconds on a standard core
	Capacity     float64       // standard work a second when warm
}

// Sink takes events in the order of their times.
type Sink interface{ Record(e *Event) }

// Sinks hands each event to several.
type Sinks []Sink

// Record implements Sink.
func (s Sinks) Record(e *Event) {
	for _, sink := range s {
		sink.Record(e)
	}
}

// Tape keeps all events.
type Tape struct{ Events []Event }

// Record implements Sink.
func (t *Tape) Record(e *Event) { t.Events = append(t.Events, *e) }

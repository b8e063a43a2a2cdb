// Package record holds what the lab observes of a run from outside the sidecars: at clients, nodes and discovery. Real
// sockets and simulated time write the same events; the checker and the report read them. It has no errors.
package record

import "time"

// Kind says what happened.
type Kind uint8

// The kinds of events. The fields of Event that are set are named with each, besides At and Kind.
const (
	// Requested: a sidecar took a client's request. Request, FirstRequest, Sidecar, Class, Tenant, Wait, Work, Effect.
	Requested Kind = iota
	// Answered: the client got a response. Request, Sidecar, Status, Token if served, RetryAfter.
	Answered
	// ClientLeft: the client gave up. Request, Sidecar.
	ClientLeft
	// Sent: the first byte of an attempt left the sidecar. Request, Attempt, Sidecar, Node.
	Sent
	// Arrived: the last byte of an attempt reached the node. Request, Attempt, Sidecar, Node, Work, Effect.
	Arrived
	// Ran: the node began work on an attempt. Request, Attempt, Node.
	Ran
	// Deduplicated: the node had run the effect before and dropped the attempt. Request, Attempt, Node.
	Deduplicated
	// Replied: the node wrote a complete response. Request, Attempt, Node, Token, Status.
	Replied
	// AttemptEnded: the sidecar's side of an attempt is over. Request, Attempt, Status.
	AttemptEnded
	// Notified: discovery notified a sidecar of a node. Sidecar, Node, State.
	Notified
	// NodeStarted: a node started. Node, Capacity, Boot.
	NodeStarted
	// NodeWork: the run is over, with the work that a node has done. Node, Work.
	NodeWork
	// SidecarDown: a sidecar was killed; its requests need no response any more. Sidecar.
	SidecarDown
	// FaultOver: the last effect of a fault ended.
	FaultOver
	// LossDetected: a sidecar has detected that a node loses requests. Sidecar, Node, Attempt as the number of its
	// losses there until then, Wait as the time since the first of them.
	LossDetected
	// LossUndetected: a node stopped losing requests before the sidecar detected it. The fields of LossDetected.
	LossUndetected
)

// Status is how a request or an attempt ended, as the network shows it.
type Status uint8

// The statuses of responses and attempts.
const (
	Served     Status = iota
	Rejected          // to a client: 429 or 503; from a node: rejected before it ran
	Failed            // to a client: any other response; from a node: 500 or a malformed one
	Broken            // the connection ended without a complete response
	NotReached        // the connection was not established, or broke before the last byte: the request has not run
	Cancelled         // by the sidecar
	TimedOut          // no response
)

// State is what discovery says of a node.
type State uint8

// The states of a node.
const (
	Serving State = iota
	Draining
	Gone
)

// Event is one thing that happened. IDs count from 0 in each run.
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
	FirstRequest uint64        // the request that this one retries, or itself
	Effect       uint64        // what the request brings about; all its attempts have the same
	Token        uint64        // of a response that a node wrote; 0: none
	Wait         time.Duration // the client's timeout
	RetryAfter   time.Duration
	Boot         time.Duration // when the node's process started; 0: long ago
	Work         float64       // seconds on a standard core
	Capacity     float64       // standard work a second once the node is warm
}

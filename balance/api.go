// Package balance selects, inside one client process (a sidecar), the endpoint that each request is sent to.
//
// It is a pure state machine: the host passes events to it, each with the current time, and it calls the
// host's Actions before the event method returns. It has no clock, goroutine, lock, I/O or global variable,
// and the same settings and events always give the same actions. A Balancer is not safe for concurrent use.
package balance

import "time"

// Time is a reading of the host's monotonic clock, relative to an origin of the host's choice.
type Time = time.Duration

// RequestID identifies a request. The host never reuses an ID during the lifetime of a Balancer.
type RequestID uint64

// Effect states whether a request may be executed more than once.
type Effect int

// The effects.
const (
	Idempotent   Effect = iota // may be executed any number of times
	Deduplicated               // carries a key; endpoints of one scope drop repeats in the dedupe window
	AtMostOnce                 // must never be executed twice
)

// Scope is the set of endpoints that drop each other's repeats of a Deduplicated request.
type Scope int

// The deduplication scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopePodGroup
)

// Class describes one class of requests.
type Class struct {
	Name              string
	Effect            Effect
	Scope             Scope         // Deduplicated only
	DedupeWindow      time.Duration // Deduplicated only: how long repeats are dropped, from the first send
	LatencyObjective  time.Duration // a response within it earns the full priority weight
	Deadline          time.Duration // total time that the client waits, over all its attempts
	Priority          float64       // priority weight
	LatePriorityShare float64       // share of the priority weight that a later response earns
}

// Tenant describes one tenant.
type Tenant struct {
	Name      string
	Allowance float64 // requests per second, over all sidecars, that keep their full priority weight
}

// Match maps tags to required values. "*" matches any value, but the tag must be present, except for the tag
// "service", which every client and endpoint has.
type Match map[string]string

// Destination is one weighted group of a rule: the ready endpoints that match all its tags. An endpoint has
// the tags "service", "region" (its zone) and "version" (its kind).
type Destination struct {
	Weight float64
	Match  Match
	// PerEndpointWeight applies Weight to each unit of ready endpoint weight in the group instead of to the
	// group as a whole.
	PerEndpointWeight bool
}

// Rule is one routing rule. Settings.Rules lists rules from the oldest to the newest.
type Rule struct {
	Name         string
	Source       Match // the clients that the rule applies to
	Service      Match // the services that the rule applies to; only the tag "service" is allowed
	Destinations []Destination
}

// Settings configure a Balancer.
type Settings struct {
	Seed    uint64
	Ordinal int // index of this sidecar among its peers, from 0
	Peers   int // number of sidecars, including this one
	Zone    string
	Zones   []string
	Kinds   []string
	Classes []Class
	Tenants []Tenant

	Service string            // name of the service that is balanced
	Tags    map[string]string // tags of the client other than its region: service, version
	Rules   []Rule            // nil: DefaultRules(Service, Zones, Kinds)

	MaxAttempts    int
	CancelAllowed  bool
	HedgingAllowed bool // a request may have two attempts in flight at the same time

	PollDiscovery bool          // list changes are delivered only to a subscriber
	MaxListAge    time.Duration // changes count as notified after this time without a discovery call

	SlowStartWindow   time.Duration // time from its start until an endpoint is warmed up
	SlowStartCapacity float64       // share of its capacity that an endpoint has when it starts
	OverloadMultiple  float64       // multiple of its capacity above which an endpoint is overloaded
	OverloadWindow    time.Duration // time over which OverloadMultiple applies

	CrossZoneCharge float64 // cost of crossing zones, as a share of a request's priority weight
}

// State is the state of an endpoint as discovery reports it.
type State int

// The states of an endpoint.
const (
	Ready State = iota
	Draining
	Removed
)

// After a failed discovery call, the next one is made within FirstDiscoveryBackoff; the bound doubles with
// each further failure, up to MaxDiscoveryBackoff. Where lists are pushed, each sidecar has its own agent,
// and a change counts as notified once the agent has received it. Therefore the next call is made within
// PushedDiscoveryBackoff.
const (
	FirstDiscoveryBackoff  = 500 * time.Millisecond
	MaxDiscoveryBackoff    = 1500 * time.Millisecond
	PushedDiscoveryBackoff = 200 * time.Millisecond
)

// SchedulingStall is the longest assumed stall of a process between a check, such as reading its clock, and
// the write that the check allowed. Every timing rule for a write allows for it:
//
//   - Remaining time sent to the server with an attempt: the tolerance of the rule is as long as the stall
//     and covers it completely. The host's margin before the client's deadline covers the network delay.
//   - Final response: it may arrive up to half a second after the client's deadline, which is longer than the
//     stall.
//   - Drain: no attempt may begin later than 1 s after the notification. The host checks the list again just
//     before the first byte of an attempt. A list applied late by one stall and a write delayed by another
//     take 0.3 s together.
//   - Dedupe window: no tolerance covers the stall, so arrivalMargin reserves time for it.
//   - Client that has disconnected: the tolerance of 0.1 s is less than the stall, and no margin helps. The
//     host reads the clock first and checks the client's connection last. A stall after reading the clock
//     ends before that last check.
//   - Kill: the host reserves time for the stall between the last responses and the earliest kill.
const SchedulingStall = 150 * time.Millisecond

// Endpoint is one entry of an endpoint list from discovery.
type Endpoint struct {
	ID       string
	Zone     string
	Kind     string
	PodGroup int
	State    State
	Weight   float64 // relative to the weights of other endpoints
	Started  Time    // when the process last started; 0: long ago
}

// ListKind states how an endpoint list is to be interpreted.
type ListKind int

// The kinds of lists.
const (
	ListFull    ListKind = iota // complete: an endpoint that is absent is removed
	ListChanges                 // changed entries only
	ListCached                  // complete, from before a restart: may be stale
	ListFailed                  // a discovery call failed or the subscription ended; no entries
)

// Request is a client's request.
type Request struct {
	ID      RequestID
	Class   int           // index into Settings.Classes
	Tenant  int           // index into Settings.Tenants, or -1
	Timeout time.Duration // time left until the client abandons this attempt
	Retry   bool          // the client marked the request as a retry
	// ClassAtArrival is the class as it was configured when the request arrived; nil: as configured now.
	ClassAtArrival *Class
}

// Outcome is the way in which an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Served        Outcome = iota
	Errored               // the endpoint responded with an error; the attempt may have been executed
	Saturated             // rejected before processing: not executed
	TimedOut              // no response in time; may have been executed
	ConnectFailed         // no connection: not executed
	Reset                 // the connection broke; may have been executed
	Cancelled             // cancelled by the host; may have been executed
	NotSent               // never sent: not executed
)

// outcomeNames are the names of the outcomes in logs.
var outcomeNames = [...]string{
	"served", "error", "rejected", "timeout", "connect failed", "reset", "cancelled", "not sent",
}

// String returns the name of an outcome for logs.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Result is the end of an attempt. The attempts of a request are numbered from 0 in the order of Send.
type Result struct {
	ID       RequestID
	Attempt  int
	Endpoint string
	Outcome  Outcome
	Took     time.Duration // time from Send to the end of the attempt
	Finished bool          // the request has had its final response
	// Streaming states that the response has begun and its rest is forwarded as it arrives. StreamEnded
	// follows, and tells whether the endpoint has failed. It applies to the outcome Served.
	Streaming bool
}

// StreamEnd is the end of a response whose beginning was reported by a Result with Streaming.
type StreamEnd struct {
	Endpoint string
	Sent     Time // when its attempt was sent
	// Outcome is Served if the response is complete, Errored or Reset if it is incomplete through the fault of
	// the endpoint, and else Cancelled.
	Outcome Outcome
}

// Actions is implemented by the host. A Balancer calls it in reaction to events, which are the methods
// Request, Result, ResponseStarted, StreamEnded, ClientGone, Endpoints and Timer of Balancer. The host calls
// these in the order in which the events happened, and passes the first list immediately after New. Each
// Request ends with one final response: a Result that is Finished, Reject or Fail. Each Send ends with one
// Result, also after the final response.
//
// Misuse never panics: an unknown request, attempt, timer or removed endpoint, an ID that is used twice and a
// repeated result are ignored. A Request whose class is not in the settings is ignored too and gets no
// response. Times should not go back; if they do, requests still end, but measurements are inaccurate for
// some seconds.
//
// Actions are called only during an event, in the order in which the host has to carry them out, and must not
// call back into the Balancer.
type Actions interface {
	// Send starts an attempt, which may wait for its connection. If the request cannot be written completely
	// within the timeout (0: no limit), the attempt is abandoned with the outcome NotSent.
	Send(id RequestID, endpoint string, timeout time.Duration)
	// SetSendTimeout replaces the timeout of Send of an attempt in flight, counted from now (0: no limit). It has
	// no effect on an attempt whose request has reached the endpoint completely.
	SetSendTimeout(id RequestID, attempt int, timeout time.Duration)
	// Cancel stops waiting for an attempt. Its Result follows. While the request has no final response, the host
	// need not cancel an attempt whose response has begun.
	Cancel(id RequestID, attempt int)
	// Reject sends the final response stating that the request had no effect and may be retried after the given
	// time.
	Reject(id RequestID, after time.Duration)
	// Fail sends the final response that leaves open whether the request had an effect.
	Fail(id RequestID)
	// Timer requests a Timer event after the given time.
	Timer(after time.Duration, token uint64)
	// Subscribe subscribes to changes from discovery. Endpoints follows.
	Subscribe()
	// Log writes a line to the log for the engineers on call.
	Log(text string)
}

// Observation is what a Balancer observes of an attempt at an endpoint.
type Observation int

// The observations. An attempt is reported at most once as ObservedLate and at most once as
// ObservedNoResponse.
const (
	// ObservedResponse: the endpoint responded.
	ObservedResponse Observation = iota
	// ObservedLate: no response within the time in which nearly all responses arrive, and no other response from
	// the endpoint since the attempt was sent.
	ObservedLate
	// ObservedNoResponse: no response for so long that the attempt counts as lost, and no other response from
	// the endpoint since the attempt was sent.
	ObservedNoResponse
	// ObservedFailure: an error, or a connection that broke.
	ObservedFailure
	// ObservedConnectFailure: the connection could not be established.
	ObservedConnectFailure
)

// Observer receives the observations of a Balancer, for sharing with other sidecars. The rules for calls of
// Actions apply to it, too.
type Observer interface {
	Observe(endpoint string, o Observation)
}

// PeerReport states that other sidecars suspect an endpoint.
type PeerReport struct {
	ID        string
	WrittenAt Time // when the newest evidence against the endpoint was written
}

// Package balance decides, inside one client process (a sidecar), which endpoint gets which request.
//
// It is a pure state machine: the host feeds it events, each with the time, and it answers by calling the
// host's Actions before the event method returns. It has no clock, goroutine, lock, I/O or global, and the
// same settings and events always give the same actions. A Balancer must not be used by two goroutines at
// once.
package balance

import "time"

// Time is a reading of the host's monotonic clock, counted from any origin the host likes.
type Time = time.Duration

// RequestID names a request. The host never uses one twice during a Balancer's life.
type RequestID uint64

// Effect says what a repeat of a request does.
type Effect int

// The effects of a repeat.
const (
	Idempotent   Effect = iota // may run any number of times
	Deduplicated               // carries a key: the endpoints of one scope drop a repeat for some time
	AtMostOnce                 // must never run twice
)

// Scope is the set of endpoints that drop each other's repeats of a Deduplicated request.
type Scope int

// The scopes of deduplication.
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
	DedupeWindow      time.Duration // Deduplicated only: how long a repeat is dropped, from the first send
	LatencyObjective  time.Duration // an answer within it earns the full priority
	Deadline          time.Duration // the client's patience over all its tries
	Priority          float64
	LatePriorityShare float64 // share of the priority that a later answer still earns
}

// Tenant describes one tenant. Allowance is the rate, over all sidecars together, up to which its requests
// have their full priority.
type Tenant struct {
	Name      string
	Allowance float64 // requests a second
}

// Match is a set of tags and the values they must have; "*" matches any value, but the tag must be there,
// except for the tag "service", which every client and endpoint has.
type Match map[string]string

// Destination is one weighted group of a rule: the ready endpoints that carry all its tags. An endpoint
// carries the tags "service", "region" (its zone) and "version" (its kind).
type Destination struct {
	Weight float64
	Match  Match
	// PerEndpointWeight makes Weight the weight of each unit of weight that is ready in the group,
	// in place of the weight of the whole group.
	PerEndpointWeight bool
}

// Rule is one routing rule. The table lists rules from the oldest to the newest.
type Rule struct {
	Name         string
	Source       Match // which clients it applies to
	Service      Match // which service it applies to: only the tag "service"
	Destinations []Destination
}

// Settings configure a Balancer.
type Settings struct {
	Seed    uint64
	Ordinal int // the number of this sidecar among its peers, from 0
	Peers   int // how many sidecars there are, this one included
	Zone    string
	Zones   []string
	Kinds   []string
	Classes []Class
	Tenants []Tenant

	Service string            // the service balanced
	Tags    map[string]string // the client's own tags besides its region: service, version
	Rules   []Rule            // nil: DefaultRules(Service, Zones, Kinds)

	MaxAttempts    int
	CancelAllowed  bool
	HedgingAllowed bool // a request may have two attempts in flight at a time

	PollDiscovery bool          // list changes come only to a subscriber
	MaxListAge    time.Duration // without a call for this long, changes count as notified

	SlowStartWindow   time.Duration // a started endpoint is warmed up after this time
	SlowStartCapacity float64       // and starts at this share of its capacity
	OverloadMultiple  float64       // one that is sent more than this multiple of what it can do
	OverloadWindow    time.Duration // within this time is overloaded

	CrossZoneCharge float64 // price of crossing zones, as a share of a request's priority
}

// State is what discovery says of an endpoint.
type State int

// The states of an endpoint.
const (
	Ready State = iota
	Draining
	Removed
)

// After a call of discovery that failed, the next one is made within FirstDiscoveryBackoff; the bound
// doubles with each further failure, up to MaxDiscoveryBackoff. Where lists are pushed, each sidecar has an
// agent of its own, and the next call is made within PushedDiscoveryBackoff: what the agent gets when
// discovery is back counts as notified at once.
const (
	FirstDiscoveryBackoff  = 500 * time.Millisecond
	MaxDiscoveryBackoff    = 1500 * time.Millisecond
	PushedDiscoveryBackoff = 200 * time.Millisecond
)

// SchedulingStall is the longest time that a process is taken to be held up between a check, such as a
// reading of its clock, and the write that the check allowed. Each rule about when something is written
// covers it:
//
// - the time that an attempt tells its server: the slack of the rule is as long as the stall and covers it
// whole.
//
//	  What the way takes comes from the margin that the host keeps before the client's deadline.
//	- the final answer: it may come half a second after the client's time, which is longer.
//
// - drain: nothing begins later than 1 s after the notification. The host looks at the list again just
// before an
// attempt's first byte, so a list taken in late by one stall and a write held up by another one take 0.3 s.
//   - the window in which repeats are dropped: no slack covers the stall, so arrivalMargin keeps it free.
//
// - a client that has gone: its 0.1 s are less than the stall, and no margin helps. The host reads the
// clock first
//
//	  and looks at the client's connection last, so that a stall behind the clock is over by then.
//	- the kill: the host keeps the stall free between the last answers and the earliest kill.
const SchedulingStall = 150 * time.Millisecond

// Endpoint is one entry of discovery's list.
type Endpoint struct {
	ID       string
	Zone     string
	Kind     string
	PodGroup int
	State    State
	Weight   float64 // weight, to compare with others
	Started  Time    // when the process last started; 0: long ago
}

// ListKind says how a list of endpoints is to be read.
type ListKind int

// The kinds of lists.
const (
	ListFull    ListKind = iota // complete: an endpoint that is absent is removed
	ListChanges                 // changed entries only
	ListCached                  // complete, from before a restart: may be stale
	ListFailed                  // a discovery call failed or the subscription broke; no entries
)

// Request is a client's request. Within is the time left before the client gives this try up.
type Request struct {
	ID      RequestID
	Class   int // index into Settings.Classes
	Tenant  int // index into Settings.Tenants, or -1
	Timeout time.Duration
	Retry   bool // the client says that it asked before
	// ClassAtArrival are what the class was when the request came; nil: what it is now.
	ClassAtArrival *Class
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Served        Outcome = iota
	Errored               // the endpoint answered with an error; it may have run
	Saturated             // rejected before it was processed: it did not run
	TimedOut              // no answer in time; it may have run
	ConnectFailed         // no connection: it did not run
	Reset                 // the connection broke; it may have run
	Cancelled             // called off; it may have run
	NotSent               // never sent: it did not run
)

// Result is the end of an attempt. Attempts of a request count from 0 in the order of Send.
type Result struct {
	ID       RequestID
	Attempt  int
	Endpoint string
	Outcome  Outcome
	Took     time.Duration
	Finished bool // the request has had its final answer
}

// Actions is what the host does for a Balancer, called for its answers to events. The events are the
// methods Request, Result, AnswerStarted, ClientGone, Endpoints and Timer of Balancer. The host calls them
// in the order of what happened; the first list follows New at once. Each Request ends with one final
// answer: a Result that is Finished, Reject or Fail. Each Send ends with one Result, also after the final
// answer.
//
// Misuse never panics: an unknown request, attempt, timer or removed endpoint, an id used twice and a
// result given twice are ignored. A Request whose class is not in the settings is ignored too, and gets no
// answer. Times should not go back; if they do, requests still end, but what is measured is off for
// some seconds.
//
// An action is called only during an event, in the order in which things are to be done, and must not call
// back into the Balancer.
type Actions interface {
	// Send starts an attempt, which may wait for its connection. Where it cannot be written whole within a time
	// (0: any), it is given up, and its outcome is NotSent.
	Send(id RequestID, endpoint string, within time.Duration)
	// Cancel stops waiting for an attempt. Its Result follows.
	Cancel(id RequestID, attempt int)
	// Reject is the final answer that says that the request had no effect and may be retried.
	Reject(id RequestID, after time.Duration)
	// Fail is the final answer that says nothing of the effect.
	Fail(id RequestID)
	// Timer asks for a Timer event.
	Timer(after time.Duration, token uint64)
	// Subscribe asks discovery for changes from now on. Endpoints follows.
	Subscribe()
	// Log writes a line for the engineers on call.
	Log(text string)
}

// Observation is what a Balancer observes of an attempt at an endpoint.
type Observation int

// The observations. An attempt that is late, and then silent, is observed once as either.
const (
	// ObservedResponse is an answer.
	ObservedResponse Observation = iota
	// ObservedLate is no answer after the time in which nearly all come, and nothing else from there since.
	ObservedLate
	// ObservedNoResponse is no answer for so long that it is taken to be lost, and nothing else from there
	// since.
	ObservedNoResponse
	// ObservedFailure is an error, or a connection that broke.
	ObservedFailure
	// ObservedConnectFailure is a connection that did not come up.
	ObservedConnectFailure
)

// Observer is notified of what a Balancer observes at endpoints, for other sidecars to know. It is called
// as Actions is.
type Observer interface {
	Observe(endpoint string, o Observation)
}

// PeerReport says that other sidecars suspect an endpoint.
type PeerReport struct {
	ID        string
	WrittenAt Time // when the newest evidence for it was written
}

// Package checker judges a day by the rules that bind every sidecar, from what clients, nodes and discovery saw. It
// shares no code with the sidecar, the decision module or the planes.
package checker

import (
	"fmt"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

// Rule names one of the binding rules.
type Rule string

// The rules.
const (
	RuleResponse  Rule = "answer"  // each request taken gets exactly one final answer, before its client's time plus the slack
	RuleEffect    Rule = "effect"  // what may have run goes out again only as its class allows, and is refused only then
	RuleDrain     Rule = "drain"   // nothing new goes to a node long after it was told to drain or to be gone
	RuleSlowStart Rule = "cold"    // no node that has just started is pushed over
	RulePrompt    Rule = "prompt"  // a request that was given up is answered at once
	RuleGenuine   Rule = "genuine" // nothing is served that no node made, nothing is sent that no client asked for
)

// Rules are all rules, in the order of reports.
var Rules = []Rule{RuleResponse, RuleEffect, RuleDrain, RuleSlowStart, RulePrompt, RuleGenuine}

// RetryRules says what may be done with a request that may have run.
type RetryRules struct {
	Idempotent   bool          // run any number of times
	Deduplicated bool          // again within Window, on nodes of one Group
	DedupeWindow time.Duration // from the first byte of the first attempt that may have run
	PodGroup     func(node int32) int
	MayReject    bool // it may be refused all the same
}

// Limits are what the checker is told of the deployment.
type Limits struct {
	Classes           []RetryRules
	ResponseSlack     time.Duration // of a final answer beyond the client's time
	DrainGrace        time.Duration // nothing new to a node this long after it was told
	GiveUpGrace       time.Duration // a request with nothing out is answered or sent within this time
	SendGrace         time.Duration // an attempt may reach its node this long after the final answer: a second copy was under way
	OverloadMultiple  float64       // of what a cold node can do
	OverloadWindow    time.Duration // over this window
	OverloadSlack     float64       // work beyond it that is chance, in seconds on a standard core
	SlowStartCapacity float64
	SlowStartWindow   time.Duration
}

// Violation is one rule broken once.
type Violation struct {
	At     time.Duration
	Rule   Rule
	Detail string `json:"What"`
}

// String words a breach for a report.
func (b Violation) String() string {
	return fmt.Sprintf("%9.3fs %-7s %s", b.At.Seconds(), b.Rule, b.Detail)
}

// maxViolations bounds the breaches that are kept in words; all are counted.
const maxViolations = 20

// requestRetention is how long an ended request is known, to catch what comes after its answer.
const requestRetention = 10 * time.Second

// Checker judges. It is a record.Sink.
type Checker struct {
	limits          Limits
	requests        map[uint64]*request
	ended           []endedRequest
	drainingSince   map[sidecarNode]time.Duration // since a node is not to get anything new from a sidecar
	warming         map[int32]*warmingNode
	violationCounts map[Rule]int
	violations      []Violation
	requestCount    int
}

type sidecarNode struct{ sidecar, node int32 }

type endedRequest struct {
	endedAt time.Duration
	id      uint64
}

type request struct {
	event       record.Event
	abandoned   bool // its client left, could not reach the sidecar, or the sidecar died
	responses   int
	respondedAt time.Duration
	attempts    []attempt
	runs        int
	idleSince   time.Duration // nothing was out for it since
	tokens      []uint64      // answers that nodes made for it
}

type attempt struct {
	number   uint8
	node     int32
	sentAt   time.Duration
	rejected bool // that it never ran
	ended    bool
}

type warmingNode struct {
	bootedAt   time.Duration
	capacity   float64
	arrivals   []arrival // within the window
	work       float64
	overloaded bool
}

type arrival struct {
	at   time.Duration
	work float64
}

// New returns a checker for a deployment.
func New(t Limits) *Checker {
	return &Checker{limits: t, requests: map[uint64]*request{}, drainingSince: map[sidecarNode]time.Duration{}, warming: map[int32]*warmingNode{},
		violationCounts: map[Rule]int{}}
}

func (r *Checker) addViolation(at time.Duration, rule Rule, format string, args ...any) {
	r.violationCounts[rule]++
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, Violation{at, rule, fmt.Sprintf(format, args...)})
	}
}

// Record implements record.Sink.
func (r *Checker) Record(e *record.Event) {
	switch e.Kind {
	case record.Requested:
		r.requestCount++
		r.requests[e.Request] = &request{event: *e, idleSince: e.At}
		r.dropEnded(e.At)
	case record.Answered:
		r.checkResponse(e)
	case record.ClientLeft:
		if q := r.requests[e.Request]; q != nil {
			q.abandoned = true
			r.ended = append(r.ended, endedRequest{e.At, e.Request})
		}
	case record.Sent:
		r.checkSent(e)
	case record.Arrived:
		r.checkSlowStart(e)
	case record.Ran:
		if q := r.requests[e.Request]; q != nil {
			if q.runs++; q.runs > 1 && !r.limits.Classes[q.event.Class].Idempotent {
				r.addViolation(e.At, RuleEffect, "request %d of class %d ran %d times", e.Request, q.event.Class, q.runs)
			}
		}
	case record.Replied:
		if q := r.requests[e.Request]; q != nil {
			for i := range q.attempts {
				if a := &q.attempts[i]; a.number == e.Attempt && e.Status == record.Rejected {
					a.rejected = true
				}
			}
			if e.Status == record.Served {
				q.tokens = append(q.tokens, e.Token)
			}
		}
	case record.AttemptEnded:
		if q := r.requests[e.Request]; q != nil {
			out := false
			for i := range q.attempts {
				if q.attempts[i].number == e.Attempt {
					q.attempts[i].ended = true
				}
				out = out || !q.attempts[i].ended
			}
			if !out {
				q.idleSince = e.At
			}
		}
	case record.Notified:
		at := sidecarNode{e.Sidecar, e.Node}
		if e.State == record.Serving {
			delete(r.drainingSince, at)
		} else if _, ok := r.drainingSince[at]; !ok {
			r.drainingSince[at] = e.At
		}
	case record.NodeStarted:
		if e.Boot > 0 {
			r.warming[e.Node] = &warmingNode{bootedAt: e.Boot, capacity: e.Capacity}
		}
	case record.SidecarDown:
		for id, q := range r.requests {
			if q.event.Sidecar == e.Sidecar && q.responses == 0 && !q.abandoned {
				q.abandoned = true
				r.ended = append(r.ended, endedRequest{e.At, id})
			}
		}
		for at := range r.drainingSince { // a new life knows only what it is told
			if at.sidecar == e.Sidecar {
				delete(r.drainingSince, at)
			}
		}
	}
}

// dropEnded lets go of requests that ended long ago.
func (r *Checker) dropEnded(now time.Duration) {
	n := 0
	for n < len(r.ended) && now-r.ended[n].endedAt > requestRetention {
		delete(r.requests, r.ended[n].id)
		n++
	}
	r.ended = r.ended[n:]
}

func (r *Checker) checkResponse(e *record.Event) {
	q := r.requests[e.Request]
	if q == nil {
		r.addViolation(e.At, RuleGenuine, "an answer to request %d, which no client made or which ended long ago", e.Request)
		return
	}
	if e.Status == record.NotReached {
		q.abandoned = true
		r.ended = append(r.ended, endedRequest{e.At, e.Request})
		return
	}
	if q.abandoned {
		return // nothing was owed any more
	}
	if q.responses++; q.responses > 1 {
		r.addViolation(e.At, RuleResponse, "request %d has answer number %d", e.Request, q.responses)
		return
	}
	q.respondedAt = e.At
	r.ended = append(r.ended, endedRequest{e.At, e.Request})
	if late := e.At - q.event.At - q.event.Wait; late > r.limits.ResponseSlack {
		r.addViolation(e.At, RuleResponse, "request %d is answered %v after its client's time", e.Request, late)
	}
	switch e.Status {
	case record.Served:
		if !slices.Contains(q.tokens, e.Token) {
			r.addViolation(e.At, RuleGenuine, "request %d is served with an answer that no node made for it", e.Request)
		}
		return
	case record.Rejected:
		if c := r.limits.Classes[q.event.Class]; !c.MayReject && slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.rejected }) {
			r.addViolation(e.At, RuleEffect, "request %d of class %d is refused though it may have run", e.Request, q.event.Class)
		}
	}
	out := slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.ended })
	if idle := e.At - q.idleSince; !out && idle > r.limits.GiveUpGrace {
		r.addViolation(e.At, RulePrompt, "request %d is given up %v after anything was out for it", e.Request, idle)
	}
}

func (r *Checker) checkSent(e *record.Event) {
	at := sidecarNode{e.Sidecar, e.Node}
	if told, ok := r.drainingSince[at]; ok && e.At-told > r.limits.DrainGrace {
		r.addViolation(e.At, RuleDrain, "sidecar %d sends request %d to node %d %v after it was told to stop", e.Sidecar, e.Request,
			e.Node, e.At-told)
	}
	q := r.requests[e.Request]
	if q == nil {
		r.addViolation(e.At, RuleGenuine, "node %d gets request %d, which no client made or which ended long ago", e.Node, e.Request)
		return
	}
	if q.responses > 0 && e.At > q.respondedAt+r.limits.SendGrace {
		r.addViolation(e.At, RuleEffect, "request %d is sent %v after its final answer", e.Request, e.At-q.respondedAt)
	}
	class := r.limits.Classes[q.event.Class]
	for _, a := range q.attempts {
		switch {
		case a.rejected, class.Idempotent:
		case !class.Deduplicated:
			r.addViolation(e.At, RuleEffect, "request %d of class %d goes out again though it may have run", e.Request, q.event.Class)
		case class.PodGroup(a.node) != class.PodGroup(e.Node):
			r.addViolation(e.At, RuleEffect, "request %d of class %d goes to node %d, outside the group of node %d where it may have run",
				e.Request, q.event.Class, e.Node, a.node)
		case e.At-a.sentAt > class.DedupeWindow:
			r.addViolation(e.At, RuleEffect, "request %d of class %d goes out again after %v", e.Request, q.event.Class, e.At-a.sentAt)
		}
	}
	q.attempts = append(q.attempts, attempt{number: e.Attempt, node: e.Node, sentAt: e.At})
}

// checkSlowStart checks that a cold node is not pushed over: the work that reaches it within any window stays under a multiple
// of what it can do in that window.
func (r *Checker) checkSlowStart(e *record.Event) {
	n := r.warming[e.Node]
	if n == nil || n.overloaded || e.At < n.bootedAt || e.At > n.bootedAt+r.limits.SlowStartWindow+r.limits.OverloadWindow {
		return
	}
	n.arrivals = append(n.arrivals, arrival{e.At, e.Work})
	n.work += e.Work
	drop := 0
	for n.arrivals[drop].at < e.At-r.limits.OverloadWindow {
		n.work -= n.arrivals[drop].work
		drop++
	}
	n.arrivals = n.arrivals[drop:]
	able := n.capacity * r.capacityShare(e.At-n.bootedAt) * r.limits.OverloadWindow.Seconds()
	if n.work > r.limits.OverloadMultiple*able+r.limits.OverloadSlack {
		n.overloaded = true
		r.addViolation(e.At, RuleSlowStart, "node %d, up for %v, got %.2f s of work within %v, %.1f times what it can do", e.Node, e.At-n.bootedAt,
			n.work, r.limits.OverloadWindow, n.work/able)
	}
}

func (r *Checker) capacityShare(age time.Duration) float64 {
	if r.limits.SlowStartWindow <= 0 || age >= r.limits.SlowStartWindow {
		return 1
	}
	return r.limits.SlowStartCapacity + (1-r.limits.SlowStartCapacity)*age.Seconds()/r.limits.SlowStartWindow.Seconds()
}

// Verdict is what the checker found.
type Verdict struct {
	Requests   int          `json:"asked"`    // requests seen
	Counts     map[Rule]int `json:"breaches"` // of each rule that was broken
	Violations []Violation  `json:"first"`    // the first ones, in words
}

// Clean tells whether no rule was broken.
func (v Verdict) Clean() bool { return len(v.Counts) == 0 }

// Verdict ends the day at a time and judges what is still open.
func (r *Checker) Verdict(end time.Duration) Verdict {
	var lost []uint64
	for id, q := range r.requests {
		if q.responses == 0 && !q.abandoned && end-q.event.At > q.event.Wait+r.limits.ResponseSlack {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		r.addViolation(end, RuleResponse, "request %d never got an answer", id)
	}
	return Verdict{Requests: r.requestCount, Counts: r.violationCounts, Violations: r.violations}
}

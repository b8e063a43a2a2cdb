// Package referee judges a day by the rules that bind every sidecar, from what clients, nodes and discovery saw. It
// shares no code with the sidecar, the decision module or the planes.
package referee

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
	Answer  Rule = "answer"  // each request taken gets exactly one final answer, before its client's time plus the slack
	Effect  Rule = "effect"  // what may have run goes out again only as its class allows, and is refused only then
	Drain   Rule = "drain"   // nothing new goes to a node long after it was told to drain or to be gone
	Cold    Rule = "cold"    // no node that has just started is pushed over
	Prompt  Rule = "prompt"  // a request that was given up is answered at once
	Genuine Rule = "genuine" // nothing is served that no node made, nothing is sent that no client asked for
)

// Rules are all rules, in the order of reports.
var Rules = []Rule{Answer, Effect, Drain, Cold, Prompt, Genuine}

// Repeats says what may be done with a request that may have run.
type Repeats struct {
	Anywhere bool          // run any number of times
	Inside   bool          // again within Window, on nodes of one Group
	Window   time.Duration // from the first byte of the first attempt that may have run
	Group    func(node int32) int
	Refuse   bool // it may be refused all the same
}

// Terms are what the referee is told of the deployment.
type Terms struct {
	Classes      []Repeats
	Slack        time.Duration // of a final answer beyond the client's time
	DrainWithin  time.Duration // nothing new to a node this long after it was told
	PromptWithin time.Duration // a request with nothing out is answered or sent within this time
	OnTheWay     time.Duration // an attempt may reach its node this long after the final answer: a second copy was under way
	FallMultiple float64       // of what a cold node can do
	Fall         time.Duration // over this window
	FallSlack    float64       // work beyond it that is chance, in seconds on a standard core
	ColdFrom     float64
	Cold         time.Duration
}

// Breach is one rule broken once.
type Breach struct {
	At   time.Duration
	Rule Rule
	What string
}

// String words a breach for a report.
func (b Breach) String() string { return fmt.Sprintf("%9.3fs %-7s %s", b.At.Seconds(), b.Rule, b.What) }

// mostKept bounds the breaches that are kept in words; all are counted.
const mostKept = 20

// remember is how long an ended request is known, to catch what comes after its answer.
const remember = 10 * time.Second

// Referee judges. It is a record.Sink.
type Referee struct {
	terms    Terms
	requests map[uint64]*request
	ended    []ended
	told     map[pair]time.Duration // since a node is not to get anything new from a sidecar
	nodes    map[int32]*cold
	counts   map[Rule]int
	kept     []Breach
	asked    int
}

type pair struct{ sidecar, node int32 }

type ended struct {
	at time.Duration
	id uint64
}

type request struct {
	asked    record.Event
	void     bool // its client left, could not reach the sidecar, or the sidecar died
	answers  int
	answered time.Duration
	attempts []attempt
	ran      int
	free     time.Duration // nothing was out for it since
	made     []uint64      // answers that nodes made for it
}

type attempt struct {
	n      uint8
	node   int32
	sent   time.Duration
	proven bool // that it never ran
	over   bool
}

type cold struct {
	boot     time.Duration
	capacity float64
	came     []load // within the window
	sum      float64
	fallen   bool
}

type load struct {
	at   time.Duration
	work float64
}

// New returns a referee for a deployment.
func New(t Terms) *Referee {
	return &Referee{terms: t, requests: map[uint64]*request{}, told: map[pair]time.Duration{}, nodes: map[int32]*cold{},
		counts: map[Rule]int{}}
}

func (r *Referee) breach(at time.Duration, rule Rule, format string, args ...any) {
	r.counts[rule]++
	if len(r.kept) < mostKept {
		r.kept = append(r.kept, Breach{at, rule, fmt.Sprintf(format, args...)})
	}
}

// Record implements record.Sink.
func (r *Referee) Record(e *record.Event) {
	switch e.Kind {
	case record.Requested:
		r.asked++
		r.requests[e.Request] = &request{asked: *e, free: e.At}
		r.forget(e.At)
	case record.Answered:
		r.answer(e)
	case record.ClientLeft:
		if q := r.requests[e.Request]; q != nil {
			q.void = true
			r.ended = append(r.ended, ended{e.At, e.Request})
		}
	case record.Sent:
		r.sent(e)
	case record.Arrived:
		r.arrived(e)
	case record.Ran:
		if q := r.requests[e.Request]; q != nil {
			if q.ran++; q.ran > 1 && !r.terms.Classes[q.asked.Class].Anywhere {
				r.breach(e.At, Effect, "request %d of class %d ran %d times", e.Request, q.asked.Class, q.ran)
			}
		}
	case record.Replied:
		if q := r.requests[e.Request]; q != nil {
			for i := range q.attempts {
				if a := &q.attempts[i]; a.n == e.Attempt && e.Status == record.Rejected {
					a.proven = true
				}
			}
			if e.Status == record.Served {
				q.made = append(q.made, e.Token)
			}
		}
	case record.AttemptEnded:
		if q := r.requests[e.Request]; q != nil {
			out := false
			for i := range q.attempts {
				if q.attempts[i].n == e.Attempt {
					q.attempts[i].over = true
				}
				out = out || !q.attempts[i].over
			}
			if !out {
				q.free = e.At
			}
		}
	case record.Notified:
		at := pair{e.Sidecar, e.Node}
		if e.State == record.Serving {
			delete(r.told, at)
		} else if _, ok := r.told[at]; !ok {
			r.told[at] = e.At
		}
	case record.NodeStarted:
		if e.Boot > 0 {
			r.nodes[e.Node] = &cold{boot: e.Boot, capacity: e.Capacity}
		}
	case record.SidecarDown:
		for id, q := range r.requests {
			if q.asked.Sidecar == e.Sidecar && q.answers == 0 && !q.void {
				q.void = true
				r.ended = append(r.ended, ended{e.At, id})
			}
		}
		for at := range r.told { // a new life knows only what it is told
			if at.sidecar == e.Sidecar {
				delete(r.told, at)
			}
		}
	}
}

// forget lets go of requests that ended long ago.
func (r *Referee) forget(now time.Duration) {
	n := 0
	for n < len(r.ended) && now-r.ended[n].at > remember {
		delete(r.requests, r.ended[n].id)
		n++
	}
	r.ended = r.ended[n:]
}

func (r *Referee) answer(e *record.Event) {
	q := r.requests[e.Request]
	if q == nil {
		r.breach(e.At, Genuine, "an answer to request %d, which no client made or which ended long ago", e.Request)
		return
	}
	if e.Status == record.NotReached {
		q.void = true
		r.ended = append(r.ended, ended{e.At, e.Request})
		return
	}
	if q.void {
		return // nothing was owed any more
	}
	if q.answers++; q.answers > 1 {
		r.breach(e.At, Answer, "request %d has answer number %d", e.Request, q.answers)
		return
	}
	q.answered = e.At
	r.ended = append(r.ended, ended{e.At, e.Request})
	if late := e.At - q.asked.At - q.asked.Wait; late > r.terms.Slack {
		r.breach(e.At, Answer, "request %d is answered %v after its client's time", e.Request, late)
	}
	switch e.Status {
	case record.Served:
		if !slices.Contains(q.made, e.Token) {
			r.breach(e.At, Genuine, "request %d is served with an answer that no node made for it", e.Request)
		}
		return
	case record.Rejected:
		if c := r.terms.Classes[q.asked.Class]; !c.Refuse && slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.proven }) {
			r.breach(e.At, Effect, "request %d of class %d is refused though it may have run", e.Request, q.asked.Class)
		}
	}
	out := slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.over })
	if idle := e.At - q.free; !out && idle > r.terms.PromptWithin {
		r.breach(e.At, Prompt, "request %d is given up %v after anything was out for it", e.Request, idle)
	}
}

func (r *Referee) sent(e *record.Event) {
	at := pair{e.Sidecar, e.Node}
	if told, ok := r.told[at]; ok && e.At-told > r.terms.DrainWithin {
		r.breach(e.At, Drain, "sidecar %d sends request %d to node %d %v after it was told to stop", e.Sidecar, e.Request,
			e.Node, e.At-told)
	}
	q := r.requests[e.Request]
	if q == nil {
		r.breach(e.At, Genuine, "node %d gets request %d, which no client made or which ended long ago", e.Node, e.Request)
		return
	}
	if q.answers > 0 && e.At > q.answered+r.terms.OnTheWay {
		r.breach(e.At, Effect, "request %d is sent %v after its final answer", e.Request, e.At-q.answered)
	}
	class := r.terms.Classes[q.asked.Class]
	for _, a := range q.attempts {
		switch {
		case a.proven, class.Anywhere:
		case !class.Inside:
			r.breach(e.At, Effect, "request %d of class %d goes out again though it may have run", e.Request, q.asked.Class)
		case class.Group(a.node) != class.Group(e.Node):
			r.breach(e.At, Effect, "request %d of class %d goes to node %d, outside the group of node %d where it may have run",
				e.Request, q.asked.Class, e.Node, a.node)
		case e.At-a.sent > class.Window:
			r.breach(e.At, Effect, "request %d of class %d goes out again after %v", e.Request, q.asked.Class, e.At-a.sent)
		}
	}
	q.attempts = append(q.attempts, attempt{n: e.Attempt, node: e.Node, sent: e.At})
}

// arrived checks that a cold node is not pushed over: the work that reaches it within any window stays under a multiple
// of what it can do in that window.
func (r *Referee) arrived(e *record.Event) {
	n := r.nodes[e.Node]
	if n == nil || n.fallen || e.At < n.boot || e.At > n.boot+r.terms.Cold+r.terms.Fall {
		return
	}
	n.came = append(n.came, load{e.At, e.Work})
	n.sum += e.Work
	drop := 0
	for n.came[drop].at < e.At-r.terms.Fall {
		n.sum -= n.came[drop].work
		drop++
	}
	n.came = n.came[drop:]
	able := n.capacity * r.warmth(e.At-n.boot) * r.terms.Fall.Seconds()
	if n.sum > r.terms.FallMultiple*able+r.terms.FallSlack {
		n.fallen = true
		r.breach(e.At, Cold, "node %d, up for %v, got %.2f s of work within %v, %.1f times what it can do", e.Node, e.At-n.boot,
			n.sum, r.terms.Fall, n.sum/able)
	}
}

func (r *Referee) warmth(age time.Duration) float64 {
	if r.terms.Cold <= 0 || age >= r.terms.Cold {
		return 1
	}
	return r.terms.ColdFrom + (1-r.terms.ColdFrom)*age.Seconds()/r.terms.Cold.Seconds()
}

// Verdict is what the referee found.
type Verdict struct {
	Asked    int          `json:"asked"`    // requests seen
	Counts   map[Rule]int `json:"breaches"` // of each rule that was broken
	Breaches []Breach     `json:"first"`    // the first ones, in words
}

// Clean tells whether no rule was broken.
func (v Verdict) Clean() bool { return len(v.Counts) == 0 }

// Verdict ends the day at a time and judges what is still open.
func (r *Referee) Verdict(end time.Duration) Verdict {
	var lost []uint64
	for id, q := range r.requests {
		if q.answers == 0 && !q.void && end-q.asked.At > q.asked.Wait+r.terms.Slack {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		r.breach(end, Answer, "request %d never got an answer", id)
	}
	return Verdict{Asked: r.asked, Counts: r.counts, Breaches: r.kept}
}

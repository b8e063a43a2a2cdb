package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simulation runs leaders and sidecars in simulated time. The replicated log is a list to which only the leader of the
// latest term can append. Clocks drift. Messages are lost, delayed and reordered. Leaders change, pause, and respond
// long after their leadership was confirmed. Sidecars pause, crash and restart.
type simulation struct {
	rng          *rand.Rand
	terms        Terms
	now          time.Duration // real time, not of a host's clock
	term         uint64
	log          []Entry
	cachedLedger *Ledger // after the first applied entries
	applied      int
	leaders      []*leader
	sidecars     []*sidecar
	queue        []event // sorted by time
	faulty       bool
	violations   []string
	firstServed  []time.Duration // by policy number
	states       map[string]State
	// Number of checks of running sidecars, and of those in which the sidecar served.
	checks, servingChecks int
	longestGap            time.Duration
	lastServing           map[int]time.Duration
}

type event struct {
	at time.Duration
	do func()
}

// clock is the clock of one host. It runs faster than real time by up to Terms.Drift.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) read(real time.Duration) Time { return c.offset + time.Duration(float64(real)*c.rate) }

type leader struct {
	clock
	term        uint64
	table       *LeaseTable
	pausedUntil time.Duration
}

type sidecar struct {
	clock
	index       int
	incarnation uint64
	holder      *Holder
	down        bool
	pausedUntil time.Duration
	cutUntil    time.Duration // partitioned until then
	lastRequest time.Duration
	rejects     map[uint64]bool // by number, documents in which the sidecar finds a fault
}

const (
	stepLength   = 5 * time.Millisecond
	maxDelay     = 40 * time.Millisecond // of 9 in 10 messages
	maxLateDelay = 4 * time.Second       // of the other messages: longer than a lease
	maxPause     = 5 * time.Second       // of a leader after the confirmation of its leadership
	maxFault     = 6 * time.Second
	writeDelay   = 20 * time.Millisecond // maximum delay of a write to the log
	checkDelay   = 20 * time.Millisecond // maximum duration of the check of a document
)

func newSimulation(seed uint64, sidecars int, faulty bool) *simulation {
	w := &simulation{
		rng:         rand.New(rand.NewPCG(seed, 0x9011c)),
		terms:       DefaultTerms,
		faulty:      faulty,
		states:      map[string]State{},
		firstServed: make([]time.Duration, 64),
		lastServing: map[int]time.Duration{},
	}
	for i := range sidecars {
		s := &sidecar{clock: w.clock(), index: i, rejects: map[uint64]bool{}}
		w.sidecars = append(w.sidecars, s)
		w.startProcess(s)
	}
	w.elect()
	return w
}

// draw returns a random duration below a limit.
func (w *simulation) draw(limit time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(limit)))
}

func (w *simulation) clock() clock {
	return clock{1 + w.terms.Drift*w.rng.Float64(), time.Hour + w.draw(time.Hour)}
}

func (w *simulation) startProcess(s *sidecar) {
	s.incarnation++
	s.down = false
	s.holder = NewHolder(fmt.Sprint("n", s.index), s.incarnation, w.terms)
}

// elect starts a term with a new leader. The two leaders before it continue to run, deposed.
func (w *simulation) elect() {
	w.term++
	l := &leader{clock: w.clock(), term: w.term}
	l.table = NewLeaseTable(l.read(w.now), w.term, w.terms)
	w.leaders = append(w.leaders, l)
	if len(w.leaders) > 3 {
		w.leaders = w.leaders[1:]
	}
}

func (w *simulation) leader() *leader { return w.leaders[len(w.leaders)-1] }

// ledger returns the ledger after all entries of the log. Later entries do not change it.
func (w *simulation) ledger() *Ledger {
	if w.cachedLedger == nil || w.applied < len(w.log) {
		l := NewLedger([]byte("first"))
		for _, e := range w.log {
			l.Apply(e)
		}
		w.cachedLedger, w.applied = l, len(w.log)
	}
	return w.cachedLedger
}

func (w *simulation) schedule(d time.Duration, do func()) {
	at := w.now + d
	later := func(e event, at time.Duration) int { return cmp.Compare(e.at, at) }
	i, _ := slices.BinarySearchFunc(w.queue, at+1, later)
	w.queue = slices.Insert(w.queue, i, event{at, do})
}

// networkDelay returns a random delay of a message, and false if the message is lost.
func (w *simulation) networkDelay() (time.Duration, bool) {
	if !w.faulty {
		return w.draw(5 * time.Millisecond), true
	}
	d := w.draw(maxDelay)
	if w.rng.IntN(10) == 0 {
		d = w.draw(maxLateDelay)
	}
	return d, w.rng.IntN(5) > 0
}

// appendEntries appends entries to the log after a delay, if the leader has not been deposed by then.
func (w *simulation) appendEntries(l *leader, entries []Entry) {
	for _, e := range entries {
		w.schedule(w.draw(writeDelay), func() {
			if l.term == w.term {
				w.log = append(w.log, e)
			}
		})
	}
}

// exchange is a lease request and its response.
type exchange struct {
	*sidecar
	incarnation uint64
	sent        Time // on the sidecar's clock
	request     LeaseRequest
	leader      *leader
}

func (w *simulation) request(s *sidecar) {
	s.lastRequest = w.now
	x := &exchange{sidecar: s, incarnation: s.incarnation, sent: s.read(w.now), request: s.holder.Request()}
	delay, ok := w.networkDelay()
	if ok && s.cutUntil <= w.now {
		w.schedule(delay, func() { w.arrive(x) })
	}
}

// arrive delivers a request to a leader, which may be deposed and has to confirm its leadership before it responds.
func (w *simulation) arrive(x *exchange) {
	x.leader = w.leaders[w.rng.IntN(len(w.leaders))]
	if !w.faulty {
		x.leader = w.leader()
	}
	if x.leader.pausedUntil <= w.now {
		w.schedule(w.draw(10*time.Millisecond), func() { w.confirm(x) })
	}
}

// confirm continues a request if the leader is not deposed. The leader may pause before it responds.
func (w *simulation) confirm(x *exchange) {
	if x.leader.term != w.term {
		return
	}
	pause := time.Duration(0)
	if w.faulty && w.rng.IntN(20) == 0 {
		pause = w.draw(maxPause)
	}
	confirmed := w.ledger()
	w.schedule(pause, func() { w.respond(x, confirmed) })
}

// respond sends the response. The leader uses the current ledger, or if it has been deposed since, the ledger at the
// time of its confirmation.
func (w *simulation) respond(x *exchange, confirmed *Ledger) {
	ledger := confirmed
	if x.leader.term == w.term {
		ledger = w.ledger()
	}
	response, write := x.leader.table.Renew(x.leader.read(w.now), ledger, x.request)
	w.appendEntries(x.leader, write)
	delay, ok := w.networkDelay()
	if ok && x.cutUntil <= w.now {
		w.schedule(delay, func() { w.deliver(x, response) })
	}
}

// deliver applies the response in the process that sent the request, unless that has ended. If the process is paused,
// it applies the response after the pause.
func (w *simulation) deliver(x *exchange, response LeaseResponse) {
	s := x.sidecar
	if s.incarnation != x.incarnation || s.down {
		return
	}
	if s.pausedUntil > w.now {
		w.schedule(s.pausedUntil-w.now, func() { w.deliver(x, response) })
		return
	}
	number := s.holder.ApplyResponse(s.read(w.now), x.sent, response)
	if number == 0 {
		return
	}
	w.schedule(w.draw(checkDelay), func() {
		if s.incarnation != x.incarnation || s.down {
			return
		}
		fault := ""
		if s.rejects[number] {
			fault = "it has a class without a name"
		}
		s.holder.RecordCheck(number, fault)
		w.request(s)
	})
}

// step advances the time by stepLength, runs the events that are due, and checks all guarantees.
func (w *simulation) step() {
	w.now += stepLength
	for len(w.queue) > 0 && w.queue[0].at <= w.now {
		e := w.queue[0]
		w.queue = w.queue[1:]
		e.do()
	}
	for _, l := range w.leaders {
		if l.pausedUntil <= w.now {
			w.appendEntries(l, l.table.Tick(l.read(w.now), w.ledger()))
		}
	}
	interval := w.terms.ShortLength / 3
	for _, s := range w.sidecars {
		if !s.down && s.pausedUntil <= w.now && w.now-s.lastRequest >= interval {
			w.request(s)
		}
	}
	w.checkInvariants()
}

func (w *simulation) steps(n int) {
	for range n {
		w.step()
	}
}

func (w *simulation) recordViolation(format string, a ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, a...))
}

func (w *simulation) checkInvariants() {
	serving := map[uint64][]int{}
	for _, s := range w.sidecars {
		if s.down || s.pausedUntil > w.now {
			continue
		}
		w.checks++
		if number, _, ok := s.holder.Serves(s.read(w.now)); ok {
			w.servingChecks++
			serving[number] = append(serving[number], s.index)
			w.lastServing[s.index] = w.now
		}
		w.longestGap = max(w.longestGap, w.now-w.lastServing[s.index])
	}
	if len(serving) > 1 {
		w.recordViolation("policies served at the same time, with their sidecars: %v", serving)
	}
	for number := range serving {
		if w.firstServed[number] == 0 {
			w.firstServed[number] = w.now
		}
		for _, later := range w.firstServed[number+1:] {
			if later > 0 {
				w.recordViolation("policy %d is served after a later policy", number)
			}
		}
	}
	for _, o := range w.ledger().Outcomes() {
		if before := w.states[o.ID]; contradicts(before, o.State) {
			w.recordViolation("the state of change %s went from %v to %v", o.ID, before, o.State)
		}
		w.states[o.ID] = o.State
	}
}

// contradicts reports whether a change must not go from state before to state now.
func contradicts(before, now State) bool {
	switch before {
	case Refused, InForce:
		return now != before
	case Committed, Switching:
		return now == Refused || now < before
	default:
		return false
	}
}

// injectFault injects a random fault of random duration.
func (w *simulation) injectFault() {
	s := w.sidecars[w.rng.IntN(len(w.sidecars))]
	until := w.now + w.draw(maxFault)
	switch w.rng.IntN(6) {
	case 0:
		w.elect()
	case 1:
		w.leader().pausedUntil = until
	case 2:
		s.pausedUntil = until
	case 3:
		s.cutUntil = until
	case 4:
		s.down = true
		w.schedule(until-w.now, func() {
			if s.down {
				w.startProcess(s)
			}
		})
	case 5:
		for _, half := range w.sidecars[:len(w.sidecars)/2] {
			half.cutUntil = until
		}
	}
}

// endFaults ends all faults of sidecars and of the leader.
func (w *simulation) endFaults() {
	w.faulty = false
	for _, s := range w.sidecars {
		s.cutUntil, s.pausedUntil = 0, 0
		if s.down {
			w.startProcess(s)
		}
	}
	w.leader().pausedUntil = 0
}

// propose appends a proposal that follows the policy in force, and returns its ID.
func (w *simulation) propose(text string) string {
	id := fmt.Sprintf("p%d", len(w.log))
	follows := w.ledger().InForce().Number
	w.log = append(w.log, Entry{Propose: &Proposal{ID: id, Author: "a", Follows: follows, Text: []byte(text)}})
	return id
}

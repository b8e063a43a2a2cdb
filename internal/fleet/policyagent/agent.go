// Package policyagent gives a sidecar its part in the fleet's policy: it asks the deciders under which policy it may take requests
// (policy.Holder), has documents checked by the code that would run them, and where this sidecar is a decider keeps its Raft node (package
// Raft node). It decides nothing: it moves messages and reads the clock.
package policyagent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fleet/disk"
	"milletramp.example/milletramp/internal/fleet/policy"
	"milletramp.example/milletramp/internal/fleet/raftnode"
)

const (
	askWithin    = time.Second            // a decider answers
	leastPause   = 50 * time.Millisecond  // between two questions
	lookEvery    = 100 * time.Millisecond // at what has become of a proposal
	mostQueued   = 64                     // messages for one decider
	mostEvents   = 1024                   // for the Raft node
	nodeWithin   = 3 * time.Second        // a message between deciders takes at most
	openEvery    = 200 * time.Millisecond // that a folder is tried which another process has
	monotonic    = time.Hour              // readings begin at, so that none is 0
	largestName  = 64
	mostDeciders = 9
)

// Peers is the way to other sidecars, by their names.
type Peers interface {
	// Call calls another sidecar, which must be known to be there, and returns its answer.
	Call(ctx context.Context, name string, text []byte) ([]byte, error)
}

// Settings say what a Agent is to do.
type Settings struct {
	Name     string
	Life     uint64 // of this process; see Raise
	Deciders []string
	First    []byte // the policy in force before any change
	Folder   string // of this decider; "": this sidecar is none
	Terms    policy.Terms
	// ServeOn has a sidecar without a promise go on under what it served last. Then two policies may be served at once.
	ServeOn bool
	// Check reads a document whole, with the code that would run it, and says what is wrong with it, "" nothing. Once it has
	// said nothing the sidecar can run that number.
	Check func(number uint64, text []byte) (fault string)
}

// Agent is a sidecar's part.
type Agent struct {
	set     Settings
	peers   Peers
	log     *slog.Logger
	origin  time.Time
	decides bool // it is a decider by its file
	ctx     context.Context
	stop    context.CancelFunc
	over    sync.WaitGroup

	mu     sync.Mutex // guards the holder and what follows
	holder *policy.Holder
	names  []string // whom to ask: the deciders, and behind them those of the file
	count  int      // deciders among them: those of the file, or by the last that led and answered
	last   uint64   // served last
	waived bool     // it serves without a promise
	leader string   // who answered last

	hurry time.Duration // of the asking goroutine: until then a change may be under way

	// Of the Raft node's goroutine.
	node    *raftnode.Node // nil: none, or its folder is not open yet
	folder  *disk.Log
	waiting map[uint64]chan consensus.Answer
	tokens  uint64
	events  chan func(now raftnode.Time)
	queues  map[string]chan []byte
}

// Start begins a sidecar's part.
func Start(set Settings, peers Peers, log *slog.Logger) (*Agent, error) {
	if err := set.Terms.Check(); err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	decides := slices.Contains(set.Deciders, set.Name)
	switch {
	case decides && set.Folder == "":
		return nil, fmt.Errorf("policy: %s is a decider and has no folder", set.Name)
	case len(set.First) == 0 || len(set.First) > policy.MostText:
		return nil, fmt.Errorf("policy: a first policy of %d bytes, 1 to %d are allowed", len(set.First), policy.MostText)
	}
	if fault := set.Check(1, set.First); fault != "" {
		return nil, fmt.Errorf("policy: the first one: %s", fault)
	}
	c := &Agent{set: set, peers: peers, decides: decides, names: set.Deciders, count: len(set.Deciders), log: log.With("part", "policy"), origin: time.Now(), waiting: map[uint64]chan consensus.Answer{},
		holder: policy.NewHolder(set.Name, set.Life, set.Terms), events: make(chan func(raftnode.Time), mostEvents), queues: map[string]chan []byte{}}
	c.ctx, c.stop = context.WithCancel(context.Background())
	if decides {
		c.over.Add(1)
		go func() {
			defer c.over.Done()
			c.sit()
		}()
	}
	c.over.Add(1)
	go func() {
		defer c.over.Done()
		c.ask()
	}()
	return c, nil
}

// Close ends the part and waits for all that was begun.
func (c *Agent) Close() {
	c.stop()
	c.over.Wait()
}

// now reads the monotonic clock. Danger: a clock of day that is set would end promises late.
func (c *Agent) now() time.Duration { return monotonic + time.Since(c.origin) }

// Raise takes in the life of this process that the fleet has come to: higher than any before it under the name.
func (c *Agent) Raise(life uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.Raise(life)
}

// Serves tells under which policy a request may be taken now; wait is how long it would have to wait for the next one, where that is
// known. Danger: it is to be called for each request, after whatever may have stopped the process: it reads the clock itself.
func (c *Agent) Serves() (number uint64, wait time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	number, wait, ok = c.holder.Serves(c.now())
	switch {
	case ok:
		c.last, c.waived = number, false
	case c.set.ServeOn && c.last > 0 && wait == 0:
		c.waived = true
		return c.last, 0, true
	}
	return number, wait, ok
}

// message is a call between sidecars: exactly one of its fields is set.
type message struct {
	Node    []byte           `cbor:"1,keyasint,omitempty"` // of a decider for another one
	Ask     *policy.Question `cbor:"2,keyasint,omitempty"`
	Get     uint64           `cbor:"3,keyasint,omitempty"` // a document
	Propose *policy.Propose  `cbor:"4,keyasint,omitempty"`
	Outcome string           `cbor:"5,keyasint,omitempty"` // of a proposal
	State   bool             `cbor:"6,keyasint,omitempty"`
	Replace *replace         `cbor:"7,keyasint,omitempty"`
}

// replace has one that waits for a place take that of a decider.
type replace struct {
	Out string `cbor:"1,keyasint"`
	In  string `cbor:"2,keyasint"`
}

// reply is the answer to one.
type reply struct {
	Fault    string          `cbor:"1,keyasint,omitempty"`
	Leader   string          `cbor:"2,keyasint,omitempty"` // who may know more
	Grant    *policy.Grant   `cbor:"3,keyasint,omitempty"`
	Document *document       `cbor:"4,keyasint,omitempty"`
	Outcome  *policy.Outcome `cbor:"5,keyasint,omitempty"`
	State    *State          `cbor:"6,keyasint,omitempty"`
	Deciders []string        `cbor:"7,keyasint,omitempty"` // of now, by one that leads
}

type document struct {
	Number uint64 `cbor:"1,keyasint"`
	Text   []byte `cbor:"2,keyasint"`
}

// State is what a decider holds.
type State struct {
	Decider      string           `cbor:"1,keyasint" json:"decider"`
	Leader       string           `cbor:"2,keyasint" json:"leader"`
	Broken       string           `cbor:"3,keyasint" json:"takes_part_no_more,omitempty"`
	Bootstrapped bool             `cbor:"4,keyasint" json:"founded"`
	Number       uint64           `cbor:"5,keyasint" json:"in_force"`
	Digest       string           `cbor:"6,keyasint" json:"digest"`
	Pending      *policy.Outcome  `cbor:"7,keyasint" json:"under_way,omitempty"`
	Outcomes     []policy.Outcome `cbor:"8,keyasint" json:"changes"`
	// Waiting are the sidecars that the change under way waits for, on the one that leads, and Seconds how long at most.
	Waiting []string `cbor:"9,keyasint,omitempty" json:"waits_for,omitempty"`
	Seconds float64  `cbor:"10,keyasint,omitempty" json:"waits_s,omitempty"`
	// Deciders are those of now, and Settled is false while one takes the place of another. Candidates wait for a place.
	Deciders   []string `cbor:"11,keyasint" json:"deciders"`
	Settled    bool     `cbor:"12,keyasint" json:"settled"`
	Candidates []string `cbor:"13,keyasint,omitempty" json:"candidates,omitempty"`
	LeftOut    bool     `cbor:"14,keyasint,omitempty" json:"waits_for_a_place,omitempty"`
}

var errBusy = errors.New("policy: this decider is busy")

// Call implements transport.Called.
func (c *Agent) Call(ctx context.Context, text []byte) ([]byte, error) {
	var m message
	if err := cbor.Unmarshal(text, &m); err != nil {
		return nil, fmt.Errorf("policy: a call that cannot be read: %w", err)
	}
	return cbor.Marshal(c.answer(ctx, m))
}

func (c *Agent) answer(ctx context.Context, m message) (r reply) {
	if !c.decides {
		return reply{Fault: c.set.Name + " is no decider"}
	}
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	done := make(chan struct{})
	var asked chan consensus.Answer
	got := &reply{} // the Raft node's goroutine may come to it after this call has given up
	do := func(now raftnode.Time) {
		defer close(done)
		if c.node == nil {
			got.Fault = c.set.Name + " has not opened its folder yet"
			return
		}
		got.Leader = c.node.Leader()
		l := c.node.Ledger()
		switch {
		case m.Node != nil:
			if err := c.node.Receive(now, m.Node); err != nil {
				got.Fault = err.Error()
			}
		case m.Ask != nil:
			c.tokens++
			asked = make(chan consensus.Answer, 1)
			c.waiting[c.tokens] = asked
			c.node.Ask(now, c.tokens, *m.Ask)
			got.Deciders, _ = c.node.Voters()
		case m.Propose != nil:
			if err := c.node.Propose(now, *m.Propose); err != nil {
				got.Fault = err.Error()
			}
		case m.Replace != nil:
			if err := c.node.Replace(now, m.Replace.Out, m.Replace.In); err != nil {
				got.Fault = err.Error()
			}
		case m.State:
			got.State = c.state(now, l)
		case l == nil:
			got.Fault = "no consensus group yet"
		case m.Get > 0:
			d, known := l.Document(m.Get)
			if !known {
				d, known = l.Former(m.Get)
			}
			if !known {
				got.Fault = fmt.Sprintf("no document %d", m.Get)
				return
			}
			got.Document = &document{d.Number, d.Text}
		case m.Outcome != "":
			o := l.Outcome(m.Outcome)
			got.Outcome = &o
		}
	}
	select {
	case c.events <- do:
	default:
		return reply{Fault: errBusy.Error()}
	}
	select {
	case <-done:
	case <-ctx.Done():
		return reply{Fault: errBusy.Error()}
	}
	if r = *got; asked == nil {
		return r
	}
	select {
	case a := <-asked:
		if a.Err != nil {
			r.Fault = a.Err.Error()
			return r
		}
		r.Grant = &a.Grant
	case <-ctx.Done():
		r.Fault = errBusy.Error()
	}
	return r
}

func (c *Agent) state(now raftnode.Time, l *policy.Ledger) *State {
	s := &State{Decider: c.set.Name, Leader: c.node.Leader(), Bootstrapped: l != nil, Candidates: c.node.Standbys(now), LeftOut: c.node.IsStandby()}
	s.Deciders, s.Settled = c.node.Voters()
	if err := c.node.Err(); err != nil {
		s.Broken = err.Error()
	}
	if l == nil {
		return s
	}
	d := l.InForce()
	s.Number, s.Digest, s.Outcomes = d.Number, d.Digest.String(), l.Outcomes()
	var most time.Duration
	s.Waiting, most = c.node.Waiting(now)
	s.Seconds = most.Round(time.Millisecond).Seconds()
	if p := l.Pending(); p != nil {
		s.Pending = &p.Outcome
	}
	return s
}

// sit is the Raft node's goroutine.
func (c *Agent) sit() {
	c.open()
	if c.node == nil {
		return
	}
	defer c.folder.Close()
	tick := time.NewTicker(consensus.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case do := <-c.events:
			do(c.now())
		case <-tick.C:
			c.node.Tick(c.now())
		}
		out := c.node.Out()
		for _, m := range out.Send {
			select {
			case c.queue(m.To) <- m.Payload:
			default: // as lost on the way
			}
		}
		for _, a := range out.Answers {
			if asked := c.waiting[a.Token]; asked != nil {
				delete(c.waiting, a.Token)
				asked <- a // has room for it
			}
		}
		if c.node.Err() != nil {
			for token, asked := range c.waiting {
				delete(c.waiting, token)
				asked <- consensus.Answer{Token: token, Err: consensus.ErrNoLeader}
			}
		}
	}
}

// mostQueues is to how many deciders, present and former ones, messages go.
const mostQueues = 64

// queue is the way to another decider. It is made when it is first used: one that takes the place of another is in no file.
func (c *Agent) queue(name string) chan<- []byte {
	queue := c.queues[name]
	if queue == nil && len(c.queues) < mostQueues {
		queue = make(chan []byte, mostQueued)
		c.queues[name] = queue
		c.over.Add(1)
		go func() {
			defer c.over.Done()
			c.carry(name, queue)
		}()
	}
	return queue
}

// open opens the folder, once no other process has it, and takes the Raft node. Whatever else is wrong with it, this sidecar decides
// nothing, and serves as any other.
func (c *Agent) open() {
	for said := false; ; {
		folder, dropped, err := disk.Open(c.set.Folder, rand.Uint64()|1)
		if err == nil {
			if dropped > 0 {
				c.log.Warn("a torn record was dropped", "folder", c.set.Folder, "bytes", dropped)
			}
			s, failed := raftnode.New(c.now(), raftnode.Settings{Name: c.set.Name, Voters: c.set.Deciders, InitialPolicy: c.set.First, Terms: c.set.Terms}, folder, c.log)
			if failed != nil {
				c.log.Error("this decider takes no part", "err", failed)
				_ = folder.Close() // nothing was written
				return
			}
			c.node, c.folder = s, folder
			return
		}
		if !errors.Is(err, disk.ErrHeld) {
			c.log.Error("this decider takes no part", "err", err)
			return
		}
		if !said {
			c.log.Info("waiting for the folder", "err", err)
			said = true
		}
		select {
		case <-time.After(openEvery): // the former process of an upgrade has it
		case <-c.ctx.Done():
			return
		}
	}
}

// carry sends what is for one decider, one message at a time.
func (c *Agent) carry(to string, queue <-chan []byte) {
	for {
		select {
		case <-c.ctx.Done():
			return
		case text := <-queue:
			ctx, cancel := context.WithTimeout(c.ctx, nodeWithin)
			if r, err := c.call(ctx, to, message{Node: text}); err != nil {
				c.log.Debug("not sent", "to", to, "err", err)
			} else if r.Fault != "" {
				c.log.Debug("not taken", "by", to, "why", r.Fault)
			}
			cancel()
		}
	}
}

// call calls a decider, which may be this sidecar itself.
func (c *Agent) call(ctx context.Context, to string, m message) (r reply, err error) {
	if to == c.set.Name {
		return c.answer(ctx, m), nil
	}
	text, err := cbor.Marshal(m)
	if err != nil {
		return r, err
	}
	if text, err = c.peers.Call(ctx, to, text); err != nil {
		return r, err
	}
	if err := cbor.Unmarshal(text, &r); err != nil {
		return r, fmt.Errorf("policy: an answer of %s that cannot be read: %w", to, err)
	}
	return r, nil
}

// ask keeps up the promise under which this sidecar serves.
func (c *Agent) ask() {
	for i := 0; ; i++ {
		pause := c.asked(c.whom(i))
		select {
		case <-time.After(pause):
		case <-c.ctx.Done():
			return
		}
	}
}

// whom is the decider to ask: who led last, or another one each time.
func (c *Agent) whom(i int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	return c.names[i%len(c.names)]
}

// known are the deciders as far as this sidecar knows.
func (c *Agent) known() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.names[:c.count]
}

// decide takes in who decides, by the word of one that a majority follows. Those of the own file stay behind them: where all of these are
// gone, one of those may know better.
func (c *Agent) decide(names []string) {
	if len(names) == 0 || len(names) > mostDeciders {
		return
	}
	all := slices.Clone(names)
	for _, name := range c.set.Deciders {
		if !slices.Contains(all, name) {
			all = append(all, name)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.names, c.count = all, len(names)
}

// lead notes who leads, as far as is known; "": nobody is known to.
func (c *Agent) lead(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader = ""; len(name) <= largestName { // who is none answers so
		c.leader = name
	}
}

// asked asks a decider once, and returns after what time to ask again.
func (c *Agent) asked(whom string) (pause time.Duration) {
	ctx, cancel := context.WithTimeout(c.ctx, askWithin)
	defer cancel()
	c.mu.Lock()
	q := c.holder.Ask()
	c.mu.Unlock()
	sent := c.now()
	r, err := c.call(ctx, whom, message{Ask: &q})
	if err != nil || r.Grant == nil {
		hint := ""
		if err == nil && r.Leader != whom {
			hint = r.Leader
		}
		c.lead(hint)
		return leastPause
	}
	c.lead(whom)
	c.decide(r.Deciders)
	c.mu.Lock()
	number := c.holder.Told(c.now(), sent, *r.Grant)
	c.mu.Unlock()
	if number == 0 {
		// A third of the promise, so that two questions may get lost. While a change is under way each step of it waits for the
		// next question of the last sidecar.
		pause = max(min(r.Grant.For, c.set.Terms.Length)/3, leastPause)
		if c.now() < c.hurry {
			pause = max(min(pause, c.set.Terms.Short/3), leastPause)
		}
		return pause
	}
	c.hurry = c.now() + c.set.Terms.Length
	fault := c.check(whom, number)
	if fault == errUngot {
		return leastPause
	}
	c.mu.Lock()
	c.holder.Checked(number, fault)
	c.mu.Unlock()
	return 0
}

const errUngot = "\x00"

// check gets a document and has it checked.
func (c *Agent) check(whom string, number uint64) (fault string) {
	ctx, cancel := context.WithTimeout(c.ctx, nodeWithin)
	defer cancel()
	r, err := c.call(ctx, whom, message{Get: number})
	if err != nil || r.Document == nil || r.Document.Number != number {
		return errUngot
	}
	if fault = c.set.Check(number, r.Document.Text); fault != "" {
		c.log.Warn("this sidecar cannot run a policy", "number", number, "why", fault)
	}
	return fault
}

// Propose asks for a change and waits until it has ended, or ctx has: then what is returned says how far it has come, and may be
// asked for again by its id.
func (c *Agent) Propose(ctx context.Context, p policy.Propose) policy.Outcome {
	if len(p.Author) > largestName {
		p.Author = p.Author[:largestName]
	}
	o := policy.Outcome{ID: p.ID, Author: p.Author}
	for i, sent := 0, false; ; i++ {
		whom := c.whom(i)
		once, cancel := context.WithTimeout(ctx, askWithin)
		if !sent {
			r, err := c.call(once, whom, message{Propose: &p})
			sent = err == nil && r.Fault == ""
			if err == nil && r.Fault != "" && r.Leader != whom {
				c.lead(r.Leader)
			}
		}
		if r, err := c.call(once, whom, message{Outcome: p.ID}); err == nil && r.Outcome != nil && r.Outcome.State >= o.State {
			o = *r.Outcome
		}
		cancel()
		if o.State == policy.InForce || o.State == policy.Refused {
			return o
		}
		// Danger: one that got lost with its leader is asked for again; it is the same by its id.
		sent = sent && (o.State != policy.Unknown || i%10 != 9)
		select {
		case <-time.After(lookEvery):
		case <-ctx.Done():
			return o
		}
	}
}

// Outcome is what has become of a proposal, as far as any decider that answers knows.
func (c *Agent) Outcome(ctx context.Context, id string) (o policy.Outcome) {
	o.ID = id
	for _, whom := range c.known() {
		if r, err := c.call(ctx, whom, message{Outcome: id}); err == nil && r.Outcome != nil && r.Outcome.State > o.State {
			o = *r.Outcome
		}
	}
	return o
}

// Document gets a document from any decider that has it; 0: the one in force.
func (c *Agent) Document(ctx context.Context, number uint64) (policy.Document, error) {
	var faults []error
	for _, whom := range c.known() {
		n := number
		if n == 0 {
			r, err := c.call(ctx, whom, message{State: true})
			if err != nil || r.State == nil || !r.State.Bootstrapped {
				faults = append(faults, fmt.Errorf("%s: %s %w", whom, r.Fault, err))
				continue
			}
			n = r.State.Number
		}
		r, err := c.call(ctx, whom, message{Get: n})
		if err == nil && r.Document != nil {
			return policy.NewDocument(r.Document.Number, r.Document.Text), nil
		}
		faults = append(faults, fmt.Errorf("%s: %s %w", whom, r.Fault, err))
	}
	return policy.Document{}, errors.Join(faults...)
}

// Replace has one that waits for a place take that of a decider: of the same name, where it has lost its folder. It returns once the leader
// has begun; Status shows when it is through.
func (c *Agent) Replace(ctx context.Context, out, in string) error {
	for i := 0; ; i++ {
		whom := c.whom(i)
		once, cancel := context.WithTimeout(ctx, askWithin)
		r, err := c.call(once, whom, message{Replace: &replace{out, in}})
		cancel()
		if err == nil && r.Fault == "" {
			return nil
		}
		if err == nil {
			if err = errors.New(r.Fault); r.Leader == whom { // it leads, and says no
				return err
			}
			c.lead(r.Leader)
		}
		select {
		case <-time.After(lookEvery):
		case <-ctx.Done():
			return fmt.Errorf("policy: %s: %w", whom, err)
		}
	}
}

// Status is what this sidecar and the deciders hold.
type Status struct {
	Serves   uint64   `json:"serves_under"` // 0: takes no requests now
	Waived   bool     `json:"without_a_promise"`
	Asks     string   `json:"asks"` // the decider that answered last
	Deciders []State  `json:"deciders"`
	Silent   []string `json:"silent_deciders"`
}

// Status asks all deciders.
func (c *Agent) Status(ctx context.Context) (s Status) {
	number, _, ok := c.Serves()
	c.mu.Lock()
	s.Asks, s.Waived = c.leader, c.waived
	c.mu.Unlock()
	if ok {
		s.Serves = number
	}
	for _, whom := range c.known() {
		if r, err := c.call(ctx, whom, message{State: true}); err == nil && r.State != nil {
			s.Deciders = append(s.Deciders, *r.State)
		} else {
			s.Silent = append(s.Silent, whom)
		}
	}
	return s
}

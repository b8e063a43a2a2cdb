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
	callTimeout         = time.Second            // a decider answers
	minRenewPause       = 50 * time.Millisecond  // between two questions
	pollInterval        = 100 * time.Millisecond // at what has become of a proposal
	maxQueuedMessages   = 64                     // messages for one decider
	maxQueuedEvents     = 1024                   // for the Raft node
	voterCallTimeout    = 3 * time.Second        // a message between deciders takes at most
	folderRetryInterval = 200 * time.Millisecond // that a folder is tried which another process has
	clockBase           = time.Hour              // readings begin at, so that none is 0
	maxNameBytes        = 64
	maxVoters           = 9
)

// Peers is the way to other sidecars, by their names.
type Peers interface {
	// Call calls another sidecar, which must be known to be there, and returns its answer.
	Call(ctx context.Context, name string, text []byte) ([]byte, error)
}

// Settings say what a Agent is to do.
type Settings struct {
	Name          string
	Incarnation   uint64 // of this process; see Raise
	Voters        []string
	InitialPolicy []byte // the policy in force before any change
	Folder        string // of this decider; "": this sidecar is none
	Terms         policy.Terms
	// ServeWithoutLease has a sidecar without a promise go on under what it served last. Then two policies may be served at once.
	ServeWithoutLease bool
	// Check reads a document whole, with the code that would run it, and says what is wrong with it, "" nothing. Once it has
	// said nothing the sidecar can run that number.
	Check func(number uint64, text []byte) (fault string)
}

// Agent is a sidecar's part.
type Agent struct {
	settings   Settings
	peers      Peers
	log        *slog.Logger
	started    time.Time
	isVoter    bool // it is a decider by its file
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu           sync.Mutex // guards the holder and what follows
	holder       *policy.Holder
	candidates   []string // whom to ask: the deciders, and behind them those of the file
	voterCount   int      // deciders among them: those of the file, or by the last that led and answered
	lastServed   uint64   // served last
	withoutLease bool     // it serves without a promise
	leader       string   // who answered last

	renewOftenUntil time.Duration // of the asking goroutine: until then a change may be under way

	// Of the Raft node's goroutine.
	node          *raftnode.Node // nil: none, or its folder is not open yet
	folder        *disk.Log
	pendingLeases map[uint64]chan consensus.Answer
	lastToken     uint64
	events        chan func(now raftnode.Time)
	queues        map[string]chan []byte
}

// Start begins a sidecar's part.
func Start(set Settings, peers Peers, log *slog.Logger) (*Agent, error) {
	if err := set.Terms.Check(); err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	decides := slices.Contains(set.Voters, set.Name)
	switch {
	case decides && set.Folder == "":
		return nil, fmt.Errorf("policy: %s is a decider and has no folder", set.Name)
	case len(set.InitialPolicy) == 0 || len(set.InitialPolicy) > policy.MaxDocumentBytes:
		return nil, fmt.Errorf("policy: a first policy of %d bytes, 1 to %d are allowed", len(set.InitialPolicy), policy.MaxDocumentBytes)
	}
	if fault := set.Check(1, set.InitialPolicy); fault != "" {
		return nil, fmt.Errorf("policy: the first one: %s", fault)
	}
	a := &Agent{settings: set, peers: peers, isVoter: decides, candidates: set.Voters, voterCount: len(set.Voters), log: log.With("part", "policy"), started: time.Now(), pendingLeases: map[uint64]chan consensus.Answer{},
		holder: policy.NewHolder(set.Name, set.Incarnation, set.Terms), events: make(chan func(raftnode.Time), maxQueuedEvents), queues: map[string]chan []byte{}}
	a.ctx, a.stop = context.WithCancel(context.Background())
	if decides {
		a.goroutines.Add(1)
		go func() {
			defer a.goroutines.Done()
			a.runNode()
		}()
	}
	a.goroutines.Add(1)
	go func() {
		defer a.goroutines.Done()
		a.renewLoop()
	}()
	return a, nil
}

// Close ends the part and waits for all that was begun.
func (a *Agent) Close() {
	a.stop()
	a.goroutines.Wait()
}

// now reads the monotonic clock. Danger: a clock of day that is set would end promises late.
func (a *Agent) now() time.Duration { return clockBase + time.Since(a.started) }

// RaiseIncarnation takes in the life of this process that the fleet has come to: higher than any before it under the name.
func (a *Agent) RaiseIncarnation(life uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.RaiseIncarnation(life)
}

// Serves tells under which policy a request may be taken now; wait is how long it would have to wait for the next one, where that is
// known. Danger: it is to be called for each request, after whatever may have stopped the process: it reads the clock itself.
func (a *Agent) Serves() (number uint64, wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	number, wait, ok = a.holder.Serves(a.now())
	switch {
	case ok:
		a.lastServed, a.withoutLease = number, false
	case a.settings.ServeWithoutLease && a.lastServed > 0 && wait == 0:
		a.withoutLease = true
		return a.lastServed, 0, true
	}
	return number, wait, ok
}

// request is a call between sidecars: exactly one of its fields is set.
type request struct {
	Raft     []byte               `cbor:"1,keyasint,omitempty"` // of a decider for another one
	Lease    *policy.LeaseRequest `cbor:"2,keyasint,omitempty"`
	Document uint64               `cbor:"3,keyasint,omitempty"` // a document
	Propose  *policy.Proposal     `cbor:"4,keyasint,omitempty"`
	Outcome  string               `cbor:"5,keyasint,omitempty"` // of a proposal
	State    bool                 `cbor:"6,keyasint,omitempty"`
	Replace  *replacement         `cbor:"7,keyasint,omitempty"`
}

// replacement has one that waits for a place take that of a decider.
type replacement struct {
	Out string `cbor:"1,keyasint"`
	In  string `cbor:"2,keyasint"`
}

// response is the answer to one.
type response struct {
	Fault    string                `cbor:"1,keyasint,omitempty"`
	Leader   string                `cbor:"2,keyasint,omitempty"` // who may know more
	Lease    *policy.LeaseResponse `cbor:"3,keyasint,omitempty"`
	Document *document             `cbor:"4,keyasint,omitempty"`
	Outcome  *policy.Outcome       `cbor:"5,keyasint,omitempty"`
	State    *VoterState           `cbor:"6,keyasint,omitempty"`
	Voters   []string              `cbor:"7,keyasint,omitempty"` // of now, by one that leads
}

type document struct {
	Number uint64 `cbor:"1,keyasint"`
	Text   []byte `cbor:"2,keyasint"`
}

// VoterState is what a decider holds.
type VoterState struct {
	Voter        string           `cbor:"1,keyasint" json:"decider"`
	Leader       string           `cbor:"2,keyasint" json:"leader"`
	Broken       string           `cbor:"3,keyasint" json:"takes_part_no_more,omitempty"`
	Bootstrapped bool             `cbor:"4,keyasint" json:"founded"`
	InForce      uint64           `cbor:"5,keyasint" json:"in_force"`
	Digest       string           `cbor:"6,keyasint" json:"digest"`
	Pending      *policy.Outcome  `cbor:"7,keyasint" json:"under_way,omitempty"`
	Outcomes     []policy.Outcome `cbor:"8,keyasint" json:"changes"`
	// Waiting are the sidecars that the change under way waits for, on the one that leads, and Seconds how long at most.
	Waiting []string `cbor:"9,keyasint,omitempty" json:"waits_for,omitempty"`
	Seconds float64  `cbor:"10,keyasint,omitempty" json:"waits_s,omitempty"`
	// Voters are those of now, and Settled is false while one takes the place of another. Candidates wait for a place.
	Voters      []string `cbor:"11,keyasint" json:"deciders"`
	Settled     bool     `cbor:"12,keyasint" json:"settled"`
	Candidates  []string `cbor:"13,keyasint,omitempty" json:"candidates,omitempty"`
	NotAdmitted bool     `cbor:"14,keyasint,omitempty" json:"waits_for_a_place,omitempty"`
}

var errBusy = errors.New("policy: this decider is busy")

// Call implements transport.Called.
func (a *Agent) Call(ctx context.Context, text []byte) ([]byte, error) {
	var m request
	if err := cbor.Unmarshal(text, &m); err != nil {
		return nil, fmt.Errorf("policy: a call that cannot be read: %w", err)
	}
	return cbor.Marshal(a.answer(ctx, m))
}

func (a *Agent) answer(ctx context.Context, m request) (r response) {
	if !a.isVoter {
		return response{Fault: a.settings.Name + " is no decider"}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	done := make(chan struct{})
	var asked chan consensus.Answer
	got := &response{} // the Raft node's goroutine may come to it after this call has given up
	do := func(now raftnode.Time) {
		defer close(done)
		if a.node == nil {
			got.Fault = a.settings.Name + " has not opened its folder yet"
			return
		}
		got.Leader = a.node.Leader()
		l := a.node.Ledger()
		switch {
		case m.Raft != nil:
			if err := a.node.Receive(now, m.Raft); err != nil {
				got.Fault = err.Error()
			}
		case m.Lease != nil:
			a.lastToken++
			asked = make(chan consensus.Answer, 1)
			a.pendingLeases[a.lastToken] = asked
			a.node.Ask(now, a.lastToken, *m.Lease)
			got.Voters, _ = a.node.Deciders()
		case m.Propose != nil:
			if err := a.node.Propose(now, *m.Propose); err != nil {
				got.Fault = err.Error()
			}
		case m.Replace != nil:
			if err := a.node.Replace(now, m.Replace.Out, m.Replace.In); err != nil {
				got.Fault = err.Error()
			}
		case m.State:
			got.State = a.voterState(now, l)
		case l == nil:
			got.Fault = "no consensus group yet"
		case m.Document > 0:
			d, known := l.Document(m.Document)
			if !known {
				d, known = l.Former(m.Document)
			}
			if !known {
				got.Fault = fmt.Sprintf("no document %d", m.Document)
				return
			}
			got.Document = &document{d.Number, d.Text}
		case m.Outcome != "":
			o := l.Outcome(m.Outcome)
			got.Outcome = &o
		}
	}
	select {
	case a.events <- do:
	default:
		return response{Fault: errBusy.Error()}
	}
	select {
	case <-done:
	case <-ctx.Done():
		return response{Fault: errBusy.Error()}
	}
	if r = *got; asked == nil {
		return r
	}
	select {
	case answer := <-asked:
		if answer.Err != nil {
			r.Fault = answer.Err.Error()
			return r
		}
		r.Lease = &answer.Grant
	case <-ctx.Done():
		r.Fault = errBusy.Error()
	}
	return r
}

func (a *Agent) voterState(now raftnode.Time, l *policy.Ledger) *VoterState {
	s := &VoterState{Voter: a.settings.Name, Leader: a.node.Leader(), Bootstrapped: l != nil, Candidates: a.node.Waits(now), NotAdmitted: a.node.LeftOut()}
	s.Voters, s.Settled = a.node.Deciders()
	if err := a.node.Err(); err != nil {
		s.Broken = err.Error()
	}
	if l == nil {
		return s
	}
	d := l.InForce()
	s.InForce, s.Digest, s.Outcomes = d.Number, d.Digest.String(), l.Outcomes()
	var most time.Duration
	s.Waiting, most = a.node.Waiting(now)
	s.Seconds = most.Round(time.Millisecond).Seconds()
	if p := l.Pending(); p != nil {
		s.Pending = &p.Outcome
	}
	return s
}

// runNode is the Raft node's goroutine.
func (a *Agent) runNode() {
	a.openNode()
	if a.node == nil {
		return
	}
	defer a.folder.Close()
	tick := time.NewTicker(consensus.TickEvery)
	defer tick.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case do := <-a.events:
			do(a.now())
		case <-tick.C:
			a.node.Tick(a.now())
		}
		out := a.node.Out()
		for _, m := range out.Send {
			select {
			case a.queueTo(m.To) <- m.Text:
			default: // as lost on the way
			}
		}
		for _, answer := range out.Answers {
			if asked := a.pendingLeases[answer.Token]; asked != nil {
				delete(a.pendingLeases, answer.Token)
				asked <- answer // has room for it
			}
		}
		if a.node.Err() != nil {
			for token, asked := range a.pendingLeases {
				delete(a.pendingLeases, token)
				asked <- consensus.Answer{Token: token, Err: consensus.ErrNoLeader}
			}
		}
	}
}

// maxQueues is to how many deciders, present and former ones, messages go.
const maxQueues = 64

// queueTo is the way to another decider. It is made when it is first used: one that takes the place of another is in no file.
func (a *Agent) queueTo(name string) chan<- []byte {
	queue := a.queues[name]
	if queue == nil && len(a.queues) < maxQueues {
		queue = make(chan []byte, maxQueuedMessages)
		a.queues[name] = queue
		a.goroutines.Add(1)
		go func() {
			defer a.goroutines.Done()
			a.sendQueued(name, queue)
		}()
	}
	return queue
}

// openNode opens the folder, once no other process has it, and takes the Raft node. Whatever else is wrong with it, this sidecar decides
// nothing, and serves as any other.
func (a *Agent) openNode() {
	for said := false; ; {
		folder, dropped, err := disk.Open(a.settings.Folder, rand.Uint64()|1)
		if err == nil {
			if dropped > 0 {
				a.log.Warn("a torn record was dropped", "folder", a.settings.Folder, "bytes", dropped)
			}
			s, failed := raftnode.New(a.now(), raftnode.Settings{Name: a.settings.Name, Named: a.settings.Voters, First: a.settings.InitialPolicy, Terms: a.settings.Terms}, folder, a.log)
			if failed != nil {
				a.log.Error("this decider takes no part", "err", failed)
				_ = folder.Close() // nothing was written
				return
			}
			a.node, a.folder = s, folder
			return
		}
		if !errors.Is(err, disk.ErrHeld) {
			a.log.Error("this decider takes no part", "err", err)
			return
		}
		if !said {
			a.log.Info("waiting for the folder", "err", err)
			said = true
		}
		select {
		case <-time.After(folderRetryInterval): // the former process of an upgrade has it
		case <-a.ctx.Done():
			return
		}
	}
}

// sendQueued sends what is for one decider, one message at a time.
func (a *Agent) sendQueued(to string, queue <-chan []byte) {
	for {
		select {
		case <-a.ctx.Done():
			return
		case text := <-queue:
			ctx, cancel := context.WithTimeout(a.ctx, voterCallTimeout)
			if r, err := a.call(ctx, to, request{Raft: text}); err != nil {
				a.log.Debug("not sent", "to", to, "err", err)
			} else if r.Fault != "" {
				a.log.Debug("not taken", "by", to, "why", r.Fault)
			}
			cancel()
		}
	}
}

// call calls a decider, which may be this sidecar itself.
func (a *Agent) call(ctx context.Context, to string, m request) (r response, err error) {
	if to == a.settings.Name {
		return a.answer(ctx, m), nil
	}
	text, err := cbor.Marshal(m)
	if err != nil {
		return r, err
	}
	if text, err = a.peers.Call(ctx, to, text); err != nil {
		return r, err
	}
	if err := cbor.Unmarshal(text, &r); err != nil {
		return r, fmt.Errorf("policy: an answer of %s that cannot be read: %w", to, err)
	}
	return r, nil
}

// renewLoop keeps up the promise under which this sidecar serves.
func (a *Agent) renewLoop() {
	for i := 0; ; i++ {
		pause := a.renew(a.target(i))
		select {
		case <-time.After(pause):
		case <-a.ctx.Done():
			return
		}
	}
}

// target is the decider to ask: who led last, or another one each time.
func (a *Agent) target(i int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader != "" {
		return a.leader
	}
	return a.candidates[i%len(a.candidates)]
}

// voters are the deciders as far as this sidecar knows.
func (a *Agent) voters() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.candidates[:a.voterCount]
}

// setVoters takes in who decides, by the word of one that a majority follows. Those of the own file stay behind them: where all of these are
// gone, one of those may know better.
func (a *Agent) setVoters(names []string) {
	if len(names) == 0 || len(names) > maxVoters {
		return
	}
	all := slices.Clone(names)
	for _, name := range a.settings.Voters {
		if !slices.Contains(all, name) {
			all = append(all, name)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.candidates, a.voterCount = all, len(names)
}

// setLeader notes who leads, as far as is known; "": nobody is known to.
func (a *Agent) setLeader(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader = ""; len(name) <= maxNameBytes { // who is none answers so
		a.leader = name
	}
}

// renew asks a decider once, and returns after what time to ask again.
func (a *Agent) renew(whom string) (pause time.Duration) {
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	a.mu.Lock()
	q := a.holder.Request()
	a.mu.Unlock()
	sent := a.now()
	r, err := a.call(ctx, whom, request{Lease: &q})
	if err != nil || r.Lease == nil {
		hint := ""
		if err == nil && r.Leader != whom {
			hint = r.Leader
		}
		a.setLeader(hint)
		return minRenewPause
	}
	a.setLeader(whom)
	a.setVoters(r.Voters)
	a.mu.Lock()
	number := a.holder.Update(a.now(), sent, *r.Lease)
	a.mu.Unlock()
	if number == 0 {
		// A third of the promise, so that two questions may get lost. While a change is under way each step of it waits for the
		// next question of the last sidecar.
		pause = max(min(r.Lease.Duration, a.settings.Terms.Length)/3, minRenewPause)
		if a.now() < a.renewOftenUntil {
			pause = max(min(pause, a.settings.Terms.Short/3), minRenewPause)
		}
		return pause
	}
	a.renewOftenUntil = a.now() + a.settings.Terms.Length
	fault := a.checkDocument(whom, number)
	if fault == documentUnavailable {
		return minRenewPause
	}
	a.mu.Lock()
	a.holder.Checked(number, fault)
	a.mu.Unlock()
	return 0
}

const documentUnavailable = "\x00"

// checkDocument gets a document and has it checked.
func (a *Agent) checkDocument(whom string, number uint64) (fault string) {
	ctx, cancel := context.WithTimeout(a.ctx, voterCallTimeout)
	defer cancel()
	r, err := a.call(ctx, whom, request{Document: number})
	if err != nil || r.Document == nil || r.Document.Number != number {
		return documentUnavailable
	}
	if fault = a.settings.Check(number, r.Document.Text); fault != "" {
		a.log.Warn("this sidecar cannot run a policy", "number", number, "why", fault)
	}
	return fault
}

// Propose asks for a change and waits until it has ended, or ctx has: then what is returned says how far it has come, and may be
// asked for again by its id.
func (a *Agent) Propose(ctx context.Context, p policy.Proposal) policy.Outcome {
	if len(p.Author) > maxNameBytes {
		p.Author = p.Author[:maxNameBytes]
	}
	o := policy.Outcome{ID: p.ID, Author: p.Author}
	for i, sent := 0, false; ; i++ {
		whom := a.target(i)
		once, cancel := context.WithTimeout(ctx, callTimeout)
		if !sent {
			r, err := a.call(once, whom, request{Propose: &p})
			sent = err == nil && r.Fault == ""
			if err == nil && r.Fault != "" && r.Leader != whom {
				a.setLeader(r.Leader)
			}
		}
		if r, err := a.call(once, whom, request{Outcome: p.ID}); err == nil && r.Outcome != nil && r.Outcome.State >= o.State {
			o = *r.Outcome
		}
		cancel()
		if o.State == policy.InForce || o.State == policy.Refused {
			return o
		}
		// Danger: one that got lost with its leader is asked for again; it is the same by its id.
		sent = sent && (o.State != policy.Unknown || i%10 != 9)
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return o
		}
	}
}

// Outcome is what has become of a proposal, as far as any decider that answers knows.
func (a *Agent) Outcome(ctx context.Context, id string) (o policy.Outcome) {
	o.ID = id
	for _, whom := range a.voters() {
		if r, err := a.call(ctx, whom, request{Outcome: id}); err == nil && r.Outcome != nil && r.Outcome.State > o.State {
			o = *r.Outcome
		}
	}
	return o
}

// Document gets a document from any decider that has it; 0: the one in force.
func (a *Agent) Document(ctx context.Context, number uint64) (policy.Document, error) {
	var faults []error
	for _, whom := range a.voters() {
		n := number
		if n == 0 {
			r, err := a.call(ctx, whom, request{State: true})
			if err != nil || r.State == nil || !r.State.Bootstrapped {
				faults = append(faults, fmt.Errorf("%s: %s %w", whom, r.Fault, err))
				continue
			}
			n = r.State.InForce
		}
		r, err := a.call(ctx, whom, request{Document: n})
		if err == nil && r.Document != nil {
			return policy.NewDocument(r.Document.Number, r.Document.Text), nil
		}
		faults = append(faults, fmt.Errorf("%s: %s %w", whom, r.Fault, err))
	}
	return policy.Document{}, errors.Join(faults...)
}

// Replace has one that waits for a place take that of a decider: of the same name, where it has lost its folder. It returns once the leader
// has begun; Status shows when it is through.
func (a *Agent) Replace(ctx context.Context, out, in string) error {
	for i := 0; ; i++ {
		whom := a.target(i)
		once, cancel := context.WithTimeout(ctx, callTimeout)
		r, err := a.call(once, whom, request{Replace: &replacement{out, in}})
		cancel()
		if err == nil && r.Fault == "" {
			return nil
		}
		if err == nil {
			if err = errors.New(r.Fault); r.Leader == whom { // it leads, and says no
				return err
			}
			a.setLeader(r.Leader)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("policy: %s: %w", whom, err)
		}
	}
}

// Status is what this sidecar and the deciders hold.
type Status struct {
	Serves       uint64       `json:"serves_under"` // 0: takes no requests now
	WithoutLease bool         `json:"without_a_promise"`
	LastVoter    string       `json:"asks"` // the decider that answered last
	Voters       []VoterState `json:"deciders"`
	Unresponsive []string     `json:"silent_deciders"`
}

// Status asks all deciders.
func (a *Agent) Status(ctx context.Context) (s Status) {
	number, _, ok := a.Serves()
	a.mu.Lock()
	s.LastVoter, s.WithoutLease = a.leader, a.withoutLease
	a.mu.Unlock()
	if ok {
		s.Serves = number
	}
	for _, whom := range a.voters() {
		if r, err := a.call(ctx, whom, request{State: true}); err == nil && r.State != nil {
			s.Voters = append(s.Voters, *r.State)
		} else {
			s.Unresponsive = append(s.Unresponsive, whom)
		}
	}
	return s
}

// Package raftnode is a decider's place in the consensus group: it finds or bootstraps the consensus group (consensus.Bootstrapper), runs its part of it
// (consensus.Machine), and has its folder (package disk) keep whatever must outlast this life before anything that rests on it is told. It
// is stepped by one goroutine; what it waits for is the folder alone.
//
// While the folder fails, the node is suspended: it neither votes, acknowledges nor answers, and drops what comes, as a
// process that stands still would. What the folder did not keep is written again, with a backoff, and then the node
// goes on.
package raftnode

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"

	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fleet/disk"
	"milletramp.example/milletramp/internal/fleet/policy"
)

// Time is a reading of the host's monotonic clock.
type Time = time.Duration

const (
	helloEvery = 10 * consensus.TickEvery
	waitsFor   = 4 * helloEvery // one that waits for a place is heard of within this
	mostText   = 8 << 20        // bytes of a message: entries and a snapshot
	mostName   = 64             // bytes of a decider's

	leastBackoff = 2 * consensus.TickEvery // until a write that failed is tried again; it doubles
	mostBackoff  = 5 * time.Second
)

// Folder keeps what outlasts a life. *disk.Log is one. After an error the same is to be kept again, until that
// succeeds.
type Folder interface {
	Memory() disk.Memory
	Found(consensus.Bootstrap) error
	Keep(consensus.Batch) error
	Compact(raftpb.Snapshot) error
}

// Settings are from the operator's file.
type Settings struct {
	Name  string
	Named []string // all deciders, this one among them
	First []byte   // the policy in force before any change
	Terms policy.Terms
}

// packet is what Raft nodes send each other: exactly one of its fields is set.
type packet struct {
	Hello  *consensus.Hello `cbor:"1,keyasint,omitempty"`
	Sealed []byte           `cbor:"2,keyasint,omitempty"`
}

// Message is for another decider.
type Message struct {
	To   string
	Text []byte
}

// Actions are what is to be done after an event.
type Actions struct {
	Send    []Message
	Answers []consensus.Answer
}

// Node is one decider's.
type Node struct {
	set          Settings
	folder       Folder
	log          *slog.Logger
	bootstrapper *consensus.Bootstrapper
	machine      *consensus.Machine // nil: no consensus group yet
	names        map[uint64]string
	hello        Time
	leftOut      bool     // there is a consensus group, without this decider
	others       []string // to whom hello is said: those of the file, and those that a consensus group told of
	waits        map[string]waiting
	broken       error
	unkept       *unkept // nil: all is kept
	out          Actions
}

// unkept is a write that has failed and is tried again.
type unkept struct {
	write func() error
	kept  func(now Time) // what rests on it
	err   error          // of the last try
	wait  time.Duration
	at    Time // of the next try
}

// waiting is one that is of no consensus group and says hello, as it might take the place of a decider that is gone.
type waiting struct {
	id uint64
	at Time
}

// New returns the Raft node of a life that begins now.
func New(now Time, set Settings, folder Folder, log *slog.Logger) (*Node, error) {
	m := folder.Memory()
	f, err := consensus.NewBootstrapper(set.Name, m.Self, set.Named, set.First, m.Bootstrap)
	if err != nil {
		return nil, err
	}
	s := &Node{set: set, folder: folder, log: log, bootstrapper: f, names: map[uint64]string{}, waits: map[string]waiting{}, others: set.Named}
	if m.Bootstrap != nil {
		return s, s.sit(now, m)
	}
	return s, nil
}

// sit takes part in the consensus group that the folder names.
func (s *Node) sit(now Time, m disk.Memory) (err error) {
	s.machine, err = consensus.New(now, consensus.Settings{Self: m.Self, Bootstrap: *m.Bootstrap, Heard: m.Heard, Terms: s.set.Terms, Kept: m.Kept}, s.log)
	if err == nil {
		s.names = s.machine.Named()
	}
	return err
}

// Deciders are the names of those who decide now, as far as is known here, in order; settled is false while one takes the place of another.
func (s *Node) Deciders() (names []string, settled bool) {
	if s.machine == nil {
		return nil, false
	}
	deciders, settled := s.machine.Deciders()
	return slices.Sorted(maps.Keys(deciders)), settled
}

// Waits are the names of those who wait for a place, in order.
func (s *Node) Waits(now Time) (names []string) {
	for name, w := range s.waits {
		if now-w.at < waitsFor {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Replace has one that waits for a place take that of a decider. Which folder it has is what it said itself.
func (s *Node) Replace(now Time, out, in string) error {
	if s.machine == nil || s.Err() != nil {
		return consensus.ErrNoLeader
	}
	w, known := s.waits[in]
	if !known || now-w.at >= waitsFor {
		return fmt.Errorf("raftnode: %.80q does not wait for a place here: start it as a decider, with an empty folder", in)
	}
	err := s.machine.Replace(out, in, w.id)
	s.settle(now)
	return err
}

// Err says why this decider takes no part; nil: it does. Where its folder fails it takes part again once that keeps
// what it must; otherwise another life may, where its folder is whole.
func (s *Node) Err() error {
	if s.broken == nil && s.unkept != nil {
		return s.unkept.err
	}
	return s.broken
}

// LeftOut tells whether there is a consensus group that this decider waits for a place in.
func (s *Node) LeftOut() bool { return s.leftOut && s.machine == nil }

// Ledger is what the log comes to here, which may be old; nil: there is no consensus group yet.
func (s *Node) Ledger() *policy.Ledger {
	if s.machine == nil {
		return nil
	}
	return s.machine.Ledger()
}

// Leader is the decider that leads as far as is known here; "": nobody is known to.
func (s *Node) Leader() string {
	if s.machine == nil || s.Err() != nil {
		return ""
	}
	return s.names[s.machine.Leader()]
}

// Waiting lists the sidecars that the change under way waits for, and how long at most, on the one that leads.
func (s *Node) Waiting(now Time) (names []string, most time.Duration) {
	if s.machine == nil || s.Err() != nil {
		return nil, 0
	}
	return s.machine.Waiting(now)
}

// Out takes what is to be done.
func (s *Node) Out() Actions {
	out := s.out
	s.out = Actions{}
	return out
}

// Tick has the Raft node do what is due. It is to be called each consensus.TickEvery.
func (s *Node) Tick(now Time) {
	switch {
	case s.broken != nil:
	case s.unkept != nil:
		s.keepAgain(now)
	case s.machine == nil && now >= s.hello:
		s.hello = now + helloEvery
		h := s.bootstrapper.Hello()
		for _, name := range s.others {
			if name != s.set.Name {
				s.send(name, packet{Hello: &h})
			}
		}
	case s.machine != nil:
		s.machine.Tick(now)
		s.settle(now)
	}
}

// Receive takes in a message of another decider. Its error says what is wrong with that message, not with this decider.
func (s *Node) Receive(now Time, text []byte) error {
	if s.Err() != nil {
		return nil
	}
	if len(text) > mostText {
		return fmt.Errorf("raftnode: a message of %d bytes, %d are allowed", len(text), mostText)
	}
	var p packet
	if err := cbor.Unmarshal(text, &p); err != nil {
		return fmt.Errorf("raftnode: a message that cannot be read: %w", err)
	}
	switch {
	case p.Hello != nil:
		return s.meet(now, *p.Hello)
	case s.machine == nil:
		return nil // of a consensus group that this decider has yet to hear of
	}
	err := s.machine.Step(p.Sealed)
	if errors.Is(err, consensus.ErrForgot) {
		s.fail(err)
		return nil
	}
	s.settle(now)
	return err
}

// meet takes in a hello, and answers one that is of no consensus group yet.
func (s *Node) meet(now Time, h consensus.Hello) error {
	if s.machine != nil {
		return s.greet(now, h)
	}
	err := s.bootstrapper.Heard(now, h)
	if errors.Is(err, consensus.ErrLeftOut) {
		// Danger: who leads may be in no file of this one's, as it is that one's place that it is to take.
		s.others = s.set.Named
		for _, name := range slices.Sorted(maps.Keys(h.Deciders)) {
			if !slices.Contains(s.others, name) && len(s.others) < mostWaits {
				s.others = append(slices.Clip(s.others), name)
			}
		}
		if !s.leftOut {
			s.leftOut = true
			s.log.Warn("this decider waits for a place", "why", err)
		}
		return nil
	}
	if f := s.bootstrapper.Bootstrap(); f != nil && s.machine == nil {
		// The others count on what they are told of a consensus group, so it is kept first.
		s.keep(now, func() error { return s.folder.Found(*f) }, s.bootstrapped)
		if s.Err() == nil && h.Bootstrap == nil {
			return s.greet(now, h)
		}
		return nil
	}
	return err
}

// bootstrapped has this decider take part in the consensus group that its folder has just been told of.
func (s *Node) bootstrapped(now Time) {
	m := s.folder.Memory()
	s.log.Info("of a consensus group", "group", m.Bootstrap.String())
	if err := s.sit(now, m); err != nil {
		s.fail(err)
		return
	}
	s.settle(now)
}

// mostWaits is how many may wait for a place at a time.
const mostWaits = 16

// greet answers one that is of no consensus group with what this one is, and notes that it is there.
func (s *Node) greet(now Time, h consensus.Hello) error {
	if h.Bootstrap != nil || h.ID == 0 || h.Name == "" || len(h.Name) > mostName {
		return nil
	}
	deciders, _ := s.machine.Deciders()
	if deciders[h.Name] != h.ID {
		maps.DeleteFunc(s.waits, func(_ string, w waiting) bool { return now-w.at >= waitsFor })
		if _, known := s.waits[h.Name]; !known && len(s.waits) >= mostWaits {
			return fmt.Errorf("raftnode: %d wait for a place already", mostWaits)
		}
		s.waits[h.Name] = waiting{h.ID, now}
	}
	mine := s.bootstrapper.Hello()
	mine.Deciders = deciders
	s.send(h.Name, packet{Hello: &mine})
	return nil
}

// Ask takes in a sidecar's question. The answer follows under its token.
func (s *Node) Ask(now Time, token uint64, q policy.LeaseRequest) {
	if s.machine == nil || s.Err() != nil {
		s.out.Answers = append(s.out.Answers, consensus.Answer{Token: token, Err: consensus.ErrNoLeader})
		return
	}
	s.machine.Ask(now, token, q)
	s.settle(now)
}

// Propose asks for a change. What becomes of it stands in the ledger under its id.
func (s *Node) Propose(now Time, p policy.Proposal) error {
	if s.machine == nil || s.Err() != nil {
		return consensus.ErrNoLeader
	}
	err := s.machine.Propose(p)
	s.settle(now)
	return err
}

// settle keeps what is to be kept, and then tells what rests on it.
func (s *Node) settle(now Time) {
	for s.Err() == nil {
		b, due := s.machine.Batch()
		if !due {
			break
		}
		s.keep(now, func() error { return s.folder.Keep(b) }, s.saved)
	}
	if s.broken != nil {
		return
	}
	out := s.machine.Out() // of what is kept alone, also where a later batch is not
	for _, m := range out.Send {
		if to := s.names[m.To]; to != "" { // else it was replaced meanwhile
			s.send(to, packet{Sealed: m.Text})
		}
	}
	s.out.Answers = append(s.out.Answers, out.Answers...)
}

// saved takes in that the batch that was due is kept.
func (s *Node) saved(now Time) {
	if err := s.machine.Saved(now); err != nil {
		s.fail(err)
		return
	}
	s.names = s.machine.Named()
	if err := s.machine.Err(); err != nil {
		s.fail(err)
		return
	}
	snapshot, err := s.machine.Compact()
	if err != nil {
		s.fail(err)
		return
	}
	if snapshot != nil {
		s.keep(now, func() error { return s.folder.Compact(*snapshot) }, func(Time) {})
	}
}

// keep writes something down, and has follow what rests on it. Where the write fails the node is suspended until it
// succeeds.
func (s *Node) keep(now Time, write func() error, kept func(now Time)) {
	if err := write(); err != nil {
		s.unkept = &unkept{write: write, kept: kept, err: err, wait: leastBackoff, at: now + leastBackoff}
		s.log.Error("this decider takes no part until its folder keeps again", "err", err)
		return
	}
	kept(now)
}

// keepAgain tries a write that has failed again, when that is due.
func (s *Node) keepAgain(now Time) {
	u := s.unkept
	if now < u.at {
		return
	}
	if err := u.write(); err != nil {
		u.wait = min(2*u.wait, mostBackoff)
		u.err, u.at = err, now+u.wait
		return
	}
	s.unkept = nil
	s.log.Info("the folder keeps again, and this decider takes part")
	if u.kept(now); s.machine != nil && s.broken == nil {
		s.settle(now)
	}
}

func (s *Node) send(to string, p packet) {
	text, err := cbor.Marshal(p)
	if err != nil || len(text) > mostText {
		s.log.Error("raftnode: a message that cannot be sent", "to", to, "bytes", len(text), "err", err)
		return
	}
	s.out.Send = append(s.out.Send, Message{to, text})
}

// fail has this decider take part no more. What was not told yet is told to nobody.
func (s *Node) fail(err error) {
	s.broken, s.out = err, Actions{}
	s.log.Error("this decider takes part no more", "err", err)
}

// Package raftnode is a decider's place in the consensus group: it finds or bootstraps the consensus group (consensus.Bootstrapper), runs its part of it
// (consensus.Machine), and has its folder (package disk) keep whatever must outlast this life before anything that rests on it is told. It
// is stepped by one goroutine; what it waits for is the folder alone.
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
	helloInterval   = 10 * consensus.TickInterval
	standbyLifetime = 4 * helloInterval // one that waits for a place is heard of within this
	maxMessageBytes = 8 << 20           // bytes of a message: entries and a snapshot
	maxNameBytes    = 64                // bytes of a decider's
)

// Storage keeps what outlasts a life. *disk.Log is one.
type Storage interface {
	Memory() disk.Memory
	Found(consensus.Bootstrap) error
	Keep(consensus.Batch) error
	Compact(raftpb.Snapshot) error
}

// Settings are from the operator's file.
type Settings struct {
	Name          string
	Voters        []string // all deciders, this one among them
	InitialPolicy []byte   // the policy in force before any change
	Terms         policy.Terms
}

// packet is what Raft nodes send each other: exactly one of its fields is set.
type packet struct {
	Hello    *consensus.Hello `cbor:"1,keyasint,omitempty"`
	Envelope []byte           `cbor:"2,keyasint,omitempty"`
}

// Message is for another decider.
type Message struct {
	To      string
	Payload []byte
}

// Actions are what is to be done after an event.
type Actions struct {
	Send    []Message
	Answers []consensus.Answer
}

// Node is one decider's.
type Node struct {
	settings     Settings
	storage      Storage
	log          *slog.Logger
	bootstrapper *consensus.Bootstrapper
	machine      *consensus.Machine // nil: no consensus group yet
	voterNames   map[uint64]string
	nextHello    Time
	notInGroup   bool     // there is a consensus group, without this decider
	helloTargets []string // to whom hello is said: those of the file, and those that a consensus group told of
	standbys     map[string]standby
	fatalErr     error
	actions      Actions
}

// standby is one that is of no consensus group and says hello, as it might take the place of a decider that is gone.
type standby struct {
	id        uint64
	lastHello Time
}

// New returns the Raft node of a life that begins now.
func New(now Time, set Settings, folder Storage, log *slog.Logger) (*Node, error) {
	m := folder.Memory()
	f, err := consensus.NewBootstrapper(set.Name, m.Self, set.Voters, set.InitialPolicy, m.Bootstrap)
	if err != nil {
		return nil, err
	}
	s := &Node{settings: set, storage: folder, log: log, bootstrapper: f, voterNames: map[uint64]string{}, standbys: map[string]standby{}, helloTargets: set.Voters}
	if m.Bootstrap != nil {
		return s, s.startMachine(now, m)
	}
	return s, nil
}

// startMachine takes part in the consensus group that the folder names.
func (s *Node) startMachine(now Time, m disk.Memory) (err error) {
	s.machine, err = consensus.New(now, consensus.Settings{Identity: m.Self, Bootstrap: *m.Bootstrap, Incarnations: m.Heard, Terms: s.settings.Terms, Persisted: m.Kept}, s.log)
	if err == nil {
		s.voterNames = s.machine.VoterNames()
	}
	return err
}

// Voters are the names of those who decide now, as far as is known here, in order; settled is false while one takes the place of another.
func (s *Node) Voters() (names []string, settled bool) {
	if s.machine == nil {
		return nil, false
	}
	deciders, settled := s.machine.Voters()
	return slices.Sorted(maps.Keys(deciders)), settled
}

// Standbys are the names of those who wait for a place, in order.
func (s *Node) Standbys(now Time) (names []string) {
	for name, w := range s.standbys {
		if now-w.lastHello < standbyLifetime {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Replace has one that waits for a place take that of a decider. Which folder it has is what it said itself.
func (s *Node) Replace(now Time, out, in string) error {
	if s.machine == nil || s.fatalErr != nil {
		return consensus.ErrNoLeader
	}
	w, known := s.standbys[in]
	if !known || now-w.lastHello >= standbyLifetime {
		return fmt.Errorf("raftnode: %.80q does not wait for a place here: start it as a decider, with an empty folder", in)
	}
	err := s.machine.Replace(out, in, w.id)
	s.flush(now)
	return err
}

// Err says why this decider takes part no more; nil: it does. Another life may, where its folder is whole.
func (s *Node) Err() error { return s.fatalErr }

// IsStandby tells whether there is a consensus group that this decider waits for a place in.
func (s *Node) IsStandby() bool { return s.notInGroup && s.machine == nil }

// Ledger is what the log comes to here, which may be old; nil: there is no consensus group yet.
func (s *Node) Ledger() *policy.Ledger {
	if s.machine == nil {
		return nil
	}
	return s.machine.Ledger()
}

// Leader is the decider that leads as far as is known here; "": nobody is known to.
func (s *Node) Leader() string {
	if s.machine == nil || s.fatalErr != nil {
		return ""
	}
	return s.voterNames[s.machine.Leader()]
}

// Waiting lists the sidecars that the change under way waits for, and how long at most, on the one that leads.
func (s *Node) Waiting(now Time) (names []string, most time.Duration) {
	if s.machine == nil || s.fatalErr != nil {
		return nil, 0
	}
	return s.machine.Waiting(now)
}

// Out takes what is to be done.
func (s *Node) Out() Actions {
	out := s.actions
	s.actions = Actions{}
	return out
}

// Tick has the Raft node do what is due. It is to be called each consensus.TickEvery.
func (s *Node) Tick(now Time) {
	switch {
	case s.fatalErr != nil:
	case s.machine == nil && now >= s.nextHello:
		s.nextHello = now + helloInterval
		h := s.bootstrapper.Hello()
		for _, name := range s.helloTargets {
			if name != s.settings.Name {
				s.send(name, packet{Hello: &h})
			}
		}
	case s.machine != nil:
		s.machine.Tick(now)
		s.flush(now)
	}
}

// Receive takes in a message of another decider. Its error says what is wrong with that message, not with this decider.
func (s *Node) Receive(now Time, text []byte) error {
	if s.fatalErr != nil {
		return nil
	}
	if len(text) > maxMessageBytes {
		return fmt.Errorf("raftnode: a message of %d bytes, %d are allowed", len(text), maxMessageBytes)
	}
	var p packet
	if err := cbor.Unmarshal(text, &p); err != nil {
		return fmt.Errorf("raftnode: a message that cannot be read: %w", err)
	}
	switch {
	case p.Hello != nil:
		return s.receiveHello(now, *p.Hello)
	case s.machine == nil:
		return nil // of a consensus group that this decider has yet to hear of
	}
	err := s.machine.Step(p.Envelope)
	if errors.Is(err, consensus.ErrLostState) {
		s.fail(err)
		return nil
	}
	s.flush(now)
	return err
}

// receiveHello takes in a hello, and answers one that is of no consensus group yet.
func (s *Node) receiveHello(now Time, h consensus.Hello) error {
	if s.machine != nil {
		return s.answerHello(now, h)
	}
	err := s.bootstrapper.Receive(now, h)
	if errors.Is(err, consensus.ErrNotInGroup) {
		// Danger: who leads may be in no file of this one's, as it is that one's place that it is to take.
		s.helloTargets = s.settings.Voters
		for _, name := range slices.Sorted(maps.Keys(h.Voters)) {
			if !slices.Contains(s.helloTargets, name) && len(s.helloTargets) < maxStandbys {
				s.helloTargets = append(slices.Clip(s.helloTargets), name)
			}
		}
		if !s.notInGroup {
			s.notInGroup = true
			s.log.Warn("this decider waits for a place", "why", err)
		}
		return nil
	}
	if f := s.bootstrapper.Bootstrap(); f != nil && s.machine == nil {
		// Danger: what the others are told of a consensus group they count on.
		if err := s.storage.Found(*f); err != nil {
			s.fail(err)
			return nil
		}
		s.log.Info("of a consensus group", "group", f.String())
		if err := s.startMachine(now, s.storage.Memory()); err != nil {
			s.fail(err)
			return nil
		}
		s.flush(now)
		if h.Bootstrap == nil {
			return s.answerHello(now, h)
		}
	}
	return err
}

// maxStandbys is how many may wait for a place at a time.
const maxStandbys = 16

// answerHello answers one that is of no consensus group with what this one is, and notes that it is there.
func (s *Node) answerHello(now Time, h consensus.Hello) error {
	if h.Bootstrap != nil || h.ID == 0 || h.Name == "" || len(h.Name) > maxNameBytes {
		return nil
	}
	deciders, _ := s.machine.Voters()
	if deciders[h.Name] != h.ID {
		maps.DeleteFunc(s.standbys, func(_ string, w standby) bool { return now-w.lastHello >= standbyLifetime })
		if _, known := s.standbys[h.Name]; !known && len(s.standbys) >= maxStandbys {
			return fmt.Errorf("raftnode: %d wait for a place already", maxStandbys)
		}
		s.standbys[h.Name] = standby{h.ID, now}
	}
	mine := s.bootstrapper.Hello()
	mine.Voters = deciders
	s.send(h.Name, packet{Hello: &mine})
	return nil
}

// Ask takes in a sidecar's question. The answer follows under its token.
func (s *Node) Ask(now Time, token uint64, q policy.Question) {
	if s.machine == nil || s.fatalErr != nil {
		s.actions.Answers = append(s.actions.Answers, consensus.Answer{Token: token, Err: consensus.ErrNoLeader})
		return
	}
	s.machine.Ask(now, token, q)
	s.flush(now)
}

// Propose asks for a change. What becomes of it stands in the ledger under its id.
func (s *Node) Propose(now Time, p policy.Propose) error {
	if s.machine == nil || s.fatalErr != nil {
		return consensus.ErrNoLeader
	}
	err := s.machine.Propose(p)
	s.flush(now)
	return err
}

// flush keeps what is to be kept, and then tells what rests on it.
func (s *Node) flush(now Time) {
	for s.fatalErr == nil {
		b, due := s.machine.Batch()
		if !due {
			break
		}
		if err := s.storage.Keep(b); err != nil {
			s.fail(err)
			return
		}
		if err := s.machine.Advance(now); err != nil {
			s.fail(err)
			return
		}
		s.voterNames = s.machine.VoterNames()
		if err := s.machine.Err(); err != nil {
			s.fail(err)
			return
		}
		snapshot, err := s.machine.Compact()
		if err == nil && snapshot != nil {
			err = s.storage.Compact(*snapshot)
		}
		if err != nil {
			s.fail(err)
			return
		}
	}
	out := s.machine.Out()
	for _, m := range out.Send {
		if to := s.voterNames[m.To]; to != "" { // else it was replaced meanwhile
			s.send(to, packet{Envelope: m.Payload})
		}
	}
	s.actions.Answers = append(s.actions.Answers, out.Answers...)
}

func (s *Node) send(to string, p packet) {
	text, err := cbor.Marshal(p)
	if err != nil || len(text) > maxMessageBytes {
		s.log.Error("raftnode: a message that cannot be sent", "to", to, "bytes", len(text), "err", err)
		return
	}
	s.actions.Send = append(s.actions.Send, Message{to, text})
}

// fail has this decider take part no more. What was not told yet is told to nobody.
func (s *Node) fail(err error) {
	s.fatalErr, s.actions = err, Actions{}
	s.log.Error("this decider takes part no more", "err", err)
}

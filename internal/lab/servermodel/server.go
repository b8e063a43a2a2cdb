package servermodel

import (
	"container/list"
	"math/rand/v2"
	"sync"
)

// Verdict is what becomes of a request that has arrived.
type Verdict int

// The verdicts.
const (
	Runs       Verdict = iota // it is in work or waits; its job is done later
	Known                     // its effect is known to the pod: answered with little work, nothing runs
	TurnedAway                // it has not run: no room, or the class is not welcome
	Swallowed                 // nothing is ever said of it, nothing runs
)

// Ending is how a request that ran is answered.
type Ending int

// The endings.
const (
	Answered Ending = iota
	Errored         // 500
	Garbled         // an answer that cannot be read
)

// knownWork is what it takes to see that a repeat is one, in seconds on a standard core.
const knownWork = 0.001

// Pod is the memory of effects that the nodes of one pod share: they drop a repeat for a time. Unlike the nodes, each of
// which has one owner, it may be used by several goroutines.
type Pod struct {
	mu     sync.Mutex
	window Time
	seen   map[uint64]Time
	order  []effect // the oldest first
}

type effect struct {
	id uint64
	at Time
}

// NewPod returns an empty memory that drops repeats for a time.
func NewPod(window Time) *Pod { return &Pod{window: window, seen: map[uint64]Time{}} }

// meets notes an effect and tells whether it is a repeat.
func (p *Pod) meets(id uint64, now Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.order) > 0 && now-p.order[0].at >= p.window {
		if old := p.order[0]; p.seen[old.id] == old.at {
			delete(p.seen, old.id)
		}
		p.order = p.order[1:]
	}
	if _, ok := p.seen[id]; ok {
		return true
	}
	p.seen[id] = now
	p.order = append(p.order, effect{id, now})
	return false
}

// Faults are the troubles of a server.
type Faults struct {
	Swallow  map[int]bool // classes of which nothing comes back
	TurnAway map[int]bool // classes that are turned away
	Stray    float64      // share of all requests of which nothing comes back
	Errors   float64      // share answered with an error
	Garble   float64      // share answered with what cannot be read
}

// Server is a node with what it remembers and what is wrong with it.
type Server struct {
	*Node
	Faults Faults

	pod     *Pod
	rng     *rand.Rand
	gain    float64
	keyFor  Time
	most    int
	keys    map[uint64]*list.Element
	recency *list.List // of key, the latest first
}

type key struct {
	id uint64
	at Time
}

// NewServer returns a server. gain is the share of work that a key met within keyFor saves, most how many keys it
// remembers.
func NewServer(n *Node, pod *Pod, gain float64, keyFor Time, most int, rng *rand.Rand) *Server {
	return &Server{Node: n, pod: pod, rng: rng, gain: gain, keyFor: keyFor, most: most, keys: map[uint64]*list.Element{},
		recency: list.New(), Faults: Faults{Swallow: map[int]bool{}, TurnAway: map[int]bool{}}}
}

// Arrive takes in a request whose work without any saving is in j. effect is 0 where repeats are not dropped; extra is
// the work of its connection's handshake.
func (s *Server) Arrive(now Time, j *Job, class int, keyID, effect uint64, extra float64) Verdict {
	switch {
	case s.Faults.TurnAway[class]:
		return TurnedAway
	case s.Faults.Swallow[class], s.Faults.Stray > 0 && s.rng.Float64() < s.Faults.Stray:
		return Swallowed
	case s.full(now):
		return TurnedAway
	}
	verdict := Runs
	if effect != 0 && s.pod.meets(effect, now) {
		j.Work, verdict = knownWork, Known
	} else if s.warm(keyID, now) {
		j.Work *= 1 - s.gain
	}
	j.Work += extra
	s.Offer(now, j)
	return verdict
}

// full tells whether the node would turn a request away now. Danger: an effect noted for a request that is then turned
// away would have its repeat dropped though nothing ran.
func (s *Server) full(now Time) bool {
	s.advance(now)
	return len(s.inWork) >= s.spec.Slots && s.waits >= s.spec.Room
}

// warm notes a key and tells whether the node met it lately.
func (s *Server) warm(id uint64, now Time) bool {
	if s.most == 0 || s.gain == 0 {
		return false
	}
	if e, ok := s.keys[id]; ok {
		k := e.Value.(*key)
		lately := now-k.at < s.keyFor
		k.at = now
		s.recency.MoveToFront(e)
		return lately
	}
	s.keys[id] = s.recency.PushFront(&key{id, now})
	if s.recency.Len() > s.most {
		last := s.recency.Back()
		s.recency.Remove(last)
		delete(s.keys, last.Value.(*key).id)
	}
	return false
}

// Ending draws how a request that ran is answered.
func (s *Server) Ending() Ending {
	if s.Faults.Errors == 0 && s.Faults.Garble == 0 {
		return Answered
	}
	switch x := s.rng.Float64(); {
	case x < s.Faults.Errors:
		return Errored
	case x < s.Faults.Errors+s.Faults.Garble:
		return Garbled
	}
	return Answered
}

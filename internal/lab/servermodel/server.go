package servermodel

import (
	"container/list"
	"math/rand/v2"
	"sync"
)

// Admission is what becomes of a request that has arrived.
type Admission int

// The verdicts.
const (
	Admitted     Admission = iota // it is in work or waits; its job is done later
	Deduplicated                  // its effect is known to the pod: answered with little work, nothing runs
	Rejected                      // it has not run: no room, or the class is not welcome
	Swallowed                     // nothing is ever said of it, nothing runs
)

// Outcome is how a request that ran is answered.
type Outcome int

// The endings.
const (
	Succeeded Outcome = iota
	Failed            // 500
	Malformed         // an answer that cannot be read
)

// deduplicationWork is what it takes to see that a repeat is one, in seconds on a standard core.
const deduplicationWork = 0.001

// Pod is the memory of effects that the nodes of one pod share: they drop a repeat for a time. Unlike the nodes, each of
// which has one owner, it may be used by several goroutines.
type Pod struct {
	mu          sync.Mutex
	window      Time
	seenAt      map[uint64]Time
	oldestFirst []effect // the oldest first
}

type effect struct {
	id uint64
	at Time
}

// NewPod returns an empty memory that drops repeats for a time.
func NewPod(window Time) *Pod { return &Pod{window: window, seenAt: map[uint64]Time{}} }

// isRepeat notes an effect and tells whether it is a repeat.
func (p *Pod) isRepeat(id uint64, now Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.oldestFirst) > 0 && now-p.oldestFirst[0].at >= p.window {
		if old := p.oldestFirst[0]; p.seenAt[old.id] == old.at {
			delete(p.seenAt, old.id)
		}
		p.oldestFirst = p.oldestFirst[1:]
	}
	if _, ok := p.seenAt[id]; ok {
		return true
	}
	p.seenAt[id] = now
	p.oldestFirst = append(p.oldestFirst, effect{id, now})
	return false
}

// Faults are the troubles of a server.
type Faults struct {
	SwallowedClasses map[int]bool // classes of which nothing comes back
	RejectedClasses  map[int]bool // classes that are turned away
	LossShare        float64      // share of all requests of which nothing comes back
	ErrorShare       float64      // share answered with an error
	MalformedShare   float64      // share answered with what cannot be read
}

// Server is a node with what it remembers and what is wrong with it.
type Server struct {
	*Processor
	Faults Faults

	pod         *Pod
	rng         *rand.Rand
	keySaving   float64
	keyLifetime Time
	maxKeys     int
	keys        map[uint64]*list.Element
	recency     *list.List // of key, the latest first
}

type key struct {
	id uint64
	at Time
}

// NewServer returns a server. gain is the share of work that a key met within keyFor saves, most how many keys it
// remembers.
func NewServer(n *Processor, pod *Pod, gain float64, keyFor Time, most int, rng *rand.Rand) *Server {
	return &Server{Processor: n, pod: pod, rng: rng, keySaving: gain, keyLifetime: keyFor, maxKeys: most, keys: map[uint64]*list.Element{},
		recency: list.New(), Faults: Faults{SwallowedClasses: map[int]bool{}, RejectedClasses: map[int]bool{}}}
}

// Arrive takes in a request whose work without any saving is in j. effect is 0 where repeats are not dropped; extra is
// the work of its connection's handshake.
func (s *Server) Arrive(now Time, j *Job, class int, keyID, effect uint64, extra float64) Admission {
	switch {
	case s.Faults.RejectedClasses[class]:
		return Rejected
	case s.Faults.SwallowedClasses[class], s.Faults.LossShare > 0 && s.rng.Float64() < s.Faults.LossShare:
		return Swallowed
	case s.isFull(now):
		return Rejected
	}
	verdict := Admitted
	if effect != 0 && s.pod.isRepeat(effect, now) {
		j.Work, verdict = deduplicationWork, Deduplicated
	} else if s.touchKey(keyID, now) {
		j.Work *= 1 - s.keySaving
	}
	j.Work += extra
	s.Offer(now, j)
	return verdict
}

// isFull tells whether the node would turn a request away now. Danger: an effect noted for a request that is then turned
// away would have its repeat dropped though nothing ran.
func (s *Server) isFull(now Time) bool {
	s.moveTo(now)
	return len(s.inService) >= s.spec.Slots && s.waiting >= s.spec.QueueLimit
}

// touchKey notes a key and tells whether the node met it lately.
func (s *Server) touchKey(id uint64, now Time) bool {
	if s.maxKeys == 0 || s.keySaving == 0 {
		return false
	}
	if e, ok := s.keys[id]; ok {
		k := e.Value.(*key)
		lately := now-k.at < s.keyLifetime
		k.at = now
		s.recency.MoveToFront(e)
		return lately
	}
	s.keys[id] = s.recency.PushFront(&key{id, now})
	if s.recency.Len() > s.maxKeys {
		last := s.recency.Back()
		s.recency.Remove(last)
		delete(s.keys, last.Value.(*key).id)
	}
	return false
}

// DrawOutcome draws how a request that ran is answered.
func (s *Server) DrawOutcome() Outcome {
	if s.Faults.ErrorShare == 0 && s.Faults.MalformedShare == 0 {
		return Succeeded
	}
	switch x := s.rng.Float64(); {
	case x < s.Faults.ErrorShare:
		return Failed
	case x < s.Faults.ErrorShare+s.Faults.MalformedShare:
		return Malformed
	}
	return Succeeded
}

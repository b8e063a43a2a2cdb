package servermodel

import (
	"math/rand/v2"
	"time"
)

// deduplicationWork is what it takes to recognize a repeat, in seconds on a standard core.
const deduplicationWork = 0.001

// Admission is what becomes of a request that has arrived.
type Admission int

// The admissions.
const (
	Admitted     Admission = iota // it is in service or waits; its job is done later
	Deduplicated                  // the pod remembers its effect: its job takes little work and has no effect
	Rejected                      // it has not run: the server is full, or a fault rejects its class
	Swallowed                     // a fault: no response comes, and nothing runs
)

// Outcome is how the server responds to a request that ran.
type Outcome int

// The outcomes.
const (
	Succeeded Outcome = iota
	Failed            // 500
	Malformed         // a response that cannot be read
)

// Faults are what is wrong with a server.
type Faults struct {
	SwallowedClasses map[int]bool // classes to which no response comes
	RejectedClasses  map[int]bool
	LossShare        float64 // of all requests, to which no response comes
	ErrorShare       float64 // of requests that ran, which fail
	MalformedShare   float64 // of requests that ran, whose response cannot be read
}

// Server is a processor with what it remembers and its faults.
type Server struct {
	*Processor
	Faults Faults

	pod    *Pod
	keys   keyCache
	random *rand.Rand
}

// NewServer returns a server without faults.
func NewServer(processor *Processor, pod *Pod, keys KeySettings, random *rand.Rand) *Server {
	return &Server{
		Processor: processor,
		Faults:    Faults{SwallowedClasses: map[int]bool{}, RejectedClasses: map[int]bool{}},
		pod:       pod,
		keys:      newKeyCache(keys),
		random:    random,
	}
}

// Arrival is a request that arrives at a server.
type Arrival struct {
	Class         int
	Key           uint64
	Effect        uint64  // of which the pod drops repeats; 0: it drops none
	HandshakeWork float64 // of its connection, in seconds on a standard core
}

// Arrive takes in a request. Its job has the work that it takes without any saving, and then what it takes here.
func (s *Server) Arrive(now time.Duration, job *Job, arrival Arrival) Admission {
	switch {
	case s.Faults.RejectedClasses[arrival.Class]:
		return Rejected
	case s.Faults.SwallowedClasses[arrival.Class] || s.drawLoss():
		return Swallowed
	case s.isFull(now): // before its effect is noted: the repeat of a rejected request has to run
		return Rejected
	}
	admission := Admitted
	switch {
	case arrival.Effect != 0 && s.pod.isRepeat(arrival.Effect, now):
		job.Work, admission = deduplicationWork, Deduplicated
	case s.keys.use(arrival.Key, now):
		job.Work *= 1 - s.keys.settings.Saving
	}
	job.Work += arrival.HandshakeWork
	s.Offer(now, job)
	return admission
}

// drawLoss draws whether the server loses a request.
func (s *Server) drawLoss() bool {
	return s.Faults.LossShare > 0 && s.random.Float64() < s.Faults.LossShare
}

// DrawOutcome draws how the server responds to a request that ran.
func (s *Server) DrawOutcome() Outcome {
	if s.Faults.ErrorShare == 0 && s.Faults.MalformedShare == 0 {
		return Succeeded
	}
	switch x := s.random.Float64(); {
	case x < s.Faults.ErrorShare:
		return Failed
	case x < s.Faults.ErrorShare+s.Faults.MalformedShare:
		return Malformed
	default:
		return Succeeded
	}
}

package servermodel

import (
	"math/rand/v2"
	"time"
)

// deduplicationWork is the work needed to recognize a repeat, in seconds on a standard core.
const deduplicationWork = 0.001

// Admission is the result of admitting an arrived request.
type Admission int

// The admissions.
const (
	Admitted     Admission = iota // the request is in service or waits; its job completes later
	Deduplicated                  // its effect is a repeat: the job takes little work and has no effect
	Rejected                      // the request does not run: the server is full, or a fault rejects its class
	Lost                          // the request is lost by a fault: it does not run and gets no response
)

// Outcome is the kind of response to a request that ran.
type Outcome int

// The outcomes.
const (
	Succeeded Outcome = iota
	Failed            // 500
	Malformed         // a response that cannot be parsed
)

// Faults are the injected faults of a server.
type Faults struct {
	LostClasses     map[int]bool // classes whose requests get no response
	RejectedClasses map[int]bool // classes whose requests are rejected
	LossShare       float64      // share of all requests that get no response
	ErrorShare      float64      // share of requests that ran and fail
	MalformedShare  float64      // share of requests that ran and whose response cannot be parsed
}

// Server is a processor with deduplication, a key cache and injected faults.
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
		Faults:    Faults{LostClasses: map[int]bool{}, RejectedClasses: map[int]bool{}},
		pod:       pod,
		keys:      newKeyCache(keys),
		random:    random,
	}
}

// Arrival is a request that arrives at a server.
type Arrival struct {
	Class         int
	Key           uint64
	Effect        uint64  // identifies the effect for deduplication; 0: not deduplicated
	HandshakeWork float64 // work of the connection's handshake, in seconds on a standard core
}

// Arrive admits, rejects or loses a request. On entry, job.Work is the work for a key that is not cached, without the
// handshake. If the request is admitted or deduplicated, Arrive sets job.Work to the work on this server.
func (s *Server) Arrive(now time.Duration, job *Job, arrival Arrival) Admission {
	switch {
	case s.Faults.RejectedClasses[arrival.Class]:
		return Rejected
	case s.Faults.LostClasses[arrival.Class] || s.drawLoss():
		return Lost
	case s.isFull(now): // checked before the effect is recorded: a retry of a rejected request has to run
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

// drawLoss randomly decides whether the server loses a request.
func (s *Server) drawLoss() bool {
	return s.Faults.LossShare > 0 && s.random.Float64() < s.Faults.LossShare
}

// DrawOutcome randomly chooses the outcome of a request that ran.
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

package membership

import (
	"cmp"
	"time"
)

// Settings configures a Machine. A zero duration selects its default.
type Settings struct {
	Name    string
	Address string   // at which other members reach this one
	Peers   []string // addresses of the seeds; may include this member's own
	Seed    uint64   // seed of the random number generator

	IncarnationNonce  uint64 // random; different for each process
	IncarnationNumber uint64 // minimum, such as the Unix time of the start; raised above those of former processes

	ProbeInterval  time.Duration // between two probes while this member is healthy; default 1 s
	AckTimeout     time.Duration // timeout of a direct probe; default 300 ms
	Retention      time.Duration // how long members that are dead or have left are retained; default 10 min
	RejoinInterval time.Duration // between two pings of an unknown seed or a dead member; default 5 s
}

const (
	defaultProbeInterval  = time.Second
	defaultAckTimeout     = 300 * time.Millisecond
	defaultRetention      = 10 * time.Minute
	defaultRejoinInterval = 5 * time.Second
)

// The parameters of the protocol and the limits on the state of a Machine.
const (
	indirectProbers = 3 // members from which an indirect probe is requested

	// The minimum suspicion timeout is suspicionMult probe intervals for each factor of ten in the fleet's size. The
	// timeout is suspicionMaxMult times the minimum while no other member confirms the suspicion, and decreases to the
	// minimum at suspicionConfirmations confirmations (Lifeguard, section IV-B).
	suspicionMult          = 4
	suspicionMaxMult       = 6
	suspicionConfirmations = 2

	maxLocalHealth         = 8    // worst local health score
	retransmitMult         = 4    // transmissions of a broadcast for each factor of ten in the fleet's size
	maxMembers             = 4096 // members retained, including dead ones
	maxRelays              = 64   // indirect probes in flight on behalf of other members
	recentContactIntervals = 2    // probe intervals for which a suspect's message refutes the suspicion
)

func (s Settings) withDefaults() Settings {
	s.IncarnationNumber = max(s.IncarnationNumber, 1)
	s.ProbeInterval = cmp.Or(s.ProbeInterval, defaultProbeInterval)
	s.AckTimeout = cmp.Or(s.AckTimeout, defaultAckTimeout)
	s.Retention = cmp.Or(s.Retention, defaultRetention)
	s.RejoinInterval = cmp.Or(s.RejoinInterval, defaultRejoinInterval)
	return s
}

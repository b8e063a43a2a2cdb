package membership

import (
	"cmp"
	"time"
)

// Settings configure a Machine. A zero duration stands for its default.
type Settings struct {
	Name    string
	Address string   // at which other members reach this one
	Peers   []string // addresses of seeds; this member's own may be among them
	Seed    uint64   // of the random choices

	IncarnationNonce  uint64 // drawn anew for each process
	IncarnationNumber uint64 // least one, such as the start's Unix time; raised above those of former processes

	ProbeInterval  time.Duration // between two probes while this member is healthy; default 1 s
	AckTimeout     time.Duration // for the ack of a direct probe; default 300 ms
	Retention      time.Duration // for which members that are dead or have left are kept; default 10 min
	RejoinInterval time.Duration // between two pings of a seed that is not known, or of a dead member; default 5 s
}

const (
	defaultProbeInterval  = time.Second
	defaultAckTimeout     = 300 * time.Millisecond
	defaultRetention      = 10 * time.Minute
	defaultRejoinInterval = 5 * time.Second
)

// The parameters of the protocol, and the limits of what a Machine keeps.
const (
	indirectProbers = 3 // members that are asked for an indirect probe

	// The least suspicion timeout is suspicionMult probe intervals for each factor of ten in the fleet's size. It is
	// suspicionMaxMult times as long while nobody else shares the suspicion, and shrinks to the least at
	// suspicionConfirmations others (Lifeguard, section IV-B).
	suspicionMult          = 4
	suspicionMaxMult       = 6
	suspicionConfirmations = 2

	maxLocalHealth         = 8    // the worst score of local health
	retransmitMult         = 4    // transmissions of a broadcast for each factor of ten in the fleet's size
	maxMembers             = 4096 // that are kept, dead ones included
	maxRelays              = 64   // indirect probes in flight for other members
	recentContactIntervals = 2    // probe intervals for which a message of a suspect counts against the suspicion
)

func (s Settings) withDefaults() Settings {
	s.IncarnationNumber = max(s.IncarnationNumber, 1)
	s.ProbeInterval = cmp.Or(s.ProbeInterval, defaultProbeInterval)
	s.AckTimeout = cmp.Or(s.AckTimeout, defaultAckTimeout)
	s.Retention = cmp.Or(s.Retention, defaultRetention)
	s.RejoinInterval = cmp.Or(s.RejoinInterval, defaultRejoinInterval)
	return s
}

package checker

import "time"

// Record is what was seen of a fleet from outside. All times count from the start of the run.
type Record struct {
	OperatorCalls []OperatorCall
	Snapshots     []Snapshot // in the order of time
	Attempts      []Attempt
	Outcomes      []Outcome
	WrittenRows   []Row // by their owners: the last version of each row and incarnation

	// FaultsEnd is when the last fault was over.
	FaultsEnd time.Duration
	// ConvergenceTime is how long after FaultsEnd the copies may differ.
	ConvergenceTime time.Duration
	// SnapshotInterval is the longest time between two snapshots of a sidecar that runs.
	SnapshotInterval time.Duration
	// Sidecars are the names of those that have to run in the end.
	Sidecars []string

	// LostCalls are the calls of which every sidecar that held them was killed before it could send them to another.
	LostCalls map[string]bool
	// KnownSince returns the earliest time at which the incarnation that a sidecar has at a given time could know of a
	// call; false: it could not by the end of the record. What an earlier incarnation knew is lost with it, unless
	// another sidecar that it can reach holds it too. Without this function the rule on sends is not checked.
	KnownSince func(call OperatorCall, sidecar string, at time.Duration) (time.Duration, bool)

	// Outages are the periods in which servers were unresponsive.
	Outages []Outage
	// IsolatedBetween reports whether a sidecar was cut off, suspended or down at any time between two.
	IsolatedBetween func(sidecar string, from, to time.Duration) bool
}

// ActiveCall is an operator's call on a server that a sidecar shows as in force.
type ActiveCall struct {
	ID   string
	Down bool
}

// OperatorCall is an operator's call that a sidecar has acknowledged.
type OperatorCall struct {
	At         time.Duration
	Server     string
	ID         string // as the sidecar assigned it
	Down       bool
	KnownCalls []string // the calls on the server that the sidecar showed just before; this one supersedes them
}

// Row is a row of evidence on a server, which only its owner may write.
type Row struct {
	Owner       string
	Incarnation uint64 // of the owner, counting up
	Server      string
	Version     uint64
}

// Snapshot is what one sidecar showed at a time.
type Snapshot struct {
	At          time.Duration
	Sidecar     string
	Incarnation uint64
	Ready       bool                    // it says that it holds all that the fleet holds
	Calls       map[string][]ActiveCall // by server
	AdminDown   []string                // servers
	Rows        []Row
	// Suspicions are the servers that it ranks behind all others because of other sidecars' observations, with the
	// time for which it has done so without a break.
	Suspicions map[string]time.Duration
	Checksum   string // of its copy, in any form that is the same for equal copies
}

// suspects reports whether the sidecar suspects a server.
func (s *Snapshot) suspects(server string) bool {
	_, suspected := s.Suspicions[server]
	return suspected
}

// Attempt is the first attempt of a request, as a sidecar sent it to a server.
type Attempt struct {
	At      time.Duration
	Sidecar string
	Server  string
}

// Outcome is how a request ended at a server, as the server saw it.
type Outcome struct {
	At        time.Duration
	Sidecar   string
	Server    string
	Responded bool // false: its sidecar cancelled it before
}

// Outage is a period in which a server was unresponsive to everybody.
type Outage struct {
	Server string
	From   time.Duration
	To     time.Duration
}

// lastSnapshots returns the last snapshot of each sidecar.
func (r *Record) lastSnapshots() map[string]Snapshot {
	last := map[string]Snapshot{}
	for _, s := range r.Snapshots {
		last[s.Sidecar] = s
	}
	return last
}

package checker

import "time"

// Record holds the externally observed events of a fleet. All times are relative to the start of the run.
type Record struct {
	OperatorCalls []OperatorCall
	Snapshots     []Snapshot // in chronological order
	Attempts      []Attempt
	Outcomes      []Outcome
	WrittenRows   []Row // last version that the owner wrote, by row and incarnation

	// FaultsEnd is the time by which all faults have ended.
	FaultsEnd time.Duration
	// ConvergenceTime is how long after FaultsEnd the copies of the shared state may differ.
	ConvergenceTime time.Duration
	// SnapshotInterval is the longest time between two snapshots of a running sidecar.
	SnapshotInterval time.Duration
	// Sidecars are the names of the sidecars that have to be running at the end.
	Sidecars []string

	// LostCalls are the IDs of the calls that may have been lost, because every sidecar that held the call was killed
	// before it could send the call to another sidecar.
	LostCalls map[string]bool
	// KnownSince returns the earliest time at which a call could have reached the incarnation that a sidecar has at the
	// given time, or false if the call could not have reached it by the end of the record. The state of an earlier
	// incarnation is lost unless another sidecar that the new incarnation can reach holds it too. If KnownSince is
	// nil, RuleAdminDownObeyed is not checked.
	KnownSince func(call OperatorCall, sidecar string, at time.Duration) (time.Duration, bool)

	// Outages are the periods in which servers were unresponsive.
	Outages []Outage
	// IsolatedBetween reports whether a sidecar was cut off, suspended or down at any time between from and to.
	IsolatedBetween func(sidecar string, from, to time.Duration) bool
}

// ActiveCall is an operator's call on a server that a sidecar shows as being in force.
type ActiveCall struct {
	ID   string
	Down bool
}

// OperatorCall is an operator's call that a sidecar has acknowledged.
type OperatorCall struct {
	At         time.Duration
	Server     string
	ID         string // assigned by the sidecar
	Down       bool
	KnownCalls []string // calls on the server that the sidecar showed just before; this call supersedes them
}

// Row is a row of observations of a server. Only its owner may write it.
type Row struct {
	Owner       string
	Incarnation uint64 // of the owner, increasing
	Server      string
	Version     uint64
}

// Snapshot is the state that a sidecar showed at one time.
type Snapshot struct {
	At          time.Duration
	Sidecar     string
	Incarnation uint64
	Ready       bool                    // the sidecar reports that it holds the state of the fleet
	Calls       map[string][]ActiveCall // by server
	AdminDown   []string                // servers that are administratively down
	Rows        []Row
	// Suspicions holds, by server, how long the sidecar has continuously ranked the server behind all others because of
	// other sidecars' observations.
	Suspicions map[string]time.Duration
	Checksum   string // of the sidecar's copy of the shared state; equal for equal copies
}

// suspects reports whether the sidecar suspects a server.
func (s *Snapshot) suspects(server string) bool {
	_, suspected := s.Suspicions[server]
	return suspected
}

// Attempt is the first attempt of a request, sent by a sidecar to a server.
type Attempt struct {
	At      time.Duration
	Sidecar string
	Server  string
}

// Outcome is the end of a request at a server, as observed by the server.
type Outcome struct {
	At        time.Duration
	Sidecar   string
	Server    string
	Responded bool // false: the sidecar cancelled the request before the response
}

// Outage is a period in which a server was unresponsive to all sidecars.
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

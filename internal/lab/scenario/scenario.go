// Package scenario owns the description of a run that the lab plays: a fleet, a load, faults on a time line, and what
// is expected of the sidecars at the end. A scenario is a TOML file, read strictly: each thing that is wrong with it is
// a FileError with its file, line and reason.
package scenario

import (
	"fmt"
	"time"
)

// Duration is a time written with its unit, as "250ms" or "30s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler. A number without a unit is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time with a unit, such as \"250ms\" or \"30s\"", text)
	}
	*d = Duration(v)
	return nil
}

// Std is the duration in the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Scenario is one run of the lab.
type Scenario struct {
	Extends string   `toml:"extends"` // a scenario of the same folder, whose values hold where this one has none
	Name    string   `toml:"name"`
	About   string   `toml:"about"`  // one line for lists
	Length  Duration `toml:"length"` // arrivals end then; the run ends when all is answered
	Warmup  Duration `toml:"warmup"` // not counted, from the start
	Seed    uint64   `toml:"seed"`   // the default one

	Fleet          Fleet          `toml:"fleet"`
	Load           Load           `toml:"load"`
	Clients        Clients        `toml:"clients"`
	Network        Network        `toml:"network"`
	DiscoveryDelay DiscoveryDelay `toml:"notice"`
	Classes        []Class        `toml:"class"`
	Tenants        []Tenant       `toml:"tenant"`
	Faults         []Fault        `toml:"trouble"`
	Expect         Expect         `toml:"expect"`
}

// Fleet is the nodes and sidecars.
type Fleet struct {
	Sidecars int      `toml:"sidecars"`
	Nodes    int      `toml:"nodes"`
	Zones    []string `toml:"zones"`
	PodSize  int      `toml:"pod_size"` // nodes of one pod: they deduplicate requests together
	Kinds    []Kind   `toml:"kind"`

	SlotsPerCore      float64  `toml:"slots_per_core"` // requests in work at once, sharing the cores
	QueuePerCore      float64  `toml:"queue_per_core"` // requests that wait; more are rejected
	SlowStartCapacity float64  `toml:"cold_from"`      // share of its capacity that a started node has
	SlowStartWindow   Duration `toml:"cold"`           // and is warm after this time, evenly
	OverloadMultiple  float64  `toml:"fall_multiple"`  // a starting node with more than this times its capacity
	OverloadWindow    Duration `toml:"fall"`           // within this time is overloaded

	MaxConns         int      `toml:"conn_cap"`       // connections that a node holds at most
	HandshakeRTTs    float64  `toml:"handshake_rtts"` // round trips that a connection takes to come up
	HandshakeWork    Duration `toml:"handshake_work"` // work of a node for each
	IdleClose        Duration `toml:"idle_close"`     // a node closes connections that idle this long
	CacheSaving      float64  `toml:"key_gain"`       // share of the work that a key met lately saves
	CacheTTL         Duration `toml:"key_for"`        // lately
	CacheKeysPerCore int      `toml:"keys_per_core"`  // keys that a node remembers
	SpeedCV          float64  `toml:"speed_cv"`       // spread of the nodes' true speeds about their kind's
	ContentionAt     float64  `toml:"crowd_at"`       // requests in work a core; more are less efficient
	ContentionCost   float64  `toml:"crowd"`          // work per request grows by this for each doubling beyond it
	CollapseAt       float64  `toml:"choke_at"`       // waiting a core; with more for choke_over, the node collapses
	CollapseAfter    Duration `toml:"choke_over"`
	CollapseSlowdown float64  `toml:"choke_slower"`    // and is slower by this factor
	RecoverBelow     float64  `toml:"choke_below"`     // until it holds fewer for each core
	RecoverAfter     Duration `toml:"choke_rest"`      // for this time
	MaxCollapse      Duration `toml:"choke_most"`      // or at the latest after this time
	StopsCancelled   bool     `toml:"stops_cancelled"` // work stops when its request is cancelled
}

// Kind is a kind of node.
type Kind struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Cores int     `toml:"cores"`
	Speed float64 `toml:"speed"` // of a core, against a standard one
}

// Load is what clients ask for.
type Load struct {
	Rate        float64  `toml:"rate"`  // requests a second over all sidecars; or
	Utilization float64  `toml:"use"`   // the share of the fleet's capacity that first requests need
	Swing       float64  `toml:"swing"` // the rate waves by this share
	SwingPeriod Duration `toml:"wave"`  // over this time
	Skew        float64  `toml:"skew"`  // sidecar i gets a part in proportion to (i+1)^-skew
	Keys        int      `toml:"keys"`  // distinct keys
	Zipf        float64  `toml:"zipf"`  // exponent of their popularity
}

// Class is a class of requests.
type Class struct {
	Name             string   `toml:"name"`
	Share            float64  `toml:"share"`
	Work             Duration `toml:"work"` // mean, on a standard core
	CV               float64  `toml:"cv"`   // spread of the work; 1: exponential
	LatencyObjective Duration `toml:"aim"`
	Deadline         Duration `toml:"deadline"`
	Priority         float64  `toml:"worth"`
	Effect           string   `toml:"effect"` // idempotent, deduplicated, at_most_once
	Scope            string   `toml:"scope"`  // of deduplicated: all, zone, cell
	DedupeWindow     Duration `toml:"window"` // of deduplicated
}

// Tenant is a tenant and its part of the demand.
type Tenant struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"`     // of the requests
	Allowance float64 `toml:"allowance"` // requests a second over all sidecars
}

// Clients say how clients behave.
type Clients struct {
	Retries        float64  `toml:"retries"`    // of a request; a fraction is a probability
	Backoff        Duration `toml:"backoff"`    // mean wait before the first
	BackoffGrowth  float64  `toml:"growth"`     // of the wait with each
	HonourShare    float64  `toml:"honour"`     // share that heeds Retry-After
	MaxRetryAfter  Duration `toml:"most_after"` // and how long at most
	ImpatientShare float64  `toml:"impatient"`  // share that leaves after half of its time
	TimeoutShare   float64  `toml:"try_share"`  // of the deadline, as the timeout of one request
}

// Network is the way between sidecars and nodes.
type Network struct {
	SameZone       Duration `toml:"same"`  // one way inside a zone
	CrossZone      Duration `toml:"cross"` // one way between zones
	Jitter         float64  `toml:"jitter"`
	ConnectTimeout Duration `toml:"connect"` // a connection not up by then has failed
}

// DiscoveryDelay is how long discovery takes to notify sidecars of a change.
type DiscoveryDelay struct {
	From Duration `toml:"from"` // drawn for each sidecar
	To   Duration `toml:"to"`
}

// Fault is what goes wrong, from At on.
type Fault struct {
	Kind     string   `toml:"kind"`
	At       Duration `toml:"at"`
	Length   Duration `toml:"for"`
	Share    float64  `toml:"part"`  // share of the nodes, or of the sidecars
	Size     float64  `toml:"size"`  // factor or share, by the kind
	Class    string   `toml:"class"` // of swallow and turn_away
	Zone     string   `toml:"zone"`  // of zone_cut, or where the nodes are
	Drain    Duration `toml:"drain"` // from the notice of a drain to the end of a node
	Recovers bool     `toml:"heals"` // isolated machines come back
}

// Expect is what must hold at the end; zero values are not checked.
type Expect struct {
	InTime   float64  `toml:"in_time"`   // least share of priority served in time
	Worst10s float64  `toml:"worst_10s"` // least share in the worst 10 s
	Failed   float64  `toml:"failed"`    // greatest share of first requests that failed in the end
	Attempts float64  `toml:"attempts"`  // most attempts for each request
	Recover  Duration `toml:"recover"`   // longest time from the last fault's end until service is back
	Useful   float64  `toml:"useful"`    // least share of the nodes' work that was served in time
}

// Capacity is what the fleet can do when all of it is warm, in seconds of standard work a second.
func (s *Scenario) Capacity() float64 {
	sum := 0.0
	for i := range s.Fleet.Nodes {
		k := s.KindOf(i)
		sum += float64(k.Cores) * k.Speed
	}
	return sum
}

// KindOf is the kind of node i: kinds are distributed evenly by their shares, so that every zone has some of each.
func (s *Scenario) KindOf(i int) Kind {
	credit := make([]float64, len(s.Fleet.Kinds))
	best := 0
	for range i + 1 {
		best = 0
		for k := range credit {
			credit[k] += s.Fleet.Kinds[k].Share
			if credit[k] > credit[best]+1e-9 {
				best = k
			}
		}
		credit[best]--
	}
	return s.Fleet.Kinds[best]
}

// MeanWork is the mean work of a request in seconds on a standard core, without what known keys save.
func (s *Scenario) MeanWork() float64 {
	work := 0.0
	for _, c := range s.Classes {
		work += c.Share * c.Work.Std().Seconds()
	}
	return work
}

// Rate is the mean rate of first requests a second, over all sidecars.
func (s *Scenario) Rate() float64 {
	if s.Load.Utilization > 0 {
		return s.Load.Utilization * s.Capacity() / s.MeanWork()
	}
	return s.Load.Rate
}

// Package scenario defines and reads the description of a lab run: a fleet, a load, timed faults, and the results
// expected of the sidecars. A scenario is a TOML file. Unknown keys and invalid values are errors, each reported as a
// FileError with file, line and reason.
package scenario

import (
	"fmt"
	"time"
)

// Duration is a duration written with its unit, such as "250ms" or "30s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler. It rejects a number without a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration with a unit, such as \"250ms\" or \"30s\"", text)
	}
	*d = Duration(v)
	return nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Scenario describes one run of the lab.
type Scenario struct {
	Extends string   `toml:"extends"` // scenario in the same directory that supplies the values of absent keys
	Name    string   `toml:"name"`
	About   string   `toml:"about"`  // one-line description for lists of scenarios
	Length  Duration `toml:"length"` // arrivals end after this time; the run ends when every request has ended
	Warmup  Duration `toml:"warmup"` // initial period that is not measured
	Seed    uint64   `toml:"seed"`   // default seed

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

// Fleet describes the nodes and sidecars.
type Fleet struct {
	Sidecars int      `toml:"sidecars"`
	Nodes    int      `toml:"nodes"`
	Zones    []string `toml:"zones"`
	PodSize  int      `toml:"pod_size"` // nodes per pod group; the nodes of a group share the deduplication state
	Kinds    []Kind   `toml:"kind"`

	SlotsPerCore      float64  `toml:"slots_per_core"` // maximum requests in service per core; they share the cores
	QueuePerCore      float64  `toml:"queue_per_core"` // maximum waiting requests per core; others are rejected
	SlowStartCapacity float64  `toml:"cold_from"`      // share of its capacity that a node has when it starts
	SlowStartWindow   Duration `toml:"cold"`           // time over which that share grows linearly to 1
	OverloadMultiple  float64  `toml:"fall_multiple"`  // permitted multiple of a starting node's capacity
	OverloadWindow    Duration `toml:"fall"`           // window over which the work of a starting node is summed

	MaxConns         int      `toml:"conn_cap"`        // maximum number of connections of a node
	HandshakeRTTs    float64  `toml:"handshake_rtts"`  // round trips to establish a connection
	HandshakeWork    Duration `toml:"handshake_work"`  // work of a node per handshake
	IdleClose        Duration `toml:"idle_close"`      // idle time after which a node closes a connection
	CacheSaving      float64  `toml:"key_gain"`        // share of the work that a cached key saves
	CacheTTL         Duration `toml:"key_for"`         // time for which a node caches a key
	CacheKeysPerCore int      `toml:"keys_per_core"`   // maximum number of keys that a node caches per core
	SpeedCV          float64  `toml:"speed_cv"`        // coefficient of variation of the true node speeds within a kind
	ContentionAt     float64  `toml:"crowd_at"`        // requests in service per core above which each takes more work
	ContentionCost   float64  `toml:"crowd"`           // share of work added by each doubling beyond that
	CollapseAt       float64  `toml:"choke_at"`        // waiting requests per core above which nodes collapse; 0: never
	CollapseAfter    Duration `toml:"choke_over"`      // time above CollapseAt before it collapses
	CollapseSlowdown float64  `toml:"choke_slower"`    // factor by which a collapsed node is slower
	RecoverBelow     float64  `toml:"choke_below"`     // maximum number of requests in flight per core for a recovery
	RecoverAfter     Duration `toml:"choke_rest"`      // time at or below RecoverBelow after which a node recovers
	MaxCollapse      Duration `toml:"choke_most"`      // time after which a node recovers in any case
	StopsCancelled   bool     `toml:"stops_cancelled"` // a node stops the work of a cancelled request
}

// Kind describes a kind of node.
type Kind struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Cores int     `toml:"cores"`
	Speed float64 `toml:"speed"` // of a core, as a multiple of a standard core
}

// Load describes the requests of clients. Either Rate or Utilization is set.
type Load struct {
	Rate        float64  `toml:"rate"`  // requests per second over all sidecars
	Utilization float64  `toml:"use"`   // share of the fleet's capacity that first requests need
	Swing       float64  `toml:"swing"` // amplitude of the sinusoidal variation of the rate, as a share of its mean
	SwingPeriod Duration `toml:"wave"`  // period of that variation
	Skew        float64  `toml:"skew"`  // sidecar i receives a share in proportion to (i+1)^-skew
	Keys        int      `toml:"keys"`  // distinct keys
	Zipf        float64  `toml:"zipf"`  // exponent of the Zipf distribution of keys
}

// Class describes a class of requests.
type Class struct {
	Name             string   `toml:"name"`
	Share            float64  `toml:"share"`
	Work             Duration `toml:"work"` // mean on a standard core
	CV               float64  `toml:"cv"`   // coefficient of variation of the work; 1: exponential
	LatencyObjective Duration `toml:"aim"`
	Deadline         Duration `toml:"deadline"`
	Priority         float64  `toml:"worth"`
	Effect           string   `toml:"effect"` // idempotent, deduplicated or at_most_once
	Scope            string   `toml:"scope"`  // for deduplicated: all, zone or cell
	DedupeWindow     Duration `toml:"window"` // for deduplicated
}

// Tenant describes a tenant and its share of the requests.
type Tenant struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"`     // of the requests
	Allowance float64 `toml:"allowance"` // requests per second over all sidecars
}

// Clients describes the behaviour of clients.
type Clients struct {
	Retries        float64  `toml:"retries"`    // number per request; the fraction is the probability of one more
	Backoff        Duration `toml:"backoff"`    // mean wait before the first retry
	BackoffGrowth  float64  `toml:"growth"`     // factor by which the wait grows with each retry
	HonourShare    float64  `toml:"honour"`     // probability that a client honours Retry-After
	MaxRetryAfter  Duration `toml:"most_after"` // maximum Retry-After that a client honours
	ImpatientShare float64  `toml:"impatient"`  // share of requests whose client disconnects after half of its timeout
	TimeoutShare   float64  `toml:"try_share"`  // timeout of one request as a share of the deadline
}

// Network describes the network between sidecars and nodes.
type Network struct {
	SameZone       Duration `toml:"same"`  // one-way latency within a zone
	CrossZone      Duration `toml:"cross"` // one-way latency between zones
	Jitter         float64  `toml:"jitter"`
	ConnectTimeout Duration `toml:"connect"` // time-out for establishing a connection
}

// DiscoveryDelay is the range of the delay after which discovery notifies a sidecar of a change.
type DiscoveryDelay struct {
	From Duration `toml:"from"` // the delay is drawn for each sidecar
	To   Duration `toml:"to"`
}

// Fault is a failure or a change of load that begins at At.
type Fault struct {
	Kind     string   `toml:"kind"`
	At       Duration `toml:"at"`
	Length   Duration `toml:"for"`
	Share    float64  `toml:"part"`  // share of the nodes or sidecars affected
	Size     float64  `toml:"size"`  // factor or share, depending on the kind
	Class    string   `toml:"class"` // for swallow and turn_away
	Zone     string   `toml:"zone"`  // for zone_cut; for faults of nodes, limits them to a zone
	Drain    Duration `toml:"drain"` // time from the drain notice until the node stops
	Recovers bool     `toml:"heals"` // isolated machines become reachable again
}

// Expect holds the limits that the results of a run must meet. Zero values are not checked.
type Expect struct {
	InTime   float64  `toml:"in_time"`   // minimum share of priority-weighted work that was served in time
	Worst10s float64  `toml:"worst_10s"` // minimum of that share in the worst 10 s
	Failed   float64  `toml:"failed"`    // maximum share of first requests that failed after all retries
	Attempts float64  `toml:"attempts"`  // maximum number of attempts per request
	Recover  Duration `toml:"recover"`   // maximum time from the end of the last fault until service has recovered
	Useful   float64  `toml:"useful"`    // minimum share of the nodes' work that was served in time
}

// Capacity returns the capacity of the fleet with all nodes warmed up, in seconds of work on a standard core per
// second.
func (s *Scenario) Capacity() float64 {
	sum := 0.0
	for i := range s.Fleet.Nodes {
		k := s.KindOf(i)
		sum += float64(k.Cores) * k.Speed
	}
	return sum
}

// KindOf returns the kind of node i. Kinds are interleaved in proportion to their shares, so that every zone has
// nodes of each kind.
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

// MeanWork returns the mean work of a request in seconds on a standard core, without the savings for cached keys.
func (s *Scenario) MeanWork() float64 {
	work := 0.0
	for _, c := range s.Classes {
		work += c.Share * c.Work.Std().Seconds()
	}
	return work
}

// Rate returns the mean rate of first requests over all sidecars, in requests per second.
func (s *Scenario) Rate() float64 {
	if s.Load.Utilization > 0 {
		return s.Load.Utilization * s.Capacity() / s.MeanWork()
	}
	return s.Load.Rate
}

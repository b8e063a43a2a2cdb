// Package plan turns a scenario and a seed into what happens to whom and when: the nodes with their true speeds, and the
// acts of the time line. Both planes play the same plan.
package plan

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/scenario"
	"milletramp.example/milletramp/internal/lab/servermodel"
)

// Machine is a node as it is planned.
type Machine struct {
	ID   string
	Zone int
	Kind string
	Cell int
	Size float64          // registered, for discovery
	Spec servermodel.Spec // Started is set when it starts
	Born time.Duration    // 0: it is there from the start
}

// Op is what an act does.
type Op int

// The acts. Node, Value, Class and On are used as named.
const (
	Start          Op = iota // Node starts, cold, and is told as serving
	Drain                    // Node is told as draining
	Remove                   // Node's process ends and it is told as gone
	Crash                    // Node's process dies; nothing is told
	Restart                  // Node's process starts again under its name, cold, and is told so
	Vanish                   // Node's machine says nothing any more (On), or is back
	Slow                     // Node is slower by Value; 1 ends it
	Swallow                  // Node swallows Class (On), or no more
	TurnAway                 // Node turns Class away (On), or no more
	Stray                    // Node swallows a share Value of all requests
	Errors                   // Node answers a share Value with errors
	Garble                   // Node spoils a share Value of its answers
	CutRequests              // the links to Node break once a request has passed, a share Value of them
	CutAnswers               // they break in the middle of an answer, a share Value of them
	CutZone                  // zone Node is cut off from the others (On), or no more
	CutWatch                 // discovery's next lines end midway
	BackWatch                // discovery goes back to an older version
	MoveWatch                // discovery moves to a new address
	Silence                  // discovery says nothing (On), or again
	RestartSidecar           // sidecar Node is killed and started again
	Over                     // the trouble's last effect ends here
)

// Act is one thing that happens.
type Act struct {
	At    time.Duration
	Op    Op
	Node  int
	Class int
	Value float64
	On    bool
}

// Plan is a scenario drawn for a seed.
type Plan struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Machines []Machine     // those there from the start, then those that are born later
	Acts     []Act         // by time
	First    time.Duration // when the first trouble begins; the length where there is none
	Last     time.Duration // when the last one ends
}

// New draws a scenario.
func New(s *scenario.Scenario, seed uint64) *Plan {
	p := &Plan{Scenario: s, Seed: seed, First: s.Length.Std()}
	rng := rand.New(rand.NewPCG(seed, 0x91a2))
	for i := range s.Fleet.Nodes {
		p.machine(i%len(s.Fleet.Zones), s.KindOf(i), 0, rng)
	}
	// Pods are made of nodes of one zone.
	inZone := make([]int, len(s.Fleet.Zones))
	for i := range p.Machines {
		z := p.Machines[i].Zone
		p.Machines[i].Cell = inZone[z]/s.Fleet.PodSize*len(s.Fleet.Zones) + z + 1
		inZone[z]++
	}
	for _, t := range s.Trouble {
		p.trouble(t, rng)
	}
	slices.SortStableFunc(p.Acts, func(a, b Act) int { return cmp.Compare(a.At, b.At) })
	return p
}

// machine adds a machine and returns its number.
func (p *Plan) machine(zone int, k scenario.Kind, born time.Duration, rng *rand.Rand) int {
	f := p.Scenario.Fleet
	speed := k.Speed * math.Max(0.3, 1+f.Speeds*rng.NormFloat64())
	p.Machines = append(p.Machines, Machine{
		ID: fmt.Sprintf("s-%04x%04x", rng.IntN(1<<16), len(p.Machines)), Zone: zone, Kind: k.Name,
		Size: float64(k.Cores) * k.Speed, Born: born,
		Spec: servermodel.Spec{Cores: k.Cores, Speed: speed,
			Slots: max(int(f.SlotsPerCore*float64(k.Cores)), 1), QueueLimit: int(f.QueuePerCore * float64(k.Cores)),
			WarmUpShare: f.ColdFrom, WarmUp: f.Cold.Std(), ContentionAt: f.CrowdAt, ContentionCost: f.Crowd,
			CollapseAt: f.ChokeAt, CollapseAfter: f.ChokeOver.Std(), CollapseSlowdown: f.ChokeSlower, RecoverBelow: f.ChokeBelow,
			RecoverAfter: f.ChokeRest.Std(), MaxCollapse: f.ChokeMost.Std()}})
	return len(p.Machines) - 1
}

// successor adds a machine that takes another's place.
func (p *Plan) successor(of int, born time.Duration, rng *rand.Rand) int {
	old := p.Machines[of]
	for _, k := range p.Scenario.Fleet.Kinds {
		if k.Name == old.Kind {
			n := p.machine(old.Zone, k, born, rng)
			p.Machines[n].Cell = old.Cell
			return n
		}
	}
	panic("plan: a machine of no kind")
}

func (p *Plan) add(a Act) { p.Acts = append(p.Acts, a) }

// Window is how long the nodes of a pod remember an effect: the longest of the classes' windows.
func (p *Plan) Window() time.Duration {
	window := time.Second
	for _, c := range p.Scenario.Classes {
		window = max(window, c.Window.Std())
	}
	return window
}

// victims draws the nodes that a trouble meets, among those that are there then. They are spread over the kinds and
// zones by chance.
func (p *Plan) victims(t scenario.Trouble, rng *rand.Rand) []int {
	gone := map[int]bool{}
	for _, a := range p.Acts {
		if a.Op == Remove {
			gone[a.Node] = true
		}
	}
	var there []int
	for i, m := range p.Machines {
		if !gone[i] && (t.Zone == "" || p.Scenario.Fleet.Zones[m.Zone] == t.Zone) {
			there = append(there, i)
		}
	}
	rng.Shuffle(len(there), func(i, j int) { there[i], there[j] = there[j], there[i] })
	return there[:min(len(there), max(1, int(math.Round(t.Part*float64(len(there))))))]
}

// trouble adds a trouble's acts.
func (p *Plan) trouble(t scenario.Trouble, rng *rand.Rand) {
	from, to := t.At.Std(), t.At.Std()+t.For.Std()
	p.First, p.Last = min(p.First, from), max(p.Last, to)
	defer func() { p.add(Act{At: to, Op: Over}) }()
	class := slices.IndexFunc(p.Scenario.Classes, func(c scenario.Class) bool { return c.Name == t.Class })
	switch t.Kind {
	case "burst", "flood", "hot_key": // these are the load's
		return
	case "discovery_silent":
		p.add(Act{At: from, Op: Silence, On: true})
		p.add(Act{At: to, Op: Silence})
		return
	case "discovery_cut", "discovery_back", "discovery_moves":
		p.add(Act{At: from, Op: map[string]Op{"discovery_cut": CutWatch, "discovery_back": BackWatch, "discovery_moves": MoveWatch}[t.Kind]})
		return
	case "zone_cut":
		zone := slices.Index(p.Scenario.Fleet.Zones, t.Zone)
		p.add(Act{At: from, Op: CutZone, Node: zone, On: true})
		p.add(Act{At: to, Op: CutZone, Node: zone})
		return
	case "sidecars_restart":
		n := max(1, int(math.Round(t.Part*float64(p.Scenario.Fleet.Sidecars))))
		for i := range n {
			p.add(Act{At: from, Op: RestartSidecar, Node: i})
		}
		return
	case "power_cut":
		t.Part = 1
		for i := range p.Scenario.Fleet.Sidecars {
			p.add(Act{At: to, Op: RestartSidecar, Node: i})
		}
	}
	nodes := p.victims(t, rng)
	for i, n := range nodes {
		// A release and a shrink go through the nodes one after the other.
		turn := from + time.Duration(float64(t.For.Std()-t.Drain.Std())*float64(i)/float64(len(nodes)))
		switch t.Kind {
		case "slow":
			p.add(Act{At: from, Op: Slow, Node: n, Value: t.Size})
			p.add(Act{At: to, Op: Slow, Node: n, Value: 1})
		case "release":
			p.add(Act{At: turn, Op: Drain, Node: n})
			p.add(Act{At: turn + t.Drain.Std(), Op: Remove, Node: n})
			p.add(Act{At: turn + t.Drain.Std(), Op: Start, Node: p.successor(n, turn+t.Drain.Std(), rng)})
		case "shrink":
			p.add(Act{At: turn, Op: Drain, Node: n})
			p.add(Act{At: turn + t.Drain.Std(), Op: Remove, Node: n})
		case "swallow":
			p.add(Act{At: from, Op: Swallow, Node: n, Class: class, On: true})
			p.add(Act{At: to, Op: Swallow, Node: n, Class: class})
		case "turn_away":
			p.add(Act{At: from, Op: TurnAway, Node: n, Class: class, On: true})
			p.add(Act{At: to, Op: TurnAway, Node: n, Class: class})
		case "stray", "errors", "garble", "cut_requests", "cut_answers":
			op := map[string]Op{"stray": Stray, "errors": Errors, "garble": Garble, "cut_requests": CutRequests,
				"cut_answers": CutAnswers}[t.Kind]
			p.add(Act{At: from, Op: op, Node: n, Value: t.Size})
			p.add(Act{At: to, Op: op, Node: n})
		case "vanish":
			p.add(Act{At: from, Op: Vanish, Node: n, On: true})
			if t.Heals {
				p.add(Act{At: to, Op: Vanish, Node: n})
				continue
			}
			p.add(Act{At: from + 3*p.Scenario.Notice.To.Std(), Op: Remove, Node: n}) // known late: it says nothing
			p.add(Act{At: to, Op: Start, Node: p.successor(n, to, rng)})
		case "crash", "power_cut":
			p.add(Act{At: from, Op: Crash, Node: n})
			p.add(Act{At: to, Op: Restart, Node: n})
		}
	}
}

// Settings are what sidecar i is told, as the platform's settings would say it.
func (p *Plan) Settings(i int) balance.Settings {
	s := p.Scenario
	set := balance.Settings{Seed: p.Seed*1000003 + uint64(i), Ordinal: i, Peers: s.Fleet.Sidecars,
		Zone: s.Fleet.Zones[i%len(s.Fleet.Zones)], Zones: s.Fleet.Zones, Service: "lab", MaxAttempts: 6, CancelAllowed: true, HedgingAllowed: true,
		SlowStartWindow: s.Fleet.Cold.Std(), SlowStartCapacity: s.Fleet.ColdFrom, OverloadMultiple: s.Fleet.FallMultiple,
		OverloadWindow: s.Fleet.Fall.Std(), CrossZoneCharge: 0.093}
	for _, k := range s.Fleet.Kinds {
		set.Kinds = append(set.Kinds, k.Name)
	}
	for _, c := range s.Classes {
		set.Classes = append(set.Classes, balance.Class{Name: c.Name, LatencyObjective: c.Aim.Std(), Deadline: c.Deadline.Std(),
			Priority: c.Worth, DedupeWindow: c.Window.Std(), Effect: Effects[c.Effect], Scope: Scopes[c.Scope]})
	}
	for _, t := range s.Tenants {
		set.Tenants = append(set.Tenants, balance.Tenant{Name: t.Name, Allowance: t.Allowance})
	}
	return set
}

// Effects and Scopes are the scenario's words for the module's values.
var (
	Effects = map[string]balance.Effect{"idempotent": balance.Idempotent, "deduplicated": balance.Deduplicated,
		"at_most_once": balance.AtMostOnce}
	Scopes = map[string]balance.Scope{"": balance.ScopeAll, "all": balance.ScopeAll, "zone": balance.ScopeZone,
		"cell": balance.ScopePodGroup}
)

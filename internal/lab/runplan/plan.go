// Package runplan turns a scenario and a seed into what happens to whom and when: the nodes with their true speeds, and the
// acts of the time line. Both planes play the same plan.
package runplan

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
	ID       string
	Zone     int
	Kind     string
	PodGroup int
	Weight   float64          // registered, for discovery
	Spec     servermodel.Spec // Started is set when it starts
	StartsAt time.Duration    // 0: it is there from the start
}

// ActionKind is what an act does.
type ActionKind int

// The acts. Node, Value, Class and On are used as named.
const (
	StartNode        ActionKind = iota // Node starts, cold, and is told as serving
	DrainNode                          // Node is told as draining
	RemoveNode                         // Node's process ends and it is told as gone
	CrashNode                          // Node's process dies; nothing is told
	RestartNode                        // Node's process starts again under its name, cold, and is told so
	IsolateNode                        // Node's machine says nothing any more (On), or is back
	SlowNode                           // Node is slower by Value; 1 ends it
	LoseClass                          // Node swallows Class (On), or no more
	RejectClass                        // Node turns Class away (On), or no more
	LoseShare                          // Node swallows a share Value of all requests
	ErrorShare                         // Node answers a share Value with errors
	GarbleShare                        // Node spoils a share Value of its answers
	CutRequestShare                    // the links to Node break once a request has passed, a share Value of them
	CutResponseShare                   // they break in the middle of an answer, a share Value of them
	CutZone                            // zone Node is cut off from the others (On), or no more
	CutWatch                           // discovery's next lines end midway
	RewindWatch                        // discovery goes back to an older version
	MoveWatch                          // discovery moves to a new address
	SilenceDiscovery                   // discovery says nothing (On), or again
	RestartSidecar                     // sidecar Node is killed and started again
	FaultOver                          // the trouble's last effect ends here
)

// Action is one thing that happens.
type Action struct {
	At    time.Duration
	Kind  ActionKind
	Node  int
	Class int
	Value float64
	On    bool
}

// Plan is a scenario drawn for a seed.
type Plan struct {
	Scenario     *scenario.Scenario
	Seed         uint64
	Machines     []Machine     // those there from the start, then those that are born later
	Actions      []Action      // by time
	FirstFault   time.Duration // when the first trouble begins; the length where there is none
	LastFaultEnd time.Duration // when the last one ends
}

// Draw draws a scenario.
func Draw(s *scenario.Scenario, seed uint64) *Plan {
	p := &Plan{Scenario: s, Seed: seed, FirstFault: s.Length.Std()}
	rng := rand.New(rand.NewPCG(seed, 0x91a2))
	for i := range s.Fleet.Nodes {
		p.addMachine(i%len(s.Fleet.Zones), s.KindOf(i), 0, rng)
	}
	// Pods are made of nodes of one zone.
	inZone := make([]int, len(s.Fleet.Zones))
	for i := range p.Machines {
		z := p.Machines[i].Zone
		p.Machines[i].PodGroup = inZone[z]/s.Fleet.PodSize*len(s.Fleet.Zones) + z + 1
		inZone[z]++
	}
	for _, t := range s.Trouble {
		p.addFault(t, rng)
	}
	slices.SortStableFunc(p.Actions, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return p
}

// addMachine adds a machine and returns its number.
func (p *Plan) addMachine(zone int, k scenario.Kind, born time.Duration, rng *rand.Rand) int {
	f := p.Scenario.Fleet
	speed := k.Speed * math.Max(0.3, 1+f.Speeds*rng.NormFloat64())
	p.Machines = append(p.Machines, Machine{
		ID: fmt.Sprintf("s-%04x%04x", rng.IntN(1<<16), len(p.Machines)), Zone: zone, Kind: k.Name,
		Weight: float64(k.Cores) * k.Speed, StartsAt: born,
		Spec: servermodel.Spec{Cores: k.Cores, Speed: speed,
			Slots: max(int(f.SlotsPerCore*float64(k.Cores)), 1), QueueLimit: int(f.QueuePerCore * float64(k.Cores)),
			WarmUpShare: f.ColdFrom, WarmUp: f.Cold.Std(), ContentionAt: f.CrowdAt, ContentionCost: f.Crowd,
			CollapseAt: f.ChokeAt, CollapseAfter: f.ChokeOver.Std(), CollapseSlowdown: f.ChokeSlower, RecoverBelow: f.ChokeBelow,
			RecoverAfter: f.ChokeRest.Std(), MaxCollapse: f.ChokeMost.Std()}})
	return len(p.Machines) - 1
}

// addSuccessor adds a machine that takes another's place.
func (p *Plan) addSuccessor(of int, born time.Duration, rng *rand.Rand) int {
	old := p.Machines[of]
	for _, k := range p.Scenario.Fleet.Kinds {
		if k.Name == old.Kind {
			n := p.addMachine(old.Zone, k, born, rng)
			p.Machines[n].PodGroup = old.PodGroup
			return n
		}
	}
	panic("plan: a machine of no kind")
}

func (p *Plan) addAction(a Action) { p.Actions = append(p.Actions, a) }

// DedupeWindow is how long the nodes of a pod remember an effect: the longest of the classes' windows.
func (p *Plan) DedupeWindow() time.Duration {
	window := time.Second
	for _, c := range p.Scenario.Classes {
		window = max(window, c.Window.Std())
	}
	return window
}

// drawNodes draws the nodes that a trouble meets, among those that are there then. They are spread over the kinds and
// zones by chance.
func (p *Plan) drawNodes(t scenario.Trouble, rng *rand.Rand) []int {
	gone := map[int]bool{}
	for _, a := range p.Actions {
		if a.Kind == RemoveNode {
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

// addFault adds a trouble's acts.
func (p *Plan) addFault(t scenario.Trouble, rng *rand.Rand) {
	from, to := t.At.Std(), t.At.Std()+t.For.Std()
	p.FirstFault, p.LastFaultEnd = min(p.FirstFault, from), max(p.LastFaultEnd, to)
	defer func() { p.addAction(Action{At: to, Kind: FaultOver}) }()
	class := slices.IndexFunc(p.Scenario.Classes, func(c scenario.Class) bool { return c.Name == t.Class })
	switch t.Kind {
	case "burst", "flood", "hot_key": // these are the load's
		return
	case "discovery_silent":
		p.addAction(Action{At: from, Kind: SilenceDiscovery, On: true})
		p.addAction(Action{At: to, Kind: SilenceDiscovery})
		return
	case "discovery_cut", "discovery_back", "discovery_moves":
		p.addAction(Action{At: from, Kind: map[string]ActionKind{"discovery_cut": CutWatch, "discovery_back": RewindWatch, "discovery_moves": MoveWatch}[t.Kind]})
		return
	case "zone_cut":
		zone := slices.Index(p.Scenario.Fleet.Zones, t.Zone)
		p.addAction(Action{At: from, Kind: CutZone, Node: zone, On: true})
		p.addAction(Action{At: to, Kind: CutZone, Node: zone})
		return
	case "sidecars_restart":
		n := max(1, int(math.Round(t.Part*float64(p.Scenario.Fleet.Sidecars))))
		for i := range n {
			p.addAction(Action{At: from, Kind: RestartSidecar, Node: i})
		}
		return
	case "power_cut":
		t.Part = 1
		for i := range p.Scenario.Fleet.Sidecars {
			p.addAction(Action{At: to, Kind: RestartSidecar, Node: i})
		}
	}
	nodes := p.drawNodes(t, rng)
	for i, n := range nodes {
		// A release and a shrink go through the nodes one after the other.
		turn := from + time.Duration(float64(t.For.Std()-t.Drain.Std())*float64(i)/float64(len(nodes)))
		switch t.Kind {
		case "slow":
			p.addAction(Action{At: from, Kind: SlowNode, Node: n, Value: t.Size})
			p.addAction(Action{At: to, Kind: SlowNode, Node: n, Value: 1})
		case "release":
			p.addAction(Action{At: turn, Kind: DrainNode, Node: n})
			p.addAction(Action{At: turn + t.Drain.Std(), Kind: RemoveNode, Node: n})
			p.addAction(Action{At: turn + t.Drain.Std(), Kind: StartNode, Node: p.addSuccessor(n, turn+t.Drain.Std(), rng)})
		case "shrink":
			p.addAction(Action{At: turn, Kind: DrainNode, Node: n})
			p.addAction(Action{At: turn + t.Drain.Std(), Kind: RemoveNode, Node: n})
		case "swallow":
			p.addAction(Action{At: from, Kind: LoseClass, Node: n, Class: class, On: true})
			p.addAction(Action{At: to, Kind: LoseClass, Node: n, Class: class})
		case "turn_away":
			p.addAction(Action{At: from, Kind: RejectClass, Node: n, Class: class, On: true})
			p.addAction(Action{At: to, Kind: RejectClass, Node: n, Class: class})
		case "stray", "errors", "garble", "cut_requests", "cut_answers":
			op := map[string]ActionKind{"stray": LoseShare, "errors": ErrorShare, "garble": GarbleShare, "cut_requests": CutRequestShare,
				"cut_answers": CutResponseShare}[t.Kind]
			p.addAction(Action{At: from, Kind: op, Node: n, Value: t.Size})
			p.addAction(Action{At: to, Kind: op, Node: n})
		case "vanish":
			p.addAction(Action{At: from, Kind: IsolateNode, Node: n, On: true})
			if t.Heals {
				p.addAction(Action{At: to, Kind: IsolateNode, Node: n})
				continue
			}
			p.addAction(Action{At: from + 3*p.Scenario.Notice.To.Std(), Kind: RemoveNode, Node: n}) // known late: it says nothing
			p.addAction(Action{At: to, Kind: StartNode, Node: p.addSuccessor(n, to, rng)})
		case "crash", "power_cut":
			p.addAction(Action{At: from, Kind: CrashNode, Node: n})
			p.addAction(Action{At: to, Kind: RestartNode, Node: n})
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

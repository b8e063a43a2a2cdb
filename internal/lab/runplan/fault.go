package runplan

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/lab/scenario"
)

// removalDelay is after how many of discovery's longest delays a machine that is isolated for good is listed as gone.
const removalDelay = 3

// fault is a fault of the scenario with its times and its class resolved.
type fault struct {
	scenario.Fault
	from, to time.Duration
	class    int // index in the scenario's classes; -1: none
}

func newFault(t scenario.Fault, s *scenario.Scenario) fault {
	return fault{
		Fault: t,
		from:  t.At.Std(),
		to:    t.At.Std() + t.Length.Std(),
		class: slices.IndexFunc(s.Classes, func(c scenario.Class) bool { return c.Name == t.Class }),
	}
}

// addFault adds the actions of a fault.
func (p *Plan) addFault(f fault, random *rand.Rand) {
	p.FirstFault, p.LastFaultEnd = min(p.FirstFault, f.from), max(p.LastFaultEnd, f.to)
	switch f.Kind {
	case scenario.FaultBurst, scenario.FaultFlood, scenario.FaultHotKey:
		// These are drawn with the workload.
	case scenario.FaultDiscoverySilent:
		p.addSpan(f, Action{Kind: SilenceDiscovery, On: true}, Action{Kind: SilenceDiscovery})
	case scenario.FaultDiscoveryCut:
		p.addActionAt(f.from, Action{Kind: CutWatch})
	case scenario.FaultDiscoveryRewind:
		p.addActionAt(f.from, Action{Kind: RewindWatch})
	case scenario.FaultDiscoveryMoves:
		p.addActionAt(f.from, Action{Kind: MoveWatch})
	case scenario.FaultZoneCut:
		zone := slices.Index(p.Scenario.Fleet.Zones, f.Zone)
		p.addSpan(f, Action{Kind: CutZone, Node: zone, On: true}, Action{Kind: CutZone, Node: zone})
	case scenario.FaultSidecarsRestart:
		p.addSidecarRestarts(f.from, countOf(f.Share, p.Scenario.Fleet.Sidecars))
	case scenario.FaultPowerCut:
		f.Share = 1 // all nodes crash
		p.addSidecarRestarts(f.to, p.Scenario.Fleet.Sidecars)
		p.addNodeFaults(f, random)
	default:
		p.addNodeFaults(f, random)
	}
	p.addActionAt(f.to, Action{Kind: FaultOver})
}

// addSpan adds the actions that begin and end a fault.
func (p *Plan) addSpan(f fault, begin, end Action) {
	p.addActionAt(f.from, begin)
	p.addActionAt(f.to, end)
}

// addSidecarRestarts restarts the first sidecars.
func (p *Plan) addSidecarRestarts(at time.Duration, count int) {
	for i := range count {
		p.addActionAt(at, Action{Kind: RestartSidecar, Node: i})
	}
}

// addNodeFaults adds the actions of a fault at each of the nodes that it is drawn for.
func (p *Plan) addNodeFaults(f fault, random *rand.Rand) {
	nodes := p.drawNodes(f, random)
	for i, node := range nodes {
		switch f.Kind {
		case scenario.FaultRelease, scenario.FaultShrink:
			p.addReplacement(f, node, f.drainStart(i, len(nodes)), random)
		case scenario.FaultIsolateNodes:
			p.addIsolation(f, node, random)
		default:
			if begin, end, ok := f.nodeActions(node); ok {
				p.addSpan(f, begin, end)
			}
		}
	}
}

// drawNodes draws the nodes of a fault among those that no earlier fault has removed. They are spread over kinds and
// zones by chance.
func (p *Plan) drawNodes(f fault, random *rand.Rand) []int {
	removed := map[int]bool{}
	for _, action := range p.Actions {
		if action.Kind == RemoveNode {
			removed[action.Node] = true
		}
	}
	var present []int
	for i, machine := range p.Machines {
		if !removed[i] && (f.Zone == "" || p.Scenario.Fleet.Zones[machine.Zone] == f.Zone) {
			present = append(present, i)
		}
	}
	random.Shuffle(len(present), func(i, j int) { present[i], present[j] = present[j], present[i] })
	return present[:min(len(present), countOf(f.Share, len(present)))]
}

// countOf is a share of a number, at least one.
func countOf(share float64, of int) int {
	return max(1, int(math.Round(share*float64(of))))
}

// drainStart is when the node of an index among count begins to drain: nodes do so one after the other.
func (f *fault) drainStart(index, count int) time.Duration {
	return f.from + time.Duration(float64(f.Length.Std()-f.Drain.Std())*float64(index)/float64(count))
}

// addReplacement drains and removes a node; in a release, another takes its place.
func (p *Plan) addReplacement(f fault, node int, drainStart time.Duration, random *rand.Rand) {
	removedAt := drainStart + f.Drain.Std()
	p.addActionAt(drainStart, Action{Kind: DrainNode, Node: node})
	p.addActionAt(removedAt, Action{Kind: RemoveNode, Node: node})
	if f.Kind == scenario.FaultRelease {
		p.addActionAt(removedAt, Action{Kind: StartNode, Node: p.addSuccessor(node, removedAt, random)})
	}
}

// addIsolation isolates a node. If it does not come back, discovery lists it as gone late, as the node cannot sign
// off, and another takes its place when the fault ends.
func (p *Plan) addIsolation(f fault, node int, random *rand.Rand) {
	p.addActionAt(f.from, Action{Kind: IsolateNode, Node: node, On: true})
	if f.Recovers {
		p.addActionAt(f.to, Action{Kind: IsolateNode, Node: node})
		return
	}
	p.addActionAt(f.from+removalDelay*p.Scenario.DiscoveryDelay.To.Std(), Action{Kind: RemoveNode, Node: node})
	p.addActionAt(f.to, Action{Kind: StartNode, Node: p.addSuccessor(node, f.to, random)})
}

// shareActions are the actions of the faults that strike a share of a node's traffic.
var shareActions = map[string]ActionKind{
	scenario.FaultLoseShare:    LoseShare,
	scenario.FaultErrors:       ErrorShare,
	scenario.FaultGarble:       GarbleShare,
	scenario.FaultCutRequests:  CutRequestShare,
	scenario.FaultCutResponses: CutResponseShare,
}

// nodeActions are the actions that begin and end a fault at one node, if the fault has such a pair.
func (f *fault) nodeActions(node int) (begin, end Action, ok bool) {
	begin, end = Action{Node: node}, Action{Node: node}
	switch f.Kind {
	case scenario.FaultSlow:
		begin.Kind, end.Kind = SlowNode, SlowNode
		begin.Value, end.Value = f.Size, 1
	case scenario.FaultLoseClass:
		begin.Kind, end.Kind = LoseClass, LoseClass
		begin.Class, end.Class, begin.On = f.class, f.class, true
	case scenario.FaultRejectClass:
		begin.Kind, end.Kind = RejectClass, RejectClass
		begin.Class, end.Class, begin.On = f.class, f.class, true
	case scenario.FaultCrash, scenario.FaultPowerCut:
		begin.Kind, end.Kind = CrashNode, RestartNode
	default:
		kind, known := shareActions[f.Kind]
		begin.Kind, end.Kind = kind, kind
		begin.Value = f.Size
		return begin, end, known
	}
	return begin, end, true
}

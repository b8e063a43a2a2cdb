package runplan

import "time"

// ActionKind is what an action does.
type ActionKind int

// The kinds of actions. The fields of Action that are set are named with each, besides At and Kind.
const (
	// StartNode: Node starts, warming up, and discovery lists it as serving.
	StartNode ActionKind = iota
	// DrainNode: discovery lists Node as draining.
	DrainNode
	// RemoveNode: Node's process ends, and discovery lists it as gone.
	RemoveNode
	// CrashNode: Node's process dies, and discovery does not know.
	CrashNode
	// RestartNode: Node's process starts again under its ID, warming up, and discovery lists it so.
	RestartNode
	// IsolateNode: Node's machine sends and receives nothing any more (On), or is back.
	IsolateNode
	// SlowNode: Node is slower by the factor Value; 1 ends it.
	SlowNode
	// LoseClass: Node never answers requests of Class (On), or answers them again.
	LoseClass
	// RejectClass: Node rejects requests of Class (On), or no more.
	RejectClass
	// LoseShare: Node never answers a share Value of all requests.
	LoseShare
	// ErrorShare: Node answers a share Value of requests with errors.
	ErrorShare
	// GarbleShare: Node malforms a share Value of its responses.
	GarbleShare
	// CutRequestShare: a share Value of the connections to Node break once a request has passed.
	CutRequestShare
	// CutResponseShare: a share Value of the connections to Node break in the middle of a response.
	CutResponseShare
	// CutZone: the zone with index Node is cut off from the others (On), or no more.
	CutZone
	// CutWatch: the next line of every watch of discovery ends midway.
	CutWatch
	// RewindWatch: discovery goes back to an older version.
	RewindWatch
	// MoveWatch: discovery moves to a new address.
	MoveWatch
	// SilenceDiscovery: discovery sends nothing (On), or sends again.
	SilenceDiscovery
	// RestartSidecar: the sidecar with index Node is killed and started again.
	RestartSidecar
	// FaultOver: the last effect of a fault ends.
	FaultOver
)

// Action is one thing that happens.
type Action struct {
	At    time.Duration
	Kind  ActionKind
	Node  int // index in Plan.Machines
	Class int // index in the scenario's classes
	Value float64
	On    bool
}

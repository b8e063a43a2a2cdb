package faultplan

import (
	"fmt"
	"strings"
	"time"
)

// Plan holds the faults, operators' calls and policy changes of a run of a fleet.
type Plan struct {
	Seed     uint64
	Sidecars int
	Servers  int
	Length   time.Duration // no fault, call or change starts after this time
	Faults   []Fault
	Calls    []Call
	Changes  []Change
}

// Call is an operator's call at a sidecar that sets a server administratively down or up.
type Call struct {
	At      time.Duration
	Sidecar int
	Server  int
	Down    bool
}

// String implements fmt.Stringer.
func (c Call) String() string {
	state := "back"
	if c.Down {
		state = "out"
	}
	return fmt.Sprintf("%8v sidecar %d: server %d %s", c.At, c.Sidecar, c.Server, state)
}

// Change is a proposal of a new policy at the admin server of a sidecar.
type Change struct {
	At      time.Duration
	Sidecar int
}

// String implements fmt.Stringer.
func (c Change) String() string {
	return fmt.Sprintf("%8v sidecar %d: a change of policy", c.At, c.Sidecar)
}

// String implements fmt.Stringer.
func (p Plan) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d sidecars, %d servers, %v\n", p.Seed, p.Sidecars, p.Servers, p.Length)
	for _, f := range p.Faults {
		fmt.Fprintln(&text, f)
	}
	for _, c := range p.Calls {
		fmt.Fprintln(&text, c)
	}
	for _, c := range p.Changes {
		fmt.Fprintln(&text, c)
	}
	return text.String()
}

// End returns the time at which the last fault, call or change is over.
func (p Plan) End() (end time.Duration) {
	for _, f := range p.Faults {
		end = max(end, f.end())
	}
	for _, c := range p.Calls {
		end = max(end, c.At)
	}
	for _, c := range p.Changes {
		end = max(end, c.At)
	}
	return end
}

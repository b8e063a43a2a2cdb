// Package sim runs a fleet of sidecars under a fault plan in simulated time and records the run for the checker.
//
// Each sidecar's part in the fleet is a state machine, gossip.Machine, that performs no I/O. A Fleet steps these
// machines from one goroutine: its scheduler runs events in time order, its links delay, drop and duplicate
// datagrams as specified by the plan, and operator calls are made at the times specified by the plan. The simulation
// does not read the machine's clock, and all random numbers come from one generator seeded by the plan, so the same
// plan and options produce the same record.
package sim

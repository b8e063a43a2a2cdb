// Package sim runs a fleet of sidecars under a fault plan in simulated time, and records what the checker judges.
//
// Each sidecar's part in the fleet is a state machine, gossip.Machine, that performs no I/O. A Fleet steps these
// machines from one goroutine: its scheduler runs events in the order of their times, its links delay, drop and
// duplicate datagrams as the plan says, and operators' calls arrive at the times that the plan gives. Nothing reads a
// clock of the machine, and all random numbers are drawn from one generator that the plan's seed starts, so that the
// same plan and options give the same record.
package sim

// Package sim plays a plan in simulated time. It is a discrete-event simulation of clients, network, servers and
// discovery around one load-balancing policy for each sidecar, the decision module or a baseline.
//
// The scheduler owns the clock and the queue of events. All other state belongs to the simulation's servers and
// sidecars and changes only when an event happens. There is no I/O and no goroutine, and every random draw comes from
// the plan's seed: the same plan gives the same recorded events to the byte.
//
// Run fails if a policy rejects its settings, and when its context is done, with the context's cause.
package sim

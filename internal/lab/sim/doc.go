// Package sim runs a plan in simulated time. It is a discrete-event simulation of clients, network, servers and
// discovery. Each sidecar runs one load-balancing policy: the decision module or a baseline policy.
//
// The scheduler owns the clock and the event queue. All other state belongs to the simulation's servers and sidecars
// and changes only while an event is handled. There is no I/O and no goroutine, and every random number is derived
// from the plan's seed, so the same plan produces byte-identical recorded events.
//
// Run returns an error if a policy rejects its settings. If its context is done, Run returns the context's cause.
package sim

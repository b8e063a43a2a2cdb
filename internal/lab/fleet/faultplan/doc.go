// Package faultplan describes, as data, the faults in a fleet and the actions of its operators. The same plan can be
// run in simulated time and with real processes. Plans are drawn from a seed, and a plan that leads to a violation can
// be reduced to the faults and calls that are needed for it.
//
// The package starts no goroutine, keeps no state and returns no errors.
package faultplan

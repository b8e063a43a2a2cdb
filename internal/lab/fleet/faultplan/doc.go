// Package faultplan describes, as data, the faults of a fleet and what its operators do meanwhile. Simulated time and
// real processes can play the same plan. A seed draws one, and a plan that shows a breach can be made shorter.
//
// The package starts no goroutine, keeps no state and returns no errors.
package faultplan

// Package servermodel models one server of the emulated service: how long its requests take, given what it holds,
// which of them it deduplicates, and its faults. It is a state machine on a clock that its owner moves: the simulated
// backend moves it by events, a stand-in on real sockets by the machine's clock, so that both serve the same load in
// the same way.
//
// Requests in service share the server's cores evenly (processor sharing, at most a core each). What finds no slot
// waits in order of arrival, and what exceeds the queue limit is rejected. With one slot for each core this is a queue
// with c servers in order of arrival (M/M/c where arrivals and work are exponential).
//
// The package does no I/O and has no errors of its own. A Server has one owner; a Pod may be used by several
// goroutines.
package servermodel

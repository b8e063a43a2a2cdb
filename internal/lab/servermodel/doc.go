// Package servermodel models one server of the emulated service: the service time of its requests under the current
// load, the deduplication of repeated requests, and injected faults. It is a state machine whose owner advances the
// clock: the simulated backend uses simulation events, a stand-in on real sockets uses the machine's clock. Both
// therefore serve the same load in the same way.
//
// Requests in service share the server's cores evenly (processor sharing, at most one core each). A request that finds
// no free slot waits in a first-in-first-out queue, and is rejected if the queue is full. With one slot for each core
// this is a FIFO queue with c servers (M/M/c if interarrival times and work are exponentially distributed).
//
// The package does no I/O and returns no errors. A Server has one owner; a Pod may be used by several
// goroutines.
package servermodel

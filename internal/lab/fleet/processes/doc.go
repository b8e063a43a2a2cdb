// Package processes runs a fault plan against processes of the real sidecar and records the data that the checker
// evaluates.
//
// A run owns everything that it starts, all of it on loopback:
//
//   - a process for each sidecar, and a second one while an upgrade replaces the first. One goroutine per process
//     starts it, reads its log and waits for its exit. Run kills the remaining processes; if the run itself dies, the
//     kernel kills them.
//   - a relay for each directed pair of processes (package mesh), closed by Run.
//   - HTTP servers that stand in for the backends and for discovery, closed by Run.
//   - goroutines that send requests, poll the admin servers, change the policy and execute the plan. They end with the
//     run's context, and Run waits for them.
//
// Run returns a *StartError if the fleet does not become ready, a *FailuresError if a sidecar violates a rule that is
// checked without the checker (such as a client's request without a response), the context's cause if the context ends
// first, and otherwise the operating system's error.
package processes

// Package processes runs a fault plan against processes of the real sidecar and records what the checker needs to
// judge it.
//
// A run owns everything that it starts, all of it on loopback:
//
//   - a process for each sidecar, and a second one while an upgrade replaces the first. A goroutine for each starts it,
//     reads its log and waits for its exit. Run kills those that are left, and the kernel does if the run itself dies.
//   - a relay for each directed pair of processes (package mesh), closed by Run.
//   - HTTP servers in place of the backends and of discovery, closed by Run.
//   - goroutines that send requests, poll the admin servers, change the policy and carry out the plan. They end with
//     the run's context, and Run waits for them.
//
// Run returns a *StartError if the fleet does not become ready, a *FailuresError if a sidecar broke a rule that does
// not need the checker (such as a client's request without a response), the context's cause if that ends first, and
// otherwise the operating system's error.
package processes

// Package sidecar implements the lifecycle of the sidecar process: start, serve, drain and stop.
//
// Run connects the other packages and owns every goroutine of the process:
//
//   - The event loop (proxy.EventLoop.Run), the configuration reloader and the watcher of the process group end with
//     the context that Run cancels when it returns.
//   - The goroutines of http.Server, one per client connection, end when the process has drained.
//   - The goroutines of the admin server and of the fleet participant end with the stop functions that startAdminServer
//     and joinFleet return.
//
// Run waits for all of them. Attempts and discovery watches, which the event loop starts, end with the same context.
//
// A sidecar is usually one process. During a hot restart it is two, the predecessor and the successor: the limits on
// descriptors and memory are divided between them, and processGroup forwards operators' calls from one to the other.
// A Participant makes the sidecar a member of a fleet; this package does not import the fleet's code.
//
// Run returns an error only if the process cannot start or cannot continue to serve.
package sidecar

// Package sidecar is the process: it starts, serves, drains and stops.
//
// Run wires the other packages together and owns every goroutine of the process:
//
//   - the event loop (proxy.EventLoop.Run), the reloads of the configuration, and the watch for other processes of this
//     sidecar end with the context that Run cancels when it returns;
//   - http.Server's goroutines, one for each client connection, end when the process has drained;
//   - those of the admin server and of the part in a fleet end by the functions that started them.
//
// Run waits for all of them. Attempts and watches of discovery, which the loop starts, end with the same context.
//
// A sidecar is one process most of the time, and two while one replaces another: a processGroup shares descriptors and
// memory among them, and forwards operators' calls. With a Participant it takes part in a fleet; the package itself
// links none of the fleet's code.
//
// Run returns an error only where the process cannot start, or cannot go on serving.
package sidecar

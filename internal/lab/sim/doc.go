// Package sim plays a plan in simulated time: a discrete-event world of clients, nodes, discovery and network around the
// real decision module, which it drives through its Actions. There are no sockets, no sleeping and no goroutines; the
// same plan gives the same events to the byte.
package sim

// Package workload draws what clients request: open-loop arrivals, which never wait for responses, with classes, keys,
// work and timeouts, and what a client does with a response. It does no I/O and has no errors of its own. The same seed
// always draws the same.
package workload

// Package workload generates the requests of clients. Arrivals are open-loop: they do not wait for responses. Each has
// a class, key, work and timeout, and Retry decides how its client reacts to the outcome. The package does no I/O and
// returns no errors. The same seed always generates the same requests.
package workload

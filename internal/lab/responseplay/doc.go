// Package responseplay plays long, slow, endless and broken responses to a sidecar on loopback and judges what its
// clients get. The judge knows the terms of the platform and what clients and servers saw, and nothing of the sidecar.
//
// A [Script] is one drawn response, a [Server] gives the responses of a [Population], a [Client] sends requests and
// records their responses, and a [Judge] compares both sides and counts the verdicts in a [Tally].
package responseplay

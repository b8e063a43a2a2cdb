// Package discovery watches the endpoint list that a discovery service, or its agent on this machine, publishes.
//
// A Client makes watch calls, each of which is a stream of JSON objects over HTTP. Subscriptions manages the open
// watches of a process, also while discovery moves to another address. StartTimes converts the start times that
// discovery reports into times of the monotonic clock.
//
// The package starts one goroutine for each open watch. The goroutine ends with the watch, at the latest when the
// context passed to NewSubscriptions is done. Subscriptions and StartTimes must be used only by the goroutine of the
// event loop that they serve.
//
// A watch always ends with an error that gives the reason. ParseList rejects a complete list if one entry is invalid.
package discovery

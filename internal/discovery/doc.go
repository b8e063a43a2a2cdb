// Package discovery follows the list of endpoints that a discovery service, or its agent on this machine, publishes.
//
// A Client makes one watch call, which is a stream of JSON objects over HTTP; Subscriptions keeps the open watches of a
// process, also while discovery moves to another address; StartTimes converts the starts that discovery claims into
// times of the monotonic clock.
//
// The package starts one goroutine for each open watch. It ends with the watch, at the latest with the context given to
// NewSubscriptions. Subscriptions and StartTimes belong to the goroutine of the event loop that they serve.
//
// A watch always ends with an error that says why. ParseList refuses a list as a whole if one entry is wrong.
package discovery

// Package proxy serves client requests: it reads a request, attempts it at the servers that the Balancer selects, and
// writes the final response.
//
// A Handler reads and checks the request and writes its response, in the goroutine that http.Server starts for it. An
// EventLoop owns the balance.Balancer and the requests in flight: other goroutines post events to it, and it performs
// the actions of the Balancer. In a fleet, a PolicyGate admits requests only under the policy in force.
//
// The caller runs EventLoop.Run in a goroutine of its own and stops it by cancelling its context. The package starts
// one goroutine per attempt. The goroutine ends at the end of the attempt: at the latest when the request's deadline
// passes or the loop's context is done, or, if the response is streamed, when the handler finishes the stream.
//
// Each request that was read gets exactly one final response. A request that is refused before it reaches the Balancer
// gets an httpError, and its connection is closed after the response.
package proxy

// Package proxy serves client requests: it reads a request, attempts it at the servers that the Balancer selects, and
// writes the final response.
//
// A Handler reads and checks the request and writes its response, in the goroutine that http.Server starts for it. An
// EventLoop owns the balance.Balancer and the requests in flight: other goroutines post events to it, and it performs
// the actions of the Balancer. In a fleet, a PolicyGate admits requests only under the policy in force.
//
// The caller runs EventLoop.Run in a goroutine of its own and stops it by cancelling its context. The package starts
// one goroutine per attempt. It ends with the attempt, at the latest at the request's deadline or with the loop's
// context. If the response is streamed, it ends with the handler.
//
// Each request that was read gets exactly one final response. A request that is refused before the Balancer sees it
// gets an httpError, and its connection is closed after the response.
package proxy

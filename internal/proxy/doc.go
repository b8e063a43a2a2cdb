// Package proxy takes a client's request from its head to its final response.
//
// A Handler reads and checks the request and writes its response, in the goroutine that http.Server gives it. The
// EventLoop owns the balance.Balancer and the requests in flight: everything that happens is posted to it, and it
// starts what the Balancer orders. A PolicyGate holds requests to the policy of a fleet, where there is one.
//
// The caller runs EventLoop.Run in a goroutine of its own and ends it by its context. The package starts one goroutine
// for each attempt, which ends with the attempt, at the latest at the request's deadline or with the loop's context; a
// response that is being streamed ends with its handler.
//
// Each request that was read gets exactly one final response. What is refused before the Balancer sees it is an
// httpError; it closes the connection behind its response.
package proxy

// Package upstream makes attempts at servers. An attempt sends a client's request to one server, at most once, and
// parses the response strictly.
//
// A Client is configured with lists of servers and maintains a pool of connections to them. Each connection carries one
// request at a time. The package does not use http.Transport, which may return a connection to its pool while unread
// bytes follow the response and then parse these bytes as the response to the next request.
//
// The package starts no goroutine. A timer of the pool closes connections that exceed the idle timeout. An attempt runs
// in the caller's goroutine and ends when its context is done. The exception is a response that is being streamed,
// which ends when its reader calls Stream.Finish. The result of an attempt is a balance.Outcome. Only Stream.Read
// returns errors to other packages.
package upstream

// Package upstream makes attempts at servers: it sends a client's request to one server, at most once, and reads the
// response strictly.
//
// A Client knows the servers by the lists that it is given, and holds a pool of connections to them with one request
// at a time on each. http.Transport is not used: it may put a connection back with bytes behind the response, and
// take them for the response to the next request.
//
// The package starts no goroutine; a timer of the pool closes connections that were idle for too long. An attempt
// runs in its caller's goroutine and ends with its context, except for a response that is being streamed: that ends
// when its reader calls Stream.Finish. How an attempt ended is a balance.Outcome; the only errors that leave the
// package are those of Stream.Read.
package upstream

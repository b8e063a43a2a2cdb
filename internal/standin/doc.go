// Package standin has test doubles for all that a sidecar communicates with, on sockets of the loopback interface:
// clients, discovery, servers (Node, Origins) and the links between sidecar and server. They follow the platform's
// protocols, know nothing of the sidecar, and add what they observe to a Log.
//
// Goroutines: a Link starts one that accepts and some for each connection, and Close waits for all of them. Discovery,
// Node and Origins each start an HTTP server, which ends with Close, with Kill, or with Close and the listener. Clients
// start one goroutine a request, and Run returns once all of them have ended.
//
// Errors are those of the sockets, wrapped with the name of the test double; there are none of its own. A handler that
// breaks its connection on purpose panics with http.ErrAbortHandler, as net/http asks for.
package standin

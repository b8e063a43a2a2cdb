// Package downstream manages the connections from clients. A Listener limits their number, closes connections without a
// request, and tracks the state of each Conn while an http.Server serves it. A DrainListener accepts connections from
// the kernel and accepts all waiting connections before it closes.
//
// The package starts no goroutine. Each connection has one reader, the goroutine of http.Server that serves it. Only
// this reader may close a connection on which a request could have arrived. Other goroutines retire the connection:
// they set a read deadline that has passed, and the reader closes the connection unless bytes have arrived in the
// meantime.
//
// The framing of a client's messages is checked before net/http parses them. An ambiguous message ends the connection
// with an error that wraps errFraming or chunked.ErrMalformed, after the responses to the preceding requests.
package downstream

// Package downstream holds the connections from clients. A Listener bounds their number, ends those that have no
// request, and follows each Conn through its states while an http.Server serves it; a DrainListener accepts them from
// the kernel, and leaves none waiting when it closes.
//
// The package starts no goroutine. Each connection has one reader, the goroutine of http.Server that serves it, and
// only this reader may close a connection on which a request could have come. Others retire the connection: they end
// its reading by a deadline, and the reader closes it unless bytes have come meanwhile.
//
// What a client sends is checked before net/http parses it. A message that can be read in two ways ends the connection
// with an error of errFraming or chunked.ErrMalformed, behind the responses to the requests before it.
package downstream

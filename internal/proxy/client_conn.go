package proxy

import (
	"context"
	"net"
	"net/http"
	"time"
)

// ClientConn is the connection on which a request came, as far as the handler has to do with it.
type ClientConn interface {
	// AcceptedAt is when the connection was accepted.
	AcceptedAt() time.Time
	// PeerClosed reports whether the client has ended its sending, also where bytes that came before are not read yet.
	PeerClosed() bool
	// ClosesAfterResponse reports whether the next response is to end the connection.
	ClosesAfterResponse() bool
	// MarkFinalResponse says that nothing more is served on the connection.
	MarkFinalResponse()
	// SetWriteBuffer sets the bytes of responses that may wait in the system.
	SetWriteBuffer(bytes int) error
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext puts a connection into the context of its requests. It is for http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// clientConnOf returns the connection of a request, or nil where it came on none that the handler knows.
func clientConnOf(r *http.Request) ClientConn {
	conn, _ := r.Context().Value(connKey{}).(ClientConn)
	return conn
}

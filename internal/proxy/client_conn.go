package proxy

import (
	"context"
	"net"
	"net/http"
	"time"
)

// ClientConn is the client connection of a request, as used by the handler.
type ClientConn interface {
	// AcceptedAt returns the time at which the connection was accepted.
	AcceptedAt() time.Time
	// PeerClosed reports whether the client has closed its sending side, even if data sent before is still unread.
	PeerClosed() bool
	// LastInputAt returns when the last bytes from the client reached this machine. ok is false if that is not known.
	LastInputAt() (at time.Time, ok bool)
	// ClosesAfterResponse reports whether the connection is to be closed after the next response.
	ClosesAfterResponse() bool
	// MarkFinalResponse records that no further request is served on the connection.
	MarkFinalResponse()
	// SetWriteBuffer sets the size of the socket's send buffer in bytes.
	SetWriteBuffer(bytes int) error
	// ResetIfUndelivered makes the close of the connection reset it if the client has not received all that was
	// written.
	ResetIfUndelivered()
}

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext adds a connection to the context of its requests. It is meant for http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// clientConnOf returns the connection of a request, or nil if it does not implement ClientConn.
func clientConnOf(r *http.Request) ClientConn {
	conn, _ := r.Context().Value(connKey{}).(ClientConn)
	return conn
}

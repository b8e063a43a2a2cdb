package sidecar

import (
	"context"
	"net"
	"time"

	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/netretry"
)

// listenTimeout bounds how long listening is tried where this machine is short of something. A process has to be ready
// within 10 s, and listens at two addresses.
const listenTimeout = 4 * time.Second

// hooks let a test see and replace what a process does with the system; zero: nothing is.
type hooks struct {
	started func(*operator) // gets what the console asks, once the process listens
	listen  func(open listenFunc) (*net.TCPListener, error)
	accept  func(*net.TCPListener) (net.Conn, error)
	dial    discovery.DialFunc // to servers
}

// listenFunc opens a listener.
type listenFunc func() (*net.TCPListener, error)

// listenWithRetry has open tried for listenWithin, or until stop is done.
func (h *hooks) listenWithRetry(stop context.Context, open listenFunc) (*net.TCPListener, error) {
	within, cancel := context.WithTimeout(stop, listenTimeout)
	defer cancel()
	return netretry.Open(within, func() (*net.TCPListener, error) {
		if h.listen != nil {
			return h.listen(open)
		}
		return open()
	})
}

package sidecar

import (
	"context"
	"net"
	"time"

	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/netretry"
)

// listenTimeout limits the retries of a listen call that fails because the machine is short of descriptors or memory.
// A process has to be ready within 10 s and listens on two addresses.
const listenTimeout = 4 * time.Second

// listenFunc opens a listener.
type listenFunc func() (*net.TCPListener, error)

// hooks let a test observe and replace the system calls of a process. All but started may be nil.
type hooks struct {
	started func(*operator) // called once the process listens for clients
	listen  func(open listenFunc) (*net.TCPListener, error)
	accept  func(*net.TCPListener) (net.Conn, error)
	dial    discovery.DialFunc // connects to servers
}

// listenWithRetry opens a listener. If the machine is short of resources, it retries for listenTimeout or until stop is
// done.
func (h *hooks) listenWithRetry(stop context.Context, open listenFunc) (*net.TCPListener, error) {
	ctx, cancel := context.WithTimeout(stop, listenTimeout)
	defer cancel()
	return netretry.Open(ctx, func() (*net.TCPListener, error) {
		if h.listen != nil {
			return h.listen(open)
		}
		return open()
	})
}

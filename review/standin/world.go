package main

import (
	"fmt"
	"time"
)

// serverCount is the number of servers, which form one pod.
const serverCount = 4

// world is a sidecar between stand-ins.
type world struct {
	environment
	servers []*server
	site    *site
	sidecar *process
}

// newWorld starts servers that behave like b, discovery, and a sidecar. The caller must close the site.
func newWorld(e environment, l limits, s object, b behaviour) (*world, error) {
	w := &world{environment: e}
	var targets []target
	for i := range serverCount {
		started, err := startServer(fmt.Sprintf("s-%d", i), e.record, b)
		if err != nil {
			return nil, err
		}
		w.servers = append(w.servers, started)
		targets = append(targets, started.target())
	}
	d, err := startDiscovery(targets)
	if err != nil {
		return nil, err
	}
	if w.site, err = newSite(e.record, e.root, d, l, s); err != nil {
		return nil, err
	}
	if w.sidecar, err = w.site.start(); err != nil {
		w.site.close()
		return nil, err
	}
	return w, nil
}

// client is a client of the application. It keeps its connection until an answer says that it closes.
type client struct {
	address string
	conn    *clientConn
}

// do sends a request and waits for its answer until patience after its last byte was sent. If the connection closes
// before a byte of the answer, the client sends the request one more time on a new connection.
func (c *client) do(q call, patience time.Duration) (r result) {
	for range 2 {
		isNew := c.conn == nil
		if isNew {
			if c.conn, r.err = dialSidecar(c.address); r.err != nil {
				return r
			}
		}
		r = c.conn.do(q, patience)
		if r.err != nil || r.closes {
			_ = c.conn.Close()
			c.conn = nil
		}
		if r.err == nil || r.status != 0 || isNew || isTimeout(r.err) {
			break
		}
	}
	return r
}

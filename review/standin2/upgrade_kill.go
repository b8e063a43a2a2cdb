package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the long answers to requests that come late in an upgrade.
const (
	restingClients = 8
	lateFrom       = 900 * time.Millisecond // after SIGTERM
	lateInterval   = 40 * time.Millisecond
	lateSize       = 1 << 20
	latePieces     = 80
	latePause      = 50 * time.Millisecond
)

// serveLate answers requests whose id begins with l with a long body, steadily for 4 s, and all others at once.
func serveLate(s *server, c net.Conn, r *http.Request) bool {
	if r.Header.Get("X-Request-ID")[0] != 'l' {
		return serveOK(s, c, r)
	}
	return writeSteadily(c, lateSize, latePieces, latePause)
}

// playUpgradeKill replaces the process of a sidecar whose clients rest on their connections, and send their next
// requests on these 0.9 to 1.2 s after SIGTERM. The disruption is the replacement.
func playUpgradeKill(w *world, trouble bool) (int, error) {
	for i := range 4 {
		if _, err := w.addServer(i/2, serveLate); err != nil {
			return 0, err
		}
	}
	old, err := w.startSidecar(w.console)
	if err != nil {
		return 0, err
	}
	var conns []*clientConn
	for i := range restingClients {
		c, err := w.openUsed(i)
		if err != nil {
			return 0, err
		}
		defer c.Close()
		conns = append(conns, c)
	}
	if trouble {
		console, err := freeAddress()
		if err != nil {
			return 0, err
		}
		if _, err := w.startSidecar(console); err != nil {
			return 0, err
		}
	}
	startedAt := time.Now()
	if trouble {
		go w.stopSidecar(old)
	}
	var lost tally
	var requests sync.WaitGroup
	for i, c := range conns {
		requests.Add(1)
		go func() {
			defer requests.Done()
			time.Sleep(time.Until(startedAt.Add(lateFrom + time.Duration(i)*lateInterval)))
			w.sendLate(c, newRequest('l', i, w.classes[0]), &lost)
		}()
	}
	requests.Wait()
	return lost.count(), nil
}

// openUsed opens a connection and has one request answered on it.
func (w *world) openUsed(number int) (*clientConn, error) {
	c, err := w.dial()
	if err != nil {
		return nil, err
	}
	answer, err := c.send(newRequest('a', number, w.classes[0]), 0)
	w.log.add("client got %d on connection %d, %v", answer.status, number, err)
	return c, err
}

// sendLate sends a request with a long answer on a resting connection. A connection that has been closed meanwhile
// takes no request.
func (w *world) sendLate(c *clientConn, r *request, lost *tally) {
	answer, err := c.send(r, watchTime)
	took := answer.took.Round(time.Millisecond)
	switch {
	case err != nil || answer.status == 0 && answer.ended:
		w.log.add("client: the connection of %s was closed before it: %v", r.id, err)
	case answer.whole:
		w.log.add("client got %d for %s, %d bytes after %v", answer.status, r.id, len(answer.body), took)
	default:
		w.log.add("LOST %s: cut off after %d bytes, %v after its last byte", r.id, len(answer.body), took)
		lost.add()
	}
}

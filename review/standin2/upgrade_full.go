package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the upgrade beside long answers. The sidecar has 256 descriptors, of which clients may hold a third, 85,
// for requests: the long answers and the short requests stay below that.
const (
	longAnswers   = 62
	longInterval  = 40 * time.Millisecond
	longSize      = 2 << 20
	longPieces    = 100
	longPause     = 100 * time.Millisecond
	shortRequests = 20
	shortInterval = 250 * time.Millisecond
	// upgradeTime is what the new process has to say that it is ready; then the old one gets SIGTERM.
	upgradeTime = 6 * time.Second
	// killTime is when SIGKILL follows SIGTERM: the longest deadline, 3 s at most, and 0.7 s.
	killTime = 3750 * time.Millisecond
)

// serveLong answers requests whose id begins with l with a long body, steadily, and all others at once.
func serveLong(s *server, c net.Conn, r *http.Request) bool {
	if r.Header.Get("X-Request-ID")[0] != 'l' {
		return serveOK(s, c, r)
	}
	return writeSteadily(c, longSize, longPieces, longPause)
}

// writeSteadily writes a response of the given size in pieces with a pause behind each, and reports whether it was
// written whole.
func writeSteadily(c net.Conn, size, pieces int, pause time.Duration) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
	piece := make([]byte, (size+pieces-1)/pieces)
	for left := size; left > 0; left -= len(piece) {
		if _, err := c.Write(piece[:min(len(piece), left)]); err != nil {
			return false
		}
		time.Sleep(pause)
	}
	return true
}

// playUpgradeFull replaces the process of a sidecar that passes on long answers, while clients open connections for
// short requests. The disruption is the replacement.
func playUpgradeFull(w *world, trouble bool) (int, error) {
	for i := range 4 {
		if _, err := w.addServer(i/2, serveLong); err != nil {
			return 0, err
		}
	}
	old, err := w.startSidecar(w.console)
	if err != nil {
		return 0, err
	}
	streams := w.startLongAnswers(longAnswers)
	startedAt := time.Now()
	if trouble {
		console, err := freeAddress()
		if err != nil {
			return 0, err
		}
		if _, err := w.startSidecar(console); err != nil {
			return 0, err
		}
	}
	var lost tally
	var requests sync.WaitGroup
	for i := range shortRequests {
		time.Sleep(shortInterval)
		requests.Add(1)
		go func() {
			defer requests.Done()
			w.sendOnNewConn(newRequest('s', i, w.classes[0]), &lost)
		}()
	}
	if trouble {
		time.Sleep(time.Until(startedAt.Add(upgradeTime)))
		w.stopSidecar(old)
	}
	requests.Wait()
	streams.Wait()
	return lost.count(), nil
}

// startLongAnswers sends requests with long answers, one after another on connections of their own. The caller may
// wait until all have ended.
func (w *world) startLongAnswers(count int) *sync.WaitGroup {
	var streams sync.WaitGroup
	for i := range count {
		time.Sleep(longInterval)
		streams.Add(1)
		go func() {
			defer streams.Done()
			c, err := w.dial()
			if err != nil {
				w.log.add("client: no connection: %v", err)
				return
			}
			defer c.Close()
			r := newRequest('l', i, w.classes[1])
			answer, err := c.send(r, 30*time.Second)
			w.log.add("client got %d for %s, %d bytes, whole %t, %v", answer.status, r.id, len(answer.body),
				answer.whole, err)
		}()
	}
	return &streams
}

// stopSidecar sends SIGTERM, and SIGKILL if the process has not ended by the time for it.
func (w *world) stopSidecar(s *sidecar) {
	w.signal(s, syscall.SIGTERM)
	select {
	case <-s.exited:
	case <-time.After(killTime):
		w.signal(s, syscall.SIGKILL)
		<-s.exited
	}
}

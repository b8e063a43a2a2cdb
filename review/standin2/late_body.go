package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the long answers whose body comes some time after their head.
const (
	lateBodyRequests = 16
	lateBodyInterval = 150 * time.Millisecond
	lateBodySize     = 100_000
	lateBodyPause    = 800 * time.Millisecond
)

// bookings is a class that must not be executed twice, beside those of the site.
var bookings = class{"pickup-order", "at_most_once", "all", 1.5, 3, 5}

// cuts records the requests whose connection the sidecar closed while the server still gave the answer.
type cuts struct {
	mu       sync.Mutex
	requests map[string]bool
}

// add records a request.
func (k *cuts) add(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.requests[id] = true
}

// has reports whether a request was recorded.
func (k *cuts) has(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.requests[id]
}

// serveLateBody returns a handler that runs a request, sends the head of its long answer, and the body after a pause.
func serveLateBody(pause time.Duration, cut *cuts) handler {
	return func(s *server, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Request-ID")
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", lateBodySize)
		if pause > 0 {
			_ = c.SetReadDeadline(time.Now().Add(pause))
			if _, err := c.Read(make([]byte, 1)); err == io.EOF {
				s.log.add("server %s ran %s; its connection was closed before the body", s.uid, id)
				cut.add(id)
				return false
			}
			_ = c.SetReadDeadline(time.Time{})
		}
		s.log.add("server %s ran %s and gives the body of its answer", s.uid, id)
		_, err := c.Write(make([]byte, lateBodySize))
		return err == nil
	}
}

// playLateBody has one of four servers pause between the head and the body of its long answers. The disruption is that
// server.
func playLateBody(w *world, trouble bool) (int, error) {
	w.classes = append(w.classes, bookings)
	cut := &cuts{requests: map[string]bool{}}
	for i := range 4 {
		pause := time.Duration(0)
		if i == 0 && trouble {
			pause = lateBodyPause
		}
		if _, err := w.addServer(i/2, serveLateBody(pause, cut)); err != nil {
			return 0, err
		}
	}
	if _, err := w.startSidecar(w.console); err != nil {
		return 0, err
	}
	var lost tally
	var requests sync.WaitGroup
	for i := range lateBodyRequests {
		time.Sleep(lateBodyInterval)
		requests.Add(1)
		go func() {
			defer requests.Done()
			w.sendForLateBody(newRequest('p', i, bookings), cut, &lost)
		}()
	}
	requests.Wait()
	return lost.count(), nil
}

// sendForLateBody sends a request, and counts it if its server still gave the answer when the sidecar closed the
// connection, and the client got no answer of a server.
func (w *world) sendForLateBody(r *request, cut *cuts, lost *tally) {
	c, err := w.dial()
	if err != nil {
		w.log.add("client: no connection for %s: %v", r.id, err)
		return
	}
	defer c.Close()
	answer, err := c.send(r, 0)
	w.log.add("client got %d for %s, %d bytes after %v, time %v, %v", answer.status, r.id, len(answer.body),
		answer.took.Round(time.Millisecond), r.timeout, err)
	if answer.status != http.StatusOK && answer.took < r.timeout && cut.has(r.id) {
		w.log.add("LOST %s: the answer that its server still gave was cut off", r.id)
		lost.add()
	}
}

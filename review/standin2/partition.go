package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the cut network. A fifth of the servers falls silent, for less than the 6 s of the page.
const (
	cutServers   = 5
	cutRequests  = 20
	cutInterval  = 40 * time.Millisecond
	cutBegins    = 1500 * time.Millisecond // after the first request
	cutLength    = 5700 * time.Millisecond
	cutSize      = 1 << 20
	cutPieces    = 64
	cutPause     = 50 * time.Millisecond
	cutWatchTime = 20 * time.Second
)

// serveThroughCut gives long answers steadily, and records when one was given whole.
func serveThroughCut(s *server, c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-ID")
	whole := writeSteadily(c, cutSize, cutPieces, cutPause)
	s.log.add("server %s gave its answer to %s, whole %t", s.uid, id, whole)
	return whole
}

// playPartition cuts off one of five servers for 5.7 s in the middle of long answers. The disruption is the cut.
func playPartition(w *world, trouble bool) (int, error) {
	var cut *relay
	for i := range cutServers {
		s, err := startServer("s-"+string(rune('0'+i)), i/3, w.log, serveThroughCut)
		if err != nil {
			return 0, err
		}
		w.servers = append(w.servers, s)
		if i == 0 {
			if cut, err = startRelay(s.address); err != nil {
				return 0, err
			}
			defer cut.stop()
			s.address = cut.listener.Addr().String()
		}
		w.agent.publish(s.entry("SERVING"))
	}
	if _, err := w.startSidecar(w.console); err != nil {
		return 0, err
	}
	startedAt := time.Now()
	if trouble {
		go func() {
			time.Sleep(time.Until(startedAt.Add(cutBegins)))
			w.log.add("the network cuts off %s", w.servers[0].uid)
			cut.setCut(true)
			time.Sleep(cutLength)
			w.log.add("the network is back")
			cut.setCut(false)
		}()
	}
	var lost tally
	var requests sync.WaitGroup
	for i := range cutRequests {
		time.Sleep(cutInterval)
		requests.Add(1)
		go func() {
			defer requests.Done()
			w.sendThroughCut(newRequest('c', i, w.classes[0]), &lost)
		}()
	}
	requests.Wait()
	return lost.count(), nil
}

// sendThroughCut sends a request with a long answer on a connection of its own, and counts it if its answer begins and
// breaks off.
func (w *world) sendThroughCut(r *request, lost *tally) {
	c, err := w.dial()
	if err != nil {
		w.log.add("client: no connection for %s: %v", r.id, err)
		return
	}
	defer c.Close()
	answer, err := c.send(r, cutWatchTime)
	took := answer.took.Round(time.Millisecond)
	w.log.add("client got %d for %s, %d bytes after %v, whole %t, %v", answer.status, r.id, len(answer.body), took,
		answer.whole, err)
	if answer.status == http.StatusOK && !answer.whole {
		w.log.add("LOST %s: cut off after %d bytes, though its server still gave it", r.id, len(answer.body))
		lost.add()
	}
}

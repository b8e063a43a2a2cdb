package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Figures of the case "stalled".
const (
	stalledSockets   = 256
	stalledPeers     = 120                     // fewer than half of the descriptors
	stalledBody      = 1000                    // bytes that a peer announces; it sends a few of them
	stalledTimeout   = 1000 * time.Millisecond // what a client of the application waits
	stalledWork      = 20 * time.Millisecond
	stalledRequests  = 30
	stalledInterval  = 50 * time.Millisecond
	stalledLostAfter = 500 * time.Millisecond // "up to half a second after its time it only earns nothing"
)

// stopMidRequest connects, sends the head of a request and a part of its body, and stays until the sidecar answers or
// closes the connection.
func stopMidRequest(w *world, number int) {
	conn, err := net.Dial("tcp", w.site.listen)
	if err != nil {
		return
	}
	defer conn.Close()
	id := fmt.Sprint("peer-", number)
	q := call{id: id, class: "book", key: "key-" + id, timeout: stalledTimeout, body: make([]byte, stalledBody)}
	if _, err := io.WriteString(conn, q.head()+"part"); err != nil {
		return
	}
	startedAt := time.Now()
	answer, _ := io.ReadAll(conn) // until the close
	if number%20 == 0 {
		w.record.event("%s got %.24q after %.3f s", id, answer, time.Since(startedAt).Seconds())
	}
}

func playStalled(e environment) (bool, error) {
	serve := func(w io.Writer, a arrival) {
		time.Sleep(stalledWork)
		answer200(w, "done "+a.id)
	}
	w, err := newWorld(e, limits{memoryMB: 64, sockets: stalledSockets}, settings(
		class("read", "idempotent", "all", 0.4, 1.5, 5),
		class("book", "deduplicated", "cell", 1.5, 6, 30)), behaviour{serve: serve})
	if err != nil {
		return false, err
	}
	defer w.site.close()
	if e.trouble {
		e.record.event("%d peers stop in the middle of a request and stay", stalledPeers)
		for i := range stalledPeers {
			go stopMidRequest(w, i) // ends with the sidecar at the latest
		}
	}
	time.Sleep(100 * time.Millisecond)
	results := w.sendRequests()
	lost := 0
	for i, r := range results {
		e.record.event("client: request-%d: %s", i, r.text())
		if r.err != nil || r.endAt.Sub(r.sentAt) > stalledTimeout+stalledLostAfter {
			lost++
		}
	}
	e.record.verdict("%d of %d requests had no answer up to 0.5 s after their time", lost, len(results))
	return lost == 0, nil
}

// sendRequests sends requests at a steady rate, each on a connection of its own, and waits for their answers.
func (w *world) sendRequests() []result {
	results := make([]result, stalledRequests)
	var clients sync.WaitGroup
	for i := range results {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &client{address: w.site.listen}
			q := call{id: fmt.Sprint("request-", i), class: "read", timeout: stalledTimeout}
			results[i] = c.do(q, stalledTimeout+2*stalledLostAfter)
		}()
		time.Sleep(stalledInterval)
	}
	clients.Wait()
	return results
}

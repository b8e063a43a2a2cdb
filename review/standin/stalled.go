package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case "stalled".
const (
	stalledSockets = 256
	stalledLong    = 78 // long answers that clients read slowly; with the other requests at most a third of the sockets
	stalledPeers   = 36 // peers that stop in the middle of a request
	stalledVisits  = 3  // how often each of them connects
	stalledBody    = 1000
	stalledWork    = 20 * time.Millisecond

	stalledAnswer     = 4 << 20 // bytes of a long answer
	stalledReadAtOnce = 6400    // bytes that a slow client reads every 100 ms, which is 64 kB a second
	stalledReadPause  = 100 * time.Millisecond
	stalledReadBuffer = 64 << 10

	stalledRequests = 18
	stalledInterval = 400 * time.Millisecond
	stalledTimeout  = 1000 * time.Millisecond // X-Timeout-Ms of the short requests
	stalledPatience = 1500 * time.Millisecond // half a second after its time a request is lost
)

// serveStalled answers after some work, with a long body where the id says so.
func serveStalled(w io.Writer, a arrival) {
	time.Sleep(stalledWork)
	body := "done " + a.id
	if strings.HasPrefix(a.id, "long") {
		body = strings.Repeat("x", stalledAnswer)
	}
	answer200(w, body)
}

// readSlowly sends a request with a long answer and reads the answer slowly. It reports the status on begun.
func readSlowly(w *world, number int, begun chan<- int) {
	conn, err := dialSidecar(w.site.listen)
	if err != nil {
		begun <- 0
		return
	}
	defer conn.Close()
	_ = conn.Conn.(*net.TCPConn).SetReadBuffer(stalledReadBuffer) // so that the system does not read ahead for it
	q := call{id: fmt.Sprint("long-", number), class: "read", timeout: stalledTimeout}
	response, _, err := conn.send(q, timeLimit)
	if err != nil {
		begun <- 0
		return
	}
	begun <- response.StatusCode
	part := make([]byte, stalledReadAtOnce)
	for err == nil {
		time.Sleep(stalledReadPause)
		_, err = io.ReadFull(response.Body, part)
	}
}

// stopMidRequest connects, sends the head of a request and a part of its body, and stays until the sidecar answers or
// closes the connection.
func stopMidRequest(w *world, id string) {
	conn, err := net.Dial("tcp", w.site.listen)
	if err != nil {
		return
	}
	defer conn.Close()
	q := call{id: id, class: "book", key: "key-" + id, timeout: stalledTimeout, body: make([]byte, stalledBody)}
	if _, err := io.WriteString(conn, q.head()+"part"); err != nil {
		return
	}
	startedAt := time.Now()
	answer, _ := io.ReadAll(conn) // until the close
	w.record.event("%s got %.24q after %.3f s", id, answer, time.Since(startedAt).Seconds())
}

func playStalled(e environment) (bool, error) {
	w, err := newWorld(e, limits{memoryMB: 64, sockets: stalledSockets}, settings(
		class("read", "idempotent", "all", 0.4, 1.5, 5),
		class("book", "deduplicated", "cell", 1.5, 6, 30)), behaviour{serve: serveStalled})
	if err != nil {
		return false, err
	}
	defer w.site.close()
	begun := make(chan int)
	for i := range stalledLong {
		go readSlowly(w, i, begun) // ends with the sidecar
		if status := <-begun; status != http.StatusOK {
			return false, fmt.Errorf("long answer %d has status %d", i, status)
		}
	}
	e.record.event("%d clients read long answers", stalledLong)
	if e.trouble {
		e.record.event("%d peers stop in the middle of a request and stay, each %d times", stalledPeers, stalledVisits)
		for i := range stalledPeers {
			go func() { // ends with the sidecar at the latest
				for visit := range stalledVisits {
					stopMidRequest(w, fmt.Sprintf("peer-%d-%d", i, visit))
				}
			}()
		}
	}
	lost := 0
	for _, r := range w.sendRequests() {
		if r.err != nil {
			lost++
		}
	}
	e.record.verdict("%d of %d requests had no answer up to 0.5 s after their time", lost, stalledRequests)
	return lost == 0, nil
}

// sendRequests sends short requests at a steady rate, each on a connection of its own, and waits for their answers.
func (w *world) sendRequests() []result {
	results := make([]result, stalledRequests)
	var clients sync.WaitGroup
	for i := range results {
		time.Sleep(stalledInterval)
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &client{address: w.site.listen}
			q := call{id: fmt.Sprint("request-", i), class: "read", timeout: stalledTimeout}
			results[i] = c.do(q, stalledPatience)
			w.record.event("client: %s: %s", q.id, results[i].text())
			if c.conn != nil {
				_ = c.conn.Close()
			}
		}()
	}
	clients.Wait()
	return results
}

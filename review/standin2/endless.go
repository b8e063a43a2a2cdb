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

// Figures of the answers that never end. By half a second after its time a client has had well under 64 KiB of one.
const (
	endlessRequests = 16
	endlessInterval = 100 * time.Millisecond
	endlessPiece    = "bag "
	endlessPause    = 300 * time.Millisecond
	soundPieces     = 3
)

// serveEndless returns a handler whose answers have no length and come in pieces. They end after some pieces if the
// server is sound, and never if it is not.
func serveEndless(sound bool) handler {
	return func(s *server, c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for pieces := 0; !sound || pieces < soundPieces; pieces++ {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(endlessPiece), endlessPiece); err != nil {
				s.log.add("server %s: its connection ended under %s", s.uid, r.Header.Get("X-Request-ID"))
				return false
			}
			time.Sleep(endlessPause)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
}

// playEndless has one of four servers give answers that never end. The disruption is that server.
func playEndless(w *world, trouble bool) (int, error) {
	for i := range 4 {
		if _, err := w.addServer(i/2, serveEndless(i > 0 || !trouble)); err != nil {
			return 0, err
		}
	}
	if _, err := w.startSidecar(w.console); err != nil {
		return 0, err
	}
	var lost tally
	var requests sync.WaitGroup
	for i := range endlessRequests {
		time.Sleep(endlessInterval)
		requests.Add(1)
		go func() {
			defer requests.Done()
			w.sendOnNewConn(newRequest('e', i, w.classes[0]), &lost)
		}()
	}
	time.Sleep(watchTime - time.Second)
	w.recordInProgress()
	requests.Wait()
	return lost.count(), nil
}

// recordInProgress records how many requests the sidecar holds without a final answer.
func (w *world) recordInProgress() {
	reply, err := http.Get("http://" + w.console + "/ops/stats")
	if err != nil {
		w.log.add("console: %v", err)
		return
	}
	defer reply.Body.Close()
	text, _ := io.ReadAll(reply.Body)
	for _, line := range strings.Split(string(text), "\n") {
		if strings.Contains(line, "in_progress") {
			w.log.add("console: %s", line)
		}
	}
}

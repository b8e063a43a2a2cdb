package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the connections behind whose request two empty lines came.
const (
	emptyLinePeers    = 62
	emptyLineInterval = 10 * time.Millisecond
	emptyLineAnswers  = 52
	emptyLineShort    = 20
)

// playEmptyLines has clients send two empty lines behind a request that was answered, and rest. Beside them are long
// answers, and short requests on new connections. The disruption is the empty lines.
func playEmptyLines(w *world, trouble bool) (int, error) {
	for i := range 4 {
		if _, err := w.addServer(i/2, serveLong); err != nil {
			return 0, err
		}
	}
	if _, err := w.startSidecar(w.console); err != nil {
		return 0, err
	}
	var resting []net.Conn
	defer func() {
		for _, c := range resting {
			_ = c.Close()
		}
	}()
	for i := range emptyLinePeers {
		c, err := w.dial()
		if err != nil {
			return 0, err
		}
		resting = append(resting, c)
		answer, err := c.send(newRequest('a', i, w.classes[2]), 0)
		if err != nil || answer.status != http.StatusOK || answer.closes {
			w.log.add("client got %d on connection %d, closes %t, %v", answer.status, i, answer.closes, err)
		}
		if trouble {
			_, _ = io.WriteString(c, "\r\n\r\n")
		}
		time.Sleep(emptyLineInterval)
	}
	w.log.add("%d clients rest", emptyLinePeers)
	streams := w.startLongAnswers(emptyLineAnswers)
	var lost tally
	var requests sync.WaitGroup
	for i := range emptyLineShort {
		time.Sleep(shortInterval)
		requests.Add(1)
		go func() {
			defer requests.Done()
			w.sendOnNewConn(newRequest('s', i, w.classes[0]), &lost)
		}()
	}
	requests.Wait()
	streams.Wait()
	return lost.count(), nil
}

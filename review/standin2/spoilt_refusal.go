package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the spoilt answers.
const (
	spoiltRequests = 16
	spoiltInterval = 100 * time.Millisecond
	// spoiltAnswer cannot be read as the protocol requires: it has two lengths, and what follows has neither.
	spoiltAnswer = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\n" +
		"Content-Length: 5\r\nContent-Length: 7\r\n\r\nspoilt"
)

// runs counts how often each request was executed.
type runs struct {
	mu    sync.Mutex
	count map[string]int
}

// add records an execution.
func (r *runs) add(s *server, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[id]++
	s.log.add("server %s ran %s, execution number %d", s.uid, id, r.count[id])
}

// repeated returns how many requests were executed more than once.
func (r *runs) repeated() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, count := range r.count {
		if count > 1 {
			n++
		}
	}
	return n
}

// serveSpoilt returns a handler that executes each request. Its answers are spoilt, or sound.
func serveSpoilt(spoilt bool, executed *runs) handler {
	return func(s *server, c net.Conn, r *http.Request) bool {
		executed.add(s, r.Header.Get("X-Request-ID"))
		if spoilt {
			_, _ = io.WriteString(c, spoiltAnswer)
			return true
		}
		return serveOK(s, c, r)
	}
}

// playSpoiltRefusal has one of four servers execute requests of a class that must not be executed twice, and give
// spoilt answers. The disruption is that server's answers.
func playSpoiltRefusal(w *world, trouble bool) (int, error) {
	w.classes = append(w.classes, bookings)
	executed := &runs{count: map[string]int{}}
	for i := range 4 {
		if _, err := w.addServer(i/2, serveSpoilt(i == 0 && trouble, executed)); err != nil {
			return 0, err
		}
	}
	if _, err := w.startSidecar(w.console); err != nil {
		return 0, err
	}
	var requests sync.WaitGroup
	for i := range spoiltRequests {
		time.Sleep(spoiltInterval)
		requests.Add(1)
		go func() {
			defer requests.Done()
			var late tally // the rule of the case is on executions alone
			w.sendOnNewConn(newRequest('p', i, bookings), &late)
		}()
	}
	requests.Wait()
	return executed.repeated(), nil
}

package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Figures of the case "twice".
const (
	twiceWindow   = 3 * time.Second // window_s of the class
	twiceDeadline = 6 * time.Second // deadline_s of the class
	twiceWork     = 30 * time.Millisecond
	twiceBody     = 20 << 20                // bytes of a long body; bodies reach 32 MB
	firstHang     = 4200 * time.Millisecond // of the server that gets the first attempt
	secondHang    = 5200 * time.Millisecond // of the server that gets the second one
	socketSlack   = 50 * time.Millisecond   // by which every time limit is longer on sockets
)

// pod is what the servers of a pod know in common: which keys they have run and when. They drop a repeat within the
// window of the class.
type pod struct {
	mu       sync.Mutex
	runs     map[string][]run
	arrivals map[string][]time.Time // of last bytes, by key
}

// run is one execution of a request.
type run struct {
	server string
	at     time.Time
}

// arrive handles a request whose last byte has arrived, and reports whether it runs.
func (p *pod) arrive(a arrival) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals[a.key] = append(p.arrivals[a.key], a.at)
	runs := p.runs[a.key]
	if len(runs) > 0 && a.at.Sub(runs[0].at) < twiceWindow {
		return false
	}
	p.runs[a.key] = append(runs, run{a.server.uid, a.at})
	return true
}

// twice plays the case: a long request's first attempt is held up by a server that hangs, and the server that runs the
// second attempt hangs before it answers.
type twice struct {
	*world
	isTroubled bool
	pod        *pod
	mu         sync.Mutex
	held       string // id of the request whose first attempt is held up; "": none is
	caught     bool   // its second attempt has met a server that hangs
}

// serve runs a request and answers it after its work.
func (t *twice) serve(w io.Writer, a arrival) {
	runs := t.pod.arrive(a)
	if a.bytes == twiceBody {
		a.server.record.event("%s: last byte of %s; it runs: %v", a.server.uid, a.id, runs)
		t.mu.Lock()
		isCopy := a.id == t.held && !t.caught
		t.caught = t.caught || isCopy
		t.mu.Unlock()
		if isCopy {
			a.server.hangFor(secondHang)
		}
	}
	time.Sleep(twiceWork)
	answer200(w, "done "+a.id)
}

// holdUp makes a server hang that has read the head of a long request.
func (t *twice) holdUp(s *server, id string, length int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isTroubled && length == twiceBody && t.held == "" {
		t.record.event("%s: head of %s", s.uid, id)
		t.held = id
		s.hangFor(firstHang)
	}
}

// hangFor makes a server hang for a time.
func (s *server) hangFor(d time.Duration) {
	s.record.event("%s hangs for %v", s.uid, d)
	s.gate.hang()
	time.AfterFunc(d, func() {
		s.record.event("%s goes on", s.uid)
		s.gate.resume()
	})
}

func playTwice(e environment) (bool, error) {
	t := &twice{isTroubled: e.trouble, pod: &pod{runs: map[string][]run{}, arrivals: map[string][]time.Time{}}}
	book := class("book", "deduplicated", "cell", 1.5, twiceDeadline.Seconds(), twiceWindow.Seconds())
	var err error
	t.world, err = newWorld(e, limits{memoryMB: 192, sockets: 512}, settings(book),
		behaviour{serve: t.serve, readHead: t.holdUp})
	if err != nil {
		return false, err
	}
	defer t.site.close()
	t.usualTraffic()
	c := &client{address: t.site.listen}
	for i := range 2 * serverCount { // each server's turn comes
		id := fmt.Sprint("long-", i)
		t.mu.Lock()
		if t.caught {
			t.mu.Unlock()
			break
		}
		t.mu.Unlock()
		q := call{id: id, class: "book", key: "key-" + id, timeout: twiceDeadline, body: make([]byte, twiceBody)}
		e.record.event("client: %s, %d bytes: %s", id, twiceBody, c.do(q, twiceDeadline+time.Second).text())
	}
	time.Sleep(secondHang - firstHang)
	return t.judge()
}

// usualTraffic sends short requests, from which the sidecar learns how soon servers answer.
func (t *twice) usualTraffic() {
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &client{address: t.site.listen}
			for n := range 200 {
				id := fmt.Sprintf("short-%d-%d", i, n)
				q := call{id: id, class: "book", key: "key-" + id, timeout: twiceDeadline, body: []byte(id)}
				if r := c.do(q, twiceDeadline); r.err != nil || r.status != 200 {
					t.record.event("client: %s: %s", id, r.text())
				}
			}
		}()
	}
	clients.Wait()
	t.record.event("1200 short requests were sent")
}

// judge reports whether each request ran once, and whether no attempt arrived after the window of the first one.
func (t *twice) judge() (bool, error) {
	t.pod.mu.Lock()
	defer t.pod.mu.Unlock()
	if t.trouble && !t.caught {
		return false, fmt.Errorf("no second attempt was made")
	}
	ok := true
	for key, runs := range t.pod.runs {
		arrivals := t.pod.arrivals[key]
		span := arrivals[len(arrivals)-1].Sub(arrivals[0])
		if len(runs) > 1 && span > twiceWindow+socketSlack {
			t.record.verdict("%s ran at %s and again at %s, %.3f s later; the window is %v", key, runs[0].server,
				runs[1].server, span.Seconds(), twiceWindow)
			ok = false
		}
	}
	return ok, nil
}

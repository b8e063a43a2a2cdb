package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "cut".
const (
	cutClients    = 4
	cutTimeout    = 1500 * time.Millisecond // what a client waits for the first bytes of a long answer
	cutPiece      = 8 << 10                 // bytes that a server writes at once
	cutPieces     = 80
	cutPause      = 80 * time.Millisecond // between two pieces: 100 kB a second
	cutTermAfter  = 500 * time.Millisecond
	cutKillAfter  = 8 * time.Second // after SIGTERM; the pages' earliest is 3.7 s
	cutClientWait = 10 * time.Second
)

// serveLong answers with a long body of declared length in small pieces.
func serveLong(w io.Writer, a arrival) {
	a.server.record.event("%s: %s has arrived; an answer of %d bytes begins", a.server.uid, a.id, cutPiece*cutPieces)
	written, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", cutPiece*cutPieces)
	piece := strings.Repeat("x", cutPiece)
	for n := 0; err == nil && n < cutPieces; n++ {
		time.Sleep(cutPause)
		var bytes int
		bytes, err = io.WriteString(w, piece)
		written += bytes
	}
	a.server.record.event("%s: %s: %d bytes were written, error %v", a.server.uid, a.id, written, err)
}

func playCut(e environment) (bool, error) {
	read := class("read", "idempotent", "all", 0.4, 1.5, 5)
	book := class("book", "deduplicated", "cell", 1.5, 6, 30)
	w, err := newWorld(e, limits{memoryMB: 64, sockets: 384}, settings(read, book), behaviour{serve: serveLong})
	if err != nil {
		return false, err
	}
	defer w.site.close()
	results := make([]result, cutClients)
	var clients sync.WaitGroup
	for i := range cutClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &client{address: w.site.listen}
			id := fmt.Sprint("long-", i)
			results[i] = c.do(call{id: id, class: "read", timeout: cutTimeout}, cutClientWait)
			e.record.event("client: %s: %s", id, results[i].text())
		}()
	}
	time.Sleep(cutTermAfter)
	killedAt := time.Now().Add(cutKillAfter)
	if e.trouble {
		w.site.signal(w.sidecar, syscall.SIGTERM)
	}
	clients.Wait()
	if e.trouble {
		select {
		case <-w.sidecar.ended:
			e.record.event("the sidecar has ended by itself")
		case <-time.After(time.Until(killedAt)):
			w.site.signal(w.sidecar, syscall.SIGKILL)
		}
	}
	lost := 0
	for _, r := range results {
		if r.status == 200 && r.err != nil && r.endAt.Before(killedAt) {
			lost++
		}
	}
	e.record.verdict("%d of %d answers were cut off by the sidecar", lost, cutClients)
	return lost == 0, nil
}

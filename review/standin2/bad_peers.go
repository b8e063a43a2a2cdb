package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the bad peers.
const (
	badPeers      = 130
	badPause      = 200 * time.Millisecond // between two bytes
	badLength     = 60000                  // of the body that they announce
	badTime       = 6 * time.Second
	badHeadStart  = 200 * time.Millisecond // before the first request of a sound client
	soundRequests = 24
	soundInterval = 200 * time.Millisecond
	soundTime     = 1100 * time.Millisecond // 73% of the class's deadline: clients give up after 70 to 100%
)

// playBadPeers has peers that send the head of a request and then a byte of its body now and then, while sound clients
// open connections for requests. The disruption is these peers.
func playBadPeers(w *world, trouble bool) (int, error) {
	for i := range 4 {
		if _, err := w.addServer(i/2, serveOK); err != nil {
			return 0, err
		}
	}
	if _, err := w.startSidecar(w.console); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), badTime)
	defer cancel()
	var peers sync.WaitGroup
	var ends atomic.Int64
	for i := range badPeers {
		if !trouble {
			break
		}
		peers.Add(1)
		go func() {
			defer peers.Done()
			for n := 0; ctx.Err() == nil; n++ {
				w.beBadPeer(ctx, fmt.Sprintf("x%07x%08x", i, n))
				ends.Add(1)
			}
		}()
	}
	time.Sleep(badHeadStart)
	var lost tally
	var requests sync.WaitGroup
	for i := range soundRequests {
		time.Sleep(soundInterval)
		requests.Add(1)
		go func() {
			defer requests.Done()
			r := newRequest('s', i, w.classes[0])
			r.timeout = soundTime
			w.sendOnNewConn(r, &lost)
		}()
	}
	requests.Wait()
	cancel()
	peers.Wait()
	w.log.add("%d bad peers, whose connections ended %d times", badPeers, ends.Load())
	return lost.count(), nil
}

// beBadPeer opens a connection, announces a body and sends a byte of it now and then, until the connection ends or ctx
// is done.
func (w *world) beBadPeer(ctx context.Context, id string) {
	c, err := w.dial()
	if err != nil {
		time.Sleep(badPause)
		return
	}
	defer c.Close()
	r := newRequest('x', 0, w.classes[2])
	r.id, r.body = id, string(make([]byte, badLength))
	if _, err := io.WriteString(c, r.head()); err != nil {
		return
	}
	for ctx.Err() == nil {
		if _, err := io.WriteString(c, "x"); err != nil {
			return
		}
		time.Sleep(badPause)
	}
}

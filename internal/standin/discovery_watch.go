package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// heartbeatInterval is how often a watch sends an empty line, which says that nothing has changed.
const heartbeatInterval = 2 * time.Second

// discoveryWatch is one watch of a sidecar. Its first message holds all servers, whatever the watch asked for.
type discoveryWatch struct {
	discovery   *Discovery
	writer      http.ResponseWriter
	started     bool // the first message has been drawn up
	nextMessage int  // index of the first change that is not sent yet
}

// watchUpdate is what a watch is to send at a moment.
type watchUpdate struct {
	messages []List
	truncate bool          // the first message breaks off, with its connection
	stalled  bool          // nothing is sent, and no heartbeat
	changed  chan struct{} // closed at the next change
}

// run sends changes and heartbeats until the connection or ctx ends.
func (w *discoveryWatch) run(ctx context.Context) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		update := w.nextUpdate()
		if !w.send(update) {
			return
		}
		select {
		case <-update.changed:
		case <-heartbeat.C:
			if !update.stalled && !w.sendHeartbeat() {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// nextUpdate returns what has not been sent yet.
func (w *discoveryWatch) nextUpdate() watchUpdate {
	d := w.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	update := watchUpdate{changed: d.changed, stalled: d.stalled, truncate: d.truncateNext}
	if d.stalled {
		return update
	}
	if !w.started {
		w.started = true
		update.messages = []List{d.snapshot()}
	} else {
		if w.nextMessage > len(d.changes) { // the revision was rolled back
			w.nextMessage = 0
		}
		update.messages = append(update.messages, d.changes[w.nextMessage:]...)
	}
	w.nextMessage = len(d.changes)
	if len(update.messages) > 0 {
		d.truncateNext = false
	}
	return update
}

// send writes an update, and returns false if the watch has ended.
func (w *discoveryWatch) send(update watchUpdate) bool {
	for _, message := range update.messages {
		text, err := json.Marshal(message)
		if err != nil {
			return false
		}
		if update.truncate {
			_, _ = w.writer.Write(text[:len(text)/2])
			_ = w.flush()
			panic(http.ErrAbortHandler)
		}
		w.discovery.recordNotified(message.Targets)
		w.discovery.bytesWritten.Add(int64(len(text) + 1))
		if _, err := w.writer.Write(append(text, '\n')); err != nil {
			return false
		}
	}
	return len(update.messages) == 0 || w.flush() == nil
}

func (w *discoveryWatch) sendHeartbeat() bool {
	_, err := w.writer.Write([]byte("\n"))
	return err == nil && w.flush() == nil
}

func (w *discoveryWatch) flush() error { return http.NewResponseController(w.writer).Flush() }

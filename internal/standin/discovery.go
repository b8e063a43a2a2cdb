package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

const serversPath = "/v1/servers" // with the parameter "watch" for a watch

// Discovery is the discovery agent of one sidecar. A sidecar counts as notified of what has been sent to it.
type Discovery struct {
	sidecar      int32
	log          *Log
	nodeNumber   func(uid string) int32
	bytesWritten atomic.Int64 // to watches

	mu           sync.Mutex
	revision     int64
	entries      []Entry       // present servers, in the order in which they were added
	changes      []List        // one a revision, since the start or the latest rollback
	stalled      bool          // watches send nothing
	truncateNext bool          // the next message breaks off, with its connection
	changed      chan struct{} // closed and replaced at each change
	listener     net.Listener
	server       *http.Server
}

// NewDiscovery returns the agent of a sidecar, with a first list. nodeNumber returns the number of a server in the log.
func NewDiscovery(sidecar int32, first []Entry, log *Log, nodeNumber func(uid string) int32) (*Discovery, error) {
	d := &Discovery{
		sidecar:    sidecar,
		log:        log,
		nodeNumber: nodeNumber,
		revision:   1,
		entries:    slices.Clone(first),
		changed:    make(chan struct{}),
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	return d, nil
}

// listen starts a server at a new address. The lock is held, or the agent is not in use yet.
func (d *Discovery) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	server := &http.Server{Handler: d}
	d.listener = listener
	d.server = server
	go func() { _ = server.Serve(listener) }() // it ends with Close, or some time after Move
	return nil
}

// Address returns where the agent listens.
func (d *Discovery) Address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listener.Addr().String()
}

// Written returns how many bytes of messages watches have been sent.
func (d *Discovery) Written() int { return int(d.bytesWritten.Load()) }

// Close ends the agent and its watches.
func (d *Discovery) Close() { _ = d.server.Close() }

// Move makes the agent listen at a new address. The old one takes no new connections, and its open ones are closed
// after a time.
func (d *Discovery) Move(after time.Duration) error {
	d.mu.Lock()
	oldServer := d.server
	oldListener := d.listener
	err := d.listen()
	d.mu.Unlock()
	if err != nil {
		return err
	}
	_ = oldListener.Close()
	time.AfterFunc(after, func() { _ = oldServer.Close() })
	return nil
}

// Publish sends changed entries to all watches. While the agent is stalled they are held back.
func (d *Discovery) Publish(changed ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, entry := range changed {
		d.entries = applyChange(d.entries, entry)
	}
	d.revision++
	d.changes = append(d.changes, List{Rev: d.revision, Targets: changed})
	d.notifyWatches()
}

// Rollback returns to an older revision: revisions are counted anew, and watches are sent the whole list.
func (d *Discovery) Rollback() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision = 1
	d.changes = []List{d.snapshot()}
	d.notifyWatches()
}

// SetStalled makes all watches send nothing, not even heartbeats, or send again.
func (d *Discovery) SetStalled(stalled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stalled = stalled
	d.notifyWatches()
}

// TruncateNext makes the next message to a watch break off in the middle, together with its connection.
func (d *Discovery) TruncateNext() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.truncateNext = true
}

// notifyWatches lets all watches look for changes. The lock is held.
func (d *Discovery) notifyWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Snapshot returns the whole list.
func (d *Discovery) Snapshot() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot()
}

// snapshot is Snapshot with the lock held.
func (d *Discovery) snapshot() List {
	return List{Rev: d.revision, All: true, Targets: append([]Entry(nil), d.entries...)}
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != serversPath {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("watch") != "" {
		watch := &discoveryWatch{discovery: d, writer: w}
		watch.run(r.Context())
		return
	}
	list := d.Snapshot()
	d.recordNotified(list.Targets)
	_ = json.NewEncoder(w).Encode(list)
}

// recordNotified records what the sidecar is sent.
func (d *Discovery) recordNotified(entries []Entry) {
	for _, entry := range entries {
		for state, name := range States {
			if name != entry.State {
				continue
			}
			d.log.Add(record.Event{
				Kind:    record.Notified,
				Sidecar: d.sidecar,
				Node:    d.nodeNumber(entry.UID),
				State:   state,
			})
		}
	}
}

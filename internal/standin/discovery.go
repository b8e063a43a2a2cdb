package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

// Entry is one server of discovery's list, as the platform words it.
type Entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// States are the platform's words.
var States = map[record.State]string{record.Serving: "SERVING", record.Draining: "DRAINING", record.Gone: "DELETED"}

// List is what discovery says at once.
type List struct {
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"`
	Targets []Entry `json:"targets"`
}

// heartbeatInterval is how often a watch says that nothing has changed.
const heartbeatInterval = 2 * time.Second

// Discovery is the agent of one sidecar: what it has been sent counts as told.
type Discovery struct {
	sidecar      int32
	log          *Log
	nodeNumber   func(uid string) int32
	bytesWritten atomic.Int64 // bytes of lists

	mu           sync.Mutex
	revision     int64
	entries      []Entry // present, in order of coming
	changes      []List  // one a version
	stalled      bool
	truncateNext bool // the next line ends midway, with its connection
	changed      chan struct{}
	listener     net.Listener
	server       *http.Server
}

// NewDiscovery returns the agent of a sidecar, with a first list that counts as told. number names nodes in the log.
func NewDiscovery(sidecar int32, first []Entry, log *Log, number func(uid string) int32) (*Discovery, error) {
	d := &Discovery{sidecar: sidecar, log: log, nodeNumber: number, revision: 1, entries: append([]Entry(nil), first...),
		changed: make(chan struct{})}
	if err := d.listen(); err != nil {
		return nil, err
	}
	return d, nil
}

// listen listens at a new address.
func (d *Discovery) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	d.listener, d.server = l, &http.Server{Handler: d}
	web := d.server
	go func() { _ = web.Serve(l) }() // it ends with Close or Move
	return nil
}

// Address is where it listens.
func (d *Discovery) Address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listener.Addr().String()
}

// Written is how many bytes of lists watches have been sent.
func (d *Discovery) Written() int { return int(d.bytesWritten.Load()) }

// Close ends it and its watches.
func (d *Discovery) Close() { _ = d.server.Close() }

// Move has it listen at a new address; the old one takes no new connections and closes its open ones after a time.
func (d *Discovery) Move(after time.Duration) error {
	d.mu.Lock()
	old, listener := d.server, d.listener
	err := d.listen()
	d.mu.Unlock()
	if err != nil {
		return err
	}
	_ = listener.Close()
	time.AfterFunc(after, func() { _ = old.Close() })
	return nil
}

// Publish has it tell of changed entries. While it is silent they are kept.
func (d *Discovery) Publish(changed ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range changed {
		at := -1
		for i := range d.entries {
			if d.entries[i].UID == e.UID {
				at = i
			}
		}
		switch {
		case e.State == "DELETED" && at >= 0:
			d.entries = append(d.entries[:at], d.entries[at+1:]...)
		case e.State == "DELETED":
		case at >= 0:
			d.entries[at] = e
		default:
			d.entries = append(d.entries, e)
		}
	}
	d.revision++
	d.changes = append(d.changes, List{Rev: d.revision, Targets: changed})
	d.notifyWatches()
}

// Rollback has it go back to an older version: it counts its versions anew and tells the whole list.
func (d *Discovery) Rollback() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision, d.changes = 1, nil
	d.changes = append(d.changes, List{Rev: 1, All: true, Targets: append([]Entry(nil), d.entries...)})
	d.notifyWatches()
}

// SetStalled has it say nothing, not even that nothing has changed, or speak again.
func (d *Discovery) SetStalled(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stalled = on
	d.notifyWatches()
}

// TruncateNext has the next line end midway, together with its connection.
func (d *Discovery) TruncateNext() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.truncateNext = true
}

func (d *Discovery) notifyWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Snapshot is the whole list.
func (d *Discovery) Snapshot() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return List{Rev: d.revision, All: true, Targets: append([]Entry(nil), d.entries...)}
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/servers" {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		l := d.Snapshot()
		d.recordNotified(l.Targets)
		_ = json.NewEncoder(w).Encode(l)
		return
	}
	d.watch(w, r)
}

// watch tells of changes until the connection ends. Its first line always holds the whole list, as it may.
func (d *Discovery) watch(w http.ResponseWriter, r *http.Request) {
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	whole := true
	var next int // of changes
	for {
		d.mu.Lock()
		changed, silent, cut := d.changed, d.stalled, d.truncateNext
		var lines []List
		switch {
		case silent:
		case whole:
			lines = []List{{Rev: d.revision, All: true, Targets: append([]Entry(nil), d.entries...)}}
			next, whole = len(d.changes), false
		case next > len(d.changes): // it went back
			next = 0
			fallthrough
		default:
			lines = append(lines, d.changes[next:]...)
			next = len(d.changes)
		}
		if len(lines) > 0 && cut {
			d.truncateNext = false
		}
		d.mu.Unlock()
		for _, l := range lines {
			text, err := json.Marshal(l)
			if err != nil {
				return
			}
			if cut {
				_, _ = w.Write(text[:len(text)/2])
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			d.recordNotified(l.Targets)
			d.bytesWritten.Add(int64(len(text) + 1))
			if _, err := w.Write(append(text, '\n')); err != nil {
				return
			}
		}
		if len(lines) > 0 && http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-beat.C:
			if silent {
				continue
			}
			if _, err := w.Write([]byte("\n")); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// recordNotified notes what the sidecar has been told.
func (d *Discovery) recordNotified(list []Entry) {
	for _, e := range list {
		for state, word := range States {
			if word == e.State {
				d.log.Add(record.Event{Kind: record.Notified, Sidecar: d.sidecar, Node: d.nodeNumber(e.UID), State: state})
			}
		}
	}
}

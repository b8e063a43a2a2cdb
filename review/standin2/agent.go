package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// heartbeatInterval is how often an open watch gets an empty line.
const heartbeatInterval = 2 * time.Second

// entry is one server in discovery's form.
type entry struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	AZ           string  `json:"az"`
	Model        string  `json:"model"`
	PodGroup     int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMS       int64   `json:"boot_ms"`
}

// list is one message of discovery.
type list struct {
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"`
	Targets []entry `json:"targets"`
}

// agent is discovery's agent beside the sidecar. It answers at once with what it has.
type agent struct {
	log      *record
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	rev     int64
	entries []entry
	changed chan struct{} // closed and replaced at each change
	history []list        // one a change
}

// startAgent starts an agent with an empty list.
func startAgent(log *record) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{log: log, listener: l, rev: 1, changed: make(chan struct{})}
	a.server = &http.Server{Handler: a}
	go func() { _ = a.server.Serve(l) }() // ends with stop
	return a, nil
}

// stop ends the agent and its watches.
func (a *agent) stop() { _ = a.server.Close() }

// address returns where the agent listens.
func (a *agent) address() string { return a.listener.Addr().String() }

// publish tells a changed entry to all watches.
func (a *agent) publish(changed entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.log.add("discovery tells %s %s at %s", changed.UID, changed.State, changed.Endpoint)
	a.entries = slices.DeleteFunc(a.entries, func(e entry) bool { return e.UID == changed.UID })
	if changed.State != "DELETED" {
		a.entries = append(a.entries, changed)
	}
	a.rev++
	a.history = append(a.history, list{Rev: a.rev, Targets: []entry{changed}})
	close(a.changed)
	a.changed = make(chan struct{})
}

// snapshot returns the whole list.
func (a *agent) snapshot() list {
	a.mu.Lock()
	defer a.mu.Unlock()
	return list{Rev: a.rev, All: true, Targets: slices.Clone(a.entries)}
}

// ServeHTTP implements http.Handler.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/servers" {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		_ = json.NewEncoder(w).Encode(a.snapshot())
		return
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	encoder := json.NewEncoder(w)
	a.mu.Lock()
	messages := []list{{Rev: a.rev, All: true, Targets: slices.Clone(a.entries)}}
	seen, changed := len(a.history), a.changed
	a.mu.Unlock()
	for {
		for _, message := range messages {
			_ = encoder.Encode(message)
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		messages = nil
		select {
		case <-changed:
			a.mu.Lock()
			messages = slices.Clone(a.history[seen:])
			seen, changed = len(a.history), a.changed
			a.mu.Unlock()
		case <-heartbeat.C:
			_, _ = w.Write([]byte("\n"))
		case <-r.Context().Done():
			return
		}
	}
}

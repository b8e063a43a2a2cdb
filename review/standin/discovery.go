package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeatInterval is the interval of the empty lines on a watch.
const heartbeatInterval = 2 * time.Second

// target is one entry of the list of servers.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// list is a list of servers as discovery writes it.
type list struct {
	Rev     int      `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// discovery is the discovery agent of a sidecar. It answers each watch with the complete list, and then writes an empty
// line every 2 s.
type discovery struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	current list
}

func startDiscovery(targets []target) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{listener: listener, current: list{Rev: 1, All: true, Targets: targets}}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/servers", d.serveList)
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(listener) }() // ends when the process ends
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// text returns the complete list in one line.
func (d *discovery) text() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, err := json.Marshal(d.current)
	if err != nil {
		panic(err) // the types above can always be encoded
	}
	return string(text)
}

func (d *discovery) serveList(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	fmt.Fprintln(w, d.text())
	if r.URL.Query().Get("watch") == "" {
		return
	}
	for control.Flush() == nil {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(heartbeatInterval):
			fmt.Fprintln(w)
		}
	}
}

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// object is a JSON object.
type object = map[string]any

// Figures of the deployment's settings, in the site's units.
const (
	maxAttempts    = 6
	connectTimeout = 0.2
	idleClose      = 30.0
	memoryMB       = 192
	descriptors    = 256
)

// class is a request class of the settings.
type class struct {
	name     string
	effect   string // idempotent, deduplicated or at_most_once
	group    string
	aim      float64 // seconds
	deadline float64 // seconds
	window   float64 // seconds
}

// siteClasses are the classes of linen-tracking.
var siteClasses = []class{
	{"bag-status", "idempotent", "all", 0.4, 1.5, 5},
	{"par-update", "idempotent", "all", 0.4, 2, 5},
	{"delivery-record", "deduplicated", "cell", 1.5, 6, 30},
}

// world is one deployment: a sidecar's surroundings, in a temporary folder of its own.
type world struct {
	folder  string
	log     *record
	agent   *agent
	listen  string // where clients connect
	console string
	classes []class
	servers []*server

	mu       sync.Mutex
	sidecars []*sidecar // all that were started
}

// newWorld returns a world without servers. The caller closes it.
func newWorld(log *record) (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, log: log, classes: siteClasses}
	if w.listen, err = freeAddress(); err != nil {
		return nil, err
	}
	if w.console, err = freeAddress(); err != nil {
		return nil, err
	}
	if w.agent, err = startAgent(log); err != nil {
		return nil, err
	}
	return w, nil
}

// close ends all that the world has started, and removes its folder.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.sidecars {
		s.kill()
	}
	for _, s := range w.servers {
		s.stop()
	}
	w.agent.stop()
	_ = os.RemoveAll(w.folder)
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// addServer starts a server that answers by handle, and lists it as serving.
func (w *world) addServer(podGroup int, handle handler) (*server, error) {
	s, err := startServer(fmt.Sprintf("s-%d", len(w.servers)), podGroup, w.log, handle)
	if err != nil {
		return nil, err
	}
	w.servers = append(w.servers, s)
	w.agent.publish(s.entry("SERVING"))
	return s, nil
}

// settings returns the settings object of a sidecar.
func (w *world) settings() object {
	classes := []object{}
	for _, c := range w.classes {
		classes = append(classes, object{
			"name": c.name, "effect": c.effect, "group": c.group, "aim_s": c.aim, "deadline_s": c.deadline,
			"window_s": c.window, "credit": 5.0, "late_value": 0.0, "stream": false,
		})
	}
	limits := object{
		"cancelling": true, "connect_timeout_s": connectTimeout, "cpu_us_per_request": 10.0, "cpu_us_per_s": 8000,
		"idle_close_s": idleClose, "max_retry_after_s": 2.0, "most_held": 20000, "peer_messages": false,
		"probes": true, "retry_after": true, "second_copies": true, "streams_per_conn": 1, "try_limit": maxAttempts,
	}
	return object{
		"areas": []string{"reykjavik"}, "models": []string{"standard"}, "my_zone": "reykjavik",
		"ordinal": 0, "peers_total": 1, "domain_type": "mesh", "discovery": "pushed",
		"tier": 0, "tiers": []string{"linen-api"}, "weight_source": "nominal", "worth_by": "work",
		"clients":  object{"marks_retry": false},
		"charges":  object{"cross_zone": 0.093, "probe": 0.01, "waste": 0.05, "late_fail": 0.051},
		"feedback": object{"how": "silent", "names": ""},
		"limits":   limits,
		"rules": object{
			"answer_slack_s": 0.02, "cold_s": 8.4, "fall_multiple": 4.0, "fall_s": 2.0, "must_ask_in_s": 10.0,
			"start_capacity": 0.3, "stop_sending_within_s": 1.0,
		},
		"request_classes": classes,
	}
}

// writeConfig writes the configuration file and returns its path.
func (w *world) writeConfig() (string, error) {
	text, err := json.Marshal(object{
		"name": "n0", "listen": w.listen, "console": w.console, "discovery": w.agent.address(),
		"seed":   fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": object{"cores": 1.0, "memory_mb": memoryMB, "sockets": descriptors},
		"known":  w.agent.snapshot(), "settings": w.settings(),
	})
	if err != nil {
		return "", err
	}
	path := filepath.Join(w.folder, "config.json")
	return path, os.WriteFile(path, text, 0o600)
}

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

type object = map[string]any

// limits are the limits of a sidecar.
type limits struct{ memoryMB, sockets int }

// settings returns settings like those of a small deployment with these classes.
func settings(classes ...object) object {
	return object{
		"ordinal": 0, "peers_total": 1, "my_zone": "a", "areas": []string{"a"}, "models": []string{"m"},
		"discovery": "pushed", "tier": 0, "tiers": []string{"back"}, "tenants": []object{},
		"limits": object{
			"try_limit": 6, "cancelling": true, "second_copies": true, "probes": false, "retry_after": true,
			"connect_timeout_s": 0.2, "idle_close_s": 30.0, "most_held": 20000, "streams_per_conn": 1,
			"max_retry_after_s": 2.0,
		},
		"rules": object{
			"answer_slack_s": 0.02, "cold_s": 8.4, "fall_multiple": 4.0, "fall_s": 2.0, "must_ask_in_s": 10.0,
			"start_capacity": 0.3, "stop_sending_within_s": 1.0,
		},
		"charges":         object{"cross_zone": 0.1},
		"request_classes": classes,
	}
}

// class returns the settings of a class.
func class(name, effect, group string, aim, deadline, window float64) object {
	return object{
		"name": name, "effect": effect, "group": group, "aim_s": aim, "deadline_s": deadline, "window_s": window,
		"credit": 5.0, "late_value": 0.0, "stream": false,
	}
}

// site is the place of a sidecar: its files and addresses.
type site struct {
	record  *recorder
	root    string // of the repository
	dir     string // temporary folder
	listen  string
	config  string // path of the configuration file
	started []*process
}

// process is a running sidecar.
type process struct {
	cmd     *exec.Cmd
	console string
	ended   chan struct{} // closed when it has ended
}

func newSite(record *recorder, root string, d *discovery, l limits, settings object) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{record: record, root: root, dir: dir, config: filepath.Join(dir, "config.json")}
	if s.listen, err = freeAddress(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(object{
		"name": "n0", "listen": s.listen, "discovery": d.address(), "seed": "8c1f30d27a5be964",
		"limits":   object{"cores": 1.0, "memory_mb": l.memoryMB, "sockets": l.sockets},
		"known":    json.RawMessage(d.text()),
		"settings": settings,
	})
	if err != nil {
		return nil, err
	}
	if err := os.Mkdir(filepath.Join(dir, "tmp"), 0o700); err != nil {
		return nil, err
	}
	return s, os.WriteFile(s.config, text, 0o600)
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// runCommand returns the command `run` of the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "run = "); found {
			return strconv.Unquote(strings.TrimSpace(value))
		}
	}
	return "", errors.New("deploy/balancer.toml has no line run")
}

// start starts a sidecar with the command of the deploy file and waits until it is ready.
func (s *site) start() (*process, error) {
	run, err := runCommand(s.root)
	if err != nil {
		return nil, err
	}
	p := &process{ended: make(chan struct{})}
	if p.console, err = freeAddress(); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Dir = s.root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + filepath.Join(s.dir, "tmp"), "PROXY_NAME=n0",
		"PROXY_CONFIG=" + s.config, "PROXY_CONSOLE=" + p.console}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	s.started = append(s.started, p)
	go func() {
		_ = p.cmd.Wait() // the case looks at what clients see
		close(p.ended)
	}()
	s.record.event("sidecar started, process %d, clients' address %s", p.cmd.Process.Pid, s.listen)
	return p, s.awaitReady(p)
}

// awaitReady waits until the process says that it is ready.
func (s *site) awaitReady(p *process) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + p.console + "/ops/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			s.record.event("sidecar %d is ready", p.cmd.Process.Pid)
			return nil
		}
	}
	return errors.New("the sidecar was not ready within 10 s")
}

// signal sends the process a signal.
func (s *site) signal(p *process, sig syscall.Signal) {
	s.record.event("platform: %v to sidecar %d", sig, p.cmd.Process.Pid)
	_ = p.cmd.Process.Signal(sig) // it may have ended
}

// close ends all processes and removes the files. The log goes to the end of the record.
func (s *site) close() {
	for _, p := range s.started {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	if log, err := os.ReadFile(filepath.Join(s.dir, "log")); err == nil {
		for _, line := range bytes.Split(bytes.TrimSpace(log), []byte("\n")) {
			s.record.event("log: %s", line)
		}
	}
	_ = os.RemoveAll(s.dir)
}

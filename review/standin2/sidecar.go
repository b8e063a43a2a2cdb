package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// readyTimeout is how long a sidecar has to be ready.
const readyTimeout = 30 * time.Second

// sidecar is a sidecar process, started by the run command of the deploy file.
type sidecar struct {
	process *exec.Cmd
	console string
	exited  chan struct{}
	ended   atomic.Bool
}

// runCommand returns the run command of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join("deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "run = "); found {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", errors.New("the deploy file has no run command")
}

// startSidecar starts a sidecar with a console of its own, and waits until it is ready.
func (w *world) startSidecar(console string) (*sidecar, error) {
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	config, err := w.writeConfig()
	if err != nil {
		return nil, err
	}
	s := &sidecar{console: console, exited: make(chan struct{})}
	s.process = exec.Command("/bin/sh", "-c", command)
	temporary := filepath.Join(w.folder, "tmp")
	if err := os.MkdirAll(temporary, 0o700); err != nil {
		return nil, err
	}
	s.process.Env = append(os.Environ(), "TMPDIR="+temporary, "PROXY_NAME=n0", "PROXY_LISTEN="+w.listen,
		"PROXY_DISCOVERY="+w.agent.address(), "PROXY_CONSOLE="+console, "PROXY_CONFIG="+config)
	logFile, err := os.OpenFile(filepath.Join(w.folder, "sidecar.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	s.process.Stdout, s.process.Stderr = logFile, logFile
	if err := s.process.Start(); err != nil {
		return nil, err
	}
	_ = logFile.Close()
	w.mu.Lock()
	w.sidecars = append(w.sidecars, s)
	w.mu.Unlock()
	go func() {
		_ = s.process.Wait()
		w.log.add("sidecar %d exited: %v", s.process.Process.Pid, s.process.ProcessState)
		s.ended.Store(true)
		close(s.exited)
	}()
	w.log.add("sidecar %d started", s.process.Process.Pid)
	return s, w.awaitReady(s)
}

// awaitReady waits until a sidecar says that it is ready.
func (w *world) awaitReady(s *sidecar) error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until) && !s.ended.Load(); {
		response, err := http.Get("http://" + s.console + "/ops/readiness")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				w.log.add("sidecar %d is ready", s.process.Process.Pid)
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("sidecar %d is not ready", s.process.Process.Pid)
}

// signal sends a signal to the sidecar.
func (w *world) signal(s *sidecar, signal syscall.Signal) {
	w.log.add("%v to sidecar %d", signal, s.process.Process.Pid)
	_ = s.process.Process.Signal(signal)
}

// kill ends the process if it runs.
func (s *sidecar) kill() {
	if !s.ended.Load() {
		_ = s.process.Process.Kill()
		<-s.exited
	}
}

package sockets

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"milletramp.example/milletramp/internal/lab/runplan"
	"milletramp.example/milletramp/internal/standin"
)

// process is one sidecar, over its restarts.
type process struct {
	name       string
	command    []string
	configFile string // its configuration
	log        io.Writer
	address    string

	mu               sync.Mutex
	cmd              *exec.Cmd
	exited           chan struct{}
	exitErr          error
	lastLogLine      string // line of its log
	stopRequested    bool   // its end is: it was killed or told to finish
	onUnexpectedExit func(error)
}

// start starts a life.
func (p *process) start(config []byte) error {
	if err := os.WriteFile(p.configFile, config, 0o600); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+p.configFile)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no sidecar outlives the lab
	out, err := cmd.StderrPipe()
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	p.mu.Lock()
	p.cmd, p.exited, p.stopRequested, p.exitErr = cmd, make(chan struct{}), false, nil
	exited := p.exited
	p.mu.Unlock()
	started := make(chan error, 1)
	go func() {
		// The kernel sends the signal above when the thread ends that started the process.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		if err := cmd.Start(); err != nil {
			started <- fmt.Errorf("start %s: %w", p.command[0], err)
			close(exited)
			return
		}
		started <- nil
		last := copyLines(p.log, out, p.name)
		err := cmd.Wait()
		p.mu.Lock()
		p.lastLogLine, p.exitErr = last, err
		stopRequested, notify := p.stopRequested, p.onUnexpectedExit
		p.mu.Unlock()
		close(exited)
		if !stopRequested && notify != nil {
			notify(p.exitReason())
		}
	}()
	return <-started
}

// exitReason returns the error of a process that exited without a request to stop.
func (p *process) exitReason() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exitErr == nil {
		return fmt.Errorf("it exited by itself; its last line: %q", p.lastLogLine)
	}
	return fmt.Errorf("%w; its last line: %q", p.exitErr, p.lastLogLine)
}

// notifyUnexpectedExit has exited called when the process exits without a request to stop.
func (p *process) notifyUnexpectedExit(exited func(error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onUnexpectedExit = exited
}

// waitReady waits until the sidecar answers that it is.
func (p *process) waitReady(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	pause := time.NewTicker(10 * time.Millisecond)
	defer pause.Stop()
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
		if err != nil {
			return err
		}
		if resp, err := client.Do(r); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-p.exited:
			return fmt.Errorf("it does not start: %w", p.exitReason())
		case <-ctx.Done():
			return fmt.Errorf("not ready within %v: %w", readyTimeout, context.Cause(ctx))
		case <-pause.C:
		}
	}
}

// signal sends a signal to a running process and says whether there is one.
func (p *process) signal(s syscall.Signal) (exited <-chan struct{}, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return nil, false
	}
	select {
	case <-p.exited:
		return nil, false
	default:
	}
	p.stopRequested = true
	return p.exited, p.cmd.Process.Signal(s) == nil
}

// reload has the process read a new configuration, which takes the old one's place at once.
func (p *process) reload(config []byte) error {
	fresh := p.configFile + ".new"
	if err := os.WriteFile(fresh, config, 0o600); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if err := os.Rename(fresh, p.configFile); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return nil // it starts with the new one
	default:
		return p.cmd.Process.Signal(syscall.SIGHUP)
	}
}

// kill ends the process at once.
func (p *process) kill() {
	if exited, ok := p.signal(syscall.SIGKILL); ok {
		<-exited
	}
}

// shutdown has the process end by itself.
func (p *process) shutdown(within time.Duration) error {
	exited, ok := p.signal(syscall.SIGTERM)
	if !ok {
		return errors.New("it had ended before it was told to")
	}
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case <-exited:
	case <-t.C:
		p.kill()
		return fmt.Errorf("still there %v after SIGTERM", within)
	}
	p.mu.Lock()
	err := p.exitErr
	p.mu.Unlock()
	if err != nil {
		return fmt.Errorf("after SIGTERM: %w", p.exitReason())
	}
	return nil
}

// resourceUsage is the process's resident memory in kB and its open descriptors; 0 where they cannot be read.
func (p *process) resourceUsage() (rss, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0, 0
	}
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	text, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			rss, _ = strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(v), "kB")))
		}
	}
	fds, _ := os.ReadDir(filepath.Join(dir, "fd"))
	return rss, len(fds)
}

// sidecarConfig is what a sidecar is told, in the platform's form.
func sidecarConfig(p *runplan.Plan, i int, listen, discovery string, known standin.List) []byte {
	s := p.Scenario
	type object = map[string]any
	var classes, tenants []object
	for _, c := range s.Classes {
		scope, window := c.Scope, c.Window.Std()
		if scope == "" {
			scope, window = "all", 5*time.Second
		}
		classes = append(classes, object{"name": c.Name, "effect": c.Effect, "group": scope, "aim_s": c.Aim.Std().Seconds(),
			"deadline_s": c.Deadline.Std().Seconds(), "credit": c.Worth, "late_value": 0, "stream": false,
			"window_s": window.Seconds()})
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, object{"name": t.Name, "allowance_per_s": t.Allowance, "share": t.Share})
	}
	set := p.Settings(i)
	text, err := json.Marshal(object{
		"name": fmt.Sprintf("n%d", i), "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", set.Seed),
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
		"settings": object{"areas": s.Fleet.Zones, "models": set.Kinds, "my_zone": set.Zone, "ordinal": i,
			"peers_total": s.Fleet.Sidecars, "discovery": "pushed", "tier": 0, "tiers": []string{"lab"},
			"weight_source": "nominal", "worth_by": "work", "request_classes": classes, "tenants": tenants,
			"charges": object{"cross_zone": set.CrossZoneCharge},
			"limits": object{"cancelling": true, "connect_timeout_s": s.Network.Connect.Std().Seconds(),
				"idle_close_s": s.Fleet.IdleClose.Std().Seconds(), "max_retry_after_s": s.Clients.MostAfter.Std().Seconds(),
				"most_held": 20000, "probes": true, "retry_after": true, "second_copies": true, "streams_per_conn": 1,
				"try_limit": set.MaxAttempts},
			"rules": object{"answer_slack_s": 0.02, "cold_s": set.SlowStartWindow.Seconds(), "start_capacity": set.SlowStartCapacity,
				"fall_multiple": set.OverloadMultiple, "fall_s": set.OverloadWindow.Seconds(), "must_ask_in_s": 10,
				"stop_sending_within_s": 1}}})
	if err != nil {
		panic(fmt.Sprintf("sockets: a configuration that cannot be written: %v", err)) // it holds plain values only
	}
	return text
}

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

// process is one sidecar, over its lives.
type process struct {
	name    string
	command []string
	file    string // its configuration
	log     io.Writer
	address string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	err     error
	last    string // line of its log
	wanted  bool   // its end is: it was killed or told to finish
	onEnded func(error)
}

// start starts a life.
func (p *process) start(config []byte) error {
	if err := os.WriteFile(p.file, config, 0o600); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+p.file)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no sidecar outlives the lab
	out, err := cmd.StderrPipe()
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	p.mu.Lock()
	p.cmd, p.ended, p.wanted, p.err = cmd, make(chan struct{}), false, nil
	ended := p.ended
	p.mu.Unlock()
	started := make(chan error, 1)
	go func() {
		// The kernel sends the signal above when the thread ends that started the process.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		if err := cmd.Start(); err != nil {
			started <- fmt.Errorf("start %s: %w", p.command[0], err)
			close(ended)
			return
		}
		started <- nil
		last := copyLines(p.log, out, p.name)
		err := cmd.Wait()
		p.mu.Lock()
		p.last, p.err = last, err
		wanted, tell := p.wanted, p.onEnded
		p.mu.Unlock()
		close(ended)
		if !wanted && tell != nil {
			tell(p.why())
		}
	}()
	return <-started
}

// why words the end of a process that was not wanted.
func (p *process) why() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		return fmt.Errorf("it exited by itself; its last line: %q", p.last)
	}
	return fmt.Errorf("%w; its last line: %q", p.err, p.last)
}

// watch has ended be called when the process ends unwanted.
func (p *process) watch(ended func(error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onEnded = ended
}

// ready waits until the sidecar answers that it is.
func (p *process) ready(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
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
		case <-p.ended:
			return fmt.Errorf("it does not start: %w", p.why())
		case <-ctx.Done():
			return fmt.Errorf("not ready within %v: %w", readyWithin, context.Cause(ctx))
		case <-pause.C:
		}
	}
}

// signal sends a signal to a running process and says whether there is one.
func (p *process) signal(s syscall.Signal) (ended <-chan struct{}, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return nil, false
	}
	select {
	case <-p.ended:
		return nil, false
	default:
	}
	p.wanted = true
	return p.ended, p.cmd.Process.Signal(s) == nil
}

// reload has the process read a new configuration, which takes the old one's place at once.
func (p *process) reload(config []byte) error {
	fresh := p.file + ".new"
	if err := os.WriteFile(fresh, config, 0o600); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if err := os.Rename(fresh, p.file); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		return nil // it starts with the new one
	default:
		return p.cmd.Process.Signal(syscall.SIGHUP)
	}
}

// kill ends the process at once.
func (p *process) kill() {
	if ended, ok := p.signal(syscall.SIGKILL); ok {
		<-ended
	}
}

// finish has the process end by itself.
func (p *process) finish(within time.Duration) error {
	ended, ok := p.signal(syscall.SIGTERM)
	if !ok {
		return errors.New("it had ended before it was told to")
	}
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case <-ended:
	case <-t.C:
		p.kill()
		return fmt.Errorf("still there %v after SIGTERM", within)
	}
	p.mu.Lock()
	err := p.err
	p.mu.Unlock()
	if err != nil {
		return fmt.Errorf("after SIGTERM: %w", p.why())
	}
	return nil
}

// size is the process's resident memory in kB and its open descriptors; 0 where they cannot be read.
func (p *process) size() (rss, open int) {
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

// config is what a sidecar is told, in the platform's form.
func config(p *runplan.Plan, i int, listen, discovery string, known standin.List) []byte {
	s := p.Scenario
	type object = map[string]any
	var classes, tenants []object
	for _, c := range s.Classes {
		scope, window := c.Scope, c.DedupeWindow.Std()
		if scope == "" {
			scope, window = "all", 5*time.Second
		}
		classes = append(classes, object{"name": c.Name, "effect": c.Effect, "group": scope, "aim_s": c.LatencyObjective.Std().Seconds(),
			"deadline_s": c.Deadline.Std().Seconds(), "credit": c.Priority, "late_value": 0, "stream": false,
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
			"limits": object{"cancelling": true, "connect_timeout_s": s.Network.ConnectTimeout.Std().Seconds(),
				"idle_close_s": s.Fleet.IdleClose.Std().Seconds(), "max_retry_after_s": s.Clients.MaxRetryAfter.Std().Seconds(),
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

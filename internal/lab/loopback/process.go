package loopback

import (
	"bufio"
	"context"
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
)

const (
	readyTimeout    = 10 * time.Second
	readyInterval   = 10 * time.Millisecond // between two health checks
	shutdownTimeout = 8 * time.Second       // from SIGTERM to the exit of a sidecar
)

// process is the process of one sidecar, over its restarts.
type process struct {
	name       string
	command    []string
	configFile string
	log        io.Writer // receives the log of the process; may be nil
	address    string

	mu               sync.Mutex
	cmd              *exec.Cmd
	exited           chan struct{}
	exitErr          error
	lastLogLine      string
	stopRequested    bool // a signal to stop was sent
	onUnexpectedExit func(error)
}

// start writes the configuration and starts the process.
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
	go p.supervise(cmd, out, started, exited)
	return <-started
}

// supervise starts a command, copies its log and waits for its exit. It sends the result of the start to started and
// closes exited at the end.
func (p *process) supervise(cmd *exec.Cmd, out io.Reader, started chan<- error, exited chan<- struct{}) {
	// The kernel sends the parent-death signal when the thread exits that started the process.
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

// notifyUnexpectedExit registers a callback for an exit without a request to stop.
func (p *process) notifyUnexpectedExit(callback func(error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onUnexpectedExit = callback
}

// waitReady waits until the health check of the sidecar succeeds.
func (p *process) waitReady(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	pause := time.NewTicker(readyInterval)
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

// signal sends a signal to the process and reports whether it was running. exited is closed when the process has
// exited.
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

// reload replaces the configuration atomically and has the process read it.
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
		return nil // it starts with the new configuration
	default:
		return p.cmd.Process.Signal(syscall.SIGHUP)
	}
}

// kill kills the process and waits for its exit.
func (p *process) kill() {
	if exited, ok := p.signal(syscall.SIGKILL); ok {
		<-exited
	}
}

// shutdown asks the process to exit and kills it if it does not do so in time.
func (p *process) shutdown(within time.Duration) error {
	exited, ok := p.signal(syscall.SIGTERM)
	if !ok {
		return errors.New("it had ended before it was told to")
	}
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-exited:
	case <-timer.C:
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

// resourceUsage returns the resident memory of the process in kB and its open descriptors, or 0 if they cannot be read.
func (p *process) resourceUsage() (rss, descriptors int) {
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

// copyLines copies a sidecar's log line by line, each after the sidecar's name, and returns the last line.
func copyLines(to io.Writer, from io.Reader, name string) (last string) {
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		last = lines.Text()
		if to != nil {
			fmt.Fprintf(to, "%s %s\n", name, last)
		}
	}
	return last
}

package sidecar

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/lab/testserver"
)

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// loadConfig reads a configuration as the program does. Each of env is KEY=VALUE.
func loadConfig(t *testing.T, text string, env ...string) (*config.Config, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, file, text)
	return config.Load(testserver.Environment(file, env...))
}

// startLog is a log that passes on the address served.
type startLog struct {
	slog.Handler
	address   chan string
	ejections *atomic.Int32
}

// Enabled implements slog.Handler.
func (startLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (l startLog) Handle(_ context.Context, r slog.Record) error {
	if strings.HasPrefix(r.Message, "ejected ") {
		l.ejections.Add(1)
	}
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "address" {
			l.address <- a.Value.String()
		}
		return true
	})
	return nil
}

// program is a running sidecar.
type program struct {
	testserver.Client
	stop          context.CancelFunc
	configFile    string // its configuration
	reloadSignals chan os.Signal
	ended         chan error
	operator      *operator
	ejections     atomic.Int32 // servers
}

func start(t *testing.T, configText string, env ...string) *program {
	t.Helper()
	return startIn(t, configText, drainTimes{quietPeriod: time.Millisecond}, nil, env...)
}

func startDraining(t *testing.T, configText string, times drainTimes) *program {
	t.Helper()
	return startIn(t, configText, times, nil)
}

// startIn starts a sidecar with a part in a fleet; nil: with none.
func startIn(t *testing.T, configText string, times drainTimes, join JoinFunc, env ...string) *program {
	t.Helper()
	return startWith(t, configText, times, join, hooks{}, env...)
}

// startWith starts a sidecar with hooks of its test.
func startWith(t *testing.T, configText string, times drainTimes, join JoinFunc, with hooks, env ...string) *program {
	t.Helper()
	c, err := loadConfig(t, configText, env...)
	if err != nil {
		t.Fatal(err)
	}
	times.maxDeadline = cmp.Or(times.maxDeadline, testserver.Timeout) // no verdict hangs on how soon a request in flight has to be given up
	ctx, cancel := context.WithCancel(context.Background())
	p := &program{Client: testserver.Client{T: t, HTTP: &http.Client{Transport: &http.Transport{}}}, stop: cancel, configFile: c.Getenv("PROXY_CONFIG"), reloadSignals: make(chan os.Signal, 1), ended: make(chan error, 1)}
	with.started = func(o *operator) { p.operator = o }
	log := startLog{slog.DiscardHandler, make(chan string, 1), &p.ejections}
	var over sync.WaitGroup
	over.Add(1)
	go func() {
		defer over.Done()
		p.ended <- run(ctx, p.reloadSignals, c, slog.New(log), join, times, with)
	}()
	t.Cleanup(func() {
		p.HTTP.CloseIdleConnections()
		cancel()
		over.Wait()
	})
	p.Address = testserver.Receive(t, log.address, "address")
	return p
}

// waitForOpenConns waits until the program holds n connections.
func (p *program) waitForOpenConns(n int) {
	p.T.Helper()
	for end := time.Now().Add(testserver.Timeout); p.operator.server.Load().conns.Counts().Open < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.T.Fatalf("not %d connections accepted", n)
		}
	}
}

// waitForUsedConns waits until n connections have brought a request.
func (p *program) waitForUsedConns(n int) {
	p.T.Helper()
	conns := p.operator.server.Load().conns
	for end := time.Now().Add(testserver.Timeout); conns.Counts().Used < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.T.Fatalf("not %d connections in use", n)
		}
	}
}

// waitUntilNotListening waits until the program listens no more.
func (p *program) waitUntilNotListening() {
	p.T.Helper()
	for end := time.Now().Add(testserver.Timeout); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", p.Address)
		if err != nil {
			return
		}
		c.Close()
		if time.Now().After(end) {
			p.T.Fatal("it never stopped listening")
		}
	}
}

// waitForServers waits until the program knows n servers.
func (p *program) waitForServers(n int) {
	p.T.Helper()
	for end := time.Now().Add(testserver.Timeout); len(p.operator.loop.Upstream().Endpoints()) != n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.T.Fatalf("not %d servers listed", n)
		}
	}
}

// waitUntilIdle waits until the program serves no request.
func (p *program) waitUntilIdle() {
	p.T.Helper()
	for end := time.Now().Add(testserver.Timeout); p.operator.server.Load().handler.InFlight() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.T.Fatal("a request is held for good")
		}
	}
}

// switchDiscovery has the program reload a file that names another discovery.
func (p *program) switchDiscovery(address, was string) {
	p.T.Helper()
	text, err := os.ReadFile(p.configFile)
	if err != nil {
		p.T.Fatal(err)
	}
	writeFile(p.T, p.configFile, strings.ReplaceAll(string(text), was, address))
	p.reloadSignals <- syscall.SIGHUP
}

// sendUntilBody asks until a response comes from the server that says so.
func (p *program) sendUntilBody(want string) {
	p.T.Helper()
	for end := time.Now().Add(testserver.Timeout); ; {
		got := p.Send("read")
		if got.Body == want {
			return
		}
		if time.Now().After(end) {
			p.T.Fatalf("response %+v, want %q", got, want)
		}
	}
}

// reload writes a configuration, has it read, and waits until it was taken or rejected.
func (p *program) reload(text string) {
	p.T.Helper()
	f := p.operator.metrics
	before := f.Reloads.Load() + f.ReloadErrors.Load()
	writeFile(p.T, p.configFile, text)
	p.reloadSignals <- syscall.SIGHUP
	for end := time.Now().Add(testserver.Timeout); f.Reloads.Load()+f.ReloadErrors.Load() == before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.T.Fatalf("no reload within %v", testserver.Timeout)
		}
	}
}

// metric returns one figure as operators read it.
func (p *program) metric(name string) string {
	p.T.Helper()
	text, err := p.operator.Metrics(context.Background())
	if err != nil {
		p.T.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "sidecar."+name+"="); ok {
			return value
		}
	}
	return "none"
}

func (p *program) expectMetrics(want ...string) {
	p.T.Helper()
	for i := 0; i < len(want); i += 2 {
		if got := p.metric(want[i]); got != want[i+1] {
			p.T.Errorf("%s is %s, want %s", want[i], got, want[i+1])
		}
	}
}

// newIdempotentRequest makes a request of a class whose requests may be repeated.
func (p *program) newIdempotentRequest(class string) *http.Request {
	r := p.NewRequest(context.Background(), "read", "50000")
	r.Header.Set("X-Priority-Class", class)
	return r
}

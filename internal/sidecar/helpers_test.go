package sidecar

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/lab/testserver"
)

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// loadConfig loads a configuration the way Main does. Each element of env has the form KEY=VALUE.
func loadConfig(t *testing.T, text string, env ...string) (*config.Config, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, file, text)
	return config.Load(testserver.Environment(file, env...))
}

// startLogHandler is a slog.Handler that sends the client address of a started sidecar to address, and counts
// ejections.
type startLogHandler struct {
	slog.Handler
	address   chan string
	ejections *atomic.Int32
}

// Enabled implements slog.Handler.
func (startLogHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (l startLogHandler) Handle(_ context.Context, r slog.Record) error {
	if strings.HasPrefix(r.Message, "ejected ") {
		l.ejections.Add(1)
	}
	r.Attrs(func(a slog.Attr) bool {
		if r.Message == "serving" && a.Key == "address" {
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
	configFile    string
	reloadSignals chan os.Signal
	runResult     chan error // receives the result of run
	operator      *operator
	ejections     atomic.Int32 // number of ejected servers
}

// startOptions are the settings of a sidecar under test that differ from the defaults.
type startOptions struct {
	times drainTimes // defaults for 0: quietPeriod 1 ms, maxKillDeadline testserver.Timeout
	join  JoinFunc   // nil: the sidecar is not a member of a fleet
	hooks hooks
	env   []string // elements have the form KEY=VALUE
}

// start starts a sidecar that is stopped when the test ends.
func start(t *testing.T, configText string) *program {
	t.Helper()
	return startWith(t, configText, startOptions{})
}

// startWithBackends starts a sidecar with these servers and a discovery service that sends no endpoint list.
func startWithBackends(t *testing.T, backends ...*testserver.Backend) *program {
	t.Helper()
	return start(t, configFor(t, backends...))
}

// startWith starts a sidecar with options and returns once it serves. The sidecar is stopped when the test ends.
func startWith(t *testing.T, configText string, options startOptions) *program {
	t.Helper()
	c, err := loadConfig(t, configText, options.env...)
	if err != nil {
		t.Fatal(err)
	}
	times := options.times
	times.quietPeriod = cmp.Or(times.quietPeriod, time.Millisecond)
	// Long, as no test depends on how soon requests expire.
	times.maxKillDeadline = cmp.Or(times.maxKillDeadline, testserver.Timeout)
	ctx, cancel := context.WithCancel(context.Background())
	p := &program{
		Client:        testserver.Client{T: t, HTTP: &http.Client{Transport: &http.Transport{}}},
		stop:          cancel,
		configFile:    c.Getenv("PROXY_CONFIG"),
		reloadSignals: make(chan os.Signal, 1),
		runResult:     make(chan error, 1),
	}
	options.hooks.started = func(o *operator) { p.operator = o }
	log := startLogHandler{slog.DiscardHandler, make(chan string, 1), &p.ejections}
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		p.runResult <- run(ctx, p.reloadSignals, c, slog.New(log), options.join, times, options.hooks)
	}()
	t.Cleanup(func() {
		p.HTTP.CloseIdleConnections()
		cancel()
		running.Wait()
	})
	p.Address = testserver.Receive(t, log.address, "address")
	return p
}

// parseList parses an endpoint list in discovery's format.
func parseList(t *testing.T, text string) discovery.List {
	t.Helper()
	l, err := discovery.ParseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// configFor returns a configuration with these servers and a discovery service that sends no endpoint list.
func configFor(t *testing.T, backends ...*testserver.Backend) string {
	t.Helper()
	list := testserver.ServingList(1, backends...)
	return testserver.ConfigText(testserver.StartDiscovery(t).Address, list, testserver.Settings)
}

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

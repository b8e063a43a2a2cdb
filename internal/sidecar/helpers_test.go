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

func write(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// load reads a configuration as the program does. Each of env is KEY=VALUE.
func load(t *testing.T, text string, env ...string) (*config.Config, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	write(t, file, text)
	return config.Load(testserver.Environment(file, env...))
}

// addressLog is a log that passes on the address served.
type addressLog struct {
	slog.Handler
	address chan string
	ejected *atomic.Int32
}

// Enabled implements slog.Handler.
func (addressLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (l addressLog) Handle(_ context.Context, r slog.Record) error {
	if strings.HasPrefix(r.Message, "ejected ") {
		l.ejected.Add(1)
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
	stop    context.CancelFunc
	file    string // its configuration
	hup     chan os.Signal
	ended   chan error
	staff   *operator
	ejected atomic.Int32 // servers
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
	c, err := load(t, configText, env...)
	if err != nil {
		t.Fatal(err)
	}
	times.maxDeadline = cmp.Or(times.maxDeadline, testserver.Timeout) // no verdict hangs on how soon a request in hand has to be given up
	ctx, cancel := context.WithCancel(context.Background())
	p := &program{Client: testserver.Client{T: t, HTTP: &http.Client{Transport: &http.Transport{}}}, stop: cancel, file: c.Getenv("PROXY_CONFIG"), hup: make(chan os.Signal, 1), ended: make(chan error, 1)}
	with.started = func(o *operator) { p.staff = o }
	log := addressLog{slog.DiscardHandler, make(chan string, 1), &p.ejected}
	var over sync.WaitGroup
	over.Add(1)
	go func() {
		defer over.Done()
		p.ended <- run(ctx, p.hup, c, slog.New(log), join, times, with)
	}()
	t.Cleanup(func() {
		p.HTTP.CloseIdleConnections()
		cancel()
		over.Wait()
	})
	p.Address = testserver.Receive(t, log.address, "address")
	return p
}

// parsed returns the list that a text in discovery's form holds.
func parsed(t *testing.T, text string) discovery.List {
	t.Helper()
	l, err := discovery.ParseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

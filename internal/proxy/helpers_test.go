package proxy

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// silentAddress is an address that tests put where nothing is to be reached.
const silentAddress = "127.0.0.1:9"

// loadConfig reads a configuration as the program does. known is its last list of endpoints, "" for none.
func loadConfig(t *testing.T, known, settings string) *config.Config {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	text := testserver.ConfigText(silentAddress, known, settings)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := config.Load(testserver.Environment(file))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// newEventLoop returns an event loop that calls discovery by dial; nil: over TCP.
func newEventLoop(ctx context.Context, t *testing.T, c *config.Config, dial discovery.DialFunc) *EventLoop {
	t.Helper()
	loop, err := NewEventLoop(ctx, c, 1000, slog.New(slog.DiscardHandler), dial)
	if err != nil {
		t.Fatal(err)
	}
	return loop
}

// parseList returns the list that a text in discovery's form holds.
func parseList(t *testing.T, text string) discovery.List {
	t.Helper()
	l, err := discovery.ParseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

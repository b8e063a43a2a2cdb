package proxy

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
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

// testProxy is a handler that serves client connections, with one server.
type testProxy struct {
	testserver.Client
	loop    *EventLoop
	handler *Handler
	backend *testserver.Backend
}

// startTestProxy serves a handler whose one server responds by respond, until the end of the test.
func startTestProxy(t *testing.T, respond testserver.Handler) *testProxy {
	t.Helper()
	backend := testserver.StartBackend(t, respond)
	c := loadConfig(t, testserver.ServingList(1, backend), testserver.Settings)
	c.Settings.PollDiscovery = true // and so no watch
	ctx, cancel := context.WithCancel(context.Background())
	loop := newEventLoop(ctx, t, c, nil)
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		loop.Run(ctx)
	}()
	handler, conns, web := serveHandler(t, c, loop)
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		_ = web.Close()
		cancel()
		running.Wait()
	})
	return &testProxy{
		Client:  testserver.Client{T: t, Address: conns.Addr().String(), HTTP: client},
		loop:    loop,
		handler: handler,
		backend: backend,
	}
}

// readResponse reads the response on a connection, and its body without white space at both ends.
func readResponse(t *testing.T, conn net.Conn) (status int, body string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp.StatusCode, strings.TrimSpace(string(text))
}

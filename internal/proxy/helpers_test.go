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

// silentAddress is a loopback address for servers and discovery that a test never reaches.
const silentAddress = "127.0.0.1:9"

// loadConfig loads a configuration file, as in production. known is the text of the remembered endpoint list, or "" for
// none.
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

// newEventLoop returns an event loop that connects to discovery with dial, or over TCP if dial is nil.
func newEventLoop(ctx context.Context, t *testing.T, c *config.Config, dial discovery.DialFunc) *EventLoop {
	t.Helper()
	loop, err := NewEventLoop(ctx, c, 1000, slog.New(slog.DiscardHandler), dial)
	if err != nil {
		t.Fatal(err)
	}
	return loop
}

// parseList parses an endpoint list in the format of discovery.
func parseList(t *testing.T, text string) discovery.List {
	t.Helper()
	l, err := discovery.ParseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// testProxy is a handler that serves client connections and forwards requests to one server.
type testProxy struct {
	testserver.Client
	loop    *EventLoop
	handler *Handler
	backend *testserver.Backend
}

// startTestProxy starts a testProxy whose server responds with respond. It runs until the end of the test.
func startTestProxy(t *testing.T, respond testserver.Handler) *testProxy {
	t.Helper()
	return startTestProxyWith(t, respond, slog.New(slog.DiscardHandler), ConnContext)
}

// connContextFunc is the type of http.Server.ConnContext.
type connContextFunc func(context.Context, net.Conn) context.Context

// startTestProxyWith is startTestProxy with a log and a function for http.Server.ConnContext.
func startTestProxyWith(t *testing.T, respond testserver.Handler, log *slog.Logger,
	connContext connContextFunc) *testProxy {
	t.Helper()
	backend := testserver.StartBackend(t, respond)
	c := loadConfig(t, testserver.ServingList(1, backend), testserver.Settings)
	c.Settings.PollDiscovery = true // no watch
	ctx, cancel := context.WithCancel(context.Background())
	loop := newEventLoop(ctx, t, c, nil)
	loop.log = log
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		loop.Run(ctx)
	}()
	handler, conns, web := serveHandlerWith(t, c, loop, connContext)
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

// readResponse reads one response from a connection. It trims white space from the body.
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

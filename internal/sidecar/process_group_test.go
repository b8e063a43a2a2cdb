package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/hotrestart"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestSecondProcessListensOnceItHasAList: a process that starts without an endpoint list while another process of its
// sidecar runs does not listen before it has a list. Otherwise it would reject requests that the other process serves.
// It adopts the servers that are administratively down in the other process.
func TestSecondProcessListensOnceItHasAList(t *testing.T) {
	dir := t.TempDir()
	other, err := hotrestart.Join(dir, hotrestart.State{Name: "n0", ListenAddress: "127.0.0.1:0", Started: time.Now(),
		Phase: hotrestart.Ready, AdminDown: []string{"s-0"}}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Leave() }()
	b := startBackend(t, "ok")
	d := testserver.StartDiscovery(t)
	c, err := loadConfig(t, testserver.ConfigText(d.Address, "", testserver.Settings), "TMPDIR="+dir)
	if err != nil {
		t.Fatal(err)
	}
	stop, cancel := context.WithCancel(context.Background())
	started, ended := make(chan *operator, 1), make(chan error, 1)
	go func() {
		ended <- run(stop, nil, c, slog.New(slog.DiscardHandler), nil, drainTimes{quietPeriod: time.Millisecond},
			hooks{started: func(o *operator) { started <- o }})
	}()
	w := testserver.Receive(t, d.Watches, "watch")
	select {
	case <-started:
		t.Error("it listens without an endpoint list")
	case <-time.After(50 * time.Millisecond): // without awaitServers, the process would have listened by now
	}
	w.Lines <- testserver.ServingList(1, b, b)
	op := testserver.Receive(t, started, "start of listening")
	if op.group.processCount.Load() != 2 {
		t.Errorf("process count %d, want 2", op.group.processCount.Load())
	}
	listed, avoided := 0, 0
	if err := op.loop.Do(context.Background(), func() { listed, avoided = op.loop.CountEndpoints() }); err != nil {
		t.Fatal(err)
	}
	if listed != 2 || avoided != 1 {
		t.Errorf("%d servers listed, %d avoided, want 2 and 1", listed, avoided)
	}
	cancel()
	if err := testserver.Receive(t, ended, "end"); err != nil {
		t.Error(err)
	}
}

// TestSidecarServesWhileSharedDirectoryIsMissing: while the shared directory of the process group is missing, the
// sidecar continues to serve, and an operator's call fails because a successor would not see it. Once the directory is
// back, the successor sees the effect of the failed call, and the operator does not need to repeat it.
func TestSidecarServesWhileSharedDirectoryIsMissing(t *testing.T) {
	dir := t.TempDir()
	one, two := startBackend(t, "one"), startBackend(t, "two")
	three := startBackend(t, "three")
	d := testserver.StartDiscovery(t)
	text := testserver.ConfigText(d.Address, testserver.ServingList(1, one, two, three), testserver.Settings)
	p := startWith(t, text, startOptions{env: []string{"TMPDIR=" + dir}})
	testserver.Receive(t, d.Watches, "watch")
	p.sendUntilBody("three")
	next, err := hotrestart.Join(dir, hotrestart.State{Name: "n0", ListenAddress: "127.0.0.1:0", Started: time.Now(),
		Phase: hotrestart.Starting}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = next.Leave() }()
	publishedDown := func() []string { return next.Others()[0].AdminDown }
	_, err = p.operator.SetAdminDown(context.Background(), "s-0", true, false)
	if err != nil || !slices.Equal(publishedDown(), []string{"s-0"}) {
		t.Fatalf("error %v, the successor sees %v", err, publishedDown())
	}
	dirs, err := filepath.Glob(filepath.Join(dir, "milletramp-*"))
	if err != nil || len(dirs) != 1 {
		t.Fatalf("directories %v, error %v, want one", dirs, err)
	}
	if err := os.Rename(dirs[0], dirs[0]+"-away"); err != nil {
		t.Fatal(err)
	}
	if _, err := p.operator.SetAdminDown(context.Background(), "s-1", true, false); err == nil {
		t.Error("no error for a call that a successor would not see")
	}
	for range 20 {
		if got := p.Send("read"); got.Status != 200 || got.Body != "three" {
			t.Fatalf("response %+v while the directory is missing", got)
		}
	}
	if err := os.Rename(dirs[0]+"-away", dirs[0]); err != nil {
		t.Fatal(err)
	}
	testserver.Eventually(t, func() string {
		if down := publishedDown(); !slices.Equal(down, []string{"s-0", "s-1"}) {
			return fmt.Sprintf("the successor sees %v", down)
		}
		return ""
	})
}

// TestDrainingServerGetsNoNewRequestsOverRestart: a server begins to drain while one process drains and its successor
// starts with an older endpoint list. Neither process sends new requests to that server once discovery has notified it,
// and the request in flight gets its response.
func TestDrainingServerGetsNoNewRequestsOverRestart(t *testing.T) {
	release := make(chan struct{})
	one := startBlockingBackend(t, release, isPost, "one")
	two := startBackend(t, "two")
	d := testserver.StartDiscovery(t)
	text := testserver.ConfigText(d.Address, testserver.ServingList(1, one), testserver.Settings)
	p := startWith(t, text, startOptions{times: drainTimes{
		acceptPeriod:      100 * time.Millisecond,
		idleGracePeriod:   testserver.Timeout,
		unusedGracePeriod: testserver.Timeout,
	}})
	w := testserver.Receive(t, d.Watches, "watch")
	conns := make([]net.Conn, 8)
	for i := range conns {
		conns[i] = p.DialConn()
	}
	inFlight := p.sendAsync(context.Background(), "pay")
	testserver.Receive(t, one.Requests, "request")
	p.stop()
	drains := testserver.ListText(2, false, testserver.EndpointEntry("s-0", one.Address, "DRAINING", 0),
		testserver.EndpointEntry("s-1", two.Address, "SERVING", 0))
	w.Lines <- drains
	p.waitForServers(2)
	next := start(t, text)
	testserver.Receive(t, d.Watches, "watch of the successor").Lines <- drains
	next.waitForServers(2)
	before := one.RequestCount()
	for i, c := range conns {
		sendHead(c, fmt.Sprint("open-", i))
		testserver.ExpectFinalResponse(t, c, http.StatusOK)
		if got := next.Send("read"); got.Body != "two" {
			t.Errorf("response %+v of the successor", got)
		}
	}
	if n := one.RequestCount() - before; n != 0 {
		t.Errorf("%d new requests reached the draining server", n)
	}
	close(release)
	if got := testserver.Receive(t, inFlight, "response"); got.Body != "one" {
		t.Errorf("response %+v to the request in flight", got)
	}
}

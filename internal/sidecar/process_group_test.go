package sidecar

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/hotrestart"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestSecondProcessListensOnceItHasAList has a process start beside another of its sidecar with no list of servers: it
// does not listen before it has one. Otherwise it would reject what the other one serves. It takes over what is
// administratively down.
func TestSecondProcessListensOnceItHasAList(t *testing.T) {
	dir := t.TempDir()
	other, err := hotrestart.Join(dir, hotrestart.State{Name: "n0", ListenAddress: "127.0.0.1:0", Started: time.Now(),
		Phase: hotrestart.Ready, AdminDown: []string{"s-0"}}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Leave() }()
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
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
		t.Error("it listens without a list")
	case <-time.After(50 * time.Millisecond): // without the wait it listens at once
	}
	w.Lines <- testserver.ServingList(1, b, b)
	op := testserver.Receive(t, started, "listening with a list")
	if op.group.processes.Load() != 2 {
		t.Errorf("the sidecar's limits are parted into %d", op.group.processes.Load())
	}
	listed, avoided := 0, 0
	if err := op.loop.Do(context.Background(), func() { listed, avoided = op.loop.CountEndpoints() }); err != nil {
		t.Fatal(err)
	}
	if listed != 2 || avoided != 1 {
		t.Errorf("%d servers are listed, %d avoided, want 2 and 1", listed, avoided)
	}
	cancel()
	if err := testserver.Receive(t, ended, "end"); err != nil {
		t.Error(err)
	}
}

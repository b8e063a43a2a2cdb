package sidecar

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/handover"
)

// TestBesideAnother has a process start beside another of its sidecar with no list of servers: it does not listen before
// it has one. Danger: it would refuse what the other one serves. It takes over what is out by hand.
func TestBesideAnother(t *testing.T) {
	dir := t.TempDir()
	other, err := handover.Join(dir, handover.State{Name: "n0", Listen: "127.0.0.1:0", Started: time.Now(),
		Phase: handover.Ready, Out: []string{"s-0"}}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Leave() }()
	b := startBackend(t, say(200, "", "ok"))
	d := startRegistry(t)
	c, err := load(t, configText(d.address, "", testSettings), "TMPDIR="+dir)
	if err != nil {
		t.Fatal(err)
	}
	stop, cancel := context.WithCancel(context.Background())
	started, ended := make(chan *ops, 1), make(chan error, 1)
	go func() {
		ended <- run(stop, nil, c, slog.New(slog.DiscardHandler), nil, drainTimes{quiet: time.Millisecond},
			hooks{started: func(o *ops) { started <- o }})
	}()
	w := within(t, d.watches, "watch")
	select {
	case <-started:
		t.Error("it listens without a list")
	case <-time.After(50 * time.Millisecond): // without the wait it listens at once
	}
	w.lines <- serving(1, b, b)
	staff := within(t, started, "listening with a list")
	if staff.family.shares.Load() != 2 {
		t.Errorf("the sidecar's limits are parted into %d", staff.family.shares.Load())
	}
	listed, avoided := 0, 0
	if err := staff.host.ask(context.Background(), func() { listed, avoided = staff.host.balancer.CountEndpoints(staff.host.now) }); err != nil {
		t.Fatal(err)
	}
	if listed != 2 || avoided != 1 {
		t.Errorf("%d servers are listed, %d avoided, want 2 and 1", listed, avoided)
	}
	cancel()
	if err := within(t, ended, "end"); err != nil {
		t.Error(err)
	}
}

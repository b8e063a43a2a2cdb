package handover

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

func startingState(second int64) State {
	return State{Name: "n0", Listen: "127.0.0.1:80", Console: "127.0.0.1:81", Started: time.Unix(second, 0), Phase: Starting}
}

func mustJoin(t *testing.T, dir string, s State, log *slog.Logger) *Member {
	t.Helper()
	m, err := Join(dir, s, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Leave() }) // the test may have had it leave
	return m
}

// TestMembersSeeEachOther has processes come, change and go. A lock is held by an open file, so those of this test count as apart.
func TestMembersSeeEachOther(t *testing.T) {
	dir := t.TempDir()
	a := mustJoin(t, dir, startingState(1), discardLog())
	if got := a.Others(); len(got) != 0 {
		t.Fatalf("alone, it sees %+v", got)
	}
	before := a.Changed()
	b := mustJoin(t, dir, startingState(2), discardLog())
	if a.Changed() == before {
		t.Error("a process came and nothing changed")
	}
	if err := b.Update(func(s *State) { s.Phase, s.Out = Ready, []string{"s-1"} }); err != nil {
		t.Fatal(err)
	}
	c := mustJoin(t, dir, startingState(3), discardLog())
	got := c.Others()
	if len(got) != 2 || !got[0].Started.Equal(startingState(1).Started) || got[1].Phase != Ready || !slices.Equal(got[1].Out, []string{"s-1"}) {
		t.Errorf("the third sees %+v", got)
	}
	if err := b.Leave(); err != nil {
		t.Error(err)
	}
	if got := c.Others(); len(got) != 1 {
		t.Errorf("after one left the third sees %+v", got)
	}
	if got := mustJoin(t, dir, State{Name: "n1", Listen: "127.0.0.1:80", Phase: Ready}, discardLog()).Others(); len(got) != 0 {
		t.Errorf("another sidecar sees %+v", got)
	}
}

// TestStateOfEndedProcessIsRemoved has a process end without leaving. Danger: servers that it was told are out, long ago, would
// be out for good.
func TestStateOfEndedProcessIsRemoved(t *testing.T) {
	dir := t.TempDir()
	dead := mustJoin(t, dir, startingState(1), discardLog())
	if err := dead.Update(func(s *State) { s.Out = []string{"s-1"} }); err != nil {
		t.Fatal(err)
	}
	if err := dead.lockFile.Close(); err != nil { // as the end of its process does
		t.Fatal(err)
	}
	var log bytes.Buffer
	m := mustJoin(t, dir, startingState(2), slog.New(slog.NewTextHandler(&log, nil)))
	if got := m.Others(); len(got) != 0 || !strings.Contains(log.String(), "has ended") {
		t.Errorf("it sees %+v and says %q", got, log.String())
	}
	if left, err := os.ReadDir(m.files.dir); err != nil || len(left) != 2 {
		t.Errorf("%d files are left, error %v, want its own 2", len(left), err)
	}
}

// TestNilMemberIsAlone has no folder to share.
func TestNilMemberIsAlone(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if m, err := Join(file, startingState(1), discardLog()); err == nil {
		t.Errorf("joined %+v in a file", m)
	}
	var none *Member
	if err := none.Update(func(*State) { t.Error("there is no state") }); err != nil || none.Others() != nil || none.Leave() != nil {
		t.Error("no member is not alone")
	}
}

// TestOrderUnderClockSteps has processes follow each other while the clock of day steps: each takes those before it for
// older. One of a build that does not count generations goes by the clock, as it always did, and its file is read.
func TestOrderUnderClockSteps(t *testing.T) {
	const former = `{"name":"n0","listen":"127.0.0.1:80","console":"127.0.0.1:81",` +
		`"started":"2026-01-02T03:04:05.000000006Z","phase":"ready","out":[]}`
	begun := time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			dir := t.TempDir()
			ready := func(started time.Time) *Member {
				s := startingState(0)
				s.Started, s.Phase = started, Ready
				return mustJoin(t, dir, s, discardLog())
			}
			a := ready(begun)
			b := ready(begun.Add(time.Second + step))
			c := ready(begun.Add(2*time.Second + 2*step))
			if !a.Succeeded() || !b.Succeeded() || c.Succeeded() {
				t.Errorf("succeeded: %v, %v and %v, want all but the last", a.Succeeded(), b.Succeeded(), c.Succeeded())
			}
			if got := c.Others(); len(got) != 2 || got[0].Compare(a.state) != 0 || got[1].Compare(b.state) != 0 {
				t.Errorf("the last one sees %+v", got)
			}
			if err := a.Leave(); err != nil {
				t.Error(err)
			}
			sum := crc32.ChecksumIEEE([]byte(former))
			text := fmt.Appendf(nil, "%s %d %d %08x\n%s", formatMagic, formatVersion, len(former), sum, former)
			if err := os.WriteFile(b.files.statePath(), text, 0o600); err != nil {
				t.Fatal(err)
			}
			got, succeeded := c.Others(), c.Succeeded()
			if len(got) != 1 || got[0].Generation != 0 || !got[0].Started.Equal(begun) || succeeded != (step < 0) {
				t.Errorf("beside one that does not count it sees %+v, succeeded %v", got, succeeded)
			}
		})
	}
}

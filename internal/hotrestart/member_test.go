package hotrestart

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

// startingState is the state of a process that started at this second of the wall clock.
func startingState(second int64) State {
	return State{
		Name: "n0", ListenAddress: "127.0.0.1:80", AdminAddress: "127.0.0.1:81",
		Started: time.Unix(second, 0), Phase: Starting,
	}
}

// mustJoin joins, and leaves when the test ends.
func mustJoin(t *testing.T, dir string, s State, log *slog.Logger) *Member {
	t.Helper()
	m, err := Join(dir, s, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Leave() }) // the test may have closed its lock file
	return m
}

// TestMembersSeeEachOther: a process reads the states of those that have joined and not left, the oldest first, and
// none of another sidecar. A lock belongs to an open file, so several members in one test count as several processes.
func TestMembersSeeEachOther(t *testing.T) {
	dir := t.TempDir()
	first := mustJoin(t, dir, startingState(1), discardLog())
	if got := first.Others(); len(got) != 0 {
		t.Fatalf("the first process sees %+v, want none", got)
	}
	before := first.DirRevision()
	second := mustJoin(t, dir, startingState(2), discardLog())
	if first.DirRevision() == before {
		t.Error("a process joined and DirRevision returns the same number")
	}
	if err := second.Update(func(s *State) { s.Phase, s.AdminDown = Ready, []string{"s-1"} }); err != nil {
		t.Fatal(err)
	}
	third := mustJoin(t, dir, startingState(3), discardLog())
	got := third.Others()
	if len(got) != 2 || !got[0].Started.Equal(startingState(1).Started) ||
		got[1].Phase != Ready || !slices.Equal(got[1].AdminDown, []string{"s-1"}) {
		t.Errorf("the third process sees %+v", got)
	}
	if err := second.Leave(); err != nil {
		t.Error(err)
	}
	if got := third.Others(); len(got) != 1 {
		t.Errorf("after the second has left the third process sees %+v", got)
	}
	otherSidecar := mustJoin(t, dir, State{Name: "n1", ListenAddress: "127.0.0.1:80", Phase: Ready}, discardLog())
	if got := otherSidecar.Others(); len(got) != 0 {
		t.Errorf("another sidecar sees %+v", got)
	}
}

// TestStateOfEndedProcessIsRemoved: the state of a process that ended without leaving doesn't count and is removed.
// Otherwise servers that it once knew as administratively down would stay so.
func TestStateOfEndedProcessIsRemoved(t *testing.T) {
	dir := t.TempDir()
	ended := mustJoin(t, dir, startingState(1), discardLog())
	if err := ended.Update(func(s *State) { s.AdminDown = []string{"s-1"} }); err != nil {
		t.Fatal(err)
	}
	if err := ended.lockFile.Close(); err != nil { // as the end of its process does
		t.Fatal(err)
	}
	var log bytes.Buffer
	m := mustJoin(t, dir, startingState(2), slog.New(slog.NewTextHandler(&log, nil)))
	if got := m.Others(); len(got) != 0 || !strings.Contains(log.String(), "has ended") {
		t.Errorf("the next process sees %+v and logs %q", got, log.String())
	}
	if remaining, err := os.ReadDir(m.files.dir); err != nil || len(remaining) != 2 {
		t.Errorf("%d files are left, error %v, want its own 2", len(remaining), err)
	}
}

// TestJoinFailsWithoutDirectory: where the shared directory cannot be made, Join returns an error.
func TestJoinFailsWithoutDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if m, err := Join(file, startingState(1), discardLog()); err == nil {
		t.Errorf("joined %+v in a file", m)
	}
}

// TestNilMemberHasNoEffect: a nil Member changes no state, sees no other process and leaves without an error.
func TestNilMemberHasNoEffect(t *testing.T) {
	var member *Member
	if err := member.Update(func(*State) { t.Error("Update changed the state of a nil Member") }); err != nil {
		t.Errorf("Update: %v", err)
	}
	if got := member.Others(); got != nil {
		t.Errorf("it sees %+v", got)
	}
	if err := member.Leave(); err != nil {
		t.Errorf("Leave: %v", err)
	}
}

// TestOrderUnderClockSteps: while the wall clock steps, each process still counts those that joined before it as older.
// One of a build without generations is ordered by the wall clock, as before, and its file is read.
func TestOrderUnderClockSteps(t *testing.T) {
	const withoutGeneration = `{"name":"n0","listen":"127.0.0.1:80","console":"127.0.0.1:81",` +
		`"started":"2026-01-02T03:04:05.000000006Z","phase":"ready","out":[]}`
	started := time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			dir := t.TempDir()
			joinReady := func(started time.Time) *Member {
				s := startingState(0)
				s.Started, s.Phase = started, Ready
				return mustJoin(t, dir, s, discardLog())
			}
			first := joinReady(started)
			second := joinReady(started.Add(time.Second + step))
			third := joinReady(started.Add(2*time.Second + 2*step))
			if !first.HasReadySuccessor() || !second.HasReadySuccessor() || third.HasReadySuccessor() {
				t.Errorf("succeeded: %v, %v and %v, want all but the last",
					first.HasReadySuccessor(), second.HasReadySuccessor(), third.HasReadySuccessor())
			}
			got := third.Others()
			if len(got) != 2 || got[0].Compare(first.state) != 0 || got[1].Compare(second.state) != 0 {
				t.Errorf("the third process sees %+v", got)
			}
			if err := first.Leave(); err != nil {
				t.Error(err)
			}
			sum := crc32.ChecksumIEEE([]byte(withoutGeneration))
			text := fmt.Appendf(nil, "%s %d %d %08x\n%s",
				formatMagic, formatVersion, len(withoutGeneration), sum, withoutGeneration)
			if err := os.WriteFile(second.files.statePath(), text, 0o600); err != nil {
				t.Fatal(err)
			}
			got, succeeded := third.Others(), third.HasReadySuccessor()
			if len(got) != 1 || got[0].Generation != 0 || !got[0].Started.Equal(started) || succeeded != (step < 0) {
				t.Errorf("of one without a generation it sees %+v, succeeded %v", got, succeeded)
			}
		})
	}
}

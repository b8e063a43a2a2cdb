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

// startingState returns the state of a process that started at the given second of the wall clock.
func startingState(second int64) State {
	return State{
		Name: "n0", ListenAddress: "127.0.0.1:80", AdminAddress: "127.0.0.1:81",
		Started: time.Unix(second, 0), Phase: Starting,
	}
}

// mustJoin calls Join and leaves when the test ends.
func mustJoin(t *testing.T, dir string, s State, log *slog.Logger) *Member {
	t.Helper()
	m, err := Join(dir, s, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Leave() }) // fails if the test has closed the lock file
	return m
}

// TestMembersSeeEachOther checks that a process reads the states of the processes that have joined and not left, the
// oldest first, and none of another sidecar. An advisory lock belongs to an open file, so several members in one test
// act as several processes.
func TestMembersSeeEachOther(t *testing.T) {
	dir := t.TempDir()
	first := mustJoin(t, dir, startingState(1), discardLog())
	if got := first.Others(); len(got) != 0 {
		t.Fatalf("the first process reads %+v, want no state", got)
	}
	before := first.DirRevision()
	second := mustJoin(t, dir, startingState(2), discardLog())
	if first.DirRevision() == before {
		t.Error("DirRevision did not change after a process joined")
	}
	if err := second.Update(func(s *State) { s.Phase, s.AdminDown = Ready, []string{"s-1"} }); err != nil {
		t.Fatal(err)
	}
	third := mustJoin(t, dir, startingState(3), discardLog())
	got := third.Others()
	if len(got) != 2 || !got[0].Started.Equal(startingState(1).Started) ||
		got[1].Phase != Ready || !slices.Equal(got[1].AdminDown, []string{"s-1"}) {
		t.Errorf("the third process reads %+v, want the states of the first and the second", got)
	}
	if err := second.Leave(); err != nil {
		t.Error(err)
	}
	if got := third.Others(); len(got) != 1 {
		t.Errorf("after the second process has left, the third reads %+v, want one state", got)
	}
	otherSidecar := mustJoin(t, dir, State{Name: "n1", ListenAddress: "127.0.0.1:80", Phase: Ready}, discardLog())
	if got := otherSidecar.Others(); len(got) != 0 {
		t.Errorf("a process of another sidecar reads %+v, want no state", got)
	}
}

// TestStateOfEndedProcessIsRemoved checks that the state of a process that ended without leaving is ignored and
// removed. Otherwise servers that were administratively down in that process would stay down.
func TestStateOfEndedProcessIsRemoved(t *testing.T) {
	dir := t.TempDir()
	ended := mustJoin(t, dir, startingState(1), discardLog())
	if err := ended.Update(func(s *State) { s.AdminDown = []string{"s-1"} }); err != nil {
		t.Fatal(err)
	}
	if err := ended.lockFile.Close(); err != nil { // the end of the process would also release the lock
		t.Fatal(err)
	}
	var log bytes.Buffer
	m := mustJoin(t, dir, startingState(2), slog.New(slog.NewTextHandler(&log, nil)))
	if got := m.Others(); len(got) != 0 || !strings.Contains(log.String(), "has ended") {
		t.Errorf("the next process reads %+v and logs %q, want no state and a log line", got, log.String())
	}
	if remaining, err := os.ReadDir(m.files.dir); err != nil || len(remaining) != 2 {
		t.Errorf("%d files remain, error %v, want the 2 files of the new process", len(remaining), err)
	}
}

// TestJoinFailsWithoutDirectory checks that Join returns an error if the shared directory cannot be created.
func TestJoinFailsWithoutDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if m, err := Join(file, startingState(1), discardLog()); err == nil {
		t.Errorf("Join returned %+v below a regular file, want an error", m)
	}
}

// TestNilMemberHasNoEffect checks that a nil Member changes no state, reads no other state and leaves without an error.
func TestNilMemberHasNoEffect(t *testing.T) {
	var member *Member
	if err := member.Update(func(*State) { t.Error("Update changed the state of a nil Member") }); err != nil {
		t.Errorf("Update: %v", err)
	}
	if got := member.Others(); got != nil {
		t.Errorf("Others returned %+v, want nil", got)
	}
	if err := member.Leave(); err != nil {
		t.Errorf("Leave: %v", err)
	}
}

// TestOrderUnderClockSteps checks that processes are ordered by the time of joining even if the wall clock steps. The
// file of a build without generations must be readable, and such a process is ordered by the wall clock.
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
				t.Errorf("HasReadySuccessor: %v, %v and %v, want true for all but the last",
					first.HasReadySuccessor(), second.HasReadySuccessor(), third.HasReadySuccessor())
			}
			got := third.Others()
			if len(got) != 2 || got[0].Compare(first.state) != 0 || got[1].Compare(second.state) != 0 {
				t.Errorf("the third process reads %+v, want the first and the second in this order", got)
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
				t.Errorf("state without a generation: read as %+v, HasReadySuccessor %v", got, succeeded)
			}
		})
	}
}

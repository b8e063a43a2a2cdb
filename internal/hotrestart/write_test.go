//go:build go1.25

package hotrestart

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"milletramp.example/milletramp/internal/fsys/faultfs"
)

// adminDownSeenBy returns the administratively down servers in the state of the only other process that m reads.
func adminDownSeenBy(t rapid.TB, m *Member) []string {
	t.Helper()
	others := m.Others()
	if len(others) != 1 {
		t.Fatalf("read %+v, want the state of one process", others)
	}
	return others[0].AdminDown
}

// TestUpdateFails checks that other processes see the previous or the new state while a file system operation of Update
// fails. The latest state must be written as soon as the operation succeeds, and the log must contain one line when the
// failures begin and one when they end.
func TestUpdateFails(t *testing.T) {
	for _, fault := range []error{syscall.ENOSPC, syscall.EIO} {
		for skip := range 3 { // create, write, rename
			for _, count := range []int{1, 4, 60} {
				t.Run(fmt.Sprintf("%v %d times after %d operations", fault, count, skip), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { updateWithFaults(t, fault, skip, count) })
				})
			}
		}
	}
}

// updateWithFaults lets count operations of Update fail with fault, after skip operations.
func updateWithFaults(t *testing.T, fault error, skip, count int) {
	var log bytes.Buffer
	dir, fs := t.TempDir(), faultfs.New(uint64(skip+count))
	m, err := joinWithFS(fs, dir, startingState(1), slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	successor := mustJoin(t, dir, startingState(2), discardLog())
	written, pending := []string{"s-1"}, []string{"s-1", "s-2"}
	if err := m.Update(func(s *State) { s.AdminDown = written }); err != nil {
		t.Fatal(err)
	}
	fs.Fail(skip, count, fault)
	if err := m.Update(func(s *State) { s.AdminDown = pending }); err == nil {
		t.Error("Update returned nil although the write failed")
	}
	if got := adminDownSeenBy(t, successor); !slices.Equal(got, written) && !slices.Equal(got, pending) {
		t.Errorf("the next process reads %v, want %v or %v", got, written, pending)
	}
	time.Sleep(time.Duration(count) * maxBackoff)
	synctest.Wait()
	if got := adminDownSeenBy(t, successor); !slices.Equal(got, pending) {
		t.Errorf("the next process reads %v after the failures, want %v", got, pending)
	}
	for _, line := range []string{"writing the state file failed", "writing the state file succeeded"} {
		if n := strings.Count(log.String(), line); n != 1 {
			t.Errorf("the log contains %d lines with %q, want 1", n, line)
		}
	}
	fs.Fail(0, 1, fault)
	if err := m.Update(func(s *State) { s.AdminDown = nil }); err == nil {
		t.Error("Update returned nil although the write failed")
	}
	if err := m.Leave(); err != nil {
		t.Error(err)
	}
	time.Sleep(maxBackoff)
	if remaining, err := os.ReadDir(successor.files.dir); err != nil || len(remaining) != 2 {
		t.Errorf("after Leave %d files remain, error %v, want the 2 files of the next process", len(remaining), err)
	}
	if err := fs.EndProcess(false); err != nil {
		t.Error(err)
	}
}

// TestUpdateSurvivesKill checks that after any sequence of updates and failing operations, and a kill during one of
// them, another process reads the last state for which Update returned nil, or a later one.
func TestUpdateSurvivesKill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "handover")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		fs := faultfs.New(rapid.Uint64().Draw(t, "seed"))
		m, err := joinWithFS(fs, dir, startingState(1), discardLog())
		if err != nil {
			t.Fatal(err)
		}
		successor, err := Join(dir, startingState(2), discardLog())
		if err != nil {
			t.Fatal(err)
		}
		acknowledged := 0
		for i := 1; i <= 12 && !fs.Killed(); i++ {
			switch skip := rapid.IntRange(0, 3).Draw(t, "skip"); rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				fs.Fail(skip, rapid.IntRange(1, 5).Draw(t, "count"), syscall.EIO)
			case 1:
				fs.KillAfter(skip)
			}
			if m.Update(func(s *State) { s.AdminDown = make([]string, i) }) == nil {
				acknowledged = i
			}
			if got := len(adminDownSeenBy(t, successor)); got < acknowledged || got > i {
				t.Fatalf("the next process reads state %d, last acknowledged %d, last attempted %d", got, acknowledged, i)
			}
		}
		for _, m := range []*Member{m, successor} {
			if err := m.Leave(); err != nil {
				t.Fatal(err)
			}
		}
		if err := fs.EndProcess(false); err != nil {
			t.Fatal(err)
		}
	})
}

//go:build go1.25

package handover

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

// adminDownSeenBy returns what a process sees of the one other.
func adminDownSeenBy(t rapid.TB, m *Member) []string {
	t.Helper()
	others := m.Others()
	if len(others) != 1 {
		t.Fatalf("it sees %+v", others)
	}
	return others[0].Out
}

// TestUpdateFails has each operation of an Update fail for a while: others see the former state or the new one, what
// was answered with yes stays seen, and the last state is written as soon as that is possible, with one line of the log
// at each end.
func TestUpdateFails(t *testing.T) {
	for _, fault := range []error{syscall.ENOSPC, syscall.EIO} {
		for skip := range 3 { // create, write, rename
			for _, count := range []int{1, 4, 60} {
				t.Run(fmt.Sprintf("%v %d behind %d", fault, count, skip), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { updateWithFaults(t, fault, skip, count) })
				})
			}
		}
	}
}

func updateWithFaults(t *testing.T, fault error, skip, count int) {
	var log bytes.Buffer
	dir, fs := t.TempDir(), faultfs.New(uint64(skip+count))
	m, err := joinWithFS(fs, dir, startingState(1), slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	next := mustJoin(t, dir, startingState(2), discardLog())
	kept, owed := []string{"s-1"}, []string{"s-1", "s-2"}
	if err := m.Update(func(s *State) { s.Out = kept }); err != nil {
		t.Fatal(err)
	}
	fs.Fail(skip, count, fault)
	if err := m.Update(func(s *State) { s.Out = owed }); err == nil {
		t.Error("what is not written is answered with yes")
	}
	if got := adminDownSeenBy(t, next); !slices.Equal(got, kept) && !slices.Equal(got, owed) {
		t.Errorf("the next process sees %v", got)
	}
	time.Sleep(time.Duration(count) * maxBackoff)
	synctest.Wait()
	if got := adminDownSeenBy(t, next); !slices.Equal(got, owed) {
		t.Errorf("the next process sees %v, owed are %v", got, owed)
	}
	for _, line := range []string{"is not written", "is written again"} {
		if n := strings.Count(log.String(), line); n != 1 {
			t.Errorf("it says %d times %q", n, line)
		}
	}
	fs.Fail(0, 1, fault)
	if err := m.Update(func(s *State) { s.Out = nil }); err == nil {
		t.Error("what is not written is answered with yes")
	}
	if err := m.Leave(); err != nil {
		t.Error(err)
	}
	time.Sleep(maxBackoff)
	if left, err := os.ReadDir(next.files.dir); err != nil || len(left) != 2 {
		t.Errorf("behind its end %d files are left, error %v, want the next one's 2", len(left), err)
	}
	if err := fs.End(false); err != nil {
		t.Error(err)
	}
}

// TestUpdateSurvivesKill draws updates, faults, and a kill in the midst of an operation: whoever reads finds the last state
// that was acknowledged, or a later one.
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
		next, err := Join(dir, startingState(2), discardLog())
		if err != nil {
			t.Fatal(err)
		}
		kept := 0
		for i := 1; i <= 12 && !fs.Killed(); i++ {
			switch skip := rapid.IntRange(0, 3).Draw(t, "skip"); rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				fs.Fail(skip, rapid.IntRange(1, 5).Draw(t, "count"), syscall.EIO)
			case 1:
				fs.KillAfter(skip)
			}
			if m.Update(func(s *State) { s.Out = make([]string, i) }) == nil {
				kept = i
			}
			if got := len(adminDownSeenBy(t, next)); got < kept || got > i {
				t.Fatalf("the next process sees state %d, %d was acknowledged, %d is the last", got, kept, i)
			}
		}
		for _, m := range []*Member{m, next} {
			if err := m.Leave(); err != nil {
				t.Fatal(err)
			}
		}
		if err := fs.End(false); err != nil {
			t.Fatal(err)
		}
	})
}

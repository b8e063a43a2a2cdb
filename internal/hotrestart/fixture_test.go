package hotrestart

import (
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"
)

// TestReadStateOfPreviousBuild checks that a process can read the state of a process of build f152def.
// testdata/f152def is the directory as written by that build. The test locks its lock file, as the running process did.
func TestReadStateOfPreviousBuild(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/f152def")); err != nil {
		t.Fatal(err)
	}
	locks, err := filepath.Glob(filepath.Join(dir, "*", "*"+lockSuffix))
	if err != nil || len(locks) != 1 {
		t.Fatalf("lock files %v, error %v, want one file", locks, err)
	}
	lockFile, err := os.Open(locks[0])
	if err != nil {
		t.Fatal(err)
	}
	defer lockFile.Close()
	if err := syscall.Flock(int(lockFile.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		t.Fatal(err)
	}
	others := mustJoin(t, dir, startingState(2), discardLog()).Others()
	if len(others) != 1 {
		t.Fatalf("the new process reads %+v, want one state", others)
	}
	got := others[0]
	if got.Name != "n0" || got.ListenAddress != "127.0.0.1:80" ||
		got.AdminAddress != "127.0.0.1:81" || got.FleetAddress != "127.0.0.1:82" ||
		got.Phase != Ready || !slices.Equal(got.AdminDown, []string{"s-1", `s-"2"`}) ||
		!got.Started.Equal(time.Date(2026, 7, 1, 12, 30, 0, 123456789, time.UTC)) {
		t.Errorf("unexpected state %+v", got)
	}
}

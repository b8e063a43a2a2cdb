package testrun

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"syscall"
	"testing"
)

// TestComputeSlot: a process that takes a slot has its part of the processors and of parallel tests, and no other
// process gets the slot meanwhile.
func TestComputeSlot(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	t.Setenv(sharedVariable, "")
	before, parallel := runtime.GOMAXPROCS(0), flag.Lookup("test.parallel").Value.String()
	t.Cleanup(func() {
		runtime.GOMAXPROCS(before)
		_ = flag.Set("test.parallel", parallel)
	})
	release, err := takeSlot()
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	want := computeProcessors()
	if got := runtime.GOMAXPROCS(0); got != want {
		t.Errorf("GOMAXPROCS is %d, want %d", got, want)
	}
	if got := flag.Lookup("test.parallel").Value.String(); got != strconv.Itoa(want) {
		t.Errorf("test.parallel is %s, want %d", got, want)
	}
	files, err := os.ReadDir(os.TempDir())
	if err != nil || len(files) != 1 {
		t.Fatalf("lock files %v, error %v, want one", files, err)
	}
	other, err := os.OpenFile(filepath.Join(os.TempDir(), files[0].Name()), os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	// Two open files of one process exclude each other as those of two processes do (flock(2)).
	if err := syscall.Flock(int(other.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); !errors.Is(err, syscall.EWOULDBLOCK) {
		t.Errorf("the slot was to be had again: %v", err)
	}
}

//go:build go1.25

package fleet

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"milletramp.example/milletramp/internal/fsys/faultfs"
)

// readSnapshotText returns the content of a snapshot file.
func readSnapshotText(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	content, err := decodeSnapshot(data)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// snapshotFault is a fault that begins with an operation of the second write.
type snapshotFault struct {
	name       string
	err        error // nil: the process is killed
	operations int   // that fail
	newer      bool  // a newer snapshot comes meanwhile
	ends       bool  // the Fleet is closed meanwhile
}

// TestSnapshotFileSurvivesEachFault has each operation of a write fail for a while, or be the one in which the process
// is killed: the file has the former snapshot or the new one, and the new one as soon as that is possible, with one line
// of the log at each end.
func TestSnapshotFileSurvivesEachFault(t *testing.T) {
	for _, fault := range []snapshotFault{
		{"ENOSPC once", syscall.ENOSPC, 1, false, false},
		{"ENOSPC for a while", syscall.ENOSPC, 30, false, false},
		{"EIO for a while, and a newer snapshot", syscall.EIO, 30, true, false},
		{"EIO to the end", syscall.EIO, 1000, false, true},
		{"kill", nil, 0, false, true},
	} {
		for operation := range 4 { // create, write, sync, rename
			t.Run(fmt.Sprint(fault.name, " at ", operation), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkSnapshotFault(t, fault, operation) })
			})
		}
	}
}

// checkSnapshotFault runs in a bubble of synctest.
func checkSnapshotFault(t *testing.T, fault snapshotFault, operation int) {
	var log bytes.Buffer
	path := filepath.Join(t.TempDir(), "x.state")
	fs := faultfs.New(uint64(operation))
	writer := &snapshotWriter{log: slog.New(slog.NewTextHandler(&log, nil)), fs: fs, path: path}
	snapshots, ended := make(chan []byte, 1), make(chan struct{})
	go func() { // until snapshots is closed
		defer close(ended)
		writer.run(snapshots)
	}()
	send := func(content string) {
		snapshots <- []byte(content)
		synctest.Wait()
	}

	send("former")
	if fs.Fail(operation, fault.operations, fault.err); fault.err == nil {
		fs.KillAfter(operation)
	}
	want := "next"
	send(want)
	if fault.newer {
		want = "newer"
		send(want)
	}
	if got := readSnapshotText(t, path); got != "former" && got != "next" && got != want {
		t.Errorf("meanwhile the file has %q", got)
	}
	if !fault.ends {
		time.Sleep(time.Duration(fault.operations) * maxSnapshotBackoff)
		synctest.Wait()
		if got := readSnapshotText(t, path); got != want {
			t.Errorf("the file has %q, want %q", got, want)
		}
		for _, line := range []string{"fleet snapshot file not written; retrying", "fleet snapshot file written after failures"} {
			if n := strings.Count(log.String(), line); n != 1 {
				t.Errorf("the log says %d times %q", n, line)
			}
		}
	}

	close(snapshots)
	<-ended
	if err := fs.EndProcess(false); err != nil {
		t.Error(err)
	}
	if got := readSnapshotText(t, path); got != "former" && got != want {
		t.Errorf("in the end the file has %q", got)
	}
}

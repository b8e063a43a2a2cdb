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

// readSnapshotText reads a warm file whole.
func readSnapshotText(t *testing.T, file string) string {
	t.Helper()
	sealed, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	text, err := decodeSnapshot(sealed)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestSnapshotFileSurvivesEachFault has each operation of a write fail for a while, or be the one in which the process is killed: the file has the
// former state or the new one, and the new one as soon as that is possible, with one line of the log at each end.
func TestSnapshotFileSurvivesEachFault(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault error
		count int
		newer bool // a newer state comes meanwhile
		ends  bool // the part ends meanwhile
	}{
		{"ENOSPC once", syscall.ENOSPC, 1, false, false},
		{"ENOSPC for a while", syscall.ENOSPC, 30, false, false},
		{"EIO for a while, and a newer state", syscall.EIO, 30, true, false},
		{"EIO to the end", syscall.EIO, 1000, false, true},
		{"kill", nil, 0, false, true},
	} {
		for at := range 4 { // create, write, sync, rename
			t.Run(fmt.Sprint(tt.name, " at ", at), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var log bytes.Buffer
					file, fs := filepath.Join(t.TempDir(), "x.state"), faultfs.New(uint64(at))
					writer := &snapshotWriter{log: slog.New(slog.NewTextHandler(&log, nil)), fs: fs, path: file}
					states, ended := make(chan []byte, 1), make(chan struct{})
					go func() { // until states is closed
						defer close(ended)
						writer.run(states)
					}()
					send := func(text string) {
						states <- []byte(text)
						synctest.Wait()
					}
					send("former")
					if fs.Fail(at, tt.count, tt.fault); tt.fault == nil {
						fs.KillAfter(at)
					}
					want := "next"
					send(want)
					if tt.newer {
						want = "newer"
						send(want)
					}
					if got := readSnapshotText(t, file); got != "former" && got != "next" && got != want {
						t.Errorf("meanwhile it has %q", got)
					}
					if !tt.ends {
						time.Sleep(time.Duration(tt.count) * maxSnapshotBackoff)
						synctest.Wait()
						if got := readSnapshotText(t, file); got != want {
							t.Errorf("it has %q, want %q", got, want)
						}
						for _, line := range []string{"will not know", "written down again"} {
							if n := strings.Count(log.String(), line); n != 1 {
								t.Errorf("it says %d times %q", n, line)
							}
						}
					}
					close(states)
					<-ended
					if err := fs.End(false); err != nil {
						t.Error(err)
					}
					if got := readSnapshotText(t, file); got != "former" && got != want {
						t.Errorf("in the end it has %q", got)
					}
				})
			})
		}
	}
}

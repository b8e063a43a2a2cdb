package fleet

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"milletramp.example/milletramp/internal/fleet/replication"
	"milletramp.example/milletramp/internal/fsys"
)

// TestSnapshotFileOutlastsTheWholeFleet restarts the one member of a fleet, with and without a folder: with one it
// knows the operators' calls.
func TestSnapshotFileOutlastsTheWholeFleet(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for _, folder := range []string{t.TempDir(), ""} {
		c := &Config{Label: "test", Address: "127.0.0.1:0", SnapshotFolder: folder}
		start := func() *Fleet {
			callbacks := Callbacks{OnAdminDown: func([]string) {}, OnSuspicions: func([]Suspicion) {}}
			f, err := Start(c, "a", nil, slog.New(slog.DiscardHandler), callbacks)
			if err != nil {
				t.Fatal(err)
			}
			return f
		}
		first := start()
		if _, _, err := first.SetAdminDown(ctx, "s-1", true, true); err != nil {
			t.Fatal(err)
		}
		if err := first.Close(); err != nil {
			t.Fatal(err)
		}
		second := start()
		known, err := second.KnowsServer(ctx, "s-1")
		if err != nil || known != (folder != "") {
			t.Errorf("known %v, error %v with folder %q", known, err, folder)
		}
		if err := second.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestDamagedSnapshotFileIsRejected cuts a file at each byte and changes each: all are rejected, with a reason.
func TestDamagedSnapshotFileIsRejected(t *testing.T) {
	const content = "operators' calls"
	path := filepath.Join(t.TempDir(), "x.state")
	if err := writeSnapshot(fsys.OS{}, path, []byte(content)); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeSnapshot(data); err != nil || string(got) != content {
		t.Fatalf("%q, error %v", got, err)
	}
	for i := range data {
		if _, err := decodeSnapshot(data[:i]); err == nil {
			t.Errorf("cut at byte %d it is taken", i)
		}
		corrupt := slices.Clone(data)
		corrupt[i] ^= 0x20
		if _, err := decodeSnapshot(corrupt); err == nil {
			t.Errorf("with byte %d changed it is taken", i)
		}
	}
	if err := os.WriteFile(path, data[:len(data)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := readSnapshot(path, "test"); err == nil || !strings.Contains(err.Error(), "bytes") {
		t.Errorf("error %v", err)
	}
	if items, _, err := readSnapshot(path+"x", "test"); err != nil || items != nil {
		t.Errorf("%v, error %v where there is no file", items, err)
	}
}

// TestSnapshotFileOfEarlierBuildIsRead reads a file as the build f152def wrote it, under the name and label of its
// sidecar.
func TestSnapshotFileOfEarlierBuildIsRead(t *testing.T) {
	c := &Config{Label: "test", SnapshotFolder: filepath.Join("testdata", "f152def")}
	if _, err := os.Stat(c.snapshotPath("a")); err != nil {
		t.Fatal(err) // readSnapshot takes no file for an empty one
	}
	items, peers, err := readSnapshot(c.snapshotPath("a"), c.Label)
	if err != nil || len(items) != 3 || !slices.Equal(peers, []string{"127.0.0.1:59228"}) {
		t.Fatalf("%d items, peers %v, error %v", len(items), peers, err)
	}
	const (
		nonce  = 0x2f45917ad3e7aa7 // of the sidecar's incarnation
		listed = 498946            // hours
	)
	for i, want := range []struct {
		server string
		down   bool
		count  uint64
		at     string
	}{
		{"s-1", true, 1, "2026-12-02T10:13:29.378Z+0"},
		{"s-2", false, 2, "2026-12-02T10:13:29.378Z+3"},
		{"s-3", true, 1, "2026-12-02T10:13:29.378Z+2"},
	} {
		got, dot := items[i].Admin, replication.Dot{By: "a", Nonce: nonce, Count: want.count}
		if got == nil || got.Server != want.server || got.Listed != listed ||
			!slices.Equal(got.Seen, []replication.Dot{dot}) || len(got.Standing) != 1 {
			t.Errorf("item %d read as %+v, want %+v", i, got, want)
			continue
		}
		call := got.Standing[0]
		if call.Dot != dot || call.Down != want.down || call.At.String() != want.at {
			t.Errorf("item %d read with the call %+v, want %+v", i, call, want)
		}
	}
}

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

// TestSnapshotFileOutlastsTheWholeFleet restarts the only member of a fleet with and without a snapshot folder. With one,
// the operators' calls are restored.
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

// TestDamagedSnapshotFileIsRejected truncates a file at each byte and changes each byte. All results are rejected with an
// error.
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
			t.Errorf("file truncated at byte %d accepted", i)
		}
		corrupt := slices.Clone(data)
		corrupt[i] ^= 0x20
		if _, err := decodeSnapshot(corrupt); err == nil {
			t.Errorf("file with byte %d changed accepted", i)
		}
	}
	if err := os.WriteFile(path, data[:len(data)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := readSnapshot(path, "test"); err == nil || !strings.Contains(err.Error(), "bytes") {
		t.Errorf("error %v, want one with the number of bytes", err)
	}
	if items, _, err := readSnapshot(path+"x", "test"); err != nil || items != nil {
		t.Errorf("items %v, error %v for a missing file", items, err)
	}
}

// TestSnapshotFileOfEarlierBuildIsRead reads a file that build f152def wrote, under the name and label of its sidecar.
func TestSnapshotFileOfEarlierBuildIsRead(t *testing.T) {
	c := &Config{Label: "test", SnapshotFolder: filepath.Join("testdata", "f152def")}
	if _, err := os.Stat(c.snapshotPath("a")); err != nil {
		t.Fatal(err) // readSnapshot returns no error for a missing file
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
			t.Errorf("item %d is %+v, want %+v", i, got, want)
			continue
		}
		call := got.Standing[0]
		if call.Dot != dot || call.Down != want.down || call.At.String() != want.at {
			t.Errorf("item %d has call %+v, want %+v", i, call, want)
		}
	}
}

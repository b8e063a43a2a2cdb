package fleet

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"milletramp.example/milletramp/internal/fleet/replication"
)

// TestSnapshotFileOfEarlierBuildIsRead reads a warm file as the build f152def wrote it, under the name and label of its sidecar.
func TestSnapshotFileOfEarlierBuildIsRead(t *testing.T) {
	c := &Config{Label: "test", SnapshotFolder: filepath.Join("testdata", "f152def")}
	if _, err := os.Stat(c.snapshotPath("a")); err != nil {
		t.Fatal(err) // readWarm takes no file for an empty one
	}
	items, peers, err := readSnapshot(c.snapshotPath("a"), c.Label)
	if err != nil || len(items) != 3 || !slices.Equal(peers, []string{"127.0.0.1:59228"}) {
		t.Fatalf("%d items, peers %v, error %v", len(items), peers, err)
	}
	const nonce = 0x2f45917ad3e7aa7 // of the sidecar's life
	for i, want := range []struct {
		server string
		out    bool
		count  uint64
		at     string
	}{
		{"s-1", true, 1, "2026-12-02T10:13:29.378Z+0"},
		{"s-2", false, 2, "2026-12-02T10:13:29.378Z+3"},
		{"s-3", true, 1, "2026-12-02T10:13:29.378Z+2"},
	} {
		got, dot := items[i].Admin, replication.Dot{By: "a", Nonce: nonce, Count: want.count}
		if got == nil || got.Server != want.server || got.Listed != 498946 || !slices.Equal(got.Seen, []replication.Dot{dot}) ||
			len(got.Standing) != 1 || got.Standing[0].Dot != dot || got.Standing[0].Down != want.out || got.Standing[0].At.String() != want.at {
			t.Errorf("item %d read as %+v, want %+v", i, got, want)
		}
	}
}

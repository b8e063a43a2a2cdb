package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/replication"
	"milletramp.example/milletramp/internal/fsys"
)

const (
	snapshotMagic      = "milletramp-fleet-warm"
	snapshotFormat     = 1
	snapshotFileFormat = "fleet-%016x.state" // with the hash of the sidecar's name
	maxHeaderBytes     = 1000

	snapshotInterval   = time.Second     // minimum time between two snapshots, and backoff of the first retry
	maxSnapshotBackoff = 5 * time.Second // maximum backoff; it doubles with each retry
)

// encodeSnapshot prepends a header to a snapshot: magic, format, length and checksum.
func encodeSnapshot(content []byte) []byte {
	header := fmt.Sprintf("%s %d %d %016x\n", snapshotMagic, snapshotFormat, len(content), xxhash.Sum64(content))
	return append([]byte(header), content...)
}

// decodeSnapshot returns the content after the header, or an error if it is truncated, corrupt or in another format.
func decodeSnapshot(data []byte) ([]byte, error) {
	header, content, ok := bytes.Cut(data, []byte("\n"))
	fields := strings.Split(string(header), " ")
	switch {
	case !ok || len(fields) != 4 || fields[0] != snapshotMagic:
		return nil, errors.New("is not a fleet snapshot file")
	case fields[1] != strconv.Itoa(snapshotFormat):
		return nil, fmt.Errorf("has format %.20q, want %d", fields[1], snapshotFormat)
	case fields[2] != strconv.Itoa(len(content)):
		return nil, fmt.Errorf("has %d bytes after the header, the header has length %.20q", len(content), fields[2])
	case fields[3] != fmt.Sprintf("%016x", xxhash.Sum64(content)):
		return nil, fmt.Errorf("has checksum %016x, the header has %.20q", xxhash.Sum64(content), fields[3])
	}
	return content, nil
}

// snapshotPath returns the path of a sidecar's snapshot file, or "" if no folder is configured.
func (c *Config) snapshotPath(name string) string {
	if c.SnapshotFolder == "" {
		return ""
	}
	return filepath.Join(c.SnapshotFolder, fmt.Sprintf(snapshotFileFormat, xxhash.Sum64String(name)))
}

// readSnapshot reads items and addresses of members from a snapshot file. A missing file yields none and no error.
func readSnapshot(path, label string) (items []replication.Item, peers []string, err error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, gossip.MaxSnapshotBytes+maxHeaderBytes))
	if err != nil {
		return nil, nil, err
	}
	content, err := decodeSnapshot(data)
	if err == nil {
		items, peers, err = gossip.DecodeWarmStart(content, label)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%s %w", path, err)
	}
	return items, peers, nil
}

// writeSnapshot replaces a snapshot file atomically: a reader finds the previous or the new content, also after a loss
// of power. Another process of the sidecar may write at the same time, as in an upgrade.
func writeSnapshot(fs fsys.FS, path string, content []byte) error {
	temp := fmt.Sprintf("%s.new%016x", path, rand.Uint64())
	return fsys.Replace(fs, temp, path, encodeSnapshot(content), true)
}

// snapshotSaver is the loop's state for the snapshot file.
type snapshotSaver struct {
	snapshots chan []byte   // to the writer; buffers the newest one only
	digest    uint64        // of the last saved state
	savedAt   time.Duration // 0: never
}

// saveSnapshot passes operators' calls and members' addresses to the writer if they have changed.
func (f *Fleet) saveSnapshot(now replication.Now) {
	saver := f.saver
	if saver == nil {
		return
	}
	digest := f.machine.Store.Digest().PerKind()[replication.KindAdmin] ^ f.machine.Members.Digest()
	if digest == saver.digest || saver.savedAt > 0 && now.Time-saver.savedAt < snapshotInterval {
		return
	}
	content, err := f.machine.EncodeWarmStart(now)
	if err != nil {
		f.log.Warn("fleet snapshot cannot be encoded; snapshot file not updated", "err", err)
		return
	}
	select {
	case <-saver.snapshots: // discard a snapshot that the writer has not received
	default:
	}
	saver.snapshots <- content // does not block, as no other goroutine sends
	saver.digest = digest
	saver.savedAt = now.Time
}

// snapshotWriter writes the snapshot file.
type snapshotWriter struct {
	log  *slog.Logger
	fs   fsys.FS
	path string
}

// run writes each received snapshot until the channel is closed. A failed write is retried with a backoff until it
// succeeds or a newer snapshot arrives, and once more at the end.
func (w *snapshotWriter) run(snapshots <-chan []byte) {
	var unwritten []byte // nil: the newest snapshot has been written
	failing := false
	backoff := snapshotInterval
	retry := time.NewTimer(0)
	retry.Stop()
	defer retry.Stop()
	for open := true; open; {
		var content []byte
		select {
		case content, open = <-snapshots:
			if open {
				unwritten, backoff = content, snapshotInterval
			}
		case <-retry.C:
		}
		if unwritten == nil {
			continue
		}
		err := writeSnapshot(w.fs, w.path, unwritten)
		w.logResult(err, failing)
		failing = err != nil
		if !failing {
			unwritten = nil
			continue
		}
		retry.Reset(backoff)
		backoff = min(2*backoff, maxSnapshotBackoff)
	}
}

// logResult logs the first of several failed writes and the successful write after them. In between, a fleet whose
// sidecars all stop would lose the latest operators' calls.
func (w *snapshotWriter) logResult(err error, failedBefore bool) {
	switch {
	case err != nil && !failedBefore:
		w.log.Warn("fleet snapshot file not written; retrying", "err", err)
	case err == nil && failedBefore:
		w.log.Info("fleet snapshot file written after failures")
	}
}

package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"io"
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
	snapshotMagic    = "milletramp-fleet-warm"
	snapshotFormat   = 1
	snapshotInterval = time.Second // between two files, at least

	maxSnapshotBackoff = 5 * time.Second // between two tries of one that cannot be written
)

// encodeSnapshot puts a head before a text: its form, length and checksum.
func encodeSnapshot(text []byte) []byte {
	return append(fmt.Appendf(nil, "%s %d %d %016x\n", snapshotMagic, snapshotFormat, len(text), xxhash.Sum64(text)), text...)
}

// decodeSnapshot returns the text behind a head. What is torn, changed, or of another form is an error.
func decodeSnapshot(sealed []byte) ([]byte, error) {
	head, text, ok := bytes.Cut(sealed, []byte("\n"))
	fields := strings.Split(string(head), " ")
	switch {
	case !ok || len(fields) != 4 || fields[0] != snapshotMagic:
		return nil, errors.New("is no state of a fleet")
	case fields[1] != strconv.Itoa(snapshotFormat):
		return nil, fmt.Errorf("is of form %.20q, this process knows %d", fields[1], snapshotFormat)
	case fields[2] != strconv.Itoa(len(text)):
		return nil, fmt.Errorf("has %d bytes, its head says %.20q", len(text), fields[2])
	case fields[3] != fmt.Sprintf("%016x", xxhash.Sum64(text)):
		return nil, fmt.Errorf("has the checksum %016x, its head says %.20q", xxhash.Sum64(text), fields[3])
	}
	return text, nil
}

// snapshotPath is where a sidecar leaves its state.
func (c *Config) snapshotPath(name string) string {
	if c.SnapshotFolder == "" {
		return ""
	}
	return filepath.Join(c.SnapshotFolder, fmt.Sprintf("fleet-%016x.state", xxhash.Sum64String(name)))
}

// readSnapshot reads what a former life left. That there is nothing is no error.
func readSnapshot(file, label string) (items []replication.Item, peers []string, err error) {
	f, err := os.Open(file)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	sealed, err := io.ReadAll(io.LimitReader(f, gossip.MaxSnapshotBytes+1000))
	if err != nil {
		return nil, nil, err
	}
	text, err := decodeSnapshot(sealed)
	if err == nil {
		items, peers, err = gossip.DecodeWarmStart(text, label)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%s %w", file, err)
	}
	return items, peers, nil
}

// writeSnapshot leaves a state for the next life. Whoever reads the file sees the former or the new one, also behind a loss of
// power. Another process of an upgrade may write at the same time.
func writeSnapshot(fs fsys.FS, file string, text []byte) error {
	return fsys.Replace(fs, fmt.Sprintf("%s.new%016x", file, rand.Uint64()), file, encodeSnapshot(text), true)
}

// writeSnapshots writes what comes to a file, the last of what has come, until states is closed. What could not be written is
// tried again, with a backoff, until it is or something newer comes; at the end once more.
func (f *Fleet) writeSnapshots(fs fsys.FS, file string, states <-chan []byte) {
	var owed []byte // nil: all is written
	failing := false
	wait, again := snapshotInterval, time.NewTimer(0)
	again.Stop()
	defer again.Stop()
	for open := true; open; {
		var text []byte
		select {
		case text, open = <-states:
			if open {
				owed, wait = text, snapshotInterval
			}
		case <-again.C:
		}
		if owed == nil {
			continue
		}
		err := writeSnapshot(fs, file, owed)
		switch {
		case err != nil && !failing:
			f.log.Warn("a fleet that is lost as a whole will not know what is out by hand; it is tried again", "err", err)
		case err == nil && failing:
			f.log.Info("what is out by hand is written down again")
		}
		if failing = err != nil; !failing {
			owed = nil
			continue
		}
		again.Reset(wait)
		wait = min(2*wait, maxSnapshotBackoff)
	}
}

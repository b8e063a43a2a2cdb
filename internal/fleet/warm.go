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
	warmMagic = "milletramp-fleet-warm"
	warmForm  = 1
	warmEvery = time.Second // between two files, at least

	mostWarmWait = 5 * time.Second // between two tries of one that cannot be written
)

// seal puts a head before a text: its form, length and checksum.
func seal(text []byte) []byte {
	return append(fmt.Appendf(nil, "%s %d %d %016x\n", warmMagic, warmForm, len(text), xxhash.Sum64(text)), text...)
}

// unseal returns the text behind a head. What is torn, changed, or of another form is an error.
func unseal(sealed []byte) ([]byte, error) {
	head, text, ok := bytes.Cut(sealed, []byte("\n"))
	fields := strings.Split(string(head), " ")
	switch {
	case !ok || len(fields) != 4 || fields[0] != warmMagic:
		return nil, errors.New("is no state of a fleet")
	case fields[1] != strconv.Itoa(warmForm):
		return nil, fmt.Errorf("is of form %.20q, this process knows %d", fields[1], warmForm)
	case fields[2] != strconv.Itoa(len(text)):
		return nil, fmt.Errorf("has %d bytes, its head says %.20q", len(text), fields[2])
	case fields[3] != fmt.Sprintf("%016x", xxhash.Sum64(text)):
		return nil, fmt.Errorf("has the checksum %016x, its head says %.20q", xxhash.Sum64(text), fields[3])
	}
	return text, nil
}

// warmFile is where a sidecar leaves its state.
func (c *Config) warmFile(name string) string {
	if c.Folder == "" {
		return ""
	}
	return filepath.Join(c.Folder, fmt.Sprintf("fleet-%016x.state", xxhash.Sum64String(name)))
}

// readWarm reads what a former life left. That there is nothing is no error.
func readWarm(file, label string) (items []replication.Item, peers []string, err error) {
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
	text, err := unseal(sealed)
	if err == nil {
		items, peers, err = gossip.DecodeWarmStart(text, label)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%s %w", file, err)
	}
	return items, peers, nil
}

// writeWarm leaves a state for the next life. Whoever reads the file sees the former or the new one, also behind a loss of
// power. Another process of an upgrade may write at the same time.
func writeWarm(fs fsys.FS, file string, text []byte) error {
	return fsys.Replace(fs, fmt.Sprintf("%s.new%016x", file, rand.Uint64()), file, seal(text), true)
}

// keep writes what comes to a file, the last of what has come, until states is closed. What could not be written is
// tried again, with a backoff, until it is or something newer comes; at the end once more.
func (f *Fleet) keep(fs fsys.FS, file string, states <-chan []byte) {
	var owed []byte // nil: all is written
	failing := false
	wait, again := warmEvery, time.NewTimer(0)
	again.Stop()
	defer again.Stop()
	for open := true; open; {
		var text []byte
		select {
		case text, open = <-states:
			if open {
				owed, wait = text, warmEvery
			}
		case <-again.C:
		}
		if owed == nil {
			continue
		}
		err := writeWarm(fs, file, owed)
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
		wait = min(2*wait, mostWarmWait)
	}
}

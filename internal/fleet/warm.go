package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/replication"
)

const (
	warmMagic = "milletramp-fleet-warm"
	warmForm  = 1
	warmEvery = time.Second // between two files, at least
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
// power.
func writeWarm(file string, text []byte) (err error) {
	f, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".new*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, os.Remove(f.Name()))
		}
	}()
	_, err = f.Write(seal(text))
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), file)
}

// keep writes what comes to a file, the last of what has come, until states is closed.
func (f *Fleet) keep(file string, states <-chan []byte) {
	for text := range states {
		if err := writeWarm(file, text); err != nil {
			f.log.Warn("a fleet that is lost as a whole will not know what is out by hand", "err", err)
		}
	}
}

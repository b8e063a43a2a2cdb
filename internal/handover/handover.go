// Package handover lets the processes of one sidecar know of each other while one replaces another. Each has two files
// in a folder of their own: one that it holds a lock on for as long as it lives, and its state. State without a living
// holder does not count.
package handover

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"milletramp.example/milletramp/internal/fsys"
	"milletramp.example/milletramp/internal/wallclock"
)

// Phase is how far a process is.
type Phase string

// The phases.
const (
	Starting Phase = "starting"
	Ready    Phase = "ready"
	Draining Phase = "draining"
)

// State is what a process has the others know.
type State struct {
	Name    string    `json:"name"`            // of the sidecar
	Listen  string    `json:"listen"`          // its address for clients
	Console string    `json:"console"`         // its address for the staff; "": none
	Fleet   string    `json:"fleet,omitempty"` // its address for other sidecars; "": it has no part in a fleet
	Started time.Time `json:"started"`
	// Generation counts the processes that follow each other, from 1. 0: of a build that did not count.
	Generation uint64   `json:"generation,omitempty"`
	Phase      Phase    `json:"phase"`
	Out        []string `json:"out"` // servers taken out by hand
}

// Compare orders the processes of a sidecar, the oldest first. The clock of day, which may step, counts only between
// two of which one did not count its generation, or that joined in the same moment.
func (s State) Compare(o State) int {
	if s.Generation > 0 && o.Generation > 0 && s.Generation != o.Generation {
		return cmp.Compare(s.Generation, o.Generation)
	}
	return s.Started.Compare(o.Started)
}

const (
	formatMagic   = "milletramp-handover"
	formatVersion = 1
	maxStateBytes = 1 << 20 // bytes of a state file
	maxAdminDown  = 4096
	maxOthers     = 16 // processes looked at
)

// encodeState writes a state with its version, length and checksum ahead.
func encodeState(s State) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	head := fmt.Sprintf("%s %d %d %08x\n", formatMagic, formatVersion, len(body), crc32.ChecksumIEEE(body))
	return append([]byte(head), body...), nil
}

// decodeState reads a state. Whatever is torn, of another version, or not of this sidecar is an error.
func decodeState(text []byte, name, listen string) (State, error) {
	head, body, ok := bytes.Cut(text, []byte("\n"))
	fields := strings.Fields(string(head))
	if !ok || len(fields) != 4 || fields[0] != formatMagic {
		return State{}, errors.New("is no state of a sidecar")
	}
	if fields[1] != strconv.Itoa(formatVersion) {
		return State{}, fmt.Errorf("is of version %.20q, this process knows %d", fields[1], formatVersion)
	}
	if fields[2] != strconv.Itoa(len(body)) {
		return State{}, fmt.Errorf("has %d bytes, its head says %.20q", len(body), fields[2])
	}
	if sum := fmt.Sprintf("%08x", crc32.ChecksumIEEE(body)); sum != fields[3] {
		return State{}, fmt.Errorf("has the checksum %s, its head says %.20q", sum, fields[3])
	}
	var s State
	if err := json.Unmarshal(body, &s); err != nil {
		return State{}, err
	}
	switch {
	case s.Name != name || s.Listen != listen:
		return State{}, fmt.Errorf("is of sidecar %.40q at %.40q", s.Name, s.Listen)
	case s.Phase != Starting && s.Phase != Ready && s.Phase != Draining:
		return State{}, fmt.Errorf("has the unknown phase %.40q", s.Phase)
	case len(s.Out) > maxAdminDown:
		return State{}, fmt.Errorf("names %d servers, %d at most", len(s.Out), maxAdminDown)
	}
	return s, nil
}

// Member is this process's place among those of its sidecar. A nil one knows of no other.
type Member struct {
	dir      string
	id       string // of this process's files
	lockFile *os.File
	log      *slog.Logger
	fs       fsys.FS

	mu         sync.Mutex
	state      State
	hasLeft    bool
	backoff    time.Duration // until the next try of a write that has failed; 0: the file holds the state
	retryTimer *time.Timer   // that begins it
}

// Between two tries of a write that fails.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

const (
	lockSuffix  = ".lock"
	stateSuffix = ".state"
)

// Join makes this process known in a folder below dir, which the processes of the sidecar share.
func Join(dir string, s State, log *slog.Logger) (*Member, error) {
	return joinWithFS(fsys.OS{}, dir, s, log)
}

func joinWithFS(fs fsys.FS, dir string, s State, log *slog.Logger) (*Member, error) {
	sum := crc32.ChecksumIEEE([]byte(s.Name + "\x00" + s.Listen))
	m := &Member{dir: filepath.Join(dir, fmt.Sprintf("milletramp-%08x", sum)), log: log, fs: fs, state: s,
		id: fmt.Sprintf("%d-%d", os.Getpid(), wallclock.Nanoseconds(s.Started))}
	if err := os.MkdirAll(m.dir, 0o700); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	// Another process that finds the file before its lock takes it for a dead one's. So it gets its name last.
	held, err := os.OpenFile(m.path(".new"), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	m.lockFile = held
	if err := syscall.Flock(int(held.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("handover: lock: %w", err), m.Leave())
	}
	if err := os.Rename(m.path(".new"), m.path(lockSuffix)); err != nil {
		return nil, errors.Join(fmt.Errorf("handover: %w", err), m.Leave())
	}
	for _, o := range m.Others() {
		m.state.Generation = max(m.state.Generation, o.Generation)
	}
	m.state.Generation++
	if err := m.writeState(); err != nil {
		return nil, errors.Join(err, m.Leave())
	}
	return m, nil
}

func (m *Member) path(end string) string { return filepath.Join(m.dir, m.id+end) }

// Succeeded tells whether a newer process of the sidecar is ready.
func (m *Member) Succeeded() bool {
	others := m.Others()
	if len(others) == 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(others, func(s State) bool { return s.Phase == Ready && s.Compare(m.state) > 0 })
}

// Update changes this process's state. Others see it once this has returned nil. After an error they see the former
// state, and the new one as soon as it could be written: that is tried again until it succeeds or the process leaves.
func (m *Member) Update(change func(*State)) error {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hasLeft {
		return nil // nobody asks any more
	}
	change(&m.state)
	err := m.writeState()
	m.scheduleRetry(err)
	return err
}

// scheduleRetry has a write that has failed be tried again.
func (m *Member) scheduleRetry(err error) {
	switch {
	case err == nil && m.backoff > 0:
		m.log.Info("handover: the state is written again")
		m.backoff = 0
		m.retryTimer.Stop()
	case err != nil && m.backoff == 0:
		m.log.Warn("handover: the state is not written, and is tried again", "err", err)
		m.backoff = initialBackoff
		m.retryTimer = time.AfterFunc(m.backoff, m.retryWrite)
	}
}

// retryWrite is a try after one that has failed. It runs in the goroutine of its timer, which Leave stops.
func (m *Member) retryWrite() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hasLeft || m.backoff == 0 {
		return
	}
	err := m.writeState()
	if err != nil {
		m.backoff = min(2*m.backoff, maxBackoff)
		m.retryTimer.Reset(m.backoff)
	}
	m.scheduleRetry(err)
}

// writeState replaces the state file. A reader sees the former or the new one.
func (m *Member) writeState() error {
	text, err := encodeState(m.state)
	if err == nil { // not synced: after a loss of power nobody lives whose state counts
		err = fsys.Replace(m.fs, m.path(".new"), m.path(stateSuffix), text, false)
	}
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Leave withdraws this process.
func (m *Member) Leave() error {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hasLeft {
		return nil
	}
	m.hasLeft = true
	if m.retryTimer != nil {
		m.retryTimer.Stop()
	}
	var errs []error
	for _, end := range []string{".new", stateSuffix, lockSuffix} {
		if err := os.Remove(m.path(end)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			errs = append(errs, err)
		}
	}
	return errors.Join(append(errs, m.lockFile.Close())...)
}

// Changed tells a number that is another one after a process has come, left or changed its state.
func (m *Member) Changed() int64 {
	if m == nil {
		return 0
	}
	info, err := os.Stat(m.dir)
	if err != nil {
		return -1
	}
	return wallclock.Nanoseconds(info.ModTime())
}

// Others returns the states of the other processes that live, the oldest first. What dead ones left is removed, with a
// line that says so; what cannot be believed is passed over, with its reason.
func (m *Member) Others() []State {
	if m == nil {
		return nil
	}
	entries, err := os.ReadDir(m.dir)
	if err != nil {
		m.log.Warn("handover", "err", err)
		return nil
	}
	var others []State
	for _, e := range entries {
		id, ok := strings.CutSuffix(e.Name(), lockSuffix)
		if !ok || id == m.id || len(others) == maxOthers {
			continue
		}
		if alive, err := isLocked(filepath.Join(m.dir, e.Name())); err != nil {
			m.log.Warn("handover", "err", err)
			continue
		} else if !alive {
			m.log.Info("handover: dropped what a process left that has ended", "process", id)
			for _, end := range []string{".new", stateSuffix, lockSuffix} {
				_ = os.Remove(filepath.Join(m.dir, id+end)) // another process may have been quicker
			}
			continue
		}
		s, err := readStateFile(filepath.Join(m.dir, id+stateSuffix), m.state.Name, m.state.Listen)
		if errors.Is(err, fs.ErrNotExist) {
			continue // it has only just begun, and will look for this process
		}
		if err != nil {
			m.log.Warn("handover: dropped", "err", err)
			continue
		}
		others = append(others, s)
	}
	slices.SortFunc(others, State.Compare)
	return others
}

// readStateFile reads a state file.
func readStateFile(path, name, listen string) (State, error) {
	f, err := os.Open(path)
	if err != nil {
		return State{}, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxStateBytes+1))
	if err != nil {
		return State{}, err
	}
	if len(text) > maxStateBytes {
		return State{}, fmt.Errorf("%s has more than %d bytes", path, maxStateBytes)
	}
	s, err := decodeState(text, name, listen)
	if err != nil {
		return State{}, fmt.Errorf("%s %w", path, err)
	}
	return s, nil
}

// isLocked tells whether a process holds the lock of a file.
func isLocked(path string) (bool, error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer f.Close()
	switch err := syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB); {
	case errors.Is(err, syscall.EWOULDBLOCK):
		return true, nil
	case err != nil:
		return false, fmt.Errorf("%s: lock: %w", path, err)
	}
	return false, nil
}

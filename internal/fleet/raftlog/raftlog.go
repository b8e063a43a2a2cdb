// Package raftlog keeps on disk what a decider must not forget: who it is, which consensus group it is of, and its part of the consensus group's log
// (package consensus group). It decides nothing.
//
// A folder holds one file of sealed records, each a length, a sum over it, a sum over the content, and the content as CBOR. A
// record is one batch, written and synced before anything that rests on it is told. So at most the last one can be torn: that is
// dropped, as nobody has heard of it. What is spoilt elsewhere is an error, never passed over: a decider that has forgotten what
// it told others must not take part as if it knew. A file that has grown is written anew beside the old one, and takes its
// place by its name.
//
// Not told apart: a file that somebody has cut at the end of a record. A folder of an earlier life is, by package consensus.
package raftlog

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"

	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fsys"
)

const (
	formatVersion  = 1
	headerBytes    = 4 + 4 + 8 // length, sum over the length, sum over the content
	maxRecordBytes = 64 << 20  // bytes of a record's content: a snapshot, or some documents
	// A file is written anew once it has this many bytes, and twice those that it began with.
	defaultCompactionThreshold = 4 << 20
	filePrefix                 = "council-"
	tempSuffix                 = ".new"
	lockFileName               = "lock"
)

// ErrCorrupt says that a file has something in its midst that was never written so. The decider cannot take part with it.
var ErrCorrupt = errors.New("the folder is spoilt: give this decider an empty one and add it anew")

// record is what a file is made of. The first of a file has all that held before it.
type record struct {
	Format       int                  `cbor:"1,keyasint,omitempty"` // of the first
	Self         *consensus.Identity  `cbor:"2,keyasint,omitempty"`
	Bootstrap    *consensus.Bootstrap `cbor:"3,keyasint,omitempty"`
	Incarnations map[uint64]uint64    `cbor:"4,keyasint,omitempty"` // lives of others, by decider
	HardState    []byte               `cbor:"5,keyasint,omitempty"`
	Snapshot     []byte               `cbor:"6,keyasint,omitempty"`
	Entries      [][]byte             `cbor:"7,keyasint,omitempty"`
}

// PersistentState is what a folder holds.
type PersistentState struct {
	Self         consensus.Identity
	Bootstrap    *consensus.Bootstrap // nil: it is of no consensus group yet
	Incarnations map[uint64]uint64
	Raft         consensus.PersistentState
}

// errClosed says that the folder was let go of.
var errClosed = errors.New("consensus folder: closed")

// Log is an open folder.
type Log struct {
	dir                 string
	fs                  fsys.FS
	compactionThreshold int64
	lockFile            *os.File

	mu                  sync.Mutex
	file                fsys.File
	fileNumber          uint64
	size                int64
	initialSize         int64 // size of the file's first record
	compactionRetrySize int64 // no rewrite is tried below this size, as one has failed
	state               PersistentState
	tailUnknown         bool // what the file holds behind the last record kept is not known, or a newer one may have its place
	closed              bool
}

// Open opens a folder, which it makes where there is none, for a further life of its decider. dropped is how many bytes of a torn
// record were passed over. fresh is what a decider without any memory is to be called.
func Open(dir string, fresh uint64) (l *Log, dropped int, err error) {
	return open(dir, fresh, fsys.OS{}, defaultCompactionThreshold)
}

func open(dir string, fresh uint64, fs fsys.FS, grown int64) (l *Log, dropped int, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, 0, fmt.Errorf("consensus folder: %w", err)
	}
	l = &Log{dir: dir, fs: fs, compactionThreshold: grown, state: PersistentState{Incarnations: map[uint64]uint64{}}}
	held, err := lockFolder(filepath.Join(dir, lockFileName))
	if err != nil {
		return nil, 0, err
	}
	l.lockFile = held
	defer func() {
		if err != nil {
			_ = held.Close()
		}
	}()
	numbers, err := l.listFiles()
	if err != nil {
		return nil, 0, err
	}
	if len(numbers) > 0 { // a file gets its name when it is whole, so the newest one has all
		l.fileNumber = numbers[len(numbers)-1]
		if dropped, err = l.readFile(l.filePath(l.fileNumber)); err != nil {
			return nil, 0, err
		}
	}
	if l.state.Self.ID == 0 {
		l.state.Self.ID = fresh
	}
	l.state.Self.Incarnation++
	// Danger: what was torn is never appended to; the file is written anew, with the new life in it.
	if err := l.rewrite(l.state); err != nil {
		return nil, 0, err
	}
	for _, n := range numbers {
		_ = os.Remove(l.filePath(n)) // one that stays is passed over
	}
	return l, dropped, nil
}

func (l *Log) filePath(number uint64) string {
	return filepath.Join(l.dir, fmt.Sprintf("%s%016x", filePrefix, number))
}

// listFiles lists the numbers of the whole files, in order, and removes what was not finished.
func (l *Log) listFiles() (numbers []uint64, err error) {
	entries, err := os.ReadDir(l.dir)
	if err != nil {
		return nil, fmt.Errorf("consensus folder: %w", err)
	}
	for _, e := range entries {
		rest, ours := strings.CutPrefix(e.Name(), filePrefix)
		if !ours {
			continue
		}
		if strings.HasSuffix(rest, tempSuffix) {
			if err := os.Remove(filepath.Join(l.dir, e.Name())); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return nil, fmt.Errorf("consensus folder: %w", err)
			}
			continue
		}
		var n uint64
		if _, err := fmt.Sscanf(rest, "%016x", &n); err != nil {
			return nil, fmt.Errorf("consensus folder: %s: no file of this program", e.Name())
		}
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers, nil
}

// State is what the folder holds. Entries and snapshot are the caller's to read alone.
func (l *Log) State() PersistentState {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.state
	m.Raft.Entries, m.Incarnations = slices.Clone(m.Raft.Entries), maps.Clone(m.Incarnations)
	return m
}

// readFile takes in a file.
func (l *Log) readFile(path string) (dropped int, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("consensus folder: %w", err)
	}
	for at := 0; at < len(text); {
		content, size, err := decodeRecord(text[at:])
		if err != nil {
			return 0, fmt.Errorf("%s: byte %d: %w", path, at, err)
		}
		if size == 0 {
			dropped = len(text) - at
			break
		}
		var r record
		if err := cbor.Unmarshal(content, &r); err != nil {
			return 0, fmt.Errorf("%s: byte %d: %w: %w", path, at, ErrCorrupt, err)
		}
		if at == 0 && r.Format != formatVersion {
			return 0, fmt.Errorf("%s: format %d, this program knows %d", path, r.Format, formatVersion)
		}
		if err := l.state.applyRecord(r); err != nil {
			return 0, fmt.Errorf("%s: byte %d: %w: %w", path, at, ErrCorrupt, err)
		}
		at += size
	}
	if l.state.Self.ID == 0 { // its first record was whole before it had its name
		return 0, fmt.Errorf("%s: %w: it has no first record", path, ErrCorrupt)
	}
	return dropped, nil
}

// decodeRecord returns the content of the record that text begins with, and the record's size; 0: it is torn.
func decodeRecord(text []byte) (content []byte, size int, err error) {
	if len(text) < headerBytes {
		return nil, 0, nil
	}
	length := binary.LittleEndian.Uint32(text)
	if binary.LittleEndian.Uint32(text[4:]) != uint32(xxhash.Sum64(text[:4])) || length > maxRecordBytes {
		if len(bytes.Trim(text[headerBytes:], "\x00")) == 0 { // the file got its length before its content
			return nil, 0, nil
		}
		return nil, 0, ErrCorrupt
	}
	if size = headerBytes + int(length); len(text) < size {
		return nil, 0, nil
	}
	if content = text[headerBytes:size]; binary.LittleEndian.Uint64(text[8:]) != xxhash.Sum64(content) {
		if len(text) == size || len(bytes.Trim(text[size:], "\x00")) == 0 { // the last one
			return nil, 0, nil
		}
		return nil, 0, ErrCorrupt
	}
	return content, size, nil
}

// withRecord returns the memory with a record added. The former one stays as it is.
func (m PersistentState) withRecord(r record) (PersistentState, error) {
	m.Incarnations = maps.Clone(m.Incarnations)
	err := m.applyRecord(r)
	return m, err
}

// applyRecord adds a record.
func (m *PersistentState) applyRecord(r record) error {
	if r.Self != nil {
		m.Self = *r.Self
	}
	if r.Bootstrap != nil {
		m.Bootstrap = r.Bootstrap
	}
	for id, life := range r.Incarnations {
		m.Incarnations[id] = max(m.Incarnations[id], life)
	}
	if r.HardState != nil {
		m.Raft.HardState = raftpb.HardState{}
		if err := m.Raft.HardState.Unmarshal(r.HardState); err != nil {
			return err
		}
	}
	if r.Snapshot != nil {
		m.Raft.Snapshot = raftpb.Snapshot{}
		if err := m.Raft.Snapshot.Unmarshal(r.Snapshot); err != nil {
			return err
		}
		m.Raft.Entries = entriesAfter(m.Raft.Entries, m.Raft.Snapshot.Metadata.Index)
	}
	if len(r.Entries) == 0 {
		return nil
	}
	entries := make([]raftpb.Entry, len(r.Entries))
	for i, text := range r.Entries {
		if err := entries[i].Unmarshal(text); err != nil {
			return err
		}
	}
	kept := m.Raft.Entries
	if i := slices.IndexFunc(kept, func(e raftpb.Entry) bool { return e.Index >= entries[0].Index }); i >= 0 {
		kept = kept[:i]
	}
	last := m.Raft.Snapshot.Metadata.Index
	if len(kept) > 0 {
		last = kept[len(kept)-1].Index
	}
	if entries[0].Index > last+1 && last > 0 {
		return fmt.Errorf("entry %d follows entry %d", entries[0].Index, last)
	}
	m.Raft.Entries = append(slices.Clip(kept), entries...)
	return nil
}

// entriesAfter returns the entries behind an index.
func entriesAfter(entries []raftpb.Entry, index uint64) []raftpb.Entry {
	i := slices.IndexFunc(entries, func(e raftpb.Entry) bool { return e.Index > index })
	if i < 0 {
		return nil
	}
	return entries[i:]
}

// Persist writes a batch down. After an error the batch is not kept, and nothing that rests on it may be told; a later
// life may read it all the same. The batch is to be kept again until that succeeds: each try writes all that is held
// into a new file, as what a failed write or sync has left of the former one is not known.
func (l *Log) Persist(b consensus.Batch) error {
	r, err := newRecord(b)
	if err != nil {
		return err
	}
	return l.append(r)
}

// SaveBootstrap writes down which consensus group the decider is of.
func (l *Log) SaveBootstrap(f consensus.Bootstrap) error { return l.append(record{Bootstrap: &f}) }

// Compact writes down a snapshot, which takes the place of the entries up to it.
func (l *Log) Compact(s raftpb.Snapshot) error { return l.Persist(consensus.Batch{Snapshot: &s}) }

func newRecord(b consensus.Batch) (r record, err error) {
	r.Incarnations = b.Incarnations
	if b.HardState != nil {
		if r.HardState, err = b.HardState.Marshal(); err != nil {
			return r, fmt.Errorf("consensus folder: state: %w", err)
		}
	}
	if b.Snapshot != nil {
		if r.Snapshot, err = b.Snapshot.Marshal(); err != nil {
			return r, fmt.Errorf("consensus folder: snapshot: %w", err)
		}
	}
	for _, e := range b.Entries {
		text, err := e.Marshal()
		if err != nil {
			return r, fmt.Errorf("consensus folder: entry %d: %w", e.Index, err)
		}
		r.Entries = append(r.Entries, text)
	}
	return r, nil
}

func encodeRecord(r record) ([]byte, error) {
	content, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("consensus folder: %w", err)
	}
	if len(content) > maxRecordBytes {
		return nil, fmt.Errorf("consensus folder: a record of %d bytes, %d are allowed", len(content), maxRecordBytes)
	}
	text := make([]byte, headerBytes, headerBytes+len(content))
	binary.LittleEndian.PutUint32(text, uint32(len(content)))
	binary.LittleEndian.PutUint32(text[4:], uint32(xxhash.Sum64(text[:4])))
	binary.LittleEndian.PutUint64(text[8:], xxhash.Sum64(content))
	return append(text, content...), nil
}

func (l *Log) append(r record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errClosed
	}
	next, err := l.state.withRecord(r)
	if err != nil {
		return fmt.Errorf("consensus folder %s: %w", l.dir, err)
	}
	if l.tailUnknown {
		return l.rewrite(next)
	}
	text, err := encodeRecord(r)
	if err != nil {
		return err
	}
	if _, err = l.file.Write(text); err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		l.tailUnknown = true
		return fmt.Errorf("consensus folder: %w", err)
	}
	l.size += int64(len(text))
	l.state = next
	if l.size > max(l.compactionThreshold, 2*l.initialSize, l.compactionRetrySize) && l.rewrite(next) != nil {
		l.compactionRetrySize = l.size + l.compactionThreshold // the record is kept; the file goes on growing for a while
	}
	return nil
}

// rewrite begins a further file that holds a memory, and drops the former one. Whatever fails, the former one is as it
// was; but once the further one may have its name it is what a later life reads, so that nothing may be appended to the
// former one any more.
func (l *Log) rewrite(m PersistentState) error {
	r, err := newRecord(consensus.Batch{HardState: &m.Raft.HardState, Snapshot: &m.Raft.Snapshot, Entries: m.Raft.Entries})
	if err != nil {
		return err
	}
	r.Format, r.Self, r.Bootstrap, r.Incarnations = formatVersion, &m.Self, m.Bootstrap, m.Incarnations
	text, err := encodeRecord(r)
	if err != nil {
		return err
	}
	path := l.filePath(l.fileNumber + 1)
	f, err := l.fs.Create(path + tempSuffix)
	if err != nil {
		return fmt.Errorf("consensus folder: %w", err)
	}
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if err == nil {
		l.tailUnknown = true
		err = l.fs.Rename(path+tempSuffix, path)
	}
	if err == nil {
		err = l.fs.SyncDir(l.dir)
	}
	if err != nil {
		err = errors.Join(fmt.Errorf("consensus folder: %w", err), f.Close())
		_ = l.fs.Remove(path + tempSuffix) // a full disk needs its room; the next try takes its place anyway
		return err
	}
	if l.file != nil {
		_ = l.file.Close()                        // nothing more is written to it
		_ = l.fs.Remove(l.filePath(l.fileNumber)) // one that stays is passed over
	}
	l.file, l.fileNumber, l.size, l.initialSize = f, l.fileNumber+1, int64(len(text)), int64(len(text))
	l.state, l.compactionRetrySize, l.tailUnknown = m, 0, false
	return nil
}

// Close lets go of the folder.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return errors.Join(l.file.Close(), l.lockFile.Close())
}

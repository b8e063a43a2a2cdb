package raftlog

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

const (
	filePrefix = "council-" // of a log file name; followed by the file number in hexadecimal
	tempSuffix = ".new"     // of the name of an incomplete log file
)

// recoverState reads the newest file of the folder for the next incarnation of the voter, and writes the state to a new
// file, so that nothing is appended to a torn record. dropped is the size in bytes of a torn record that was dropped.
func (l *Log) recoverState(newID uint64) (dropped int, err error) {
	numbers, err := l.listFiles()
	if err != nil {
		return 0, err
	}
	if len(numbers) > 0 {
		// A file gets its final name once it is complete, so the newest one contains the complete state.
		l.fileNumber = numbers[len(numbers)-1]
		if l.state, dropped, err = readFile(l.filePath(l.fileNumber)); err != nil {
			return 0, err
		}
	}
	if l.state.Self.ID == 0 {
		l.state.Self.ID = newID
	}
	l.state.Self.Incarnation++
	if err := l.rewrite(l.state); err != nil {
		return 0, err
	}
	for _, number := range numbers {
		_ = os.Remove(l.filePath(number)) // if it remains, it is ignored, as it is older than the current file
	}
	return dropped, nil
}

func (l *Log) filePath(number uint64) string {
	return filepath.Join(l.dir, fmt.Sprintf("%s%016x", filePrefix, number))
}

// listFiles returns the numbers of the complete files in ascending order, and removes the incomplete files.
func (l *Log) listFiles() (numbers []uint64, err error) {
	entries, err := os.ReadDir(l.dir)
	if err != nil {
		return nil, wrapFolderError(err)
	}
	for _, entry := range entries {
		digits, isLogFile := strings.CutPrefix(entry.Name(), filePrefix)
		if !isLogFile {
			continue
		}
		if strings.HasSuffix(digits, tempSuffix) {
			err := os.Remove(filepath.Join(l.dir, entry.Name()))
			if err != nil && !errors.Is(err, fs.ErrNotExist) {
				return nil, wrapFolderError(err)
			}
			continue
		}
		var number uint64
		if _, err := fmt.Sscanf(digits, "%016x", &number); err != nil {
			return nil, fmt.Errorf("consensus folder: %s: not a log file, as its name has no number", entry.Name())
		}
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers, nil
}

// readFile returns the state after the records of a file. dropped is the size in bytes of a torn record at its end.
func readFile(path string) (state PersistentState, dropped int, err error) {
	state = emptyState()
	data, err := os.ReadFile(path)
	if err != nil {
		return state, 0, wrapFolderError(err)
	}
	for offset := 0; offset < len(data); {
		content, size, err := decodeRecord(data[offset:])
		if errors.Is(err, errTorn) {
			dropped = len(data) - offset
			break
		}
		if err != nil {
			return state, 0, fmt.Errorf("%s: byte %d: %w", path, offset, err)
		}
		var r record
		if err := cbor.Unmarshal(content, &r); err != nil {
			return state, 0, fmt.Errorf("%s: byte %d: %w: %w", path, offset, ErrCorrupt, err)
		}
		if offset == 0 && r.Format != formatVersion {
			return state, 0, fmt.Errorf("%s: unsupported format %d, want %d", path, r.Format, formatVersion)
		}
		if err := state.applyRecord(r); err != nil {
			return state, 0, fmt.Errorf("%s: byte %d: %w: %w", path, offset, ErrCorrupt, err)
		}
		offset += size
	}
	if state.Self.ID == 0 { // the first record is complete before the file gets its final name
		return state, 0, fmt.Errorf("%s: %w: the first record is missing", path, ErrCorrupt)
	}
	return state, dropped, nil
}

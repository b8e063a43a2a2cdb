package raftlog

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"milletramp.example/milletramp/internal/fleet/consensus"
)

const (
	formatVersion  = 1
	headerBytes    = 4 + 4 + 8 // content length, checksum of the length, checksum of the content
	maxRecordBytes = 64 << 20  // of the content: a snapshot, or a batch with several policies
)

// errTorn is returned for a record at the end of a file whose write did not complete.
var errTorn = errors.New("torn record")

// record is one record of a file. The first record contains the complete state, each later one a change to it.
type record struct {
	Format       int                  `cbor:"1,keyasint,omitempty"` // set in the first record only
	Self         *consensus.Identity  `cbor:"2,keyasint,omitempty"`
	Bootstrap    *consensus.Bootstrap `cbor:"3,keyasint,omitempty"`
	Incarnations map[uint64]uint64    `cbor:"4,keyasint,omitempty"` // of other voters, by ID
	HardState    []byte               `cbor:"5,keyasint,omitempty"`
	Snapshot     []byte               `cbor:"6,keyasint,omitempty"`
	Entries      [][]byte             `cbor:"7,keyasint,omitempty"`
}

// newRecord returns the record of a batch.
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
	for _, entry := range b.Entries {
		data, err := entry.Marshal()
		if err != nil {
			return r, fmt.Errorf("consensus folder: entry %d: %w", entry.Index, err)
		}
		r.Entries = append(r.Entries, data)
	}
	return r, nil
}

// encodeRecord returns the stored form of a record: header and content.
func encodeRecord(r record) ([]byte, error) {
	content, err := cbor.Marshal(r)
	if err != nil {
		return nil, wrapFolderError(err)
	}
	if len(content) > maxRecordBytes {
		return nil, fmt.Errorf("consensus folder: a record of %d bytes, %d are allowed", len(content), maxRecordBytes)
	}
	data := make([]byte, headerBytes, headerBytes+len(content))
	binary.LittleEndian.PutUint32(data, uint32(len(content)))
	binary.LittleEndian.PutUint32(data[4:], uint32(xxhash.Sum64(data[:4])))
	binary.LittleEndian.PutUint64(data[8:], xxhash.Sum64(content))
	return append(data, content...), nil
}

// decodeRecord returns the content of the record at the start of data, and the size of the record including its header.
// The error is errTorn if the data may be an incomplete last write to the file, and ErrCorrupt otherwise.
func decodeRecord(data []byte) (content []byte, size int, err error) {
	if len(data) < headerBytes {
		return nil, 0, errTorn
	}
	length := binary.LittleEndian.Uint32(data)
	if binary.LittleEndian.Uint32(data[4:]) != uint32(xxhash.Sum64(data[:4])) || length > maxRecordBytes {
		if allZero(data[headerBytes:]) {
			return nil, 0, errTorn
		}
		return nil, 0, ErrCorrupt
	}
	if size = headerBytes + int(length); len(data) < size {
		return nil, 0, errTorn
	}
	if content = data[headerBytes:size]; binary.LittleEndian.Uint64(data[8:]) != xxhash.Sum64(content) {
		if allZero(data[size:]) {
			return nil, 0, errTorn
		}
		return nil, 0, ErrCorrupt
	}
	return content, size, nil
}

// allZero reports whether data contains only zeros, or nothing. A crash can leave zeros at the end of a file if the
// length of the file has grown before the content was written.
func allZero(data []byte) bool { return len(bytes.Trim(data, "\x00")) == 0 }

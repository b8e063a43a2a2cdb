package replication

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"milletramp.example/milletramp/internal/fleet/membership"
)

// Evidence is what one sidecar has observed of one server of late, in its own requests alone.
type Evidence struct {
	Attempts    uint32 `cbor:"1,keyasint,omitempty"` // that ended, or are out for longer than usual
	Unanswered  uint32 `cbor:"2,keyasint,omitempty"` // of these, without an answer
	Failed      uint32 `cbor:"3,keyasint,omitempty"` // answered with an error, or reset
	Refused     uint32 `cbor:"4,keyasint,omitempty"` // connections refused, or that never came up
	Late        uint32 `cbor:"5,keyasint,omitempty"` // answered late
	SinceGoodMS uint32 `cbor:"6,keyasint,omitempty"` // milliseconds since its last good answer; 0: none of late
	SinceBadMS  uint32 `cbor:"7,keyasint,omitempty"` // milliseconds since the last that was silent, late or refused
}

// Row is the evidence of one sidecar on one server. Its owner alone writes it.
type Row struct {
	Owner       string                        `cbor:"1,keyasint"`
	Incarnation membership.ProcessIncarnation `cbor:"2,keyasint"`
	Server      string                        `cbor:"3,keyasint"`
	Boot        int64                         `cbor:"4,keyasint,omitempty"` // of the server, Unix milliseconds
	Version     uint64                        `cbor:"5,keyasint"`
	Age         uint32                        `cbor:"6,keyasint,omitempty"` // milliseconds since it was written
	Evidence    Evidence                      `cbor:"7,keyasint"`

	writtenAt Time // when it was written, by the own clock
}

// compare orders the versions of one row. Two of one version differ only where one was forged.
func (r Row) compare(o Row) int {
	return cmp.Or(r.Incarnation.Compare(o.Incarnation), cmp.Compare(r.Version, o.Version), cmp.Compare(r.Boot, o.Boot),
		r.Evidence.compare(o.Evidence))
}

func (e Evidence) compare(o Evidence) int {
	return cmp.Or(
		cmp.Compare(e.Attempts, o.Attempts),
		cmp.Compare(e.Unanswered, o.Unanswered),
		cmp.Compare(e.Failed, o.Failed),
		cmp.Compare(e.Refused, o.Refused),
		cmp.Compare(e.Late, o.Late),
		cmp.Compare(e.SinceGoodMS, o.SinceGoodMS),
		cmp.Compare(e.SinceBadMS, o.SinceBadMS),
	)
}

// laterRow returns the newer of two versions of one row. One version that came two ways is as old as the older of the
// two says.
func laterRow(a, b Row) Row {
	switch c := a.compare(b); {
	case c < 0:
		return b
	case c == 0:
		a.writtenAt = min(a.writtenAt, b.writtenAt)
	}
	return a
}

// observerRank orders the owners of rows on one server by rendezvous hash: the sample of them that is held is the
// same in every copy and favours nobody.
func (r Row) observerRank() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Server) // a Digest never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(r.Owner)
	return d.Sum64()
}

// sampleRows keeps of the rows on one server those of the maxObservers owners of the highest rank. Sampling again, or
// with more rows, gives what sampling all of them at once does.
func sampleRows(rows []Row) []Row {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.observerRank(), a.observerRank()), strings.Compare(a.Owner, b.Owner))
	})
	return rows[:min(len(rows), maxObservers)]
}

// check returns what is wrong with a row that a peer sent.
func (r Row) check() error {
	switch {
	case r.Server == "" || len(r.Server) > maxKeyBytes:
		return fmt.Errorf("a server's id of %d bytes, 1 to %d are allowed", len(r.Server), maxKeyBytes)
	case r.Owner == "" || len(r.Owner) > maxKeyBytes:
		return fmt.Errorf("server %q: an owner of %d bytes, 1 to %d are allowed", r.Server, len(r.Owner), maxKeyBytes)
	case r.Version == 0 || r.Incarnation == membership.ProcessIncarnation{}:
		return fmt.Errorf("server %q: a row of %q of no life or version", r.Server, r.Owner)
	}
	return nil
}

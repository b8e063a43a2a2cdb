package replication

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"milletramp.example/milletramp/internal/fleet/membership"
)

// Evidence is one sidecar's recent observations of one server, from its own requests alone. The counts cover the time
// since the last good response.
type Evidence struct {
	Attempts    uint32 `cbor:"1,keyasint,omitempty"` // attempts that ended or are late
	Unanswered  uint32 `cbor:"2,keyasint,omitempty"` // late attempts with no response
	Failed      uint32 `cbor:"3,keyasint,omitempty"` // attempts with an error response or a broken connection
	Refused     uint32 `cbor:"4,keyasint,omitempty"` // connections refused or not established
	Late        uint32 `cbor:"5,keyasint,omitempty"` // late attempts
	SinceGoodMS uint32 `cbor:"6,keyasint,omitempty"` // milliseconds; 0: no recent good response
	SinceBadMS  uint32 `cbor:"7,keyasint,omitempty"` // milliseconds since the last silent, late or refused attempt
}

// Row is the evidence of one sidecar on one server. Only its owner writes it.
type Row struct {
	Owner       string                        `cbor:"1,keyasint"`
	Incarnation membership.ProcessIncarnation `cbor:"2,keyasint"`
	Server      string                        `cbor:"3,keyasint"`
	Boot        int64                         `cbor:"4,keyasint,omitempty"` // server's start, Unix ms
	Version     uint64                        `cbor:"5,keyasint"`
	Age         uint32                        `cbor:"6,keyasint,omitempty"` // ms since it was written, as sent
	Evidence    Evidence                      `cbor:"7,keyasint"`

	writtenAt Time // when it was written, by this sidecar's monotonic clock
}

// compare orders the versions of one row. Rows with the same version differ only if one was forged.
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

// laterRow returns the newer of two versions of one row. If both are the same version, received over two paths, the
// result has the greater age of the two.
func laterRow(a, b Row) Row {
	switch c := a.compare(b); {
	case c < 0:
		return b
	case c == 0:
		a.writtenAt = min(a.writtenAt, b.writtenAt)
	}
	return a
}

// observerRank returns the rendezvous hash of the row's owner for its server. The sample of owners with the highest
// ranks is the same in all replicas and favors no owner.
func (r Row) observerRank() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Server) // xxhash.Digest.WriteString never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(r.Owner)
	return d.Sum64()
}

// sampleRows returns the rows of the maxObservers owners with the highest rank on one server. Sampling in several steps
// gives the same result as sampling all rows at once.
func sampleRows(rows []Row) []Row {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.observerRank(), a.observerRank()), strings.Compare(a.Owner, b.Owner))
	})
	return rows[:min(len(rows), maxObservers)]
}

// check returns an error if a row is invalid.
func (r Row) check() error {
	switch {
	case r.Server == "" || len(r.Server) > maxKeyBytes:
		return fmt.Errorf("server ID has %d bytes, want 1 to %d", len(r.Server), maxKeyBytes)
	case r.Owner == "" || len(r.Owner) > maxKeyBytes:
		return fmt.Errorf("server %q: owner name has %d bytes, want 1 to %d", r.Server, len(r.Owner), maxKeyBytes)
	case r.Version == 0 || r.Incarnation == membership.ProcessIncarnation{}:
		return fmt.Errorf("server %q: row of %q has no incarnation or no version", r.Server, r.Owner)
	}
	return nil
}

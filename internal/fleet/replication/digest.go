package replication

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// NumBuckets is the number of buckets into which the keys of each kind are hashed.
const NumBuckets = 8

// Digest summarizes the state of a replica: for each kind and bucket it has the sum of the hashes of the items there.
// Different states have equal sums with a probability of 2^-64.
type Digest [NumKinds][NumBuckets]uint64

// PerKind returns one combined sum for each kind.
func (d Digest) PerKind() (sums [NumKinds]uint64) {
	for k := range d {
		for _, part := range d[k] {
			sums[k] = sums[k]*31 + part
		}
	}
	return sums
}

// Bucket returns the bucket of a key within its kind.
func (k Key) Bucket() int { return int(xxhash.Sum64String(k.Server) % NumBuckets) }

// Digest returns the digest of the replica's state. It excludes ages, which differ between replicas.
func (s *Store) Digest() Digest {
	if s.digestStale {
		s.digestCache, s.digestStale = s.computeDigest(), false
	}
	return s.digestCache
}

func (s *Store) computeDigest() (d Digest) {
	add := func(k Key, parts ...uint64) {
		var h xxhash.Digest
		h.Reset()
		_, _ = h.WriteString(k.Server) // xxhash.Digest.WriteString never fails
		_, _ = h.Write([]byte{0, byte(k.Kind)})
		_, _ = h.WriteString(k.Owner)
		for _, p := range parts {
			_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, p))
		}
		d[k.Kind][k.Bucket()] += h.Sum64()
	}
	for server, h := range s.adminStates {
		parts := []uint64{uint64(h.Listed), uint64(len(h.Standing))}
		for _, c := range h.Standing {
			parts = append(parts, c.Dot.Nonce, c.Dot.Count)
		}
		for _, seen := range h.Seen {
			parts = append(parts, seen.Nonce, seen.Count)
		}
		add(Key{KindAdmin, server, ""}, parts...)
	}
	for server, rows := range s.rows {
		for _, r := range rows {
			add(Key{KindRow, server, r.Owner}, r.Incarnation.Number, r.Incarnation.Nonce, r.Version)
		}
	}
	for server, b := range s.starts {
		add(Key{KindStart, server, ""}, uint64(b.Boot))
	}
	for server, t := range s.tests {
		add(Key{KindTest, server, t.Tester}, t.Version)
	}
	return d
}

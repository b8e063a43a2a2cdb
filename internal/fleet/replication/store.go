// Package replication decides what the copies of the fleet's state hold, and which of two that differ counts. It is a
// stepped machine like package balance: calls, what peers say and the time go in, what is to be passed on comes out. It
// has no clock, socket or goroutine. A Store must not be used by two goroutines at once.
//
// There are four kinds of state, each with a merge that is associative, commutative and idempotent: servers taken out by
// hand (Hand), evidence on servers (Row), their starts (Start), and tests of suspect servers (Test). So copies that have
// heard the same hold the same, in whatever order and however often they heard it.
package replication

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"milletramp.example/milletramp/internal/fleet/membership"
)

// Time is a reading of the host's monotonic clock.
type Time = time.Duration

// The bounds of what a Store holds.
const (
	maxKeyBytes    = 64               // bytes of a server's id or a sidecar's name
	maxAdminStates = 1024             // servers that the staff has spoken of
	maxLives       = 256              // of sidecars whose calls on one server are told apart
	maxObservers   = 16               // sidecars whose evidence on one server is held
	maxSuspects    = 512              // servers of which evidence is held
	maxOwners      = 4096             // sidecars whose lives are told apart
	maxStarts      = 2048             // servers whose start is held
	maxTests       = 512              // servers that are tested
	rowLifetime    = 10 * time.Second // of a row that its owner does not write again
	testLifetime   = time.Minute      // of a test of which nothing is heard
	startLifetime  = 10 * time.Minute // of a start: by then every server is warm and every list has it
	retentionHours = 24               // that a server is on no list before what the staff said of it is forgotten
)

// Kind is a kind of state.
type Kind uint8

// The kinds of state.
const (
	KindAdmin Kind = iota
	KindRow
	KindStart
	KindTest
	NumKinds
)

var kindNames = [NumKinds]string{"by hand", "evidence", "starts", "tests"}

// String implements fmt.Stringer.
func (k Kind) String() string {
	if k < NumKinds {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Start is the last start of a server's process that any sidecar has heard of: the latest wins.
type Start struct {
	Server string `cbor:"1,keyasint"`
	Boot   int64  `cbor:"2,keyasint"` // Unix milliseconds
}

// Test is the test of a suspect server: who does it and how it ended. Each step raises the version; of two that did not
// know of each other the one of the greater name counts.
type Test struct {
	Server  string `cbor:"1,keyasint"`
	Boot    int64  `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint"`
	Tester  string `cbor:"4,keyasint"`
	Ended   bool   `cbor:"5,keyasint,omitempty"`
	Well    bool   `cbor:"6,keyasint,omitempty"`
	Age     uint32 `cbor:"7,keyasint,omitempty"` // milliseconds since the step, as sent

	writtenAt Time
}

func (t Test) compare(o Test) int {
	return cmp.Or(cmp.Compare(t.Version, o.Version), strings.Compare(t.Tester, o.Tester), cmp.Compare(t.Boot, o.Boot),
		compareBool(t.Ended, o.Ended), compareBool(o.Well, t.Well)) // made up twice: the one that says it is not well
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func laterTest(a, b Test) Test {
	switch c := a.compare(b); {
	case c < 0:
		return b
	case c == 0:
		a.writtenAt = min(a.writtenAt, b.writtenAt)
	}
	return a
}

// Item is one piece of state, as it is passed on: exactly one of its fields is set.
type Item struct {
	Admin *AdminState `cbor:"1,keyasint,omitempty"`
	Row   *Row        `cbor:"2,keyasint,omitempty"`
	Start *Start      `cbor:"3,keyasint,omitempty"`
	Test  *Test       `cbor:"4,keyasint,omitempty"`
}

// Key names a piece of state.
type Key struct {
	Kind   Kind
	Server string
	Owner  string // KindRow
}

// Key returns the key of an item.
func (i Item) Key() (Key, error) {
	set, key := 0, Key{}
	if i.Admin != nil {
		set, key = set+1, Key{KindAdmin, i.Admin.Server, ""}
	}
	if i.Row != nil {
		set, key = set+1, Key{KindRow, i.Row.Server, i.Row.Owner}
	}
	if i.Start != nil {
		set, key = set+1, Key{KindStart, i.Start.Server, ""}
	}
	if i.Test != nil {
		set, key = set+1, Key{KindTest, i.Test.Server, ""}
	}
	if set != 1 {
		return Key{}, fmt.Errorf("an item with %d kinds, 1 is allowed", set)
	}
	return key, nil
}

// errFull says that a Store holds as much of a kind as it may.
var errFull = errors.New("full")

// Now is the time in all the ways in which it matters.
type Now struct {
	Time Time  // of the monotonic clock
	Wall int64 // of the clock of day, in Unix milliseconds; it may be off and may step
}

// Store is one sidecar's copy of the fleet's state.
type Store struct {
	name        string
	life        membership.Life
	clock       clock
	adminStates map[string]AdminState
	rows        map[string][]Row // by server, as keepRows leaves them
	starts      map[string]Start
	tests       map[string]Test
	deadLives   map[string]membership.Life // of each owner: rows of this life and of earlier ones count no more
	ownVersions map[string]uint64          // versions of the own rows, kept rows or not
	digestCache Digest
	digestStale bool // sums are not of what is held now
}

// New returns an empty copy.
func New(name string, life membership.Life) *Store {
	return &Store{name: name, life: life, adminStates: map[string]AdminState{}, rows: map[string][]Row{}, starts: map[string]Start{},
		tests: map[string]Test{}, deadLives: map[string]membership.Life{}, ownVersions: map[string]uint64{}}
}

// SetLife says under which life this sidecar goes from now on.
func (s *Store) SetLife(life membership.Life) { s.life = life }

// RecordCall takes in a call of the staff to this sidecar.
func (s *Store) RecordCall(now Now, server string, out bool) (Key, error) {
	h, known := s.adminStates[server]
	switch {
	case server == "" || len(server) > maxKeyBytes:
		return Key{}, fmt.Errorf("server %.80q: 1 to %d bytes are allowed", server, maxKeyBytes)
	case !known && len(s.adminStates) >= maxAdminStates:
		return Key{}, fmt.Errorf("server %q: %d others are known by hand: %w", server, len(s.adminStates), errFull)
	}
	h.Server, h.Listed = server, max(h.Listed, wallHours(now.Wall))
	s.digestStale = true
	s.adminStates[server] = h.withCall(s.name, s.life.Nonce, out, s.clock.next(now.Wall))
	return Key{KindAdmin, server, ""}, nil
}

// wallHours is the time of day in whole hours, in which listings are counted: so they seldom change.
func wallHours(wall int64) int64 { return wall / time.Hour.Milliseconds() }

// MarkListed says which servers this sidecar's own list has. What the staff said of a server is kept while any sidecar lists
// it, and for forgetHours after that. It returns what has changed.
func (s *Store) MarkListed(now Now, servers []string) (changed []Key) {
	for _, server := range servers {
		if h, ok := s.adminStates[server]; ok && h.Listed < wallHours(now.Wall) {
			h.Listed = wallHours(now.Wall)
			s.adminStates[server], s.digestStale = h, true
			changed = append(changed, Key{KindAdmin, server, ""})
		}
	}
	return changed
}

// WriteRow writes the own row on a server.
func (s *Store) WriteRow(now Now, server string, boot int64, e Evidence) (Key, error) {
	s.ownVersions[server]++
	r := Row{Owner: s.name, Life: s.life, Server: server, Boot: boot, Version: s.ownVersions[server], Evidence: e, writtenAt: now.Time}
	if err := r.check(); err != nil {
		return Key{}, err
	}
	_, err := s.mergeRow(now, r)
	return Key{KindRow, server, s.name}, err
}

// RecordStart says that this sidecar has heard of a server's start.
func (s *Store) RecordStart(now Now, server string, boot int64) (Key, bool) {
	changed, err := s.Merge(now, Item{Start: &Start{server, boot}}, "")
	return Key{KindStart, server, ""}, changed && err == nil
}

// RecordTest writes a step of a test. The version is the next one to what is known.
func (s *Store) RecordTest(now Now, server string, boot int64, ended, well bool) (Key, error) {
	t := Test{Server: server, Boot: boot, Version: s.tests[server].Version + 1, Tester: s.name, Ended: ended, Well: well}
	_, err := s.Merge(now, Item{Test: &t}, s.name)
	return Key{KindTest, server, ""}, err
}

// Merge takes in what a peer says, and tells whether it was news. What cannot be is an error, and changes nothing.
func (s *Store) Merge(now Now, item Item, from string) (changed bool, err error) {
	key, err := item.Key()
	if err != nil {
		return false, err
	}
	switch key.Kind {
	case KindAdmin:
		return s.mergeAdmin(now, *item.Admin)
	case KindRow:
		r := *item.Row
		if err := r.check(); err != nil {
			return false, err
		}
		// Danger: nobody else writes the own rows, not even a former life; the version says which came later.
		if r.Owner == s.name && r.Life.Compare(s.life) <= 0 {
			return false, nil
		}
		r.writtenAt = now.Time - Time(r.Age)*time.Millisecond
		return s.mergeRow(now, r)
	case KindStart:
		return s.mergeStart(now, *item.Start)
	}
	t := *item.Test
	if t.Server == "" || len(t.Server) > maxKeyBytes || t.Tester == "" || len(t.Tester) > maxKeyBytes || t.Version == 0 {
		return false, fmt.Errorf("a test of server %.80q by %.80q, version %d", t.Server, t.Tester, t.Version)
	}
	t.writtenAt = now.Time - Time(t.Age)*time.Millisecond
	return s.mergeTest(now, t)
}

func (s *Store) mergeAdmin(now Now, h AdminState) (bool, error) {
	s.digestStale = true
	if err := h.check(); err != nil {
		return false, err
	}
	// Danger: copies whose clocks differ must hold the same hour, so it is bounded only where a clock is off by days.
	h.Listed = min(h.Listed, wallHours(now.Wall)+2*retentionHours)
	if wallHours(now.Wall)-h.Listed > retentionHours {
		return false, nil // it has been forgotten
	}
	for _, c := range h.Standing {
		s.clock.follow(c.At, now.Wall)
	}
	former, known := s.adminStates[h.Server]
	if !known {
		if len(s.adminStates) >= maxAdminStates {
			return false, fmt.Errorf("server %q: %d others are known by hand: %w", h.Server, len(s.adminStates), errFull)
		}
		s.adminStates[h.Server] = h
		return true, nil
	}
	merged := mergeAdminStates(former, h)
	if len(merged.Seen) > maxLives {
		return false, fmt.Errorf("server %q: calls of more than %d lives: %w", h.Server, maxLives, errFull)
	}
	s.adminStates[h.Server] = merged
	return merged.Listed != former.Listed || !slices.Equal(merged.Standing, former.Standing) || !slices.Equal(merged.Seen, former.Seen), nil
}

func (s *Store) mergeRow(now Now, r Row) (bool, error) {
	if now.Time-r.writtenAt >= rowLifetime || r.Life.Compare(s.deadLives[r.Owner]) <= 0 {
		return false, nil // it has faded, or its owner has died
	}
	s.MarkDead(r.Owner, lifeBefore(r.Life)) // whose earlier lives are over
	s.digestStale = true
	rows, known := s.rows[r.Server]
	if !known && len(s.rows) >= maxSuspects {
		return false, fmt.Errorf("server %q: evidence on %d others is held: %w", r.Server, len(s.rows), errFull)
	}
	i := slices.IndexFunc(rows, func(o Row) bool { return o.Owner == r.Owner })
	if i < 0 {
		rows = sampleRows(append(rows, r))
		s.rows[r.Server] = rows
		return slices.ContainsFunc(rows, func(o Row) bool { return o.Owner == r.Owner }), nil
	}
	news := rows[i].compare(r) < 0
	rows[i] = laterRow(rows[i], r)
	return news, nil
}

func (s *Store) mergeStart(now Now, b Start) (bool, error) {
	switch age := now.Wall - b.Boot; {
	case b.Server == "" || len(b.Server) > maxKeyBytes:
		return false, fmt.Errorf("a server's id of %d bytes, 1 to %d are allowed", len(b.Server), maxKeyBytes)
	case age < -maxAheadMillis: // nobody has heard of what is yet to be
		return false, fmt.Errorf("server %q: starts in %v", b.Server, time.Duration(-age)*time.Millisecond)
	case age >= startLifetime.Milliseconds():
		return false, nil
	}
	former, known := s.starts[b.Server]
	if !known && len(s.starts) >= maxStarts {
		return false, fmt.Errorf("server %q: starts of %d others are held: %w", b.Server, len(s.starts), errFull)
	}
	if known && former.Boot >= b.Boot {
		return false, nil
	}
	s.starts[b.Server], s.digestStale = b, true
	return true, nil
}

func (s *Store) mergeTest(now Now, t Test) (bool, error) {
	if now.Time-t.writtenAt >= testLifetime {
		return false, nil
	}
	s.digestStale = true
	former, known := s.tests[t.Server]
	if !known && len(s.tests) >= maxTests {
		return false, fmt.Errorf("server %q: %d others are tested: %w", t.Server, len(s.tests), errFull)
	}
	if !known {
		s.tests[t.Server] = t
		return true, nil
	}
	s.tests[t.Server] = laterTest(former, t)
	return former.compare(t) < 0, nil
}

// lifeBefore is the last life there could be before another.
func lifeBefore(l membership.Life) membership.Life {
	if l.Nonce == 0 {
		return membership.Life{Number: l.Number - 1, Nonce: math.MaxUint64}
	}
	return membership.Life{Number: l.Number, Nonce: l.Nonce - 1}
}

// MarkDead says that an owner's life is over: its rows go, and none of that life or an earlier one comes back.
func (s *Store) MarkDead(owner string, life membership.Life) {
	if life.Compare(s.deadLives[owner]) <= 0 {
		return
	}
	s.deadLives[owner], s.digestStale = life, true
	for server, rows := range s.rows {
		s.setRows(server, slices.DeleteFunc(rows, func(r Row) bool { return r.Owner == owner && r.Life.Compare(life) <= 0 }))
	}
}

func (s *Store) setRows(server string, rows []Row) {
	if len(rows) == 0 {
		delete(s.rows, server)
	} else {
		s.rows[server] = rows
	}
}

// Expire lets go of what is too old. It is to be called about once a second.
func (s *Store) Expire(now Now) {
	s.digestStale = true
	for server, rows := range s.rows {
		s.setRows(server, slices.DeleteFunc(rows, func(r Row) bool { return now.Time-r.writtenAt >= rowLifetime }))
	}
	if len(s.deadLives) > maxOwners { // made up, most likely; without their mark the age of their rows still binds
		held := map[string]bool{}
		for _, rows := range s.rows {
			for _, r := range rows {
				held[r.Owner] = true
			}
		}
		maps.DeleteFunc(s.deadLives, func(owner string, _ membership.Life) bool { return !held[owner] })
	}
	maps.DeleteFunc(s.tests, func(_ string, t Test) bool { return now.Time-t.writtenAt >= testLifetime })
	maps.DeleteFunc(s.starts, func(_ string, b Start) bool { return now.Wall-b.Boot >= startLifetime.Milliseconds() })
	maps.DeleteFunc(s.adminStates, func(_ string, h AdminState) bool { return wallHours(now.Wall)-h.Listed > retentionHours })
}

// AdminDown lists the servers that are out by hand, in order.
func (s *Store) AdminDown() (servers []string) {
	for server, h := range s.adminStates {
		if h.Down() {
			servers = append(servers, server)
		}
	}
	slices.Sort(servers)
	return servers
}

// AdminState is what the staff has said of a server.
func (s *Store) AdminState(server string) (AdminState, bool) {
	h, ok := s.adminStates[server]
	return h, ok
}

// Rows is the evidence on a server, each with its age.
func (s *Store) Rows(now Now, server string) []Row {
	rows := slices.Clone(s.rows[server])
	for i := range rows {
		rows[i].Age = age(now, rows[i].writtenAt)
	}
	return rows
}

// ServersWithEvidence lists the servers of which there is evidence, in order.
func (s *Store) ServersWithEvidence() []string { return slices.Sorted(maps.Keys(s.rows)) }

// Boot is the last known start of a server, 0 where none is known.
func (s *Store) Boot(server string) int64 { return s.starts[server].Boot }

// Test is the test of a server.
func (s *Store) Test(server string) (Test, bool) {
	t, ok := s.tests[server]
	return t, ok
}

func age(now Now, born Time) uint32 { return uint32(max(now.Time-born, 0) / time.Millisecond) }

// Item returns a piece of state as it is passed on now.
func (s *Store) Item(now Now, k Key) (Item, bool) {
	switch k.Kind {
	case KindAdmin:
		h, ok := s.adminStates[k.Server]
		return Item{Admin: &h}, ok
	case KindRow:
		for _, r := range s.rows[k.Server] {
			if r.Owner == k.Owner {
				r.Age = age(now, r.writtenAt)
				return Item{Row: &r}, true
			}
		}
	case KindStart:
		b, ok := s.starts[k.Server]
		return Item{Start: &b}, ok
	case KindTest:
		t, ok := s.tests[k.Server]
		t.Age = age(now, t.writtenAt)
		return Item{Test: &t}, ok
	}
	return Item{}, false
}

// Keys lists all that the copy holds: what the staff said first, and in order.
func (s *Store) Keys() (keys []Key) {
	for server := range s.adminStates {
		keys = append(keys, Key{KindAdmin, server, ""})
	}
	for server, rows := range s.rows {
		for _, r := range rows {
			keys = append(keys, Key{KindRow, server, r.Owner})
		}
	}
	for server := range s.starts {
		keys = append(keys, Key{KindStart, server, ""})
	}
	for server := range s.tests {
		keys = append(keys, Key{KindTest, server, ""})
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), strings.Compare(a.Server, b.Server), strings.Compare(a.Owner, b.Owner))
	})
	return keys
}

// NumBuckets is the number of parts in which a kind is compared.
const NumBuckets = 8

// Digest tells copies apart: for each kind and part the sum of what is held there. The same sum is the same state, but
// with a chance of one in 2^64.
type Digest [NumKinds][NumBuckets]uint64

// PerKind is one sum for each kind.
func (d Digest) PerKind() (sums [NumKinds]uint64) {
	for k := range d {
		for _, part := range d[k] {
			sums[k] = sums[k]*31 + part
		}
	}
	return sums
}

// Bucket is the part of its kind that a key is in.
func (k Key) Bucket() int { return int(xxhash.Sum64String(k.Server) % NumBuckets) }

// Digest sums up what the copy holds. Ages do not count: they grow on the way.
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
		_, _ = h.WriteString(k.Server) // a Digest never fails
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
			add(Key{KindRow, server, r.Owner}, r.Life.Number, r.Life.Nonce, r.Version)
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

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
	mostKey       = 64               // bytes of a server's id or a sidecar's name
	mostHands     = 1024             // servers that the staff has spoken of
	mostLives     = 256              // of sidecars whose calls on one server are told apart
	mostWitnesses = 16               // sidecars whose evidence on one server is held
	mostSuspects  = 512              // servers of which evidence is held
	mostOwners    = 4096             // sidecars whose lives are told apart
	mostStarts    = 2048             // servers whose start is held
	mostTests     = 512              // servers that are tested
	rowLife       = 10 * time.Second // of a row that its owner does not write again
	testLife      = time.Minute      // of a test of which nothing is heard
	startLife     = 10 * time.Minute // of a start: by then every server is warm and every list has it
	forgetHours   = 24               // that a server is on no list before what the staff said of it is forgotten
)

// Kind is a kind of state.
type Kind uint8

// The kinds of state.
const (
	KindHand Kind = iota
	KindRow
	KindStart
	KindTest
	Kinds
)

var kindNames = [Kinds]string{"by hand", "evidence", "starts", "tests"}

// String implements fmt.Stringer.
func (k Kind) String() string {
	if k < Kinds {
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

	born Time
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
		a.born = min(a.born, b.born)
	}
	return a
}

// Item is one piece of state, as it is passed on: exactly one of its fields is set.
type Item struct {
	Hand  *Hand  `cbor:"1,keyasint,omitempty"`
	Row   *Row   `cbor:"2,keyasint,omitempty"`
	Start *Start `cbor:"3,keyasint,omitempty"`
	Test  *Test  `cbor:"4,keyasint,omitempty"`
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
	if i.Hand != nil {
		set, key = set+1, Key{KindHand, i.Hand.Server, ""}
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
	name  string
	life  membership.Life
	clock clock
	hands map[string]Hand
	rows  map[string][]Row // by server, as keepRows leaves them
	start map[string]Start
	tests map[string]Test
	over  map[string]membership.Life // of each owner: rows of this life and of earlier ones count no more
	own   map[string]uint64          // versions of the own rows, kept rows or not
	sums  Digest
	stale bool // sums are not of what is held now
}

// New returns an empty copy.
func New(name string, life membership.Life) *Store {
	return &Store{name: name, life: life, hands: map[string]Hand{}, rows: map[string][]Row{}, start: map[string]Start{},
		tests: map[string]Test{}, over: map[string]membership.Life{}, own: map[string]uint64{}}
}

// Alive says under which life this sidecar goes from now on.
func (s *Store) Alive(life membership.Life) { s.life = life }

// Call takes in a call of the staff to this sidecar.
func (s *Store) Call(now Now, server string, out bool) (Key, error) {
	h, known := s.hands[server]
	switch {
	case server == "" || len(server) > mostKey:
		return Key{}, fmt.Errorf("server %.80q: 1 to %d bytes are allowed", server, mostKey)
	case !known && len(s.hands) >= mostHands:
		return Key{}, fmt.Errorf("server %q: %d others are known by hand: %w", server, len(s.hands), errFull)
	}
	h.Server, h.Listed = server, max(h.Listed, hours(now.Wall))
	s.stale = true
	s.hands[server] = h.call(s.name, s.life.Nonce, out, s.clock.next(now.Wall))
	return Key{KindHand, server, ""}, nil
}

// hours is the time of day in whole hours, in which listings are counted: so they seldom change.
func hours(wall int64) int64 { return wall / time.Hour.Milliseconds() }

// Listed says which servers this sidecar's own list has. What the staff said of a server is kept while any sidecar lists
// it, and for forgetHours after that. It returns what has changed.
func (s *Store) Listed(now Now, servers []string) (changed []Key) {
	for _, server := range servers {
		if h, ok := s.hands[server]; ok && h.Listed < hours(now.Wall) {
			h.Listed = hours(now.Wall)
			s.hands[server], s.stale = h, true
			changed = append(changed, Key{KindHand, server, ""})
		}
	}
	return changed
}

// Saw writes the own row on a server.
func (s *Store) Saw(now Now, server string, boot int64, e Evidence) (Key, error) {
	s.own[server]++
	r := Row{Owner: s.name, Life: s.life, Server: server, Boot: boot, Version: s.own[server], Evidence: e, born: now.Time}
	if err := r.check(); err != nil {
		return Key{}, err
	}
	_, err := s.mergeRow(now, r)
	return Key{KindRow, server, s.name}, err
}

// Started says that this sidecar has heard of a server's start.
func (s *Store) Started(now Now, server string, boot int64) (Key, bool) {
	changed, err := s.Merge(now, Item{Start: &Start{server, boot}}, "")
	return Key{KindStart, server, ""}, changed && err == nil
}

// Tested writes a step of a test. The version is the next one to what is known.
func (s *Store) Tested(now Now, server string, boot int64, ended, well bool) (Key, error) {
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
	case KindHand:
		return s.mergeHand(now, *item.Hand)
	case KindRow:
		r := *item.Row
		if err := r.check(); err != nil {
			return false, err
		}
		// Danger: nobody else writes the own rows, not even a former life; the version says which came later.
		if r.Owner == s.name && r.Life.Compare(s.life) <= 0 {
			return false, nil
		}
		r.born = now.Time - Time(r.Age)*time.Millisecond
		return s.mergeRow(now, r)
	case KindStart:
		return s.mergeStart(now, *item.Start)
	}
	t := *item.Test
	if t.Server == "" || len(t.Server) > mostKey || t.Tester == "" || len(t.Tester) > mostKey || t.Version == 0 {
		return false, fmt.Errorf("a test of server %.80q by %.80q, version %d", t.Server, t.Tester, t.Version)
	}
	t.born = now.Time - Time(t.Age)*time.Millisecond
	return s.mergeTest(now, t)
}

func (s *Store) mergeHand(now Now, h Hand) (bool, error) {
	s.stale = true
	if err := h.check(); err != nil {
		return false, err
	}
	// Danger: copies whose clocks differ must hold the same hour, so it is bounded only where a clock is off by days.
	h.Listed = min(h.Listed, hours(now.Wall)+2*forgetHours)
	if hours(now.Wall)-h.Listed > forgetHours {
		return false, nil // it has been forgotten
	}
	for _, c := range h.Calls {
		s.clock.follow(c.At, now.Wall)
	}
	former, known := s.hands[h.Server]
	if !known {
		if len(s.hands) >= mostHands {
			return false, fmt.Errorf("server %q: %d others are known by hand: %w", h.Server, len(s.hands), errFull)
		}
		s.hands[h.Server] = h
		return true, nil
	}
	merged := mergeHands(former, h)
	if len(merged.Seen) > mostLives {
		return false, fmt.Errorf("server %q: calls of more than %d lives: %w", h.Server, mostLives, errFull)
	}
	s.hands[h.Server] = merged
	return merged.Listed != former.Listed || !slices.Equal(merged.Calls, former.Calls) || !slices.Equal(merged.Seen, former.Seen), nil
}

func (s *Store) mergeRow(now Now, r Row) (bool, error) {
	if now.Time-r.born >= rowLife || r.Life.Compare(s.over[r.Owner]) <= 0 {
		return false, nil // it has faded, or its owner has died
	}
	s.Died(r.Owner, before(r.Life)) // whose earlier lives are over
	s.stale = true
	rows, known := s.rows[r.Server]
	if !known && len(s.rows) >= mostSuspects {
		return false, fmt.Errorf("server %q: evidence on %d others is held: %w", r.Server, len(s.rows), errFull)
	}
	i := slices.IndexFunc(rows, func(o Row) bool { return o.Owner == r.Owner })
	if i < 0 {
		rows = keepRows(append(rows, r))
		s.rows[r.Server] = rows
		return slices.ContainsFunc(rows, func(o Row) bool { return o.Owner == r.Owner }), nil
	}
	news := rows[i].compare(r) < 0
	rows[i] = laterRow(rows[i], r)
	return news, nil
}

func (s *Store) mergeStart(now Now, b Start) (bool, error) {
	switch age := now.Wall - b.Boot; {
	case b.Server == "" || len(b.Server) > mostKey:
		return false, fmt.Errorf("a server's id of %d bytes, 1 to %d are allowed", len(b.Server), mostKey)
	case age < -mostAhead: // nobody has heard of what is yet to be
		return false, fmt.Errorf("server %q: starts in %v", b.Server, time.Duration(-age)*time.Millisecond)
	case age >= startLife.Milliseconds():
		return false, nil
	}
	former, known := s.start[b.Server]
	if !known && len(s.start) >= mostStarts {
		return false, fmt.Errorf("server %q: starts of %d others are held: %w", b.Server, len(s.start), errFull)
	}
	if known && former.Boot >= b.Boot {
		return false, nil
	}
	s.start[b.Server], s.stale = b, true
	return true, nil
}

func (s *Store) mergeTest(now Now, t Test) (bool, error) {
	if now.Time-t.born >= testLife {
		return false, nil
	}
	s.stale = true
	former, known := s.tests[t.Server]
	if !known && len(s.tests) >= mostTests {
		return false, fmt.Errorf("server %q: %d others are tested: %w", t.Server, len(s.tests), errFull)
	}
	if !known {
		s.tests[t.Server] = t
		return true, nil
	}
	s.tests[t.Server] = laterTest(former, t)
	return former.compare(t) < 0, nil
}

// before is the last life there could be before another.
func before(l membership.Life) membership.Life {
	if l.Nonce == 0 {
		return membership.Life{Number: l.Number - 1, Nonce: math.MaxUint64}
	}
	return membership.Life{Number: l.Number, Nonce: l.Nonce - 1}
}

// Died says that an owner's life is over: its rows go, and none of that life or an earlier one comes back.
func (s *Store) Died(owner string, life membership.Life) {
	if life.Compare(s.over[owner]) <= 0 {
		return
	}
	s.over[owner], s.stale = life, true
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

// Fade lets go of what is too old. It is to be called about once a second.
func (s *Store) Fade(now Now) {
	s.stale = true
	for server, rows := range s.rows {
		s.setRows(server, slices.DeleteFunc(rows, func(r Row) bool { return now.Time-r.born >= rowLife }))
	}
	if len(s.over) > mostOwners { // made up, most likely; without their mark the age of their rows still binds
		held := map[string]bool{}
		for _, rows := range s.rows {
			for _, r := range rows {
				held[r.Owner] = true
			}
		}
		maps.DeleteFunc(s.over, func(owner string, _ membership.Life) bool { return !held[owner] })
	}
	maps.DeleteFunc(s.tests, func(_ string, t Test) bool { return now.Time-t.born >= testLife })
	maps.DeleteFunc(s.start, func(_ string, b Start) bool { return now.Wall-b.Boot >= startLife.Milliseconds() })
	maps.DeleteFunc(s.hands, func(_ string, h Hand) bool { return hours(now.Wall)-h.Listed > forgetHours })
}

// Out lists the servers that are out by hand, in order.
func (s *Store) Out() (servers []string) {
	for server, h := range s.hands {
		if h.Out() {
			servers = append(servers, server)
		}
	}
	slices.Sort(servers)
	return servers
}

// Hand is what the staff has said of a server.
func (s *Store) Hand(server string) (Hand, bool) {
	h, ok := s.hands[server]
	return h, ok
}

// Rows is the evidence on a server, each with its age.
func (s *Store) Rows(now Now, server string) []Row {
	rows := slices.Clone(s.rows[server])
	for i := range rows {
		rows[i].Age = age(now, rows[i].born)
	}
	return rows
}

// Suspects lists the servers of which there is evidence, in order.
func (s *Store) Suspects() []string { return slices.Sorted(maps.Keys(s.rows)) }

// Boot is the last known start of a server, 0 where none is known.
func (s *Store) Boot(server string) int64 { return s.start[server].Boot }

// Test is the test of a server.
func (s *Store) Test(server string) (Test, bool) {
	t, ok := s.tests[server]
	return t, ok
}

func age(now Now, born Time) uint32 { return uint32(max(now.Time-born, 0) / time.Millisecond) }

// Item returns a piece of state as it is passed on now.
func (s *Store) Item(now Now, k Key) (Item, bool) {
	switch k.Kind {
	case KindHand:
		h, ok := s.hands[k.Server]
		return Item{Hand: &h}, ok
	case KindRow:
		for _, r := range s.rows[k.Server] {
			if r.Owner == k.Owner {
				r.Age = age(now, r.born)
				return Item{Row: &r}, true
			}
		}
	case KindStart:
		b, ok := s.start[k.Server]
		return Item{Start: &b}, ok
	case KindTest:
		t, ok := s.tests[k.Server]
		t.Age = age(now, t.born)
		return Item{Test: &t}, ok
	}
	return Item{}, false
}

// Keys lists all that the copy holds: what the staff said first, and in order.
func (s *Store) Keys() (keys []Key) {
	for server := range s.hands {
		keys = append(keys, Key{KindHand, server, ""})
	}
	for server, rows := range s.rows {
		for _, r := range rows {
			keys = append(keys, Key{KindRow, server, r.Owner})
		}
	}
	for server := range s.start {
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

// Buckets is the number of parts in which a kind is compared.
const Buckets = 8

// Digest tells copies apart: for each kind and part the sum of what is held there. The same sum is the same state, but
// with a chance of one in 2^64.
type Digest [Kinds][Buckets]uint64

// Whole is one sum for each kind.
func (d Digest) Whole() (sums [Kinds]uint64) {
	for k := range d {
		for _, part := range d[k] {
			sums[k] = sums[k]*31 + part
		}
	}
	return sums
}

// Bucket is the part of its kind that a key is in.
func (k Key) Bucket() int { return int(xxhash.Sum64String(k.Server) % Buckets) }

// Digest sums up what the copy holds. Ages do not count: they grow on the way.
func (s *Store) Digest() Digest {
	if s.stale {
		s.sums, s.stale = s.digest(), false
	}
	return s.sums
}

func (s *Store) digest() (d Digest) {
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
	for server, h := range s.hands {
		parts := []uint64{uint64(h.Listed), uint64(len(h.Calls))}
		for _, c := range h.Calls {
			parts = append(parts, c.Dot.Nonce, c.Dot.Count)
		}
		for _, seen := range h.Seen {
			parts = append(parts, seen.Nonce, seen.Count)
		}
		add(Key{KindHand, server, ""}, parts...)
	}
	for server, rows := range s.rows {
		for _, r := range rows {
			add(Key{KindRow, server, r.Owner}, r.Life.Number, r.Life.Nonce, r.Version)
		}
	}
	for server, b := range s.start {
		add(Key{KindStart, server, ""}, uint64(b.Boot))
	}
	for server, t := range s.tests {
		add(Key{KindTest, server, t.Tester}, t.Version)
	}
	return d
}

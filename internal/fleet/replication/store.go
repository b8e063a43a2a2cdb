// Package replication holds one sidecar's replica of the fleet's state and merges the items that peers send. It is a
// deterministic state machine like package balance: operators' calls, items of peers and the current time are inputs,
// the keys of items to send are outputs. It uses no clock, socket or goroutine. A Store is not safe for concurrent use.
//
// There are four kinds of state: operators' calls on servers (AdminState), evidence on servers (Row), their starts
// (Start) and tests of suspected servers (Test). Each kind is a state-based CRDT (Shapiro et al. 2011), whose merge is
// associative, commutative and idempotent: replicas that have received the same items hold the same state, regardless
// of the order and number of deliveries.
package replication

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/membership"
)

// Time is a reading of the host's monotonic clock.
type Time = time.Duration

// Size limits of a Store.
const (
	maxKeyBytes     = 64   // length of a server's ID or a sidecar's name
	maxAdminStates  = 1024 // servers with operators' calls
	maxIncarnations = 256  // incarnations of sidecars with calls on one server
	maxObservers    = 16   // sidecars with evidence on one server
	maxSuspects     = 512  // servers with evidence
	maxOwners       = 4096 // sidecars in deadIncarnations
	maxStarts       = 2048 // servers with a known start
	maxTests        = 512  // servers with a test
)

// Lifetimes of items that are not rewritten.
const (
	rowLifetime  = 10 * time.Second
	testLifetime = time.Minute
	// startLifetime is long enough for the server to warm up and to appear in every endpoint list.
	startLifetime = 10 * time.Minute
	// retentionHours is how long operators' calls are kept after any sidecar last had the server in its endpoint list.
	retentionHours = 24
)

// errFull is returned if a Store has reached the size limit of a kind.
var errFull = errors.New("full")

// Now is the time of an event by the monotonic clock and the wall clock.
type Now struct {
	Time Time  // monotonic
	Wall int64 // wall clock in Unix milliseconds; it may be wrong and may jump
}

// Store is one sidecar's replica of the fleet's state.
type Store struct {
	name        string
	incarnation membership.ProcessIncarnation
	clock       clock
	adminStates map[string]AdminState
	rows        map[string][]Row // by server; at most maxObservers rows each, selected by sampleRows
	starts      map[string]Start
	tests       map[string]Test
	// deadIncarnations maps each owner to its latest dead incarnation. Rows of that and earlier ones are rejected.
	deadIncarnations map[string]membership.ProcessIncarnation
	ownVersions      map[string]uint64 // last version of this sidecar's own row, by server
	digestCache      Digest
	digestStale      bool // the state has changed since digestCache was computed
}

// New returns an empty replica.
func New(name string, incarnation membership.ProcessIncarnation) *Store {
	return &Store{
		name:             name,
		incarnation:      incarnation,
		adminStates:      map[string]AdminState{},
		rows:             map[string][]Row{},
		starts:           map[string]Start{},
		tests:            map[string]Test{},
		deadIncarnations: map[string]membership.ProcessIncarnation{},
		ownVersions:      map[string]uint64{},
	}
}

// SetIncarnation sets the incarnation for this sidecar's later calls and rows.
func (s *Store) SetIncarnation(incarnation membership.ProcessIncarnation) {
	s.incarnation = incarnation
}

// RecordCall records an operator's call to this sidecar and returns the key of the changed item.
func (s *Store) RecordCall(now Now, server string, down bool) (Key, error) {
	h, known := s.adminStates[server]
	switch {
	case server == "" || len(server) > maxKeyBytes:
		return Key{}, fmt.Errorf("server %.80q: 1 to %d bytes are allowed", server, maxKeyBytes)
	case !known && len(s.adminStates) >= maxAdminStates:
		return Key{}, fmt.Errorf("server %q: %d others are known by hand: %w", server, len(s.adminStates), errFull)
	}
	h.Server, h.Listed = server, max(h.Listed, wallHours(now.Wall))
	s.digestStale = true
	s.adminStates[server] = h.withCall(s.name, s.incarnation.Nonce, down, s.clock.next(now.Wall))
	return Key{KindAdmin, server, ""}, nil
}

// wallHours converts Unix milliseconds to whole hours. AdminState.Listed is in hours so that it rarely changes.
func wallHours(wall int64) int64 { return wall / time.Hour.Milliseconds() }

// MarkListed records that the servers are in this sidecar's endpoint list, and returns the keys of the changed items.
// Operators' calls on a server are kept while any sidecar lists it, and for retentionHours after that.
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

// WriteRow writes this sidecar's own row on a server. boot is the start of the server's process in Unix milliseconds.
func (s *Store) WriteRow(now Now, server string, boot int64, e Evidence) (Key, error) {
	s.ownVersions[server]++
	r := Row{
		Owner:       s.name,
		Incarnation: s.incarnation,
		Server:      server,
		Boot:        boot,
		Version:     s.ownVersions[server],
		Evidence:    e,
		writtenAt:   now.Time,
	}
	if err := r.check(); err != nil {
		return Key{}, err
	}
	_, err := s.mergeRow(now, r)
	return Key{KindRow, server, s.name}, err
}

// RecordStart records a server's start, in Unix milliseconds, and returns its key and whether the item has changed.
func (s *Store) RecordStart(now Now, server string, boot int64) (Key, bool) {
	changed, err := s.Merge(now, Item{Start: &Start{server, boot}}, "")
	return Key{KindStart, server, ""}, changed && err == nil
}

// RecordTest writes a step of a test, with the version after the last known one.
func (s *Store) RecordTest(now Now, server string, boot int64, ended, well bool) (Key, error) {
	t := Test{
		Server:  server,
		Boot:    boot,
		Version: s.tests[server].Version + 1,
		Tester:  s.name,
		Ended:   ended,
		Well:    well,
	}
	_, err := s.Merge(now, Item{Test: &t}, s.name)
	return Key{KindTest, server, ""}, err
}

// Merge merges an item of a peer and reports whether the replica has changed. An invalid item returns an error and
// changes nothing.
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
		// Only this process writes its own rows. Copies that peers send are ignored, also those of an earlier
		// incarnation: the next own row replaces them.
		if r.Owner == s.name && r.Incarnation.Compare(s.incarnation) <= 0 {
			return false, nil
		}
		r.writtenAt = now.Time - Time(r.Age)*time.Millisecond
		return s.mergeRow(now, r)
	case KindStart:
		return s.mergeStart(now, *item.Start)
	}
	t := *item.Test
	if err := t.check(); err != nil {
		return false, err
	}
	t.writtenAt = now.Time - Time(t.Age)*time.Millisecond
	return s.mergeTest(now, t)
}

func (s *Store) mergeAdmin(now Now, h AdminState) (bool, error) {
	s.digestStale = true
	if err := h.check(); err != nil {
		return false, err
	}
	// The limit takes effect only if a clock is wrong by days, as replicas with different clocks must store the same
	// hour.
	h.Listed = min(h.Listed, wallHours(now.Wall)+2*retentionHours)
	if wallHours(now.Wall)-h.Listed > retentionHours {
		return false, nil // the state has expired
	}
	for _, c := range h.Standing {
		s.clock.follow(c.At, now.Wall)
	}
	former, known := s.adminStates[h.Server]
	if !known {
		if len(s.adminStates) >= maxAdminStates {
			return false, fmt.Errorf("server %q: %d others have calls: %w", h.Server, len(s.adminStates), errFull)
		}
		s.adminStates[h.Server] = h
		return true, nil
	}
	merged := mergeAdminStates(former, h)
	if len(merged.Seen) > maxIncarnations {
		return false, fmt.Errorf("server %q: over %d incarnations with calls: %w", h.Server, maxIncarnations, errFull)
	}
	s.adminStates[h.Server] = merged
	return !merged.equal(former), nil
}

func (s *Store) mergeRow(now Now, r Row) (bool, error) {
	if now.Time-r.writtenAt >= rowLifetime || r.Incarnation.Compare(s.deadIncarnations[r.Owner]) <= 0 {
		return false, nil // the row has expired, or its incarnation is dead
	}
	s.MarkDead(r.Owner, previousIncarnation(r.Incarnation)) // a later incarnation invalidates earlier ones
	s.digestStale = true
	rows, known := s.rows[r.Server]
	if !known && len(s.rows) >= maxSuspects {
		return false, fmt.Errorf("server %q: evidence on %d other servers: %w", r.Server, len(s.rows), errFull)
	}
	i := slices.IndexFunc(rows, func(o Row) bool { return o.Owner == r.Owner })
	if i < 0 {
		rows = sampleRows(append(rows, r))
		s.rows[r.Server] = rows
		return slices.ContainsFunc(rows, func(o Row) bool { return o.Owner == r.Owner }), nil
	}
	isNewer := rows[i].compare(r) < 0
	rows[i] = laterRow(rows[i], r)
	return isNewer, nil
}

func (s *Store) mergeStart(now Now, b Start) (bool, error) {
	switch age := now.Wall - b.Boot; {
	case b.Server == "" || len(b.Server) > maxKeyBytes:
		return false, fmt.Errorf("server ID has %d bytes, want 1 to %d", len(b.Server), maxKeyBytes)
	case age < -maxAheadMillis: // a start cannot be in the future
		return false, fmt.Errorf("server %q: start is %v in the future", b.Server, time.Duration(-age)*time.Millisecond)
	case age >= startLifetime.Milliseconds():
		return false, nil
	}
	former, known := s.starts[b.Server]
	if !known && len(s.starts) >= maxStarts {
		return false, fmt.Errorf("server %q: starts of %d others known: %w", b.Server, len(s.starts), errFull)
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
		return false, fmt.Errorf("server %q: %d other servers have tests: %w", t.Server, len(s.tests), errFull)
	}
	if !known {
		s.tests[t.Server] = t
		return true, nil
	}
	s.tests[t.Server] = laterTest(former, t)
	return former.compare(t) < 0, nil
}

// previousIncarnation returns the greatest incarnation that is less than the given one.
func previousIncarnation(incarnation membership.ProcessIncarnation) membership.ProcessIncarnation {
	if incarnation.Nonce == 0 {
		return membership.ProcessIncarnation{Number: incarnation.Number - 1, Nonce: math.MaxUint64}
	}
	return membership.ProcessIncarnation{Number: incarnation.Number, Nonce: incarnation.Nonce - 1}
}

// MarkDead records that an owner's incarnation has ended. It drops the rows of that incarnation and earlier ones, and
// later merges reject such rows.
func (s *Store) MarkDead(owner string, incarnation membership.ProcessIncarnation) {
	if incarnation.Compare(s.deadIncarnations[owner]) <= 0 {
		return
	}
	s.deadIncarnations[owner] = incarnation
	s.digestStale = true
	for server, rows := range s.rows {
		s.setRows(server, slices.DeleteFunc(rows, func(r Row) bool {
			return r.Owner == owner && r.Incarnation.Compare(incarnation) <= 0
		}))
	}
}

func (s *Store) setRows(server string, rows []Row) {
	if len(rows) == 0 {
		delete(s.rows, server)
	} else {
		s.rows[server] = rows
	}
}

// Expire drops expired items. Call it about once a second.
func (s *Store) Expire(now Now) {
	s.digestStale = true
	for server, rows := range s.rows {
		s.setRows(server, slices.DeleteFunc(rows, func(r Row) bool { return now.Time-r.writtenAt >= rowLifetime }))
	}
	if len(s.deadIncarnations) > maxOwners { // most names are probably forged; old rows are still rejected by age
		ownersWithRows := map[string]bool{}
		for _, rows := range s.rows {
			for _, r := range rows {
				ownersWithRows[r.Owner] = true
			}
		}
		maps.DeleteFunc(s.deadIncarnations, func(owner string, _ membership.ProcessIncarnation) bool {
			return !ownersWithRows[owner]
		})
	}
	maps.DeleteFunc(s.tests, func(_ string, t Test) bool { return now.Time-t.writtenAt >= testLifetime })
	maps.DeleteFunc(s.starts, func(_ string, b Start) bool { return now.Wall-b.Boot >= startLifetime.Milliseconds() })
	maps.DeleteFunc(
		s.adminStates,
		func(_ string, h AdminState) bool { return wallHours(now.Wall)-h.Listed > retentionHours },
	)
}

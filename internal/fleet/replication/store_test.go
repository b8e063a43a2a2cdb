package replication

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milletramp.example/milletramp/internal/fleet/membership"
)

var incarnations = []membership.ProcessIncarnation{{Number: 1, Nonce: 1}, {Number: 2, Nonce: 1}, {Number: 2, Nonce: 2}}

// drawAdminStates draws the states of three sidecars after random calls on one server and random merges.
func drawAdminStates(t *rapid.T) [3]AdminState {
	states := [3]AdminState{}
	clock := clock{}
	for i := range states {
		states[i] = AdminState{
			Server: "s",
		}.withCall(
			fmt.Sprint("n", i),
			uint64(i+1),
			rapid.Bool().Draw(t, "first"),
			clock.next(1),
		)
	}
	for range rapid.IntRange(0, 12).Draw(t, "steps") {
		i, j := rapid.IntRange(0, 2).Draw(t, "to"), rapid.IntRange(0, 2).Draw(t, "from")
		if i == j {
			states[i] = states[i].withCall(fmt.Sprint("n", i), uint64(i+1), rapid.Bool().Draw(t, "out"), clock.next(1))
		} else {
			states[i] = mergeAdminStates(states[i], states[j])
		}
		states[i].Listed = max(states[i].Listed, rapid.Int64Range(0, 2).Draw(t, "listed"))
	}
	return states
}

// TestMergesAreJoins checks that the merge of each kind is associative, commutative and idempotent.
func TestMergesAreJoins(t *testing.T) {
	t.Run("operators' calls", rapid.MakeCheck(func(t *rapid.T) {
		states := drawAdminStates(t)
		checkJoin(t, states[0], states[1], states[2], mergeAdminStates, func(a, b AdminState) bool { return reflect.DeepEqual(a, b) })
		for _, state := range states {
			if err := state.check(); err != nil {
				t.Error(err)
			}
		}
	}))
	t.Run("rows", rapid.MakeCheck(func(t *rapid.T) {
		draw := func() Row {
			return Row{
				Owner:       "n",
				Server:      "s",
				Incarnation: rapid.SampledFrom(incarnations).Draw(t, "incarnation"),
				Version:     rapid.Uint64Range(1, 2).Draw(t, "version"),
				Boot:        rapid.Int64Range(0, 1).Draw(t, "boot"),
				Evidence:    Evidence{Attempts: rapid.Uint32Range(0, 1).Draw(t, "tries")},
				writtenAt:   Time(rapid.Int64Range(0, 2).Draw(t, "born")),
			}
		}
		checkJoin(t, draw(), draw(), draw(), laterRow, func(a, b Row) bool { return a == b })
	}))
	t.Run("tests", rapid.MakeCheck(func(t *rapid.T) {
		draw := func() Test {
			return Test{
				Server:    "s",
				Version:   rapid.Uint64Range(1, 2).Draw(t, "version"),
				Tester:    rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tester"),
				Ended:     rapid.Bool().Draw(t, "ended"),
				Well:      rapid.Bool().Draw(t, "well"),
				writtenAt: Time(rapid.Int64Range(0, 2).Draw(t, "born")),
			}
		}
		checkJoin(t, draw(), draw(), draw(), laterTest, func(a, b Test) bool { return a == b })
	}))
	t.Run("samples of rows", rapid.MakeCheck(func(t *rapid.T) {
		var all []Row
		for i := range rapid.IntRange(0, 60).Draw(t, "rows") {
			all = append(all, Row{Owner: fmt.Sprint("n", i), Server: "s"})
		}
		once := slices.Clone(sampleRows(slices.Clone(all)))
		cut := rapid.IntRange(0, len(all)).Draw(t, "cut")
		parts := append(slices.Clone(sampleRows(slices.Clone(all[:cut]))), sampleRows(slices.Clone(all[cut:]))...)
		if parts = sampleRows(parts); !slices.Equal(parts, once) {
			t.Errorf("sample %v in two steps, want %v as in one step", parts, once)
		}
	}))
}

// checkJoin checks that merge is commutative, associative and idempotent for a, b and c.
func checkJoin[T any](t *rapid.T, a, b, c T, merge func(T, T) T, same func(T, T) bool) {
	if x, y := merge(a, b), merge(b, a); !same(x, y) {
		t.Errorf("merge is not commutative: %+v and %+v give %+v or %+v", a, b, x, y)
	}
	if x, y := merge(merge(a, b), c), merge(a, merge(b, c)); !same(x, y) {
		t.Errorf("merge is not associative: %+v, %+v and %+v give %+v or %+v", a, b, c, x, y)
	}
	if x := merge(a, a); !same(x, a) {
		t.Errorf("merge is not idempotent: %+v gives %+v", a, x)
	}
}

// newStores returns n empty replicas named n0, n1 and so on.
func newStores(n int) []*Store {
	var all []*Store
	for i := range n {
		all = append(all, New(fmt.Sprint("n", i), membership.ProcessIncarnation{Number: 1, Nonce: uint64(i + 1)}))
	}
	return all
}

// replicate merges an item of one replica into another one, if it exists.
func replicate(t rapid.TB, now Now, to, from *Store, k Key) {
	t.Helper()
	if item, ok := from.Item(now, k); ok {
		if _, err := to.Merge(now, item, from.name); err != nil {
			t.Errorf("%v of %s: %v", k, from.name, err)
		}
	}
}

// TestReplicasConverge has three replicas write and exchange items in random order, some of them twice. After a complete
// exchange all replicas are equal, and no operator's call is lost: a server is down exactly if a call set it down that
// no later call with knowledge of it has replaced.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, now := newStores(3), Now{Time: time.Minute, Wall: 1e12}
		type call struct {
			down  bool
			known []int // indexes of earlier calls
		}
		calls := map[string][]call{}
		seen := [3]map[string][]int{{}, {}, {}} // by replica and server: indexes of the calls in its state
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i, server := rapid.IntRange(0, 2).Draw(t, "replica"), rapid.SampledFrom([]string{"s", "r"}).Draw(t, "server")
			now.Wall = 1e12 + rapid.Int64Range(-2000, 2000).Draw(t, "clock")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				down := rapid.Bool().Draw(t, "down")
				if _, err := all[i].RecordCall(now, server, down); err != nil {
					t.Fatal(err)
				}
				calls[server] = append(calls[server], call{down, slices.Clone(seen[i][server])})
				seen[i][server] = append(seen[i][server], len(calls[server])-1)
			case 1:
				if _, err := all[i].WriteRow(now, server, 0, Evidence{Attempts: 1, Unanswered: 1}); err != nil {
					t.Fatal(err)
				}
			case 2:
				all[i].RecordStart(now, server, now.Wall-rapid.Int64Range(0, 9000).Draw(t, "boot"))
			case 3:
				if _, err := all[i].RecordTest(now, server, 0, rapid.Bool().Draw(t, "ended"), rapid.Bool().Draw(t, "well")); err != nil {
					t.Fatal(err)
				}
			default:
				j := rapid.IntRange(0, 2).Draw(t, "from")
				for _, k := range all[j].Keys() {
					if k.Server == server && rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
						replicate(t, now, all[i], all[j], k)
						if k.Kind == KindAdmin {
							for _, c := range seen[j][server] {
								if !slices.Contains(seen[i][server], c) {
									seen[i][server] = append(seen[i][server], c)
								}
							}
						}
					}
				}
			}
		}
		for range 2 { // complete exchange
			for i := range all {
				for j := range all {
					for _, k := range all[j].Keys() {
						replicate(t, now, all[i], all[j], k)
					}
				}
			}
		}
		for i := range all {
			if all[i].Digest() != all[0].Digest() {
				t.Errorf("replicas 0 and %d differ", i)
			}
		}
		for server, list := range calls {
			want := false
			for n, c := range list {
				replaced := slices.ContainsFunc(list, func(later call) bool { return slices.Contains(later.known, n) })
				want = want || c.down && !replaced
			}
			if got := slices.Contains(all[0].AdminDown(), server); got != want {
				t.Errorf("server %s down: %v, want %v after calls %v", server, got, want, list)
			}
		}
	})
}

// TestConcurrentCallsDownWins checks that of concurrent calls on both sides of a network partition the one that sets the
// server down wins, and that a later call replaces both, whatever the clocks are.
func TestConcurrentCallsDownWins(t *testing.T) {
	c, now := newStores(2), Now{Time: time.Minute, Wall: 1e12}
	exchange := func() {
		for range 2 {
			replicate(t, now, c[0], c[1], Key{KindAdmin, "s", ""})
			replicate(t, now, c[1], c[0], Key{KindAdmin, "s", ""})
		}
	}
	call := func(i int, wall int64, down bool) {
		t.Helper()
		if _, err := c[i].RecordCall(Now{now.Time, wall}, "s", down); err != nil {
			t.Fatal(err)
		}
	}
	want := func(down bool) {
		t.Helper()
		for i := range c {
			if got := len(c[i].AdminDown()) == 1; got != down {
				t.Errorf("replica %d has the server down: %v, want %v", i, got, down)
			}
		}
	}
	call(0, 1e12, true)
	exchange()
	want(true)
	call(1, 1e12+3600_000, false) // its clock is an hour ahead; it has seen the previous call
	exchange()
	want(false)
	call(0, 1e12+1, true) // has seen the previous call
	exchange()
	want(true)
	call(0, 1e12+2, false) // network partition: both sidecars record a call
	call(1, 1e12+3, true)
	exchange()
	want(true)
	if h, _ := c[0].AdminState("s"); !h.Disputed() {
		t.Error("concurrent calls are not reported as disputed")
	}
	call(0, 1e12+4, false)
	exchange()
	want(false)
}

// TestRowsExpire checks that a row is dropped when it has expired or its owner is dead, and that neither an expired row
// nor one of a dead incarnation nor a peer's version of an own row is merged.
func TestRowsExpire(t *testing.T) {
	c, now := newStores(2), Now{Time: time.Minute, Wall: 1e12}
	k, err := c[0].WriteRow(now, "s", 0, Evidence{Attempts: 3, Unanswered: 3})
	if err != nil {
		t.Fatal(err)
	}
	former, _ := c[0].Item(now, k)
	replicate(t, now, c[1], c[0], k)
	wantRows := func(n int) {
		t.Helper()
		if got := len(c[1].Rows(now, "s")); got != n {
			t.Errorf("%d rows, want %d", got, n)
		}
	}
	wantRows(1)
	c[1].MarkDead("n0", membership.ProcessIncarnation{Number: 1, Nonce: 1})
	wantRows(0)
	if changed, _ := c[1].Merge(now, former, "n0"); changed {
		t.Error("row of a dead incarnation merged")
	}
	wantRows(0)
	c[0].SetIncarnation(membership.ProcessIncarnation{Number: 2, Nonce: 1})
	if k, err = c[0].WriteRow(now, "s", 0, Evidence{Attempts: 3, Unanswered: 3}); err != nil {
		t.Fatal(err)
	}
	replicate(t, now, c[1], c[0], k)
	wantRows(1)
	former, _ = c[0].Item(now, k)
	late := now
	late.Time += rowLifetime - time.Millisecond
	c[1].Expire(late)
	wantRows(1)
	late.Time += time.Millisecond
	c[1].Expire(late)
	if len(c[1].ServersWithEvidence()) != 0 {
		t.Error("row that was not renewed has not expired")
	}
	old := *former.Row
	old.Age = uint32(rowLifetime / time.Millisecond)
	if changed, _ := c[1].Merge(now, Item{Row: &old}, "n0"); changed {
		t.Error("expired row merged")
	}
	own := Row{Owner: "n1", Incarnation: c[1].incarnation, Server: "s", Version: 99, Evidence: Evidence{Attempts: 9, Unanswered: 9}}
	if changed, _ := c[1].Merge(now, Item{Row: &own}, "n0"); changed {
		t.Error("peer's version of an own row merged")
	}
}

// TestCallsAreRetained checks that operators' calls are kept while any sidecar lists the server, and for a day after that.
func TestCallsAreRetained(t *testing.T) {
	c, now := newStores(2), Now{Time: time.Minute, Wall: 1e12}
	if _, err := c[0].RecordCall(now, "s", true); err != nil {
		t.Fatal(err)
	}
	replicate(t, now, c[1], c[0], Key{KindAdmin, "s", ""})
	day := int64(24 * time.Hour / time.Millisecond)
	for range 30 { // a month in the list of one sidecar
		now.Wall += day
		c[1].MarkListed(now, []string{"s"})
		replicate(t, now, c[0], c[1], Key{KindAdmin, "s", ""})
		c[0].Expire(now)
		c[1].Expire(now)
	}
	if len(c[0].AdminDown()) != 1 {
		t.Fatal("call dropped while a sidecar lists the server")
	}
	item, _ := c[1].Item(now, Key{KindAdmin, "s", ""})
	now.Wall += 2 * day
	c[0].Expire(now)
	if len(c[0].AdminDown()) != 0 {
		t.Error("call not dropped after the retention period")
	}
	if changed, _ := c[0].Merge(now, item, "n1"); changed || len(c[0].AdminDown()) != 0 {
		t.Error("dropped call merged again")
	}
}

// TestSizeLimits has a peer send too many items. The size of the store stays limited, and it still records operators' calls.
func TestSizeLimits(t *testing.T) {
	s, now := New("n0", incarnations[0]), Now{Time: time.Minute, Wall: 1e12}
	rejected := 0
	for i := range 100_000 {
		server := fmt.Sprint("s-", i)
		for _, item := range []Item{
			{Row: &Row{Owner: fmt.Sprint("n", i%500), Incarnation: incarnations[1], Server: server, Version: 1, Evidence: Evidence{Attempts: 1, Unanswered: 1}}},
			{Start: &Start{server, 1e12}}, {Test: &Test{Server: server, Version: 1, Tester: "x"}},
		} {
			if _, err := s.Merge(now, item, "peer"); err != nil {
				rejected++
			}
		}
	}
	if len(s.rows) > maxSuspects || len(s.starts) > maxStarts || len(s.tests) > maxTests || rejected == 0 {
		t.Errorf("store has evidence on %d servers, starts of %d, tests of %d", len(s.rows), len(s.starts), len(s.tests))
	}
	if _, err := s.RecordCall(now, "s-1", true); err != nil {
		t.Errorf("operator's call rejected: %v", err)
	}
	for i := range 1000 {
		r := Row{
			Owner:       fmt.Sprint("n", i),
			Incarnation: incarnations[1],
			Server:      "s-0",
			Version:     1,
			Evidence:    Evidence{Attempts: 1, Unanswered: 1},
		}
		if _, err := s.Merge(now, Item{Row: &r}, "peer"); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(s.Rows(now, "s-0")); n != maxObservers {
		t.Errorf("%d rows on one server, want %d", n, maxObservers)
	}
}

// TestInvalidItemsAreRejected checks that each invalid item returns an error and changes nothing.
func TestInvalidItemsAreRejected(t *testing.T) {
	now := Now{Time: time.Minute, Wall: 1e12}
	good := AdminState{Server: "s"}.withCall("n", 1, true, Stamp{1, 0})
	twice := good
	twice.Seen = append(slices.Clone(good.Seen), good.Seen...)
	unseen := good
	unseen.Seen = []Dot{{"n", 2, 1}}
	none := good
	none.Standing = nil
	for name, item := range map[string]Item{
		"no field set": {}, "two fields set": {Admin: &good, Start: &Start{"s", 1}}, "duplicate incarnation": {Admin: &twice},
		"standing call not seen": {Admin: &unseen}, "no standing call": {Admin: &none}, "empty server ID": {Start: &Start{"", 1}},
		"start in the future": {Start: &Start{"s", 1e12 + 60_000}}, "row without owner": {Row: &Row{Server: "s", Version: 1, Incarnation: incarnations[0]}},
		"row without version": {Row: &Row{Server: "s", Owner: "x", Incarnation: incarnations[0]}}, "test without tester": {Test: &Test{Server: "s", Version: 1}},
	} {
		s := New("n0", incarnations[0])
		if changed, err := s.Merge(now, item, "peer"); err == nil || changed || s.Digest() != (Digest{}) {
			t.Errorf("%s: changed %v, error %v; want an error and no change", name, changed, err)
		}
	}
}

// TestStamps checks that stamps follow other sidecars' stamps, except those too far ahead, and increase when the wall clock
// jumps back.
func TestStamps(t *testing.T) {
	var c clock
	first := c.next(1000)
	c.follow(Stamp{1000 + 3600_000, 0}, 1000)
	second := c.next(900)
	if first.compare(second) >= 0 || second.Wall > 1000+maxAheadMillis {
		t.Errorf("stamps %v, %v: want increasing ones close to the wall clock", first, second)
	}
	c.follow(Stamp{3000, 7}, 1000)
	if third := c.next(1000); third.compare(Stamp{3000, 7}) <= 0 {
		t.Errorf("stamp %v is not later than a followed stamp", third)
	}
}

// TestDigestDistinguishesKinds checks that a change of any kind of item changes the sum of that kind and no other.
func TestDigestDistinguishesKinds(t *testing.T) {
	now := Now{Time: time.Minute, Wall: 1e12}
	for k, change := range map[Kind]func(*Store) error{
		KindAdmin: func(s *Store) error { _, err := s.RecordCall(now, "s", true); return err },
		KindRow:   func(s *Store) error { _, err := s.WriteRow(now, "s", 0, Evidence{Attempts: 1}); return err },
		KindStart: func(s *Store) error { s.RecordStart(now, "s", 1e12); return nil },
		KindTest:  func(s *Store) error { _, err := s.RecordTest(now, "s", 0, false, false); return err },
	} {
		s := New("n0", incarnations[0])
		for range 2 { // creation and update
			before := s.Digest().PerKind()
			now.Wall++
			if err := change(s); err != nil {
				t.Fatal(err)
			}
			if k == KindStart {
				s.RecordStart(now, "s", now.Wall)
			}
			for other, sum := range s.Digest().PerKind() {
				if changed := sum != before[other]; changed != (Kind(other) == k) {
					t.Errorf("after a change of %v: sum of %v changed: %v", k, Kind(other), changed)
				}
			}
		}
	}
}

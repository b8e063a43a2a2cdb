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

// drawHand draws what some sidecars' calls on one server may have left: it plays calls and exchanges between three.
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
		i, j := rapid.IntRange(0, 2).Draw(t, "one"), rapid.IntRange(0, 2).Draw(t, "other")
		if i == j {
			states[i] = states[i].withCall(fmt.Sprint("n", i), uint64(i+1), rapid.Bool().Draw(t, "out"), clock.next(1))
		} else {
			states[i] = mergeAdminStates(states[i], states[j])
		}
		states[i].Listed = max(states[i].Listed, rapid.Int64Range(0, 2).Draw(t, "listed"))
	}
	return states
}

// TestMergesAreJoins: each kind's merge is associative, commutative and idempotent.
func TestMergesAreJoins(t *testing.T) {
	t.Run("by hand", rapid.MakeCheck(func(t *rapid.T) {
		h := drawAdminStates(t)
		checkJoin(t, h[0], h[1], h[2], mergeAdminStates, func(a, b AdminState) bool { return reflect.DeepEqual(a, b) })
		for _, hand := range h {
			if err := hand.check(); err != nil {
				t.Error(err)
			}
		}
	}))
	t.Run("rows", rapid.MakeCheck(func(t *rapid.T) {
		draw := func() Row {
			return Row{
				Owner:       "n",
				Server:      "s",
				Incarnation: rapid.SampledFrom(incarnations).Draw(t, "life"),
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
				Tester:    rapid.SampledFrom([]string{"a", "b"}).Draw(t, "by"),
				Ended:     rapid.Bool().Draw(t, "ended"),
				Well:      rapid.Bool().Draw(t, "well"),
				writtenAt: Time(rapid.Int64Range(0, 2).Draw(t, "born")),
			}
		}
		checkJoin(t, draw(), draw(), draw(), laterTest, func(a, b Test) bool { return a == b })
	}))
	t.Run("witnesses", rapid.MakeCheck(func(t *rapid.T) {
		var all []Row
		for i := range rapid.IntRange(0, 60).Draw(t, "rows") {
			all = append(all, Row{Owner: fmt.Sprint("n", i), Server: "s"})
		}
		once := slices.Clone(sampleRows(slices.Clone(all)))
		cut := rapid.IntRange(0, len(all)).Draw(t, "cut")
		parts := append(slices.Clone(sampleRows(slices.Clone(all[:cut]))), sampleRows(slices.Clone(all[cut:]))...)
		if parts = sampleRows(parts); !slices.Equal(parts, once) {
			t.Errorf("kept %v in parts, %v at once", parts, once)
		}
	}))
}

func checkJoin[T any](t *rapid.T, a, b, c T, merge func(T, T) T, same func(T, T) bool) {
	if x, y := merge(a, b), merge(b, a); !same(x, y) {
		t.Errorf("the order matters: %+v and %+v give %+v or %+v", a, b, x, y)
	}
	if x, y := merge(merge(a, b), c), merge(a, merge(b, c)); !same(x, y) {
		t.Errorf("the grouping matters: %+v, %+v and %+v give %+v or %+v", a, b, c, x, y)
	}
	if x := merge(a, a); !same(x, a) {
		t.Errorf("twice is not once: %+v gives %+v", a, x)
	}
}

// copies are stores that exchange pieces.
func newStores(n int) []*Store {
	var all []*Store
	for i := range n {
		all = append(all, New(fmt.Sprint("n", i), membership.ProcessIncarnation{Number: 1, Nonce: uint64(i + 1)}))
	}
	return all
}

// replicate has one copy hear a piece of another.
func replicate(t rapid.TB, now Now, to, from *Store, k Key) {
	t.Helper()
	if item, ok := from.Item(now, k); ok {
		if _, err := to.Merge(now, item, from.name); err != nil {
			t.Errorf("%v of %s: %v", k, from.name, err)
		}
	}
}

// TestCopiesAgree has three copies write and exchange pieces in any order, some of them twice. Once each has heard
// what the others hold, all hold the same, and nothing acknowledged to the staff is forgotten: a server is out
// exactly if some last call on it, of which no later caller knew otherwise, says so.
func TestCopiesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, now := newStores(3), Now{Time: time.Minute, Wall: 1e12}
		type call struct {
			out  bool
			knew []int // earlier calls
		}
		calls := map[string][]call{}
		knows := [3]map[string][]int{{}, {}, {}} // by copy: the calls that its state stems from
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i, server := rapid.IntRange(0, 2).Draw(t, "copy"), rapid.SampledFrom([]string{"s", "r"}).Draw(t, "server")
			now.Wall = 1e12 + rapid.Int64Range(-2000, 2000).Draw(t, "clock")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				out := rapid.Bool().Draw(t, "out")
				if _, err := all[i].RecordCall(now, server, out); err != nil {
					t.Fatal(err)
				}
				calls[server] = append(calls[server], call{out, slices.Clone(knows[i][server])})
				knows[i][server] = append(knows[i][server], len(calls[server])-1)
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
							for _, c := range knows[j][server] {
								if !slices.Contains(knows[i][server], c) {
									knows[i][server] = append(knows[i][server], c)
								}
							}
						}
					}
				}
			}
		}
		for range 2 { // all hear all
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
				t.Errorf("copies 0 and %d differ", i)
			}
		}
		for server, list := range calls {
			want := false
			for n, c := range list {
				answered := slices.ContainsFunc(list, func(later call) bool { return slices.Contains(later.knew, n) })
				want = want || c.out && !answered
			}
			if got := slices.Contains(all[0].AdminDown(), server); got != want {
				t.Errorf("%s is out %v, want %v by calls %v", server, got, want, list)
			}
		}
	})
}

// TestOutWins plays the two sides of a cut, and who may end it.
func TestOutWins(t *testing.T) {
	c, now := newStores(2), Now{Time: time.Minute, Wall: 1e12}
	both := func() {
		for range 2 {
			replicate(t, now, c[0], c[1], Key{KindAdmin, "s", ""})
			replicate(t, now, c[1], c[0], Key{KindAdmin, "s", ""})
		}
	}
	call := func(i int, wall int64, out bool) {
		t.Helper()
		if _, err := c[i].RecordCall(Now{now.Time, wall}, "s", out); err != nil {
			t.Fatal(err)
		}
	}
	want := func(out bool) {
		t.Helper()
		for i := range c {
			if got := len(c[i].AdminDown()) == 1; got != out {
				t.Errorf("copy %d has it out %v, want %v", i, got, out)
			}
		}
	}
	call(0, 1e12, true)
	both()
	want(true)
	call(1, 1e12+3600_000, false) // an hour ahead; it has seen the other call
	both()
	want(false)
	call(0, 1e12+1, true) // and has seen this one
	both()
	want(true)
	call(0, 1e12+2, false) // a cut: both call
	call(1, 1e12+3, true)
	both()
	want(true)
	if h, _ := c[0].AdminState("s"); !h.Disputed() {
		t.Error("nobody sees that two calls stand beside each other")
	}
	call(0, 1e12+4, false)
	both()
	want(false)
}

// TestRowsDie: a row fades, dies with its owner, and never comes back from a former incarnation, in whatever order it
// arrives.
func TestRowsDie(t *testing.T) {
	c, now := newStores(2), Now{Time: time.Minute, Wall: 1e12}
	k, err := c[0].WriteRow(now, "s", 0, Evidence{Attempts: 3, Unanswered: 3})
	if err != nil {
		t.Fatal(err)
	}
	former, _ := c[0].Item(now, k)
	replicate(t, now, c[1], c[0], k)
	has := func(n int) {
		t.Helper()
		if got := len(c[1].Rows(now, "s")); got != n {
			t.Errorf("%d rows, want %d", got, n)
		}
	}
	has(1)
	c[1].MarkDead("n0", membership.ProcessIncarnation{Number: 1, Nonce: 1})
	has(0)
	if news, _ := c[1].Merge(now, former, "n0"); news {
		t.Error("a dead one's row came back")
	}
	has(0)
	c[0].SetIncarnation(membership.ProcessIncarnation{Number: 2, Nonce: 1})
	if k, err = c[0].WriteRow(now, "s", 0, Evidence{Attempts: 3, Unanswered: 3}); err != nil {
		t.Fatal(err)
	}
	replicate(t, now, c[1], c[0], k)
	has(1)
	former, _ = c[0].Item(now, k)
	late := now
	late.Time += rowLifetime - time.Millisecond
	c[1].Expire(late)
	has(1)
	late.Time += time.Millisecond
	c[1].Expire(late)
	if len(c[1].ServersWithEvidence()) != 0 {
		t.Error("a row that was not written again has not faded")
	}
	old := *former.Row
	old.Age = uint32(rowLifetime / time.Millisecond)
	if news, _ := c[1].Merge(now, Item{Row: &old}, "n0"); news {
		t.Error("a faded row came back")
	}
	mine := Row{Owner: "n1", Incarnation: c[1].incarnation, Server: "s", Version: 99, Evidence: Evidence{Attempts: 9, Unanswered: 9}}
	if news, _ := c[1].Merge(now, Item{Row: &mine}, "n0"); news {
		t.Error("another one wrote the own row")
	}
}

// TestForgotten: what the staff said is kept as long as any sidecar lists the server, and a day longer.
func TestForgotten(t *testing.T) {
	c, now := newStores(2), Now{Time: time.Minute, Wall: 1e12}
	if _, err := c[0].RecordCall(now, "s", true); err != nil {
		t.Fatal(err)
	}
	replicate(t, now, c[1], c[0], Key{KindAdmin, "s", ""})
	day := int64(24 * time.Hour / time.Millisecond)
	for range 30 { // a month on one list
		now.Wall += day
		c[1].MarkListed(now, []string{"s"})
		replicate(t, now, c[0], c[1], Key{KindAdmin, "s", ""})
		c[0].Expire(now)
		c[1].Expire(now)
	}
	if len(c[0].AdminDown()) != 1 {
		t.Fatal("it was forgotten while a sidecar listed it")
	}
	left, _ := c[1].Item(now, Key{KindAdmin, "s", ""})
	now.Wall += 2 * day
	c[0].Expire(now)
	if len(c[0].AdminDown()) != 0 {
		t.Error("it was not forgotten")
	}
	if news, _ := c[0].Merge(now, left, "n1"); news || len(c[0].AdminDown()) != 0 {
		t.Error("what was forgotten came back")
	}
}

// TestBounds has a peer tell of far too much: what is held stays bounded, and what the staff says here is still taken.
func TestBounds(t *testing.T) {
	s, now := New("n0", incarnations[0]), Now{Time: time.Minute, Wall: 1e12}
	refused := 0
	for i := range 100_000 {
		server := fmt.Sprint("s-", i)
		for _, item := range []Item{
			{Row: &Row{Owner: fmt.Sprint("n", i%500), Incarnation: incarnations[1], Server: server, Version: 1, Evidence: Evidence{Attempts: 1, Unanswered: 1}}},
			{Start: &Start{server, 1e12}}, {Test: &Test{Server: server, Version: 1, Tester: "x"}},
		} {
			if _, err := s.Merge(now, item, "peer"); err != nil {
				refused++
			}
		}
	}
	if len(s.rows) > maxSuspects || len(s.starts) > maxStarts || len(s.tests) > maxTests || refused == 0 {
		t.Errorf("it holds evidence on %d, starts of %d, tests of %d", len(s.rows), len(s.starts), len(s.tests))
	}
	if _, err := s.RecordCall(now, "s-1", true); err != nil {
		t.Errorf("no room for the staff: %v", err)
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

// TestBadItems turns down what cannot be.
func TestBadItems(t *testing.T) {
	now := Now{Time: time.Minute, Wall: 1e12}
	good := AdminState{Server: "s"}.withCall("n", 1, true, Stamp{1, 0})
	twice := good
	twice.Seen = append(slices.Clone(good.Seen), good.Seen...)
	unseen := good
	unseen.Seen = []Dot{{"n", 2, 1}}
	none := good
	none.Standing = nil
	for name, item := range map[string]Item{
		"nothing": {}, "two kinds": {Admin: &good, Start: &Start{"s", 1}}, "a life twice": {Admin: &twice},
		"a call not seen": {Admin: &unseen}, "no call": {Admin: &none}, "no server": {Start: &Start{"", 1}},
		"a start to come": {Start: &Start{"s", 1e12 + 60_000}}, "a row of nobody": {Row: &Row{Server: "s", Version: 1, Incarnation: incarnations[0]}},
		"a row of no version": {Row: &Row{Server: "s", Owner: "x", Incarnation: incarnations[0]}}, "a test by nobody": {Test: &Test{Server: "s", Version: 1}},
	} {
		s := New("n0", incarnations[0])
		if news, err := s.Merge(now, item, "peer"); err == nil || news || s.Digest() != (Digest{}) {
			t.Errorf("%s: news %v, error %v", name, news, err)
		}
	}
}

// TestStamps: a clock that is ahead takes nobody along, one that steps back makes no stamp twice.
func TestStamps(t *testing.T) {
	var c clock
	first := c.next(1000)
	c.follow(Stamp{1000 + 3600_000, 0}, 1000)
	second := c.next(900)
	if first.compare(second) >= 0 || second.Wall > 1000+maxAheadMillis {
		t.Errorf("stamps %v, %v", first, second)
	}
	c.follow(Stamp{3000, 7}, 1000)
	if third := c.next(1000); third.compare(Stamp{3000, 7}) <= 0 {
		t.Errorf("stamp %v is not behind one that was seen", third)
	}
}

// TestDigestTellsKinds: a change of any kind shows, and in its own part.
func TestDigestTellsKinds(t *testing.T) {
	now := Now{Time: time.Minute, Wall: 1e12}
	for k, change := range map[Kind]func(*Store) error{
		KindAdmin: func(s *Store) error { _, err := s.RecordCall(now, "s", true); return err },
		KindRow:   func(s *Store) error { _, err := s.WriteRow(now, "s", 0, Evidence{Attempts: 1}); return err },
		KindStart: func(s *Store) error { s.RecordStart(now, "s", 1e12); return nil },
		KindTest:  func(s *Store) error { _, err := s.RecordTest(now, "s", 0, false, false); return err },
	} {
		s := New("n0", incarnations[0])
		for range 2 { // a first one, and a change to it
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
					t.Errorf("a change of %v: sum of %v changed %v", k, Kind(other), changed)
				}
			}
		}
	}
}

package failuredetector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"milletramp.example/milletramp/internal/fleet/replication"
)

const start = time.Hour

// TestRows plays what a sidecar sees of one server, and says what it writes.
func TestRows(t *testing.T) {
	type step struct {
		after time.Duration
		end   Outcome
	}
	late, silent := step{200 * time.Millisecond, Late}, step{300 * time.Millisecond, Silent}
	for _, tt := range []struct {
		name  string
		steps []step
		asked bool          // by a collector, after these
		doubt time.Duration // peers suspect it since so long before the last step; 0: they do not
		want  []replication.Evidence
	}{
		{"answers", []step{{1, Answered}, {1, Answered}}, false, 0, nil},
		{"late alone is for collectors", []step{late, late}, false, 0, nil},
		{"late, and a collector asks", []step{late}, true, 0, []replication.Evidence{{Attempts: 1, Late: 1, SinceBadMS: 300}}},
		{"late, answered, and a collector asks", []step{late, {1, Answered}}, true, 0, nil},
		{"silent", []step{late, silent}, false, 0, []replication.Evidence{{Attempts: 1, Late: 1, Unanswered: 1}}},
		{"refused", []step{{1, Refused}}, false, 0, []replication.Evidence{{Attempts: 1, Refused: 1}}},
		{"errors say nothing", []step{{1, Failed}, {1, Failed}}, false, 0, nil},
		{"silent, and the fleet knows", []step{late, silent}, false, time.Second, nil},
		{"it answers, and peers suspect it", []step{{1, Answered}}, false, time.Second,
			[]replication.Evidence{{SinceGoodMS: 300}}},
		{"taken back", []step{late, silent, {time.Second, Answered}}, false, 0,
			[]replication.Evidence{{Attempts: 1, Late: 1, Unanswered: 1}, {SinceGoodMS: 1}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b, now := New(1), start
			var wrote []replication.Evidence
			write := func() {
				for _, e := range b.DueRows(now, 10) {
					wrote = append(wrote, e.Evidence)
				}
			}
			for i, s := range tt.steps {
				now += s.after
				if i == len(tt.steps)-1 && tt.doubt > 0 {
					b.Observe(now, "s", Answered)
					b.servers["s"].lastGood = 0 // known, and without an answer
					b.SetSuspected(now, map[string]Time{"s": now - tt.doubt})
				}
				b.Observe(now, "s", s.end)
				write()
			}
			if tt.asked {
				b.RequestReport(now, "s")
			}
			now += 300 * time.Millisecond
			write()
			if !slices.Equal(wrote, tt.want) {
				t.Errorf("wrote %+v, want %+v", wrote, tt.want)
			}
		})
	}
}

// TestRowsStand: a row that accuses a server is renewed until its owner has had an answer, or for some seconds.
func TestRowsStand(t *testing.T) {
	b, now := New(1), start
	b.Observe(now, "s", Refused)
	var at []time.Duration
	for range 200 {
		for _, e := range b.DueRows(now, 10) {
			at = append(at, now-start)
			if bad := time.Duration(e.Evidence.SinceBadMS) * time.Millisecond; now-bad != start {
				t.Errorf("after %v: the last bad end is said to be %v old", now-start, bad)
			}
		}
		now += 50 * time.Millisecond
	}
	if want := []time.Duration{0, time.Second, 2 * time.Second}; !slices.Equal(at, want) {
		t.Errorf("written at %v, want %v", at, want)
	}
	if b.DueRows(now+recordLifetime, 10); len(b.servers)+len(b.pending) > 0 {
		t.Errorf("kept for good: %d servers", len(b.servers))
	}
}

// TestRowsAreBounded has all fail at once: a sidecar writes a few rows at once and no more than its part of the
// fleet's a second, and on one server no more than two a second.
func TestRowsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := New(1), start
		sidecars, servers := rapid.IntRange(1, 300).Draw(t, "sidecars"), rapid.IntRange(1, 200).Draw(t, "servers")
		wrote, last := 0, map[string]Time{}
		steps := rapid.IntRange(1, 100).Draw(t, "steps")
		for range steps {
			for range rapid.IntRange(0, 20).Draw(t, "ends") {
				server := fmt.Sprint(rapid.IntRange(0, servers-1).Draw(t, "server"))
				b.Observe(now, server, Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")))
			}
			for _, e := range b.DueRows(now, sidecars) {
				if at, known := last[e.Server]; known && now-at < minRowInterval {
					t.Errorf("server %s was written of after %v", e.Server, now-at)
				}
				last[e.Server] = now
				wrote++
			}
			now += 50 * time.Millisecond
		}
		if most := rowBurst + fleetRowRate/float64(sidecars)*(now-start).Seconds(); float64(wrote) > most {
			t.Errorf("%d rows in %v, %.1f are allowed", wrote, now-start, most)
		}
	})
}

// TestReportQuorum: owners are asked to speak once enough of them wait at the same time.
func TestReportQuorum(t *testing.T) {
	var c ReportQuorum
	now := start
	for i := range quorumSize {
		ask := c.AddLate(now, "s", fmt.Sprint("n", i), 80)
		if want := i == quorumSize-1; (len(ask) > 0) != want {
			t.Errorf("%d notes: asked %v", i+1, ask)
		}
	}
	if ask := c.AddLate(now+reportRequestInterval/2, "s", "n9", 80); !slices.Equal(ask, []string{"n9"}) {
		t.Errorf("asked %v, the others have just been", ask)
	}
	if ask := c.AddLate(now+reportRequestInterval, "s", "n9", 80); len(ask) != quorumSize {
		t.Errorf("asked %v", ask)
	}
	for range 2 * quorumSize { // the same one again and again
		if ask := c.AddLate(now, "other", "n0", 80); len(ask) > 0 {
			t.Errorf("one owner's word was enough: %v", ask)
		}
	}
	for i := range 2 * quorumSize { // each waits, and is answered before the next does
		if ask := c.AddLate(now, "slow", fmt.Sprint("n", i), 80); len(ask) > 0 {
			t.Errorf("a slow server was taken for silent: %v", ask)
		}
		c.Clear("slow")
	}
	for i := range 2 * quorumSize {
		if ask := c.AddLate(now, "rare", fmt.Sprint("n", i), 80); len(ask) > 0 {
			t.Errorf("notes of %v apart: asked %v", noteLifetime, ask)
		}
		now += noteLifetime
	}
	for i := range 10 * maxServers {
		c.AddLate(now, fmt.Sprint(i), "n0", 80)
	}
	if len(c.notes) > maxServers {
		t.Errorf("%d servers are held", len(c.notes))
	}
	if ask := c.AddLate(now+noteLifetime, "new", "n0", 80); len(ask) > 0 || len(c.notes) != 1 {
		t.Errorf("notes that count for nothing take the room: %d", len(c.notes))
	}
	if ask := new(ReportQuorum).AddLate(now, "s", "n0", 3); len(ask) > 0 {
		t.Errorf("one of a small fleet was enough: %v", ask)
	}
}

// TestCollectors: they are the same in whatever order the sidecars are known, few servers move when one goes, and the
// work is spread.
func TestCollectors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfNDistinct(rapid.StringMatching(`n[0-9]{1,3}`), 1, 40, rapid.ID).Draw(t, "sidecars")
		server := rapid.StringMatching(`s-[0-9a-f]{4}`).Draw(t, "server")
		got := Collectors(server, all)
		if len(got) != min(2, len(all)) || got[0] == got[len(got)-1] && len(all) > 1 {
			t.Fatalf("%d sidecars: %v", len(all), got)
		}
		if other := Collectors(server, rapid.Permutation(all).Draw(t, "order")); !slices.Equal(got, other) {
			t.Errorf("%v in another order, %v before", other, got)
		}
		gone := rapid.SampledFrom(all).Draw(t, "gone")
		left := slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == gone })
		if after := Collectors(server, left); !slices.Contains(got, gone) && !slices.Equal(got, after) {
			t.Errorf("%v once %s is gone, %v before", after, gone, got)
		}
	})
	if got := Collectors("s", nil); len(got) != 0 {
		t.Errorf("nobody: %v", got)
	}
	load := map[string]int{}
	for i := range 600 {
		for _, c := range Collectors(fmt.Sprint("s-", i), []string{"a", "b", "c", "d", "e", "f"}) {
			load[c]++
		}
	}
	for c, n := range load {
		if n < 140 || n > 260 {
			t.Errorf("%s collects for %d of 600 servers, 200 would be even", c, n)
		}
	}
}

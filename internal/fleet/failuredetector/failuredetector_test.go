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

// TestRecorderWritesRows checks which rows a sidecar writes after a sequence of outcomes at one server.
func TestRecorderWritesRows(t *testing.T) {
	type step struct {
		after   time.Duration
		outcome Outcome
	}
	late, silent := step{200 * time.Millisecond, Late}, step{300 * time.Millisecond, Silent}
	for _, tt := range []struct {
		name            string
		steps           []step
		reportRequested bool          // by a collector, after the steps
		suspectedFor    time.Duration // how long before the last step peers suspected the server; 0: not suspected
		want            []replication.Evidence
	}{
		{"good responses", []step{{1, Answered}, {1, Answered}}, false, 0, nil},
		{"late responses only cause notes to collectors", []step{late, late}, false, 0, nil},
		{"late response and requested report", []step{late}, true, 0, []replication.Evidence{{Attempts: 1, Late: 1, SinceBadMS: 300}}},
		{"late response, then a good one, and requested report", []step{late, {1, Answered}}, true, 0, nil},
		{"no response", []step{late, silent}, false, 0, []replication.Evidence{{Attempts: 1, Late: 1, Unanswered: 1}}},
		{"refused connection", []step{{1, Refused}}, false, 0, []replication.Evidence{{Attempts: 1, Refused: 1}}},
		{"error responses do not count", []step{{1, Failed}, {1, Failed}}, false, 0, nil},
		{"no response of a suspected server", []step{late, silent}, false, time.Second, nil},
		{"good response of a suspected server", []step{{1, Answered}}, false, time.Second,
			[]replication.Evidence{{SinceGoodMS: 300}}},
		{"retracted row", []step{late, silent, {time.Second, Answered}}, false, 0,
			[]replication.Evidence{{Attempts: 1, Late: 1, Unanswered: 1}, {SinceGoodMS: 1}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, now := New(1), start
			var written []replication.Evidence
			write := func() {
				for _, row := range r.DueRows(now, 10) {
					written = append(written, row.Evidence)
				}
			}
			for i, s := range tt.steps {
				now += s.after
				if i == len(tt.steps)-1 && tt.suspectedFor > 0 {
					r.Observe(now, "s", Answered)
					r.servers["s"].lastGood = 0 // the record exists, without a good response
					r.SetSuspected(now, map[string]Time{"s": now - tt.suspectedFor})
				}
				r.Observe(now, "s", s.outcome)
				write()
			}
			if tt.reportRequested {
				r.RequestReport(now, "s")
			}
			now += 300 * time.Millisecond
			write()
			if !slices.Equal(written, tt.want) {
				t.Errorf("wrote %+v, want %+v", written, tt.want)
			}
		})
	}
}

// TestRowIsRenewed checks that a row with bad outcomes is renewed for renewalPeriod if no good response arrives, and that
// the record is dropped after recordLifetime.
func TestRowIsRenewed(t *testing.T) {
	r, now := New(1), start
	r.Observe(now, "s", Refused)
	var at []time.Duration
	for range 200 {
		for _, row := range r.DueRows(now, 10) {
			at = append(at, now-start)
			if bad := time.Duration(row.Evidence.SinceBadMS) * time.Millisecond; now-bad != start {
				t.Errorf("after %v: age of the last bad outcome is %v", now-start, bad)
			}
		}
		now += 50 * time.Millisecond
	}
	if want := []time.Duration{0, time.Second, 2 * time.Second}; !slices.Equal(at, want) {
		t.Errorf("rows written at %v, want %v", at, want)
	}
	if r.DueRows(now+recordLifetime, 10); len(r.servers)+len(r.pending) > 0 {
		t.Errorf("%d servers recorded after the record lifetime, want 0", len(r.servers))
	}
}

// TestRowRateIsLimited draws outcomes at many servers. A sidecar writes at most rowBurst rows at once, no more than its
// share of fleetRowRate, and at most two rows per second on one server.
func TestRowRateIsLimited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := New(1), start
		sidecars, servers := rapid.IntRange(1, 300).Draw(t, "sidecars"), rapid.IntRange(1, 200).Draw(t, "servers")
		written, last := 0, map[string]Time{}
		steps := rapid.IntRange(1, 100).Draw(t, "steps")
		for range steps {
			for range rapid.IntRange(0, 20).Draw(t, "outcomes") {
				server := fmt.Sprint(rapid.IntRange(0, servers-1).Draw(t, "server"))
				r.Observe(now, server, Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")))
			}
			for _, row := range r.DueRows(now, sidecars) {
				if at, known := last[row.Server]; known && now-at < minRowInterval {
					t.Errorf("second row on server %s after %v, want at least %v", row.Server, now-at, minRowInterval)
				}
				last[row.Server] = now
				written++
			}
			now += 50 * time.Millisecond
		}
		if most := rowBurst + fleetRowRate/float64(sidecars)*(now-start).Seconds(); float64(written) > most {
			t.Errorf("%d rows in %v, want at most %.1f", written, now-start, most)
		}
	})
}

// TestReportQuorum checks that owners are requested to report only once enough of them have late responses at a time.
func TestReportQuorum(t *testing.T) {
	var q ReportQuorum
	now := start
	for i := range quorumSize {
		requested := q.AddLate(now, "s", fmt.Sprint("n", i), 80)
		if want := i == quorumSize-1; (len(requested) > 0) != want {
			t.Errorf("%d notes: requested reports of %v", i+1, requested)
		}
	}
	if requested := q.AddLate(now+reportRequestInterval/2, "s", "n9", 80); !slices.Equal(requested, []string{"n9"}) {
		t.Errorf("requested reports of %v, want only the new owner within the interval", requested)
	}
	if requested := q.AddLate(now+reportRequestInterval, "s", "n9", 80); len(requested) != quorumSize {
		t.Errorf("requested reports of %v after the interval, want %d owners", requested, quorumSize)
	}
	for range 2 * quorumSize { // several notes of one owner
		if requested := q.AddLate(now, "other", "n0", 80); len(requested) > 0 {
			t.Errorf("notes of one owner are a quorum: requested reports of %v", requested)
		}
	}
	for i := range 2 * quorumSize { // each response arrives before the next owner's note
		if requested := q.AddLate(now, "slow", fmt.Sprint("n", i), 80); len(requested) > 0 {
			t.Errorf("requested reports of %v on a server that is slow but responsive", requested)
		}
		q.Clear("slow")
	}
	for i := range 2 * quorumSize {
		if requested := q.AddLate(now, "rare", fmt.Sprint("n", i), 80); len(requested) > 0 {
			t.Errorf("notes %v apart: requested reports of %v", noteLifetime, requested)
		}
		now += noteLifetime
	}
	for i := range 10 * maxServers {
		q.AddLate(now, fmt.Sprint(i), "n0", 80)
	}
	if len(q.notes) > maxServers {
		t.Errorf("notes on %d servers, want at most %d", len(q.notes), maxServers)
	}
	if requested := q.AddLate(now+noteLifetime, "new", "n0", 80); len(requested) > 0 || len(q.notes) != 1 {
		t.Errorf("notes on %d servers after the others have expired, want 1", len(q.notes))
	}
	if requested := new(ReportQuorum).AddLate(now, "s", "n0", 3); len(requested) > 0 {
		t.Errorf("one note in a small fleet is a quorum: requested reports of %v", requested)
	}
}

// TestCollectors checks that the collectors do not depend on the order of the sidecars, that removing a sidecar only
// changes the collectors of its own servers, and that servers are evenly distributed over the collectors.
func TestCollectors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfNDistinct(rapid.StringMatching(`n[0-9]{1,3}`), 1, 40, rapid.ID).Draw(t, "sidecars")
		server := rapid.StringMatching(`s-[0-9a-f]{4}`).Draw(t, "server")
		got := Collectors(server, all)
		if len(got) != min(2, len(all)) || got[0] == got[len(got)-1] && len(all) > 1 {
			t.Fatalf("collectors %v of %d sidecars", got, len(all))
		}
		if other := Collectors(server, rapid.Permutation(all).Draw(t, "order")); !slices.Equal(got, other) {
			t.Errorf("collectors %v in another order, want %v", other, got)
		}
		removed := rapid.SampledFrom(all).Draw(t, "removed")
		remaining := slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == removed })
		if after := Collectors(server, remaining); !slices.Contains(got, removed) && !slices.Equal(got, after) {
			t.Errorf("collectors %v after removing %s, want %v", after, removed, got)
		}
	})
	if got := Collectors("s", nil); len(got) != 0 {
		t.Errorf("collectors %v without sidecars, want none", got)
	}
	load := map[string]int{}
	for i := range 600 {
		for _, c := range Collectors(fmt.Sprint("s-", i), []string{"a", "b", "c", "d", "e", "f"}) {
			load[c]++
		}
	}
	for c, n := range load {
		if n < 140 || n > 260 {
			t.Errorf("%s collects for %d of 600 servers, want 140 to 260", c, n)
		}
	}
}

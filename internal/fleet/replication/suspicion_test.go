package replication

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	bad  = Evidence{Attempts: 4, Unanswered: 3}
	once = Evidence{Attempts: 1, Unanswered: 1}
	good = Evidence{SinceGoodMS: 1}
)

// reportedRow describes one owner's row on one server.
type reportedRow struct {
	owner, server string
	evidence      Evidence
	age           time.Duration
}

// newStoreWith returns a replica with the given rows merged.
func newStoreWith(t rapid.TB, rows []reportedRow) (*Store, Now) {
	t.Helper()
	s, now := New("self", incarnations[0]), Now{Time: time.Hour, Wall: 1e12}
	for i, w := range rows {
		r := Row{
			Owner:       w.owner,
			Incarnation: incarnations[0],
			Server:      w.server,
			Version:     uint64(i + 1),
			Evidence:    w.evidence,
			Age:         uint32(w.age.Milliseconds()),
		}
		if _, err := s.Merge(now, Item{Row: &r}, w.owner); err != nil {
			t.Fatal(err)
		}
	}
	return s, now
}

// rewritten returns the rows as rewritten now, with last bad outcomes of the given age.
func rewritten(rows []reportedRow, age time.Duration) []reportedRow {
	rows = slices.Clone(rows)
	for i := range rows {
		rows[i].evidence.SinceBadMS = uint32(age.Milliseconds())
	}
	return rows
}

func anyOwner(string) bool { return true }

func serversOf(suspicions []Suspicion) (servers []string) {
	for _, d := range suspicions {
		servers = append(servers, d.Server)
	}
	return servers
}

// TestSuspicions checks which rows make a server suspected, in a fleet of ten sidecars and twenty servers.
func TestSuspicions(t *testing.T) {
	three := []reportedRow{{"a", "s", bad, 0}, {"b", "s", bad, 0}, {"c", "s", bad, 0}}
	later := slices.Clone(three)
	for i := range later {
		later[i].age = 100 * time.Millisecond
	}
	stale := slices.Clone(three)
	stale[0].age = rowCountsFor
	everywhere := slices.Clone(three)
	for i := range 10 {
		everywhere = append(everywhere, reportedRow{"a", fmt.Sprint("r", i), bad, 0})
	}
	for _, tt := range []struct {
		name    string
		rows    []reportedRow
		present func(string) bool
		want    bool
	}{
		{"three sidecars report it", three, anyOwner, true},
		{"two sidecars report it", three[:2], anyOwner, false},
		{"one of three rows is too old", stale, anyOwner, false},
		{"one of three owners is absent", three, func(o string) bool { return o != "b" }, false},
		{"one of three owners reports over half of all servers", everywhere, anyOwner, false},
		{"good response since at another sidecar", append(slices.Clone(later), reportedRow{"d", "s", good, 0}), anyOwner, false},
		{"good response before at another sidecar", append(slices.Clone(three), reportedRow{"d", "s", good, time.Second}), anyOwner, true},
		{"rows rewritten after a good response", append(rewritten(three, 2*time.Second), reportedRow{"d", "s", good, time.Second}), anyOwner, false},
		{"further bad outcomes after a good response", append(rewritten(three, 500*time.Millisecond), reportedRow{"d", "s", good, time.Second}), anyOwner, true},
		{"own row counts", []reportedRow{three[0], three[1]}, anyOwner, true},
		{"own row alone", nil, anyOwner, false},
		{"one bad outcome of each of three", []reportedRow{{"a", "s", once, 0}, {"b", "s", once, 0}, {"c", "s", once, 0}}, anyOwner, false},
		{"many bad outcomes of one sidecar count as two", []reportedRow{{"a", "s", Evidence{Attempts: 90, Unanswered: 90}, 0}, {"b", "s", once, 0}}, anyOwner, false},
		{"one bad outcome of each of four", []reportedRow{{"a", "s", once, 0}, {"b", "s", once, 0}, {"c", "s", once, 0}, {"d", "s", once, 0}}, anyOwner, true},
		{"error responses do not count", []reportedRow{three[0], three[1], {"c", "s", Evidence{Attempts: 20, Failed: 20}, 0}}, anyOwner, false},
	} {
		s, now := newStoreWith(t, tt.rows)
		if strings.HasPrefix(tt.name, "own row") {
			if _, err := s.WriteRow(now, "s", 0, bad); err != nil {
				t.Fatal(err)
			}
		}
		if got := slices.Contains(serversOf(s.Suspicions(now, tt.present, 10, 20)), "s"); got != tt.want {
			t.Errorf("%s: suspected %v, want %v", tt.name, got, tt.want)
		}
	}
	s, now := newStoreWith(t, three[:2])
	if got := s.Suspicions(now, anyOwner, 3, 20); len(got) != 1 {
		t.Errorf("suspicions %v by two sidecars of a fleet of three, want 1", got)
	}
}

// TestQuorumIsNeeded draws rows. A server is suspected only if at least quorum sidecars report it, a row with a good
// response never makes a server suspected, and the order of merges does not matter.
func TestQuorumIsNeeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rows []reportedRow
		reporters := map[string]map[string]bool{}
		for range rapid.IntRange(0, 60).Draw(t, "rows") {
			w := reportedRow{
				fmt.Sprint("n", rapid.IntRange(0, 5).Draw(t, "owner")),
				fmt.Sprint("s", rapid.IntRange(0, 7).Draw(t, "server")),
				rapid.SampledFrom([]Evidence{bad, good}).Draw(t, "evidence"),
				0,
			}
			if slices.ContainsFunc(rows, func(o reportedRow) bool { return o.owner == w.owner && o.server == w.server }) {
				continue
			}
			rows = append(rows, w)
			if reporters[w.server] == nil {
				reporters[w.server] = map[string]bool{}
			}
			if w.evidence == bad {
				reporters[w.server][w.owner] = true
			}
		}
		s, now := newStoreWith(t, rows)
		suspicions := s.Suspicions(now, anyOwner, 6, 40)
		for _, d := range suspicions {
			if len(reporters[d.Server]) < quorum {
				t.Errorf("%s is suspected with reports of %v only", d.Server, reporters[d.Server])
			}
		}
		other, _ := newStoreWith(t, rapid.Permutation(rows).Draw(t, "order"))
		if got := other.Suspicions(now, anyOwner, 6, 40); !slices.Equal(serversOf(got), serversOf(suspicions)) {
			t.Errorf("suspicions %v in one order, %v in another", serversOf(suspicions), serversOf(got))
		}
		withGood, _ := newStoreWith(t, append(rows, reportedRow{"n9", "s0", good, 0}))
		if got := serversOf(withGood.Suspicions(now, anyOwner, 6, 40)); slices.Contains(got, "s0") &&
			!slices.Contains(serversOf(suspicions), "s0") {
			t.Error("a row with a good response made a server suspected")
		}
	})
}

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

// word is one owner's row on one server.
type reportedRow struct {
	owner, server string
	evidence      Evidence
	age           time.Duration
}

// hears makes a copy that has heard rows.
func newStoreWith(t rapid.TB, words []reportedRow) (*Store, Now) {
	t.Helper()
	s, now := New("self", incarnations[0]), Now{Time: time.Hour, Wall: 1e12}
	for i, w := range words {
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

// again is the same words, written again now, by owners whose last bad ends are so old.
func again(words []reportedRow, old time.Duration) []reportedRow {
	words = slices.Clone(words)
	for i := range words {
		words[i].evidence.SinceBadMS = uint32(old.Milliseconds())
	}
	return words
}

func anyOwner(string) bool { return true }

func serversOf(suspicions []Suspicion) (servers []string) {
	for _, d := range suspicions {
		servers = append(servers, d.Server)
	}
	return servers
}

// TestDoubts says what it takes for a server to be in doubt, in a fleet of ten with twenty servers.
func TestDoubts(t *testing.T) {
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
		name  string
		words []reportedRow
		here  func(string) bool
		want  bool
	}{
		{"three agree", three, anyOwner, true},
		{"two agree", three[:2], anyOwner, false},
		{"one word is old", stale, anyOwner, false},
		{"one is gone", three, func(o string) bool { return o != "b" }, false},
		{"one speaks against over half of all servers", everywhere, anyOwner, false},
		{"one has had an answer since", append(slices.Clone(later), reportedRow{"d", "s", good, 0}), anyOwner, false},
		{"one had an answer before", append(slices.Clone(three), reportedRow{"d", "s", good, time.Second}), anyOwner, true},
		{"written again after one has had an answer", append(again(three, 2*time.Second), reportedRow{"d", "s", good, time.Second}), anyOwner, false},
		{"no answer again after one has had one", append(again(three, 500*time.Millisecond), reportedRow{"d", "s", good, time.Second}), anyOwner, true},
		{"the own word is one", []reportedRow{three[0], three[1]}, anyOwner, true},
		{"the own word alone", nil, anyOwner, false},
		{"one bad end of each is too little", []reportedRow{{"a", "s", once, 0}, {"b", "s", once, 0}, {"c", "s", once, 0}}, anyOwner, false},
		{"one of many brings two ends at most", []reportedRow{{"a", "s", Evidence{Attempts: 90, Unanswered: 90}, 0}, {"b", "s", once, 0}}, anyOwner, false},
		{"one bad end of each of four", []reportedRow{{"a", "s", once, 0}, {"b", "s", once, 0}, {"c", "s", once, 0}, {"d", "s", once, 0}}, anyOwner, true},
		{"errors are none", []reportedRow{three[0], three[1], {"c", "s", Evidence{Attempts: 20, Failed: 20}, 0}}, anyOwner, false},
	} {
		s, now := newStoreWith(t, tt.words)
		if strings.HasPrefix(tt.name, "the own word") {
			if _, err := s.WriteRow(now, "s", 0, bad); err != nil {
				t.Fatal(err)
			}
		}
		if got := slices.Contains(serversOf(s.Suspicions(now, tt.here, 10, 20)), "s"); got != tt.want {
			t.Errorf("%s: in doubt %v, want %v", tt.name, got, tt.want)
		}
	}
	s, now := newStoreWith(t, three[:2])
	if got := s.Suspicions(now, anyOwner, 3, 20); len(got) != 1 {
		t.Errorf("in a fleet of three two are enough: %v", got)
	}
}

// TestNoOneAlone: whatever a single sidecar says, in however many rows, beside whatever few others say, no server
// that two others at least do not speak against comes into doubt; a word for a server never brings one into doubt;
// and the order in which words come does not matter.
func TestNoOneAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var words []reportedRow
		votes := map[string]map[string]bool{}
		for range rapid.IntRange(0, 60).Draw(t, "words") {
			w := reportedRow{
				fmt.Sprint("n", rapid.IntRange(0, 5).Draw(t, "owner")),
				fmt.Sprint("s", rapid.IntRange(0, 7).Draw(t, "server")),
				rapid.SampledFrom([]Evidence{bad, good}).Draw(t, "evidence"),
				0,
			}
			if slices.ContainsFunc(words, func(o reportedRow) bool { return o.owner == w.owner && o.server == w.server }) {
				continue
			}
			words = append(words, w)
			if votes[w.server] == nil {
				votes[w.server] = map[string]bool{}
			}
			if w.evidence == bad {
				votes[w.server][w.owner] = true
			}
		}
		s, now := newStoreWith(t, words)
		suspicions := s.Suspicions(now, anyOwner, 6, 40)
		for _, d := range suspicions {
			if len(votes[d.Server]) < quorum {
				t.Errorf("%s is in doubt by %v", d.Server, votes[d.Server])
			}
		}
		other, _ := newStoreWith(t, rapid.Permutation(words).Draw(t, "order"))
		if got := other.Suspicions(now, anyOwner, 6, 40); !slices.Equal(serversOf(got), serversOf(suspicions)) {
			t.Errorf("%v in one order, %v in another", serversOf(suspicions), serversOf(got))
		}
		kind, _ := newStoreWith(t, append(words, reportedRow{"n9", "s0", good, 0}))
		if got := serversOf(kind.Suspicions(now, anyOwner, 6, 40)); slices.Contains(got, "s0") &&
			!slices.Contains(serversOf(suspicions), "s0") {
			t.Error("a word for a server brought it into doubt")
		}
	})
}

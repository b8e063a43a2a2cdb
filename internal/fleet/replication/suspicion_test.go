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
	bad  = Evidence{Tries: 4, Unanswered: 3}
	once = Evidence{Tries: 1, Unanswered: 1}
	good = Evidence{Good: 1}
)

// word is one owner's row on one server.
type word struct {
	owner, server string
	evidence      Evidence
	age           time.Duration
}

// hears makes a copy that has heard rows.
func hears(t rapid.TB, words []word) (*Store, Now) {
	t.Helper()
	s, now := New("self", lives[0]), Now{Time: time.Hour, Wall: 1e12}
	for i, w := range words {
		r := Row{
			Owner:       w.owner,
			Incarnation: lives[0],
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
func again(words []word, old time.Duration) []word {
	words = slices.Clone(words)
	for i := range words {
		words[i].evidence.Bad = uint32(old.Milliseconds())
	}
	return words
}

func everybody(string) bool { return true }

func about(doubts []Suspicion) (servers []string) {
	for _, d := range doubts {
		servers = append(servers, d.Server)
	}
	return servers
}

// TestDoubts says what it takes for a server to be in doubt, in a fleet of ten with twenty servers.
func TestDoubts(t *testing.T) {
	three := []word{{"a", "s", bad, 0}, {"b", "s", bad, 0}, {"c", "s", bad, 0}}
	later := slices.Clone(three)
	for i := range later {
		later[i].age = 100 * time.Millisecond
	}
	stale := slices.Clone(three)
	stale[0].age = rowCountsFor
	everywhere := slices.Clone(three)
	for i := range 10 {
		everywhere = append(everywhere, word{"a", fmt.Sprint("r", i), bad, 0})
	}
	for _, tt := range []struct {
		name  string
		words []word
		here  func(string) bool
		want  bool
	}{
		{"three agree", three, everybody, true},
		{"two agree", three[:2], everybody, false},
		{"one word is old", stale, everybody, false},
		{"one is gone", three, func(o string) bool { return o != "b" }, false},
		{"one speaks against over half of all servers", everywhere, everybody, false},
		{"one has had an answer since", append(slices.Clone(later), word{"d", "s", good, 0}), everybody, false},
		{"one had an answer before", append(slices.Clone(three), word{"d", "s", good, time.Second}), everybody, true},
		{"written again after one has had an answer", append(again(three, 2*time.Second), word{"d", "s", good, time.Second}), everybody, false},
		{"no answer again after one has had one", append(again(three, 500*time.Millisecond), word{"d", "s", good, time.Second}), everybody, true},
		{"the own word is one", []word{three[0], three[1]}, everybody, true},
		{"the own word alone", nil, everybody, false},
		{"one bad end of each is too little", []word{{"a", "s", once, 0}, {"b", "s", once, 0}, {"c", "s", once, 0}}, everybody, false},
		{"one of many brings two ends at most", []word{{"a", "s", Evidence{Tries: 90, Unanswered: 90}, 0}, {"b", "s", once, 0}}, everybody, false},
		{"one bad end of each of four", []word{{"a", "s", once, 0}, {"b", "s", once, 0}, {"c", "s", once, 0}, {"d", "s", once, 0}}, everybody, true},
		{"errors are none", []word{three[0], three[1], {"c", "s", Evidence{Tries: 20, Failed: 20}, 0}}, everybody, false},
	} {
		s, now := hears(t, tt.words)
		if strings.HasPrefix(tt.name, "the own word") {
			if _, err := s.WriteRow(now, "s", 0, bad); err != nil {
				t.Fatal(err)
			}
		}
		if got := slices.Contains(about(s.Suspicions(now, tt.here, 10, 20)), "s"); got != tt.want {
			t.Errorf("%s: in doubt %v, want %v", tt.name, got, tt.want)
		}
	}
	s, now := hears(t, three[:2])
	if got := s.Suspicions(now, everybody, 3, 20); len(got) != 1 {
		t.Errorf("in a fleet of three two are enough: %v", got)
	}
}

// TestNoOneAlone: whatever a single sidecar says, in however many rows, beside whatever few others say, no server
// that two others at least do not speak against comes into doubt; a word for a server never brings one into doubt;
// and the order in which words come does not matter.
func TestNoOneAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var words []word
		votes := map[string]map[string]bool{}
		for range rapid.IntRange(0, 60).Draw(t, "words") {
			w := word{
				fmt.Sprint("n", rapid.IntRange(0, 5).Draw(t, "owner")),
				fmt.Sprint("s", rapid.IntRange(0, 7).Draw(t, "server")),
				rapid.SampledFrom([]Evidence{bad, good}).Draw(t, "evidence"),
				0,
			}
			if slices.ContainsFunc(words, func(o word) bool { return o.owner == w.owner && o.server == w.server }) {
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
		s, now := hears(t, words)
		doubts := s.Suspicions(now, everybody, 6, 40)
		for _, d := range doubts {
			if len(votes[d.Server]) < quorum {
				t.Errorf("%s is in doubt by %v", d.Server, votes[d.Server])
			}
		}
		other, _ := hears(t, rapid.Permutation(words).Draw(t, "order"))
		if got := other.Suspicions(now, everybody, 6, 40); !slices.Equal(about(got), about(doubts)) {
			t.Errorf("%v in one order, %v in another", about(doubts), about(got))
		}
		kind, _ := hears(t, append(words, word{"n9", "s0", good, 0}))
		if got := about(kind.Suspicions(now, everybody, 6, 40)); slices.Contains(got, "s0") &&
			!slices.Contains(about(doubts), "s0") {
			t.Error("a word for a server brought it into doubt")
		}
	})
}

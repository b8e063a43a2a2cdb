package replication

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// How rows are weighed. A server is in doubt by the fleet's word where enough sidecars have had no answer from it and none
// has had one since.
const (
	rowSpeaks   = 2 * time.Second // a row is weighed for this long; its owner writes it again sooner
	leastBad    = 4               // requests without an answer, over all who speak against a server,
	mostBad     = 2               // of which one sidecar brings so many at most
	quorum      = 3               // sidecars that have to agree, oneself among them; 2 in a fleet of 3 or fewer
	mostAgainst = 0.5             // of the servers: who speaks against more is not believed, the fault is likely its own
)

// bad counts what speaks against a server since its last good answer. Errors do not: a server that fails some of its
// requests serves the others. What a peer writes may be as large as it likes.
func (e Evidence) bad() uint64 { return uint64(max(e.Silent, e.Late)) + uint64(e.Refused) }

// against tells whether a row speaks against its server now.
func (r Row) against(now Now) bool { return now.Time-r.born < rowSpeaks && r.Evidence.bad() > 0 }

// good is when the row's owner last had a good answer, and whether it has told.
func (r Row) good() (at Time, told bool) {
	return r.born - Time(r.Evidence.Good)*time.Millisecond, r.Evidence.Good > 0
}

// spoke is when the row's owner last had no answer. A row that is written again does not make that any younger: were it to,
// a good answer would be forgotten with the next row of one that has not tried the server since.
func (r Row) spoke() Time { return r.born - Time(r.Evidence.Bad)*time.Millisecond }

// Doubt is a server that the fleet speaks against.
type Doubt struct {
	Server string
	Boot   int64 // of the process that is spoken of
	By     int   // sidecars
	Newest Time  // when one of them last had no answer
}

// Doubts weighs the rows: those of sidecars that are here, on the process of each server that most of them speak of. servers
// is how many there are. The most widely doubted come first.
//
// Danger: one sidecar whose network is broken believes all servers dead; it is not believed. Danger: late answers are
// no silence. Any good answer after an owner's last bad end, of whomever, answers its row: then the word of one is enough to have
// the others decide as if there were no fleet, which is no harm.
func (s *Store) Doubts(now Now, here func(owner string) bool, members, servers int) (doubts []Doubt) {
	spoken := map[string]int{}
	for _, rows := range s.rows {
		for _, r := range rows {
			if r.against(now) {
				spoken[r.Owner]++
			}
		}
	}
	counts := func(r Row) bool {
		return (r.Owner == s.name || here(r.Owner)) && float64(spoken[r.Owner]) <= max(mostAgainst*float64(servers), 1)
	}
	needed := quorum
	if members <= quorum {
		needed = 2
	}
	for server, rows := range s.rows {
		d := Doubt{Server: server, Boot: spokenOf(now, rows)}
		answered, ends := Time(0), uint64(0)
		for _, r := range rows {
			if at, told := r.good(); told && r.Boot == d.Boot && counts(r) {
				answered = max(answered, at)
			}
		}
		for _, r := range rows {
			if r.Boot == d.Boot && counts(r) && r.against(now) && r.spoke() > answered {
				ends += min(r.Evidence.bad(), mostBad)
				d.By++
				d.Newest = max(d.Newest, r.spoke())
			}
		}
		if d.By >= needed && ends >= leastBad {
			doubts = append(doubts, d)
		}
	}
	slices.SortFunc(doubts, func(a, b Doubt) int {
		return cmp.Or(cmp.Compare(b.By, a.By), strings.Compare(a.Server, b.Server))
	})
	return doubts
}

// spokenOf is the process of a server that most rows speak of, of two the newer one. Danger: were it the newest that any
// speaks of, one false start would make all others' words void.
func spokenOf(now Now, rows []Row) (boot int64) {
	count := map[int64]int{}
	for _, r := range rows {
		if r.against(now) {
			count[r.Boot]++
		}
	}
	for b, n := range count {
		if n > count[boot] || n == count[boot] && b > boot {
			boot = b
		}
	}
	return boot
}

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
	rowCountsFor     = 2 * time.Second // a row is weighed for this long; its owner writes it again sooner
	minBadOutcomes   = 4               // requests without an answer, over all who speak against a server,
	maxBadPerSidecar = 2               // of which one sidecar brings so many at most
	quorum           = 3               // sidecars that have to agree, oneself among them; 2 in a fleet of 3 or fewer
	maxAccusedShare  = 0.5             // of the servers: who speaks against more is not believed, the fault is likely its own
)

// badOutcomes counts what speaks against a server since its last good answer. Errors do not: a server that fails some of its
// requests serves the others. What a peer writes may be as large as it likes.
func (e Evidence) badOutcomes() uint64 { return uint64(max(e.Silent, e.Late)) + uint64(e.Refused) }

// accuses tells whether a row speaks against its server now.
func (r Row) accuses(now Now) bool {
	return now.Time-r.writtenAt < rowCountsFor && r.Evidence.badOutcomes() > 0
}

// lastGood is when the row's owner last had a good answer, and whether it has told.
func (r Row) lastGood() (at Time, told bool) {
	return r.writtenAt - Time(r.Evidence.Good)*time.Millisecond, r.Evidence.Good > 0
}

// lastBad is when the row's owner last had no answer. A row that is written again does not make that any younger: were it to,
// a good answer would be forgotten with the next row of one that has not tried the server since.
func (r Row) lastBad() Time { return r.writtenAt - Time(r.Evidence.Bad)*time.Millisecond }

// Suspicion is a server that the fleet speaks against.
type Suspicion struct {
	Server   string
	Boot     int64 // of the process that is spoken of
	Sidecars int   // sidecars
	Newest   Time  // when one of them last had no answer
}

// Suspicions weighs the rows: those of sidecars that are here, on the process of each server that most of them speak of. servers
// is how many there are. The most widely doubted come first.
//
// Danger: one sidecar whose network is broken believes all servers dead; it is not believed. Danger: late answers are
// no silence. Any good answer after an owner's last bad end, of whomever, answers its row: then the word of one is enough to have
// the others decide as if there were no fleet, which is no harm.
func (s *Store) Suspicions(now Now, here func(owner string) bool, members, servers int) (doubts []Suspicion) {
	spoken := map[string]int{}
	for _, rows := range s.rows {
		for _, r := range rows {
			if r.accuses(now) {
				spoken[r.Owner]++
			}
		}
	}
	counts := func(r Row) bool {
		return (r.Owner == s.name || here(r.Owner)) && float64(spoken[r.Owner]) <= max(maxAccusedShare*float64(servers), 1)
	}
	needed := quorum
	if members <= quorum {
		needed = 2
	}
	for server, rows := range s.rows {
		d := Suspicion{Server: server, Boot: accusedProcess(now, rows)}
		answered, ends := Time(0), uint64(0)
		for _, r := range rows {
			if at, told := r.lastGood(); told && r.Boot == d.Boot && counts(r) {
				answered = max(answered, at)
			}
		}
		for _, r := range rows {
			if r.Boot == d.Boot && counts(r) && r.accuses(now) && r.lastBad() > answered {
				ends += min(r.Evidence.badOutcomes(), maxBadPerSidecar)
				d.Sidecars++
				d.Newest = max(d.Newest, r.lastBad())
			}
		}
		if d.Sidecars >= needed && ends >= minBadOutcomes {
			doubts = append(doubts, d)
		}
	}
	slices.SortFunc(doubts, func(a, b Suspicion) int {
		return cmp.Or(cmp.Compare(b.Sidecars, a.Sidecars), strings.Compare(a.Server, b.Server))
	})
	return doubts
}

// accusedProcess is the process of a server that most rows speak of, of two the newer one. Danger: were it the newest that any
// speaks of, one false start would make all others' words void.
func accusedProcess(now Now, rows []Row) (boot int64) {
	count := map[int64]int{}
	for _, r := range rows {
		if r.accuses(now) {
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

package replication

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// A server is suspected where enough sidecars have had no answer from it and none has had one since.
const (
	// rowCountsFor is how long a row counts; its owner writes it again sooner while it holds.
	rowCountsFor = 2 * time.Second
	// minBadOutcomes is how many requests without an answer are needed over all sidecars that accuse a server, of which
	// one sidecar brings maxBadPerSidecar at most.
	minBadOutcomes   = 4
	maxBadPerSidecar = 2
	// quorum is how many sidecars have to agree, this one among them, and smallQuorum in a fleet of quorum or fewer.
	quorum      = 3
	smallQuorum = 2
	// maxReportedShare is the share of the servers that a sidecar may accuse and be believed: beyond it the fault is
	// likely its own.
	maxReportedShare = 0.5
)

// badOutcomes counts what accuses a server since its last good answer. Errors do not: a server that fails some of its
// requests serves the others. A peer may write counts of any size.
func (e Evidence) badOutcomes() uint64 { return uint64(max(e.Unanswered, e.Late)) + uint64(e.Refused) }

// accuses reports whether a row counts against its server now.
func (r Row) reportsFailure(now Now) bool {
	return now.Time-r.writtenAt < rowCountsFor && r.Evidence.badOutcomes() > 0
}

// lastGood returns when the row's owner last had a good answer, and whether the row says so.
func (r Row) lastGood() (at Time, known bool) {
	return r.writtenAt - Time(r.Evidence.SinceGoodMS)*time.Millisecond, r.Evidence.SinceGoodMS > 0
}

// lastBad returns when the row's owner last waited in vain. Writing a row again does not make that any younger: a good
// answer would otherwise be outdated by the next row of an owner that has not tried the server since.
func (r Row) lastBad() Time { return r.writtenAt - Time(r.Evidence.SinceBadMS)*time.Millisecond }

// Suspicion is a server that the fleet suspects.
type Suspicion struct {
	Server   string
	Boot     int64 // of the process that is spoken of
	Sidecars int   // that accuse it
	LastBad  Time  // when one of them last waited in vain
}

// Suspicions weighs the rows of sidecars that are here, on the process of each server that most of them accuse.
// members is how many sidecars there are, servers how many servers. The most widely suspected come first.
//
// A sidecar whose network is broken believes all servers dead; it is not believed. Late answers are no silence: a
// good answer of anybody after an owner's last bad outcome refutes its row. So one sidecar's word is enough to have
// the others decide as if there were no fleet, which does no harm.
func (s *Store) Suspicions(now Now, present func(owner string) bool, members, servers int) (suspicions []Suspicion) {
	reported := s.countReportedServers(now)
	counts := func(r Row) bool {
		credible := float64(reported[r.Owner]) <= max(maxReportedShare*float64(servers), 1)
		return credible && (r.Owner == s.name || present(r.Owner))
	}
	needed := quorum
	if members <= quorum {
		needed = smallQuorum
	}
	for server, rows := range s.rows {
		suspicion, outcomes := evaluateRows(now, server, rows, counts)
		if suspicion.Sidecars >= needed && outcomes >= minBadOutcomes {
			suspicions = append(suspicions, suspicion)
		}
	}
	slices.SortFunc(suspicions, func(a, b Suspicion) int {
		return cmp.Or(cmp.Compare(b.Sidecars, a.Sidecars), strings.Compare(a.Server, b.Server))
	})
	return suspicions
}

// countReportedServers counts the servers that each sidecar accuses.
func (s *Store) countReportedServers(now Now) map[string]int {
	reported := map[string]int{}
	for _, rows := range s.rows {
		for _, r := range rows {
			if r.reportsFailure(now) {
				reported[r.Owner]++
			}
		}
	}
	return reported
}

// weigh returns what the rows that count say of one server, and the bad outcomes that they bring.
func evaluateRows(now Now, server string, rows []Row, counts func(Row) bool) (suspicion Suspicion, outcomes uint64) {
	suspicion = Suspicion{Server: server, Boot: mostReportedBoot(now, rows)}
	answered := Time(0)
	for _, r := range rows {
		if at, known := r.lastGood(); known && r.Boot == suspicion.Boot && counts(r) {
			answered = max(answered, at)
		}
	}
	for _, r := range rows {
		if r.Boot != suspicion.Boot || !counts(r) || !r.reportsFailure(now) || r.lastBad() <= answered {
			continue
		}
		outcomes += min(r.Evidence.badOutcomes(), maxBadPerSidecar)
		suspicion.Sidecars++
		suspicion.LastBad = max(suspicion.LastBad, r.lastBad())
	}
	return suspicion, outcomes
}

// mostReportedBoot returns the process of a server that most rows accuse, of two the newer one. Were it the newest that
// any row names, one false start would void the rows of all others.
func mostReportedBoot(now Now, rows []Row) (boot int64) {
	count := map[int64]int{}
	for _, r := range rows {
		if r.reportsFailure(now) {
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

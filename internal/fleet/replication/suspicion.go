package replication

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// A server is suspected if enough sidecars have had bad outcomes at it and none has had a good response since.
const (
	// rowCountsFor is how long a row counts. Its owner rewrites it more often than that while it holds.
	rowCountsFor = 2 * time.Second
	// minBadOutcomes is the minimum number of bad outcomes over all sidecars that report a server. At most
	// maxBadPerSidecar of one sidecar count.
	minBadOutcomes   = 4
	maxBadPerSidecar = 2
	// quorum is the number of sidecars, including this one, that must report a server. In a fleet of at most quorum
	// sidecars it is smallQuorum.
	quorum      = 3
	smallQuorum = 2
	// maxReportedShare is the maximum share of the servers that a sidecar may report. The rows of a sidecar that
	// reports more do not count, as the fault is probably its own.
	maxReportedShare = 0.5
)

// badOutcomes returns the number of outcomes that count against a server since its last good response. Error responses
// do not count: a server that fails some of its requests serves the others. Peers may send counts of any size.
func (e Evidence) badOutcomes() uint64 { return uint64(max(e.Unanswered, e.Late)) + uint64(e.Refused) }

// reportsFailure reports whether a row counts against its server now.
func (r Row) reportsFailure(now Now) bool {
	return now.Time-r.writtenAt < rowCountsFor && r.Evidence.badOutcomes() > 0
}

// lastGood returns when the row's owner last had a good response, and whether the row has this time.
func (r Row) lastGood() (at Time, known bool) {
	return r.writtenAt - Time(r.Evidence.SinceGoodMS)*time.Millisecond, r.Evidence.SinceGoodMS > 0
}

// lastBad returns when the row's owner last had a bad outcome. Rewriting a row does not change this time: otherwise the
// next row of an owner that has made no attempt since would override a good response.
func (r Row) lastBad() Time { return r.writtenAt - Time(r.Evidence.SinceBadMS)*time.Millisecond }

// Suspicion describes a server that the fleet suspects.
type Suspicion struct {
	Server   string
	Boot     int64 // start of the suspected process, Unix milliseconds
	Sidecars int   // number of sidecars that report it
	LastBad  Time  // time of the last bad outcome at any of them
}

// Suspicions evaluates the rows of this sidecar and of those that present accepts, for the process of each server that
// most rows report. members is the number of sidecars, and servers the number of servers. The result is sorted by
// descending number of reporting sidecars.
//
// The rows of a sidecar that reports more than maxReportedShare of the servers do not count, as its own network is
// probably broken. A good response at any sidecar after an owner's last bad outcome refutes the owner's row, as late
// responses do not mean that a server is unresponsive. One sidecar can therefore refute a suspicion; the others then
// decide as they would without a fleet, which does no harm.
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

// countReportedServers returns the number of servers that each sidecar reports.
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

// evaluateRows returns the suspicion of one server by the rows that count, and the number of their bad outcomes.
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

// mostReportedBoot returns the start of the process that most rows report, or the latest such start on a tie. If it
// used the latest start in any row, one wrong start would invalidate the rows of all other sidecars.
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

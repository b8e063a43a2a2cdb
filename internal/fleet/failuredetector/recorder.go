// Package failuredetector decides what a sidecar reports to the fleet about servers that seem to have failed, and when.
//
// Recorder turns the outcomes of the sidecar's own attempts into rows of evidence. ReportQuorum collects notes on late
// responses, so that a report is sent to the whole fleet only if several sidecars wait for one server at the same time.
// Both are deterministic state machines: outcomes, messages of peers and the current time are inputs, rows and notes
// are outputs. They use no clock, socket or goroutine and are not safe for concurrent use. A row contains only the
// observations of its own sidecar; package replication evaluates the rows of all sidecars.
package failuredetector

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/replication"
)

// Time is a reading of the host's monotonic clock; 0 means never.
type Time = time.Duration

// Outcome is the result of an attempt at a server, as used for failure detection.
type Outcome uint8

// Outcomes of attempts.
const (
	Answered Outcome = iota // good response
	Late                    // no response within the time that nearly all responses take; one may still arrive
	Silent                  // late attempt with no response for longer than all but one in a thousand responses take
	Failed                  // error response, or the connection broke
	Refused                 // connection refused or not established
)

const (
	// minRowInterval is the minimum time between two rows on one server.
	minRowInterval = 500 * time.Millisecond
	// renewInterval is how often a row that still holds is rewritten. Other sidecars count a row for twice as long.
	renewInterval = time.Second
	// renewalPeriod is the time after the last bad outcome during which a row is renewed. A server that all sidecars
	// avoid gets no request that could show its recovery. Its rows therefore expire, and it gets requests again.
	renewalPeriod = 3 * time.Second
	// recordLifetime is how long a record is kept after the last observation of its server and the last row on it.
	recordLifetime = 10 * time.Second
	// maxRecords is the maximum number of servers with records; observations of further servers are dropped.
	maxRecords = 2048
	// fleetRowRate is the maximum number of rows per second that all sidecars together write. If many servers fail at
	// once, all sidecars have many rows to write, and the cost of a replica grows with the number of rows.
	fleetRowRate = 256.0
	// rowBurst is the maximum number of rows that one sidecar writes at once.
	rowBurst = 16.0
	// maxRefutationDelay is the upper bound of the random delay before a sidecar refutes a suspicion: one refutation is
	// enough, and the first one makes those of the other sidecars unnecessary.
	maxRefutationDelay = 200 * time.Millisecond
)

// Row is a row of evidence to be written to the fleet's replicated state.
type Row struct {
	Server   string
	Evidence replication.Evidence
}

// Recorder stores the recent observations of servers by one sidecar. Use New to create one.
type Recorder struct {
	random    *rand.Rand
	servers   map[string]*serverRecord
	pending   map[string]bool // servers on which a row may be due
	evictedAt Time
	rowTokens float64 // number of rows that may be written now
	tokensAt  Time    // when rowTokens was last updated
}

// serverRecord holds the observations of one server.
type serverRecord struct {
	sinceGood replication.Evidence // outcomes since the last good response
	lastSeen  Time
	lastGood  Time // last good response
	lastBad   Time // last outcome Silent or Refused
	lastLate  Time

	noteSent        bool // a NoteLate was sent that no NoteAnswered has retracted
	reportRequested Time // when a collector last requested a report

	// suspectedAt is the time of the last bad outcome at the peers that suspect the server; 0: it is not suspected.
	suspectedAt Time
	refuteAt    Time // earliest time of a row that refutes the suspicion

	rowWritten Time
	row        replication.Evidence // the last row written
}

// New returns an empty Recorder. seed determines its random delays.
func New(seed uint64) *Recorder {
	return &Recorder{
		random:    rand.New(rand.NewPCG(seed, 0xb00c)),
		servers:   map[string]*serverRecord{},
		pending:   map[string]bool{},
		rowTokens: rowBurst,
	}
}

// Observe records the outcome of an attempt, and returns a note for the collectors if one is due.
func (r *Recorder) Observe(now Time, server string, outcome Outcome) (note Note, due bool) {
	record := r.record(server)
	if record == nil {
		return Note{}, false
	}
	record.lastSeen = now
	switch outcome {
	case Answered:
		return r.observeGoodResponse(now, server, record)
	case Late:
		record.lastLate, record.noteSent = now, true
		record.sinceGood.Late++
		record.sinceGood.Attempts++
		return Note{server, NoteLate}, true
	case Silent: // its Late outcome has already counted the attempt
		record.lastBad = now
		record.sinceGood.Unanswered++
		r.pending[server] = true
	case Refused:
		record.lastBad = now
		record.sinceGood.Refused++
		record.sinceGood.Attempts++
		r.pending[server] = true
	case Failed: // an error response does not count against the server
		record.sinceGood.Failed++
		record.sinceGood.Attempts++
	}
	return Note{}, false
}

// record returns the record of a server, or nil if there is none and maxRecords is reached.
func (r *Recorder) record(server string) *serverRecord {
	record := r.servers[server]
	if record == nil && len(r.servers) < maxRecords {
		record = &serverRecord{}
		r.servers[server] = record
	}
	return record
}

// observeGoodResponse records a good response.
func (r *Recorder) observeGoodResponse(now Time, server string, record *serverRecord) (note Note, due bool) {
	record.lastGood, record.sinceGood = now, replication.Evidence{}
	if record.suspectedAt > 0 || hasBadOutcome(record.row) {
		r.pending[server] = true
	}
	if !record.noteSent {
		return Note{}, false
	}
	record.noteSent = false
	return Note{server, NoteAnswered}, true
}

// RequestReport records a collector's request to report a late response of the server to the whole fleet. It is ignored
// if a good response has arrived since.
func (r *Recorder) RequestReport(now Time, server string) {
	if record := r.servers[server]; record != nil && record.lastLate > record.lastGood {
		record.reportRequested = now
		r.pending[server] = true
	}
}

// SetSuspected replaces the set of servers that peers suspect. The values are the times of the last bad outcome at
// these peers.
func (r *Recorder) SetSuspected(now Time, suspected map[string]Time) {
	for _, server := range slices.Sorted(maps.Keys(r.servers)) { // sorted, to draw random delays in a fixed order
		record := r.servers[server]
		if record.suspectedAt == 0 && suspected[server] > 0 {
			record.refuteAt = now + Time(r.random.Int64N(int64(maxRefutationDelay)))
		}
		record.suspectedAt = suspected[server]
		if record.suspectedAt > 0 {
			r.pending[server] = true
		}
	}
}

// Forget drops the observations of a server, for example because its process has been replaced.
func (r *Recorder) Forget(server string) {
	delete(r.servers, server)
	delete(r.pending, server)
}

// DueRows returns the rows to write now, sorted by server. sidecars is the number of sidecars in the fleet. Call it
// after each bad outcome and about every 50 ms.
func (r *Recorder) DueRows(now Time, sidecars int) (rows []Row) {
	r.refillRowTokens(now, sidecars)
	for _, server := range slices.Sorted(maps.Keys(r.pending)) {
		record := r.servers[server]
		if r.rowTokens >= 1 && record.rowDue(now) {
			r.rowTokens--
			rows = append(rows, Row{server, record.writeRow(now)})
		}
		if record.settled() {
			delete(r.pending, server)
		}
	}
	r.evict(now)
	return rows
}

// refillRowTokens adds this sidecar's share of fleetRowRate for the time since the last call.
func (r *Recorder) refillRowTokens(now Time, sidecars int) {
	rate := fleetRowRate / float64(max(sidecars, 1))
	r.rowTokens = min(r.rowTokens+rate*(now-r.tokensAt).Seconds(), rowBurst)
	r.tokensAt = now
}

// evict drops the records that have reached recordLifetime.
func (r *Recorder) evict(now Time) {
	if now-r.evictedAt < renewInterval {
		return
	}
	r.evictedAt = now
	for server, record := range r.servers {
		if now-max(record.lastSeen, record.rowWritten) >= recordLifetime {
			r.Forget(server)
		}
	}
}

// hasBadOutcome reports whether a row has an outcome that counts against its server.
func hasBadOutcome(row replication.Evidence) bool { return row.Unanswered+row.Refused+row.Late > 0 }

// writeRow builds the row for the record, stores it as the last row written and returns it.
func (s *serverRecord) writeRow(now Time) replication.Evidence {
	s.rowWritten, s.row = now, s.sinceGood
	if s.lastGood > 0 && now-s.lastGood < recordLifetime {
		s.row.SinceGoodMS = uint32(max(now-s.lastGood, time.Millisecond) / time.Millisecond)
	}
	if bad := max(s.lastBad, s.lastLate); hasBadOutcome(s.row) {
		s.row.SinceBadMS = uint32((now - bad) / time.Millisecond)
	}
	return s.row
}

// settled reports whether no row on the server can become due without a new event.
func (s *serverRecord) settled() bool {
	return s.suspectedAt == 0 && !hasBadOutcome(s.row) && s.lastBad <= s.rowWritten && s.reportRequested <= s.rowWritten
}

// rowDue reports whether a row on the server is due now.
func (s *serverRecord) rowDue(now Time) bool {
	if s.rowWritten > 0 && now-s.rowWritten < minRowInterval {
		return false
	}
	bad := s.lastBad
	if s.reportRequested > 0 {
		bad = max(bad, s.lastLate)
	}
	standing := hasBadOutcome(s.row)
	switch {
	case s.lastGood >= bad: // retract the previous row, or refute the peers' suspicion
		return s.lastGood > s.rowWritten && (standing || s.refutes(now))
	case bad > s.rowWritten:
		// A suspicion that exists already needs no row from every sidecar: the row rate is reserved for new evidence.
		return s.suspectedAt == 0 || standing
	}
	return standing && now-bad < renewalPeriod && now-s.rowWritten >= renewInterval
}

// refutes reports whether the last good response refutes the peers' suspicion and the random delay before a refutation
// has passed.
func (s *serverRecord) refutes(now Time) bool {
	return s.suspectedAt > 0 && s.lastGood > s.suspectedAt && now >= s.refuteAt
}

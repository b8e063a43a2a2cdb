// Package failuredetector decides what a sidecar reports to the fleet about servers that seem to have failed, and when.
//
// Recorder turns the outcomes of the sidecar's own attempts into rows of evidence. ReportQuorum collects notes on late
// answers, so that a report goes to the whole fleet only where several sidecars wait for one server at the same time.
// Both are stepped state machines: outcomes, peers' messages and the time go in, rows and notes come out. They have no
// clock, socket or goroutine and must not be used by two goroutines at once. A row holds the sidecar's own experience
// alone; package replication weighs the rows of all sidecars.
package failuredetector

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/replication"
)

// Time is a reading of the host's monotonic clock. 0 means never.
type Time = time.Duration

// Outcome is how an attempt at a server ended, as far as it tells of the server.
type Outcome uint8

// The outcomes of attempts.
const (
	Answered Outcome = iota // well
	Late                    // no answer in the time in which nearly all come; it may still come
	Silent                  // a late attempt: no answer for longer than all but one in a thousand take
	Failed                  // an error, or the connection broke
	Refused                 // no connection
)

const (
	// minRowInterval is the least time between two rows on one server.
	minRowInterval = 500 * time.Millisecond
	// renewInterval is when a row that still holds is written again; other sidecars count it for twice that.
	renewInterval = time.Second
	// renewalPeriod is how long after the last bad outcome a row is renewed. A server that everybody avoids gets no
	// request that could show that it has recovered, so all rows on it expire and it gets its turns again.
	renewalPeriod = 3 * time.Second
	// recordLifetime is how long a server is remembered after it was last seen or written of.
	recordLifetime = 10 * time.Second
	// maxRecords bounds the servers that are remembered; nothing is written of further ones.
	maxRecords = 2048
	// fleetRowRate is how many rows a second all sidecars write together. When much fails at once everybody has much
	// to report, and the cost of a copy of the fleet's state grows with what is reported.
	fleetRowRate = 256.0
	// rowBurst is how many rows a sidecar may write at once.
	rowBurst = 16.0
	// maxRefutationDelay bounds the random delay before a sidecar refutes a suspicion: one refutation is enough, and the
	// first spares the others.
	maxRefutationDelay = 200 * time.Millisecond
)

// Row is a row of evidence to be written to the fleet's replicated state.
type Row struct {
	Server   string
	Evidence replication.Evidence
}

// Recorder keeps what one sidecar has observed of servers of late. New returns one that is ready.
type Recorder struct {
	random    *rand.Rand
	servers   map[string]*serverRecord
	pending   map[string]bool // servers of which a row may be due
	evictedAt Time
	rowTokens float64 // rows that may be written now
	tokensAt  Time    // when rowTokens was last updated
}

// serverRecord is what was observed of one server.
type serverRecord struct {
	sinceGood replication.Evidence // outcomes since the last good answer
	lastSeen  Time
	lastGood  Time // last good answer
	lastBad   Time // last attempt that is silent or was refused
	lastLate  Time

	noteSent        bool // the collectors hold a note of this sidecar
	reportRequested Time // when a collector last asked for a report

	// suspectedAt is when one of the peers that suspect the server last waited in vain; 0: nobody suspects it.
	suspectedAt Time
	refuteAt    Time // a row in the server's favour may go from then on

	rowWritten Time
	row        replication.Evidence // as last written
}

// New returns a recorder that has seen nothing. seed determines the random delays that it draws.
func New(seed uint64) *Recorder {
	return &Recorder{
		random:    rand.New(rand.NewPCG(seed, 0xb00c)),
		servers:   map[string]*serverRecord{},
		pending:   map[string]bool{},
		rowTokens: rowBurst,
	}
}

// Observe records how an attempt ended, or that it is late, and returns a note for the collectors where one is due.
func (r *Recorder) Observe(now Time, server string, outcome Outcome) (note Note, due bool) {
	record := r.record(server)
	if record == nil {
		return Note{}, false
	}
	record.lastSeen = now
	switch outcome {
	case Answered:
		return r.observeAnswer(now, server, record)
	case Late:
		record.lastLate, record.noteSent = now, true
		record.sinceGood.Late++
		record.sinceGood.Attempts++
		return Note{server, NoteLate}, true
	case Silent: // was counted as a try when it was late
		record.lastBad = now
		record.sinceGood.Unanswered++
		r.pending[server] = true
	case Refused:
		record.lastBad = now
		record.sinceGood.Refused++
		record.sinceGood.Attempts++
		r.pending[server] = true
	case Failed: // says nothing of silence
		record.sinceGood.Failed++
		record.sinceGood.Attempts++
	}
	return Note{}, false
}

// record returns the record of a server, nil where there are too many already.
func (r *Recorder) record(server string) *serverRecord {
	record := r.servers[server]
	if record == nil && len(r.servers) < maxRecords {
		record = &serverRecord{}
		r.servers[server] = record
	}
	return record
}

// observeAnswer records a good answer.
func (r *Recorder) observeAnswer(now Time, server string, record *serverRecord) (note Note, due bool) {
	record.lastGood, record.sinceGood = now, replication.Evidence{}
	if record.suspectedAt > 0 || hasBadOutcomes(record.row) {
		r.pending[server] = true
	}
	if !record.noteSent {
		return Note{}, false
	}
	record.noteSent = false
	return Note{server, NoteAnswered}, true
}

// RequestReport records that a collector asks this sidecar to report what it has noted to everybody.
func (r *Recorder) RequestReport(now Time, server string) {
	if record := r.servers[server]; record != nil && record.lastLate > record.lastGood {
		record.reportRequested = now
		r.pending[server] = true
	}
}

// SetSuspected replaces the servers that peers suspect, each with the time at which one of these peers last waited for
// an answer in vain.
func (r *Recorder) SetSuspected(now Time, suspected map[string]Time) {
	for _, server := range slices.Sorted(maps.Keys(r.servers)) { // in order, as random delays are drawn
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

// Forget drops what was observed of a server, as its process is another one.
func (r *Recorder) Forget(server string) {
	delete(r.servers, server)
	delete(r.pending, server)
}

// DueRows returns the rows that are to be written now, by server, in a fleet of so many sidecars. It is to be called
// after a bad outcome and about each 50 ms.
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

// refillRowTokens adds this sidecar's part of what the fleet may write since the last call.
func (r *Recorder) refillRowTokens(now Time, sidecars int) {
	rate := fleetRowRate / float64(max(sidecars, 1))
	r.rowTokens = min(r.rowTokens+rate*(now-r.tokensAt).Seconds(), rowBurst)
	r.tokensAt = now
}

// evict drops records that are out of date.
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

// accuses reports whether a row counts against its server.
func hasBadOutcomes(row replication.Evidence) bool { return row.Unanswered+row.Refused+row.Late > 0 }

// writeRow returns the row that stands for the record from now on.
func (s *serverRecord) writeRow(now Time) replication.Evidence {
	s.rowWritten, s.row = now, s.sinceGood
	if s.lastGood > 0 && now-s.lastGood < recordLifetime {
		s.row.SinceGoodMS = uint32(max(now-s.lastGood, time.Millisecond) / time.Millisecond)
	}
	if bad := max(s.lastBad, s.lastLate); hasBadOutcomes(s.row) {
		s.row.SinceBadMS = uint32((now - bad) / time.Millisecond)
	}
	return s.row
}

// settled reports whether no row on the server can become due without a new event.
func (s *serverRecord) settled() bool {
	return s.suspectedAt == 0 && !hasBadOutcomes(s.row) && s.lastBad <= s.rowWritten && s.reportRequested <= s.rowWritten
}

// rowDue reports whether a row is to be written now.
func (s *serverRecord) rowDue(now Time) bool {
	if s.rowWritten > 0 && now-s.rowWritten < minRowInterval {
		return false
	}
	bad := s.lastBad
	if s.reportRequested > 0 {
		bad = max(bad, s.lastLate)
	}
	standing := hasBadOutcomes(s.row)
	switch {
	case s.lastGood >= bad: // retract the own row, or refute the peers' suspicion
		return s.lastGood > s.rowWritten && (standing || s.refutes(now))
	case bad > s.rowWritten:
		// What the fleet knows already is not repeated by everybody: the rate of rows is needed for what is new.
		return s.suspectedAt == 0 || standing
	}
	return standing && now-bad < renewalPeriod && now-s.rowWritten >= renewInterval
}

// refutes reports whether the last good answer speaks against the peers' suspicion and it is this sidecar's time to say
// so.
func (s *serverRecord) refutes(now Time) bool {
	return s.suspectedAt > 0 && s.lastGood > s.suspectedAt && now >= s.refuteAt
}

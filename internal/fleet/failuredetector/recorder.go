// Package failuredetector decides what a sidecar writes for the fleet of the servers that it has sent requests to, and when. It is
// a stepped machine: ends of the sidecar's own requests, what others say and the time go in, rows to be written come out.
// It has no clock, socket or goroutine. What a row says is the sidecar's own experience alone; the weighing of all rows is
// package replication's.
package failuredetector

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/replication"
)

// Time is a reading of the host's monotonic clock.
type Time = time.Duration

// Outcome is how an attempt at a server ended, as far as it tells of the server.
type Outcome uint8

// The ends of attempts.
const (
	Answered Outcome = iota // well
	Late                    // no answer in the time in which nearly all come; it may come yet
	Silent                  // a late one: no answer, for longer than all but one in a thousand take
	Failed                  // an error, or the connection broke
	Refused                 // no connection
)

const (
	minRowInterval = 500 * time.Millisecond // of one server a row is written no more often
	renewInterval  = time.Second            // a row that stands is written again: others weigh it for twice that
	// After the last bad end a row is renewed for this long. Danger: nobody tries a server that all put behind the others, and
	// nobody would find out that it is well. So all words on it end, and it has its turns again.
	renewFor       = 3 * time.Second
	recordLifetime = 10 * time.Second // a server of which nothing is heard
	maxRecords     = 2048             // servers; of further ones nothing is written
	// All sidecars together write so many rows a second, and each a few at once. Danger: when much fails all have much to
	// say, and what a copy of the fleet's state costs grows with what is said.
	fleetRowRate = 256.0
	rowBurst     = 16.0
	// A word for a server that is in doubt comes after a time drawn within this: one is enough, and the first to speak
	// spares the others.
	refuteWithin = 200 * time.Millisecond
)

// Row is a row to be written.
type Row struct {
	Server   string
	Evidence replication.Evidence
}

// Recorder is what one sidecar has seen of servers of late. New makes one.
type Recorder struct {
	random    *rand.Rand
	servers   map[string]*serverRecord
	pending   map[string]bool // pages of which something may be due
	evictedAt Time
	rowTokens float64 // rows that may be written now
	tokensAt  Time    // when room was last counted
}

// serverRecord is what was seen of one server.
type serverRecord struct {
	sinceGood       replication.Evidence // what was seen since the last good answer
	lastSeen        Time
	lastGood        Time // last good answer; 0: none
	lastBad         Time // last attempt that is silent or was refused; 0: none
	lastLate        Time // last late one; 0: none
	reportRequested Time // when a collector last asked to speak; 0: never
	noteSent        bool // the collectors hold a note of this sidecar
	suspectedAt     Time // it is in doubt by the word of others, of whom one last had no answer then; 0: it is not
	refuteAt        Time // and a word for it may go from then on
	rowWritten      Time // 0: never
	row             replication.Evidence
}

// New returns a book with nothing in it.
func New(seed uint64) *Recorder {
	return &Recorder{random: rand.New(rand.NewPCG(seed, 0xb00c)), servers: map[string]*serverRecord{}, pending: map[string]bool{}, rowTokens: rowBurst}
}

// Observe takes in how an attempt ended, or that it is late, and returns a note for the collectors, if there is to be one.
func (b *Recorder) Observe(now Time, server string, e Outcome) (note Note, due bool) {
	p := b.servers[server]
	if p == nil {
		if len(b.servers) >= maxRecords {
			return Note{}, false
		}
		p = &serverRecord{}
		b.servers[server] = p
	}
	p.lastSeen = now
	switch e {
	case Answered:
		p.lastGood, p.sinceGood = now, replication.Evidence{}
		if p.suspectedAt > 0 || accuses(p.row) {
			b.pending[server] = true
		}
		if p.noteSent {
			p.noteSent = false
			return Note{server, NoteAnswered}, true
		}
		return Note{}, false
	case Late:
		p.lastLate, p.noteSent = now, true
		p.sinceGood.Late++
		p.sinceGood.Tries++
		return Note{server, NoteLate}, true
	case Silent: // it was late before
		p.lastBad = now
		p.sinceGood.Silent++
	case Refused:
		p.lastBad = now
		p.sinceGood.Refused++
		p.sinceGood.Tries++
	case Failed: // says nothing of silence
		p.sinceGood.Failed++
		p.sinceGood.Tries++
		return Note{}, false
	}
	b.pending[server] = true
	return Note{}, false
}

// RequestReport takes in that a collector asks this sidecar to say to everybody what it has noted.
func (b *Recorder) RequestReport(now Time, server string) {
	if p := b.servers[server]; p != nil && p.lastLate > p.lastGood {
		p.reportRequested = now
		b.pending[server] = true
	}
}

// SetSuspected takes in which servers are in doubt by the word of others, and when one of these last had no answer from each, in
// place of what was said before.
func (b *Recorder) SetSuspected(now Time, words map[string]Time) {
	for _, server := range slices.Sorted(maps.Keys(b.servers)) { // in order: what is drawn must not depend on the map's
		p := b.servers[server]
		if p.suspectedAt == 0 && words[server] > 0 {
			p.refuteAt = now + Time(b.random.Int64N(int64(refuteWithin)))
		}
		if p.suspectedAt = words[server]; p.suspectedAt > 0 {
			b.pending[server] = true
		}
	}
}

// Forget lets go of what was seen of a server: its process is another one.
func (b *Recorder) Forget(server string) {
	delete(b.servers, server)
	delete(b.pending, server)
}

// DueRows returns the rows that are to be written now, by server, where the fleet has so many sidecars. It is to be called after
// a bad end and about each 50 ms.
func (b *Recorder) DueRows(now Time, sidecars int) (entries []Row) {
	b.rowTokens = min(b.rowTokens+(now-b.tokensAt).Seconds()*fleetRowRate/float64(max(sidecars, 1)), rowBurst)
	b.tokensAt = now
	for _, server := range slices.Sorted(maps.Keys(b.pending)) {
		p := b.servers[server]
		if b.rowTokens >= 1 && p.rowDue(now) {
			b.rowTokens--
			p.rowWritten, p.row = now, p.sinceGood
			if p.lastGood > 0 && now-p.lastGood < recordLifetime {
				p.row.Good = uint32(max(now-p.lastGood, time.Millisecond) / time.Millisecond)
			}
			if bad := max(p.lastBad, p.lastLate); accuses(p.row) {
				p.row.Bad = uint32((now - bad) / time.Millisecond)
			}
			entries = append(entries, Row{server, p.row})
		}
		if p.suspectedAt == 0 && !accuses(p.row) && p.lastBad <= p.rowWritten && p.reportRequested <= p.rowWritten {
			delete(b.pending, server)
		}
	}
	if now-b.evictedAt >= renewInterval {
		b.evictedAt = now
		maps.DeleteFunc(b.servers, func(server string, p *serverRecord) bool {
			over := now-max(p.lastSeen, p.rowWritten) >= recordLifetime
			if over {
				delete(b.pending, server)
			}
			return over
		})
	}
	return entries
}

// accuses tells whether a row speaks ill of its server.
func accuses(e replication.Evidence) bool { return e.Silent+e.Refused+e.Late > 0 }

// rowDue tells whether a row is to be written now.
func (p *serverRecord) rowDue(now Time) bool {
	if p.rowWritten > 0 && now-p.rowWritten < minRowInterval {
		return false
	}
	bad := p.lastBad
	if p.reportRequested > 0 {
		bad = max(bad, p.lastLate)
	}
	stands := accuses(p.row) // the row that was written last speaks ill of the server
	switch {
	case p.lastGood >= bad: // a word to be taken back, or one for a server that others speak ill of
		return p.lastGood > p.rowWritten && (stands || p.suspectedAt > 0 && p.lastGood > p.suspectedAt && now >= p.refuteAt)
	case bad > p.rowWritten:
		// Danger: were all to say what the fleet knows, it would have no room for news.
		return p.suspectedAt == 0 || stands
	}
	return stands && now-bad < renewFor && now-p.rowWritten >= renewInterval
}

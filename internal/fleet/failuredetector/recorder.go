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

// End is how an attempt at a server ended, as far as it tells of the server.
type End uint8

// The ends of attempts.
const (
	Answered End = iota // well
	Late                // no answer in the time in which nearly all come; it may come yet
	Silent              // a late one: no answer, for longer than all but one in a thousand take
	Failed              // an error, or the connection broke
	Refused             // no connection
)

const (
	writeEvery = 500 * time.Millisecond // of one server a row is written no more often
	renewEvery = time.Second            // a row that stands is written again: others weigh it for twice that
	// After the last bad end a row is renewed for this long. Danger: nobody tries a server that all put behind the others, and
	// nobody would find out that it is well. So all words on it end, and it has its turns again.
	standsFor = 3 * time.Second
	keepFor   = 10 * time.Second // a server of which nothing is heard
	mostPages = 2048             // servers; of further ones nothing is written
	// All sidecars together write so many rows a second, and each a few at once. Danger: when much fails all have much to
	// say, and what a copy of the fleet's state costs grows with what is said.
	rowsEach  = 256.0
	rowsBurst = 16.0
	// A word for a server that is in doubt comes after a time drawn within this: one is enough, and the first to speak
	// spares the others.
	defendWithin = 200 * time.Millisecond
)

// Entry is a row to be written.
type Entry struct {
	Server   string
	Evidence replication.Evidence
}

// Book is what one sidecar has seen of servers of late. New makes one.
type Book struct {
	rng   *rand.Rand
	pages map[string]*page
	open  map[string]bool // pages of which something may be due
	swept Time
	room  float64 // rows that may be written now
	told  Time    // when room was last counted
}

// page is what was seen of one server.
type page struct {
	since   replication.Evidence // what was seen since the last good answer
	last    Time
	good    Time // last good answer; 0: none
	bad     Time // last attempt that is silent or was refused; 0: none
	late    Time // last late one; 0: none
	asked   Time // when a collector last asked to speak; 0: never
	noted   bool // the collectors hold a note of this sidecar
	accused Time // it is in doubt by the word of others, of whom one last had no answer then; 0: it is not
	defend  Time // and a word for it may go from then on
	wrote   Time // 0: never
	said    replication.Evidence
}

// New returns a book with nothing in it.
func New(seed uint64) *Book {
	return &Book{rng: rand.New(rand.NewPCG(seed, 0xb00c)), pages: map[string]*page{}, open: map[string]bool{}, room: rowsBurst}
}

// Saw takes in how an attempt ended, or that it is late, and returns a note for the collectors, if there is to be one.
func (b *Book) Saw(now Time, server string, e End) (note Note, due bool) {
	p := b.pages[server]
	if p == nil {
		if len(b.pages) >= mostPages {
			return Note{}, false
		}
		p = &page{}
		b.pages[server] = p
	}
	p.last = now
	switch e {
	case Answered:
		p.good, p.since = now, replication.Evidence{}
		if p.accused > 0 || against(p.said) {
			b.open[server] = true
		}
		if p.noted {
			p.noted = false
			return Note{server, Heard}, true
		}
		return Note{}, false
	case Late:
		p.late, p.noted = now, true
		p.since.Late++
		p.since.Tries++
		return Note{server, IsLate}, true
	case Silent: // it was late before
		p.bad = now
		p.since.Silent++
	case Refused:
		p.bad = now
		p.since.Refused++
		p.since.Tries++
	case Failed: // says nothing of silence
		p.since.Failed++
		p.since.Tries++
		return Note{}, false
	}
	b.open[server] = true
	return Note{}, false
}

// Asked takes in that a collector asks this sidecar to say to everybody what it has noted.
func (b *Book) Asked(now Time, server string) {
	if p := b.pages[server]; p != nil && p.late > p.good {
		p.asked = now
		b.open[server] = true
	}
}

// Doubted takes in which servers are in doubt by the word of others, and when one of these last had no answer from each, in
// place of what was said before.
func (b *Book) Doubted(now Time, words map[string]Time) {
	for _, server := range slices.Sorted(maps.Keys(b.pages)) { // in order: what is drawn must not depend on the map's
		p := b.pages[server]
		if p.accused == 0 && words[server] > 0 {
			p.defend = now + Time(b.rng.Int64N(int64(defendWithin)))
		}
		if p.accused = words[server]; p.accused > 0 {
			b.open[server] = true
		}
	}
}

// Forget lets go of what was seen of a server: its process is another one.
func (b *Book) Forget(server string) {
	delete(b.pages, server)
	delete(b.open, server)
}

// Due returns the rows that are to be written now, by server, where the fleet has so many sidecars. It is to be called after
// a bad end and about each 50 ms.
func (b *Book) Due(now Time, sidecars int) (entries []Entry) {
	b.room = min(b.room+(now-b.told).Seconds()*rowsEach/float64(max(sidecars, 1)), rowsBurst)
	b.told = now
	for _, server := range slices.Sorted(maps.Keys(b.open)) {
		p := b.pages[server]
		if b.room >= 1 && p.due(now) {
			b.room--
			p.wrote, p.said = now, p.since
			if p.good > 0 && now-p.good < keepFor {
				p.said.Good = uint32(max(now-p.good, time.Millisecond) / time.Millisecond)
			}
			if bad := max(p.bad, p.late); against(p.said) {
				p.said.Bad = uint32((now - bad) / time.Millisecond)
			}
			entries = append(entries, Entry{server, p.said})
		}
		if p.accused == 0 && !against(p.said) && p.bad <= p.wrote && p.asked <= p.wrote {
			delete(b.open, server)
		}
	}
	if now-b.swept >= renewEvery {
		b.swept = now
		maps.DeleteFunc(b.pages, func(server string, p *page) bool {
			over := now-max(p.last, p.wrote) >= keepFor
			if over {
				delete(b.open, server)
			}
			return over
		})
	}
	return entries
}

// against tells whether a row speaks ill of its server.
func against(e replication.Evidence) bool { return e.Silent+e.Refused+e.Late > 0 }

// due tells whether a row is to be written now.
func (p *page) due(now Time) bool {
	if p.wrote > 0 && now-p.wrote < writeEvery {
		return false
	}
	bad := p.bad
	if p.asked > 0 {
		bad = max(bad, p.late)
	}
	stands := against(p.said) // the row that was written last speaks ill of the server
	switch {
	case p.good >= bad: // a word to be taken back, or one for a server that others speak ill of
		return p.good > p.wrote && (stands || p.accused > 0 && p.good > p.accused && now >= p.defend)
	case bad > p.wrote:
		// Danger: were all to say what the fleet knows, it would have no room for news.
		return p.accused == 0 || stands
	}
	return stands && now-bad < standsFor && now-p.wrote >= renewEvery
}

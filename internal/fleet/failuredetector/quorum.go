package failuredetector

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// In any fleet some answers are late, and reporting each one to everybody would leave no capacity for anything else. So
// a late answer is noted to few collectors, the same ones for all sidecars, and only once these hold a quorum of notes
// on a server do they requested the owners of the notes to report to the whole fleet.
const (
	noteLifetime          = 2 * time.Second        // for which a note counts unless it is retracted
	reportRequestInterval = 500 * time.Millisecond // least time between two requests to one owner
	maxServers            = 512                    // servers of which notes are held
	maxOwners             = 32                     // owners whose notes on one server are held
	// quorumSize is how many owners' notes lead to reports: as many as bad outcomes make a suspicion.
	quorumSize      = 4
	smallQuorumSize = 2 // in a fleet of smallFleetSize sidecars or fewer
	smallFleetSize  = 4
)

// Note is what a sidecar with a late request sends to the collectors, or what a collector asks of it.
type Note struct {
	Server string   `cbor:"1,keyasint"`
	Kind   NoteKind `cbor:"2,keyasint"`
}

// NoteKind says what a note means.
type NoteKind uint8

// The kinds of notes.
const (
	NoteLate     NoteKind = 1 + iota // to the collectors: an answer is late
	NoteAnswered                     // to the collectors: there has been an answer
	NoteReport                       // to the owner: a quorum is late; report to everybody
)

// Collectors returns those of the sidecars that collect notes on a server: the two of the highest rendezvous hash
// (Thaler and Ravishankar 1998). Sidecars need not agree on who they are: notes that go astray are too few to act upon.
func Collectors(server string, sidecars []string) []string {
	var first, second string
	var firstRank, secondRank uint64
	for _, sidecar := range sidecars {
		switch rank := rendezvousRank(server, sidecar); {
		case first == "" || rank > firstRank:
			first, second, firstRank, secondRank = sidecar, first, rank, firstRank
		case second == "" || rank > secondRank:
			second, secondRank = sidecar, rank
		}
	}
	switch {
	case first == "":
		return nil
	case second == "":
		return []string{first}
	}
	return []string{first, second}
}

// rendezvousRank is the weight of a sidecar for a server.
func rendezvousRank(server, sidecar string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(server) // a Digest never fails
	_, _ = digest.Write([]byte{1})
	_, _ = digest.WriteString(sidecar)
	return digest.Sum64()
}

// ReportQuorum collects notes on late answers. The zero value is ready. It must not be used by two goroutines at once.
type ReportQuorum struct {
	notes map[string]map[string]receivedNote // by server and owner
}

// receivedNote is a note that counts.
type receivedNote struct {
	received    Time
	requestedAt Time // when its owner was asked to report; 0: not yet
}

// expired reports whether the note counts no longer.
func (n receivedNote) expired(now Time) bool { return now-n.received >= noteLifetime }

// AddLate counts a note and returns the owners to requested for a report, in order: none as long as there is no quorum.
// sidecars is how many there are in the fleet.
func (q *ReportQuorum) AddLate(now Time, server, owner string, sidecars int) (requested []string) {
	notes := q.notesOn(now, server)
	if notes == nil {
		return nil
	}
	maps.DeleteFunc(notes, func(_ string, n receivedNote) bool { return n.expired(now) })
	if note, known := notes[owner]; known || len(notes) < maxOwners {
		notes[owner] = receivedNote{received: now, requestedAt: note.requestedAt}
	}
	needed := quorumSize
	if sidecars <= smallFleetSize {
		needed = smallQuorumSize
	}
	if len(notes) < needed {
		return nil
	}
	for owner, note := range notes {
		if note.requestedAt == 0 || now-note.requestedAt >= reportRequestInterval {
			note.requestedAt = now
			notes[owner] = note
			requested = append(requested, owner)
		}
	}
	slices.Sort(requested)
	return requested
}

// notesOn returns the notes on a server, nil where notes on too many servers are held already.
func (q *ReportQuorum) notesOn(now Time, server string) map[string]receivedNote {
	if notes := q.notes[server]; notes != nil {
		return notes
	}
	if q.notes == nil {
		q.notes = map[string]map[string]receivedNote{}
	}
	if len(q.notes) >= maxServers {
		q.evictExpired(now)
	}
	if len(q.notes) >= maxServers {
		return nil
	}
	notes := map[string]receivedNote{}
	q.notes[server] = notes
	return notes
}

// Clear drops the notes on a server, as a late answer has come after all: a slow server is not silent, and its answer
// speaks against all notes that were written before it, no matter who wrote them.
func (q *ReportQuorum) Clear(server string) {
	clear(q.notes[server])
}

// evictExpired drops notes that count no longer.
func (q *ReportQuorum) evictExpired(now Time) {
	maps.DeleteFunc(q.notes, func(_ string, notes map[string]receivedNote) bool {
		maps.DeleteFunc(notes, func(_ string, n receivedNote) bool { return n.expired(now) })
		return len(notes) == 0
	})
}

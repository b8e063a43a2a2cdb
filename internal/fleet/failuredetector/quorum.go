package failuredetector

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Some responses are late in any fleet, and broadcasting a report of each one would use up the network capacity of the
// fleet. A sidecar therefore sends a note of a late response to a few collectors, which are the same for all sidecars.
// Once a collector holds a quorum of notes on a server, it requests their owners to report to the whole fleet.
const (
	noteLifetime          = 2 * time.Second        // how long a note counts unless it is retracted
	reportRequestInterval = 500 * time.Millisecond // minimum time between two requests to one owner
	maxServers            = 512                    // maximum number of servers with notes
	maxOwners             = 32                     // maximum number of owners of notes on one server
	// quorumSize is the number of owners whose notes trigger reports. It equals the number of bad outcomes that a
	// suspicion requires.
	quorumSize      = 4
	smallQuorumSize = 2 // quorum in a fleet of at most smallFleetSize sidecars
	smallFleetSize  = 4
)

// Note is a message about one server between a sidecar with a late request and a collector.
type Note struct {
	Server string   `cbor:"1,keyasint"`
	Kind   NoteKind `cbor:"2,keyasint"`
}

// NoteKind is the meaning of a Note.
type NoteKind uint8

// Kinds of notes.
const (
	NoteLate     NoteKind = 1 + iota // to the collectors: a response is late
	NoteAnswered                     // to the collectors: a response has arrived
	NoteReport                       // to the owner: a quorum has late responses; report to the whole fleet
)

// Collectors returns the sidecars that collect notes on a server: the two with the highest rendezvous hash (Thaler and
// Ravishankar 1998). Sidecars with different member lists may choose different collectors; notes that reach the wrong
// collector do not make up a quorum and have no effect.
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

// rendezvousRank returns the rendezvous hash of a sidecar for a server.
func rendezvousRank(server, sidecar string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(server) // Digest.WriteString never fails
	_, _ = digest.Write([]byte{1})
	_, _ = digest.WriteString(sidecar)
	return digest.Sum64()
}

// ReportQuorum collects notes on late responses. The zero value is ready for use. It is not safe for concurrent use.
type ReportQuorum struct {
	notes map[string]map[string]receivedNote // keyed by server, then by owner
}

// receivedNote is a note that a collector holds.
type receivedNote struct {
	received    Time
	requestedAt Time // when its owner was last requested to report; 0: never
}

// expired reports whether the note has reached noteLifetime.
func (n receivedNote) expired(now Time) bool { return now-n.received >= noteLifetime }

// AddLate adds a note and returns the owners to request a report from, sorted by name. It returns none without a
// quorum. sidecars is the number of sidecars in the fleet.
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

// notesOn returns the notes on a server, or nil if the server is new and there are already notes on maxServers servers.
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

// Clear drops all notes on a server after a late response has arrived. The response shows that the server is slow but
// responsive, so it refutes the earlier notes of all owners.
func (q *ReportQuorum) Clear(server string) {
	clear(q.notes[server])
}

// evictExpired drops expired notes, and servers without notes.
func (q *ReportQuorum) evictExpired(now Time) {
	maps.DeleteFunc(q.notes, func(_ string, notes map[string]receivedNote) bool {
		maps.DeleteFunc(notes, func(_ string, n receivedNote) bool { return n.expired(now) })
		return len(notes) == 0
	})
}

package failuredetector

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// How notes are collected. Danger: one answer in some is late in any fleet, and were each told to all, the fleet would have
// room for nothing else. So that an answer is late is told to a few that are the same for all, and only where they hold
// enough such notes are those asked who wrote them to say so to everybody.
const (
	noteLifetime    = 2 * time.Second        // a note that is not taken back counts
	askInterval     = 500 * time.Millisecond // that the owner of a note is asked to speak, at most
	maxServers      = 512                    // servers of which notes are held
	maxOwners       = 32                     // whose notes on one server are held
	quorumSize      = 4                      // notes of different owners, as many as bad ends make a doubt
	smallQuorumSize = 2                      // in a fleet of smallFleet or fewer
	smallFleetSize  = 4
)

// Collectors are those of the sidecars that collect notes on a server: the two of the highest rendezvous hash. That all agree on
// who they are is not needed: notes that go astray are too few to be acted upon.
func Collectors(server string, sidecars []string) []string {
	rank := func(name string) uint64 {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(server) // a Digest never fails
		_, _ = d.Write([]byte{1})
		_, _ = d.WriteString(name)
		return d.Sum64()
	}
	var first, second string
	var high, next uint64
	for _, s := range sidecars {
		switch r := rank(s); {
		case first == "" || r > high:
			first, second, high, next = s, first, r, high
		case second == "" || r > next:
			second, next = s, r
		}
	}
	if second == "" {
		return slices.DeleteFunc([]string{first}, func(s string) bool { return s == "" })
	}
	return []string{first, second}
}

// ReportQuorum collects notes that answers are late. The zero value is ready.
type ReportQuorum struct {
	notes map[string]map[string]heldNote // by server and owner
}

// heldNote is a note in hand.
type heldNote struct {
	received Time
	asked    Time // when its owner was asked to speak; 0: not yet
}

// AddLate takes in a note, and returns whom to ask to say it to everybody: none, as long as there are too few. sidecars is how
// many there are in the fleet.
func (c *ReportQuorum) AddLate(now Time, server, owner string, sidecars int) (ask []string) {
	if c.notes == nil {
		c.notes = map[string]map[string]heldNote{}
	}
	notes := c.notes[server]
	if notes == nil {
		if len(c.notes) >= maxServers {
			c.evictStale(now)
		}
		if len(c.notes) >= maxServers {
			return nil
		}
		notes = map[string]heldNote{}
		c.notes[server] = notes
	}
	maps.DeleteFunc(notes, isStale(now))
	if n, known := notes[owner]; known || len(notes) < maxOwners {
		notes[owner] = heldNote{now, n.asked}
	}
	needed := quorumSize
	if sidecars <= smallFleetSize {
		needed = smallQuorumSize
	}
	if len(notes) < needed {
		return nil
	}
	for owner, n := range notes {
		if n.asked == 0 || now-n.asked >= askInterval {
			notes[owner] = heldNote{n.received, now}
			ask = append(ask, owner)
		}
	}
	slices.Sort(ask)
	return ask
}

func isStale(now Time) func(string, heldNote) bool {
	return func(_ string, n heldNote) bool { return now-n.received >= noteLifetime }
}

// Clear takes in that a late answer has come after all. Danger: a slow server is not silent. Its answer speaks against
// all notes that were written before it, whosever they are.
func (c *ReportQuorum) Clear(server string) {
	clear(c.notes[server])
}

// evictStale makes room.
func (c *ReportQuorum) evictStale(now Time) {
	maps.DeleteFunc(c.notes, func(_ string, notes map[string]heldNote) bool {
		maps.DeleteFunc(notes, isStale(now))
		return len(notes) == 0
	})
}

// Note is what the owner of a late request tells the collectors, or what they ask of it.
type Note struct {
	Server string   `cbor:"1,keyasint"`
	Kind   NoteKind `cbor:"2,keyasint"`
}

// NoteKind a note says.
type NoteKind uint8

// The kinds of notes.
const (
	NoteLate     NoteKind = 1 + iota // to the collectors: an answer is late
	NoteAnswered                     // to the collectors: there has been an answer
	NoteReport                       // to the owner: enough others say so too; tell everybody
)

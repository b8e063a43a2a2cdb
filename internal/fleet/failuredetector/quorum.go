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
	noteFor    = 2 * time.Second        // a note that is not taken back counts
	callEvery  = 500 * time.Millisecond // that the owner of a note is asked to speak, at most
	mostCases  = 512                    // servers of which notes are held
	mostOwners = 32                     // whose notes on one server are held
	enough     = 4                      // notes of different owners, as many as bad ends make a doubt
	enoughFew  = 2                      // in a fleet of smallFleet or fewer
	smallFleet = 4
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

// Court collects notes that answers are late. The zero value is ready.
type Court struct {
	cases map[string]map[string]held // by server and owner
}

// held is a note in hand.
type held struct {
	at    Time
	asked Time // when its owner was asked to speak; 0: not yet
}

// Late takes in a note, and returns whom to ask to say it to everybody: none, as long as there are too few. sidecars is how
// many there are in the fleet.
func (c *Court) Late(now Time, server, owner string, sidecars int) (ask []string) {
	if c.cases == nil {
		c.cases = map[string]map[string]held{}
	}
	notes := c.cases[server]
	if notes == nil {
		if len(c.cases) >= mostCases {
			c.sweep(now)
		}
		if len(c.cases) >= mostCases {
			return nil
		}
		notes = map[string]held{}
		c.cases[server] = notes
	}
	maps.DeleteFunc(notes, stale(now))
	if n, known := notes[owner]; known || len(notes) < mostOwners {
		notes[owner] = held{now, n.asked}
	}
	needed := enough
	if sidecars <= smallFleet {
		needed = enoughFew
	}
	if len(notes) < needed {
		return nil
	}
	for owner, n := range notes {
		if n.asked == 0 || now-n.asked >= callEvery {
			notes[owner] = held{n.at, now}
			ask = append(ask, owner)
		}
	}
	slices.Sort(ask)
	return ask
}

func stale(now Time) func(string, held) bool {
	return func(_ string, n held) bool { return now-n.at >= noteFor }
}

// Heard takes in that a late answer has come after all. Danger: a slow server is not silent. Its answer speaks against
// all notes that were written before it, whosever they are.
func (c *Court) Heard(server string) {
	clear(c.cases[server])
}

// sweep makes room.
func (c *Court) sweep(now Time) {
	maps.DeleteFunc(c.cases, func(_ string, notes map[string]held) bool {
		maps.DeleteFunc(notes, stale(now))
		return len(notes) == 0
	})
}

// Note is what the owner of a late request tells the collectors, or what they ask of it.
type Note struct {
	Server string `cbor:"1,keyasint"`
	What   What   `cbor:"2,keyasint"`
}

// What a note says.
type What uint8

// The kinds of notes.
const (
	IsLate What = 1 + iota // to the collectors: an answer is late
	Heard                  // to the collectors: there has been an answer
	Speak                  // to the owner: enough others say so too; tell everybody
)

package replication

import (
	"cmp"
	"fmt"

	"milletramp.example/milletramp/internal/wallclock"
)

// Stamp is a reading of a hybrid logical clock (Kulkarni et al. 2014): later than all stamps that its sidecar had
// issued or followed, and close to wall-clock time. Stamps are for operators and are not used for conflict resolution.
type Stamp struct {
	Wall  int64  `cbor:"1,keyasint"` // Unix milliseconds
	Logic uint32 `cbor:"2,keyasint"`
}

func (s Stamp) compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Logic, o.Logic))
}

// String implements fmt.Stringer.
func (s Stamp) String() string {
	return fmt.Sprintf("%s+%d", wallclock.FromMilliseconds(s.Wall).UTC().Format("2006-01-02T15:04:05.000Z"), s.Logic)
}

// maxAheadMillis is the maximum time in milliseconds by which a followed stamp may be ahead of this sidecar's wall
// clock. Without this limit, one sidecar whose clock is an hour ahead would move the stamps of all others ahead too.
const maxAheadMillis = 5000

// clock is a hybrid logical clock.
type clock struct{ last Stamp }

// next returns a stamp later than all stamps that it has returned or followed.
func (c *clock) next(wall int64) Stamp {
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Logic++
	}
	return c.last
}

// follow makes all later stamps greater than a stamp of another sidecar, unless that is too far ahead.
func (c *clock) follow(s Stamp, wall int64) {
	if s.Wall <= wall+maxAheadMillis && s.compare(c.last) > 0 {
		c.last = s
	}
}

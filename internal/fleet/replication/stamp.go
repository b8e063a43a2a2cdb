package replication

import (
	"cmp"
	"fmt"

	"milletramp.example/milletramp/internal/wallclock"
)

// Stamp is a reading of a hybrid logical clock (Kulkarni et al. 2014): later than whatever its sidecar had seen, and
// close to the time of day. Stamps are for people; they decide nothing.
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

// maxAheadMillis is how far a stamp may be ahead of the own clock to be followed, in milliseconds. Without a bound one
// sidecar's clock that is an hour ahead would take all others along.
const maxAheadMillis = 5000

// clock makes stamps.
type clock struct{ last Stamp }

// next returns a stamp later than all that were made or followed.
func (c *clock) next(wall int64) Stamp {
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Logic++
	}
	return c.last
}

// follow makes later stamps later than one of another sidecar.
func (c *clock) follow(s Stamp, wall int64) {
	if s.Wall <= wall+maxAheadMillis && s.compare(c.last) > 0 {
		c.last = s
	}
}

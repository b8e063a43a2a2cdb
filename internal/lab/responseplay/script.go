package responseplay

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// LongBody is the size in bytes above which only the first bytes of a response are due.
const LongBody = 64 << 10

// Endless is the size of a body that has no end.
const Endless = -1

// Framing is how the end of a body is marked.
type Framing int

// The framings.
const (
	Chunked Framing = iota
	ToClose
	Declared
)

// Ending is how a response ends.
type Ending int

// The endings.
const (
	Complete    Ending = iota
	ResetShort         // the connection is reset before the end of the body
	ClosedShort        // the connection is closed before the end of the body
)

// Pace is how the pieces of a body follow each other.
type Pace int

// The paces.
const (
	AtOnce Pace = iota
	Steady
	Lumps
	SilenceInside // a part at once, and the rest after a silence
	Trickle       // some bytes now and then
	Extension     // a few bytes, and then a chunk extension that trickles
	Trailers      // the body, and then trailer fields that trickle
)

// Start is when the first byte of a body comes.
type Start int

// The starts.
const (
	StartAtOnce Start = iota
	StartSoon
	StartBeforeDeadline
	StartAfterDeadline
)

// Script is the response that a server gives to one request.
type Script struct {
	Framing  Framing
	HTTP10   bool
	Size     int64 // bytes of the body, or Endless
	Ending   Ending
	Start    Start
	Pace     Pace
	Piece    int           // bytes of each piece
	Interval time.Duration // between two pieces
	Silence  time.Duration // SilenceInside: between the first piece and the rest
}

var (
	framingNames = []string{"chunked", "to the close", "declared"}
	paceNames    = []string{"at once", "steady", "lumps", "silence inside", "trickle", "extension", "trailers"}
	endingNames  = []string{"complete", "reset", "closed short"}
	startNames   = []string{"at once", "at 0.17 s", "before the deadline", "after the deadline"}
)

// IsSound reports whether the server gives the whole response.
func (s *Script) IsSound() bool {
	return s.Size != Endless && s.Ending == Complete && s.Pace != Extension && s.Pace != Trailers
}

// IsLong reports whether the server gives more than LongBody.
func (s *Script) IsLong() bool { return s.Size == Endless || s.Size > LongBody }

// LooksLong reports whether the beginning of a response may be that of a sound long one: sound ones are drawn at these
// paces as well.
func (s *Script) LooksLong() bool {
	return s.Pace == Steady || s.Pace == Lumps || s.Pace == SilenceInside
}

// Cell names the group of scripts that are counted together.
func (s *Script) Cell() string {
	size := fmt.Sprintf("over %d", LongBody)
	switch {
	case s.Size == Endless:
		size = "endless"
	case s.Size <= LongBody:
		size = fmt.Sprintf("up to %d", LongBody)
	}
	return fmt.Sprintf("%s, %s, %s, %s", framingNames[s.Framing], paceNames[s.Pace], size, endingNames[s.Ending])
}

// String describes the script.
func (s *Script) String() string {
	return fmt.Sprintf("%s; %d bytes, %d each %v, silence %v, first byte %s", s.Cell(), s.Size, s.Piece, s.Interval,
		s.Silence, startNames[s.Start])
}

// between draws a number from low to high.
func between(rng *rand.Rand, low, high int) int { return low + rng.IntN(high-low+1) }

// timeBetween draws a time from low to high.
func timeBetween(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)+1))
}

// steadyPiece is the size in bytes of the pieces of a steady response.
const steadyPiece = 4000

// steadyAt sets a steady pace in bytes per second.
func (s *Script) steadyAt(bytesPerSecond int) {
	s.Pace = Steady
	s.Piece = steadyPiece
	s.Interval = time.Duration(steadyPiece) * time.Second / time.Duration(bytesPerSecond)
}

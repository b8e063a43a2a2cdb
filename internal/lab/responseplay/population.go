package responseplay

import (
	"math/rand/v2"
	"time"
)

// Population draws the responses of one server.
type Population func(rng *rand.Rand) Script

// withoutLength draws one of the framings that tell no length.
func withoutLength(rng *rand.Rand) Framing { return []Framing{Chunked, ToClose}[rng.IntN(2)] }

// LongResponses are sound responses as in the reports of the incident: lumps, or steady at 70 to 125 kB a second.
func LongResponses(rng *rand.Rand) Script {
	s := Script{Framing: withoutLength(rng), Size: int64(between(rng, 100_000, 215_000)), Start: StartSoon}
	if rng.IntN(2) == 0 {
		s.Pace = Lumps
		s.Piece = between(rng, 47_000, 59_000)
		s.Interval = 720 * time.Millisecond
	} else {
		s.steadyAt(between(rng, 70_000, 125_000))
	}
	return s
}

// slowestPeer is the pace in bytes per second that a peer may be as slow as.
const slowestPeer = 64_000

// SlowResponses are sound long responses of the slowest peers.
func SlowResponses(rng *rand.Rand) Script {
	s := Script{Framing: withoutLength(rng), Size: int64(between(rng, 70_000, 130_000)), Start: StartSoon}
	s.steadyAt(slowestPeer)
	return s
}

// SteadyResponse is a sound response of a size without a length, at a steady pace in bytes per second.
func SteadyResponse(rng *rand.Rand, size int64, bytesPerSecond int) Script {
	s := Script{Framing: withoutLength(rng), Size: size, Start: StartAtOnce}
	s.steadyAt(bytesPerSecond)
	return s
}

// EndlessResponses are responses of which a few bytes come now and then, without an end.
func EndlessResponses(rng *rand.Rand) Script {
	pieces := []int{1, 4, 100, 1000, 4000}
	return Script{Framing: withoutLength(rng), Size: Endless, Start: Start(rng.IntN(2)), Pace: Trickle,
		Piece: pieces[rng.IntN(len(pieces))], Interval: 300 * time.Millisecond}
}

// SoundResponses are responses of all sizes and paces that their servers give whole.
func SoundResponses(rng *rand.Rand) Script {
	s := Script{Framing: Framing(rng.IntN(3)), HTTP10: rng.IntN(8) == 0, Start: drawStart(rng)}
	s.Size = drawSize(rng)
	s.drawPace(rng)
	if s.HTTP10 && s.Framing == Chunked {
		s.Framing = ToClose // HTTP/1.0 has no chunked coding
	}
	return s
}

// UnsoundResponses are responses of all paces that have no end or break off.
func UnsoundResponses(rng *rand.Rand) Script {
	s := SoundResponses(rng)
	switch rng.IntN(6) {
	case 0:
		s.Ending = ResetShort
	case 1:
		s.Ending = ClosedShort
		if s.Framing == ToClose { // an orderly close is the end of such a body
			s.Framing = Declared
		}
	case 2:
		s.HTTP10, s.Framing, s.Pace = false, Chunked, Extension
		s.Size = Endless
	case 3:
		s.HTTP10, s.Framing, s.Pace = false, Chunked, Trailers
		s.Size = int64(between(rng, 1, LongBody))
	default:
		s = EndlessResponses(rng)
		if rng.IntN(3) == 0 {
			s.drawPace(rng)
		}
	}
	return s
}

// drawSize draws the size of a body.
func drawSize(rng *rand.Rand) int64 {
	switch rng.IntN(8) {
	case 0:
		return 1
	case 1:
		return 60 << 10
	case 2:
		return LongBody
	case 3:
		return LongBody + 1
	case 4:
		return 2 << 20
	}
	return int64(between(rng, 100_000, 250_000))
}

// drawStart draws when the first byte comes. Most come soon.
func drawStart(rng *rand.Rand) Start {
	starts := []Start{StartAtOnce, StartAtOnce, StartAtOnce, StartSoon, StartSoon, StartSoon, StartBeforeDeadline,
		StartAfterDeadline}
	return starts[rng.IntN(len(starts))]
}

// drawPace draws at which pace the pieces of a body come.
func (s *Script) drawPace(rng *rand.Rand) {
	switch rng.IntN(8) {
	case 0, 1:
		s.Pace, s.Piece, s.Interval = AtOnce, 64<<10, 0
	case 2, 3, 4:
		rates := []int{30_000, 64_000, 100_000, 300_000, 1_000_000}
		s.steadyAt(rates[rng.IntN(len(rates))])
	case 5, 6:
		s.Pace, s.Piece = Lumps, between(rng, 47_000, 59_000)
		s.Interval = timeBetween(rng, 300*time.Millisecond, 1500*time.Millisecond)
	case 7:
		s.Pace, s.Piece, s.Interval = SilenceInside, LongBody+1, 0
		s.Silence = 5900 * time.Millisecond
	}
	if s.Size == Endless && (s.Pace == AtOnce || s.Pace == SilenceInside) { // without pauses it would fill the machine
		s.Pace, s.Piece, s.Interval = Trickle, 1, 300*time.Millisecond
	}
	const slowBytes = 500_000 // a larger body at a slow pace would outlast the play
	if s.Size > slowBytes && (s.Pace == Lumps || s.Pace == Steady && s.Interval > 20*time.Millisecond) {
		s.steadyAt(1_000_000)
	}
}

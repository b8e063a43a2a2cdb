package sidecar

import (
	"errors"
	"fmt"
)

const (
	mostChunkLine = 1 << 10 // bytes of a chunk's line, extensions included
	mostTrailer   = 8 << 10 // bytes of all trailers
	maxSizeDigits = 15      // of a chunk's size: one that overflows is another size
)

// errChunk says that chunks are not framed as they must be.
var errChunk = errors.New("bad chunk")

// chunkState is what comes next.
type chunkState int

const (
	chunkSize chunkState = iota // a digit of a size
	chunkExt                    // what follows a size, to the end of its line
	chunkLine                   // the line feed that ends a size's line
	chunkData
	chunkCR // behind data
	chunkLF
	trailerStart // of a line
	trailerText
	trailerLF // behind a trailer
	finalLF   // behind an empty line
	chunksDone
)

// chunks decodes a chunked body from pieces of any size. The zero value is at a body's start.
type chunks struct {
	state  chunkState
	digits int
	left   uint64 // of the chunk's data
	line   int    // bytes of the line, or of all trailers
}

// next takes in what has come and returns data of the body, how many bytes were used, those of the data included, and
// whether the body is over. It stops behind each run of data.
func (c *chunks) next(in []byte) (data []byte, used int, done bool, err error) {
	for used < len(in) {
		if c.state == chunkData {
			n := int(min(c.left, uint64(len(in)-used)))
			data = in[used : used+n]
			if c.left -= uint64(n); c.left == 0 {
				c.state = chunkCR
			}
			return data, used + n, false, nil
		}
		if err := c.step(in[used]); err != nil {
			return nil, used, false, err
		}
		if used++; c.state == chunksDone {
			return nil, used, true, nil
		}
	}
	return nil, used, c.state == chunksDone, nil
}

// step takes in a byte that is not data.
func (c *chunks) step(b byte) error {
	c.line++
	switch c.state {
	case chunkSize:
		return c.stepSize(b)
	case chunkExt:
		return c.stepText(b, chunkLine, mostChunkLine, "in an extension")
	case chunkLine:
		return c.stepSizeEnd(b)
	case chunkCR:
		return c.expect(b, '\r', chunkLF, "behind a chunk")
	case chunkLF:
		c.line = 0
		return c.expect(b, '\n', chunkSize, "behind a chunk")
	case trailerStart:
		return c.stepTrailerStart(b)
	case trailerText:
		return c.stepText(b, trailerLF, mostTrailer, "in a trailer")
	case trailerLF:
		return c.expect(b, '\n', trailerStart, "behind a trailer")
	case finalLF:
		return c.expect(b, '\n', chunksDone, "behind the trailers")
	}
	return nil
}

// badByte says what is wrong with a byte.
func badByte(b byte, what string) error { return fmt.Errorf("%w: %q %s", errChunk, b, what) }

// expect takes in a byte that has to be the wanted one, and goes on to the next state.
func (c *chunks) expect(b, want byte, next chunkState, where string) error {
	if b != want {
		return badByte(b, where)
	}
	c.state = next
	return nil
}

// stepSize takes in a byte of a chunk's size, or the one that ends it.
func (c *chunks) stepSize(b byte) error {
	digit, ok := hexDigit(b)
	switch {
	case ok && c.digits < maxSizeDigits:
		c.left, c.digits = c.left<<4|uint64(digit), c.digits+1
	case ok:
		return badByte(b, "makes a size too long")
	case c.digits == 0:
		return badByte(b, "is no size")
	case b == ';' || b == ' ' || b == '\t':
		c.state = chunkExt
	case b == '\r':
		c.state = chunkLine
	default:
		return badByte(b, "in a size")
	}
	return nil
}

// stepSizeEnd takes in the line feed behind a size. The chunk of size 0 is the last one.
func (c *chunks) stepSizeEnd(b byte) error {
	if err := c.expect(b, '\n', chunkData, "behind a size"); err != nil {
		return err
	}
	if c.left == 0 {
		c.state = trailerStart
	}
	c.digits, c.line = 0, 0
	return nil
}

// stepText takes in a byte of an extension or a trailer, up to the carriage return that ends it.
func (c *chunks) stepText(b byte, next chunkState, most int, where string) error {
	switch {
	case b == '\r':
		c.state = next
	case b == '\n' || c.line > most:
		return badByte(b, where)
	}
	return nil
}

// stepTrailerStart takes in the first byte of a trailer's line, or of the empty line that ends them.
func (c *chunks) stepTrailerStart(b byte) error {
	switch b {
	case '\r':
		c.state = finalLF
	case ' ', '\t', '\n':
		return badByte(b, "starts a trailer")
	default:
		c.state = trailerText
	}
	return nil
}

func hexDigit(b byte) (digit byte, ok bool) {
	switch {
	case b >= '0' && b <= '9':
		return b - '0', true
	case b >= 'a' && b <= 'f':
		return b - 'a' + 10, true
	case b >= 'A' && b <= 'F':
		return b - 'A' + 10, true
	}
	return 0, false
}

package sidecar

import (
	"errors"
	"fmt"
)

const (
	mostChunkLine = 1 << 10 // bytes of a chunk's line, extensions included
	mostTrailer   = 8 << 10 // bytes of all trailers
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
	bad := func(what string) error { return fmt.Errorf("%w: %q %s", errChunk, b, what) }
	c.line++
	switch c.state {
	case chunkSize:
		digit, ok := hexDigit(b)
		switch {
		case ok && c.digits < 15: // A size that overflows is another size.
			c.left, c.digits = c.left<<4|uint64(digit), c.digits+1
		case ok:
			return bad("makes a size too long")
		case c.digits == 0:
			return bad("is no size")
		case b == ';' || b == ' ' || b == '\t':
			c.state = chunkExt
		case b == '\r':
			c.state = chunkLine
		default:
			return bad("in a size")
		}
	case chunkExt:
		switch {
		case b == '\r':
			c.state = chunkLine
		case b == '\n' || c.line > mostChunkLine:
			return bad("in an extension")
		}
	case chunkLine:
		if b != '\n' {
			return bad("behind a size")
		}
		if c.state = chunkData; c.left == 0 {
			c.state = trailerStart
		}
		c.digits, c.line = 0, 0
	case chunkCR:
		if b != '\r' {
			return bad("behind a chunk")
		}
		c.state = chunkLF
	case chunkLF:
		if b != '\n' {
			return bad("behind a chunk")
		}
		c.state, c.line = chunkSize, 0
	case trailerStart:
		switch b {
		case '\r':
			c.state = finalLF
		case ' ', '\t', '\n':
			return bad("starts a trailer")
		default:
			c.state = trailerText
		}
	case trailerText:
		switch {
		case b == '\r':
			c.state = trailerLF
		case b == '\n' || c.line > mostTrailer:
			return bad("in a trailer")
		}
	case trailerLF:
		if b != '\n' {
			return bad("behind a trailer")
		}
		c.state = trailerStart
	case finalLF:
		if b != '\n' {
			return bad("behind the trailers")
		}
		c.state = chunksDone
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

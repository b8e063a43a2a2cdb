package sidecar

import (
	"errors"
	"fmt"
)

const (
	maxLineBytes    = 1 << 10 // bytes of a chunk's line, extensions included
	maxTrailerBytes = 8 << 10 // bytes of all trailers
	maxSizeDigits   = 15      // of a chunk's size: one that overflows is another size
)

// ErrMalformedChunk says that chunks are not framed as they must be.
var ErrMalformedChunk = errors.New("bad chunk")

// chunkState is what comes next.
type chunkState int

const (
	chunkSize      chunkState = iota // a digit of a size
	chunkExtension                   // what follows a size, to the end of its line
	chunkSizeLF                      // the line feed that ends a size's line
	chunkData
	chunkDataCR // behind data
	chunkDataLF
	trailerStart // of a line
	trailerText
	trailerLF // behind a trailer
	finalLF   // behind an empty line
	chunksDone
)

// ChunkedDecoder decodes a chunked body from pieces of any size. The zero value is at a body's start.
type ChunkedDecoder struct {
	state      chunkState
	sizeDigits int
	remaining  uint64 // of the chunk's data
	lineBytes  int    // bytes of the line, or of all trailers
}

// Next takes in what has come and returns data of the body, how many bytes were used, those of the data included, and
// whether the body is over. It stops behind each run of data.
func (c *ChunkedDecoder) Next(in []byte) (data []byte, used int, done bool, err error) {
	for used < len(in) {
		if c.state == chunkData {
			n := int(min(c.remaining, uint64(len(in)-used)))
			data = in[used : used+n]
			if c.remaining -= uint64(n); c.remaining == 0 {
				c.state = chunkDataCR
			}
			return data, used + n, false, nil
		}
		if err := c.consume(in[used]); err != nil {
			return nil, used, false, err
		}
		if used++; c.state == chunksDone {
			return nil, used, true, nil
		}
	}
	return nil, used, c.state == chunksDone, nil
}

// consume takes in a byte that is not data.
func (c *ChunkedDecoder) consume(b byte) error {
	c.lineBytes++
	switch c.state {
	case chunkSize:
		return c.consumeSize(b)
	case chunkExtension:
		return c.consumeText(b, chunkSizeLF, maxLineBytes, "in an extension")
	case chunkSizeLF:
		return c.consumeSizeEnd(b)
	case chunkDataCR:
		return c.expect(b, '\r', chunkDataLF, "behind a chunk")
	case chunkDataLF:
		c.lineBytes = 0
		return c.expect(b, '\n', chunkSize, "behind a chunk")
	case trailerStart:
		return c.consumeTrailerStart(b)
	case trailerText:
		return c.consumeText(b, trailerLF, maxTrailerBytes, "in a trailer")
	case trailerLF:
		return c.expect(b, '\n', trailerStart, "behind a trailer")
	case finalLF:
		return c.expect(b, '\n', chunksDone, "behind the trailers")
	}
	return nil
}

// unexpectedByte says what is wrong with a byte.
func unexpectedByte(b byte, what string) error {
	return fmt.Errorf("%w: %q %s", ErrMalformedChunk, b, what)
}

// expect takes in a byte that has to be the wanted one, and goes on to the next state.
func (c *ChunkedDecoder) expect(b, want byte, next chunkState, where string) error {
	if b != want {
		return unexpectedByte(b, where)
	}
	c.state = next
	return nil
}

// consumeSize takes in a byte of a chunk's size, or the one that ends it.
func (c *ChunkedDecoder) consumeSize(b byte) error {
	digit, ok := hexDigit(b)
	switch {
	case ok && c.sizeDigits < maxSizeDigits:
		c.remaining, c.sizeDigits = c.remaining<<4|uint64(digit), c.sizeDigits+1
	case ok:
		return unexpectedByte(b, "makes a size too long")
	case c.sizeDigits == 0:
		return unexpectedByte(b, "is no size")
	case b == ';' || b == ' ' || b == '\t':
		c.state = chunkExtension
	case b == '\r':
		c.state = chunkSizeLF
	default:
		return unexpectedByte(b, "in a size")
	}
	return nil
}

// consumeSizeEnd takes in the line feed behind a size. The chunk of size 0 is the last one.
func (c *ChunkedDecoder) consumeSizeEnd(b byte) error {
	if err := c.expect(b, '\n', chunkData, "behind a size"); err != nil {
		return err
	}
	if c.remaining == 0 {
		c.state = trailerStart
	}
	c.sizeDigits, c.lineBytes = 0, 0
	return nil
}

// consumeText takes in a byte of an extension or a trailer, up to the carriage return that ends it.
func (c *ChunkedDecoder) consumeText(b byte, next chunkState, most int, where string) error {
	switch {
	case b == '\r':
		c.state = next
	case b == '\n' || c.lineBytes > most:
		return unexpectedByte(b, where)
	}
	return nil
}

// consumeTrailerStart takes in the first byte of a trailer's line, or of the empty line that ends them.
func (c *ChunkedDecoder) consumeTrailerStart(b byte) error {
	switch b {
	case '\r':
		c.state = finalLF
	case ' ', '\t', '\n':
		return unexpectedByte(b, "starts a trailer")
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

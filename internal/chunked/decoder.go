// Package chunked decodes chunked bodies of HTTP/1.1 (RFC 9112, section 7.1) strictly and incrementally, from pieces of
// any size. What another parser might read in another way is an error: both client requests and server responses are
// forwarded as this decoder reads them. It starts no goroutine; its one error is ErrMalformed.
package chunked

import (
	"errors"
	"fmt"
)

const (
	maxLineBytes    = 1 << 10 // bytes of a chunk's size line, extensions included
	maxTrailerBytes = 8 << 10 // bytes of all trailers
	maxSizeDigits   = 15      // hexadecimal digits of a chunk's size; more could overflow
)

// ErrMalformed is the error of a body whose chunks are not framed as RFC 9112 demands.
var ErrMalformed = errors.New("bad chunk")

// decoderState says what the next byte belongs to.
type decoderState int

const (
	chunkSize      decoderState = iota // a digit of a size, or what ends it
	chunkExtension                     // what follows a size, up to the end of its line
	chunkSizeLF                        // the line feed that ends a size's line
	chunkData
	chunkDataCR  // after the data
	chunkDataLF  // after its carriage return
	trailerStart // the first byte of a trailer line, or of the empty line that ends them
	trailerText  // the rest of a trailer line
	trailerLF    // the line feed of a trailer line
	finalLF      // the line feed of the empty line
	chunksDone
)

// Decoder decodes one chunked body. The zero value is at the start of a body.
type Decoder struct {
	state      decoderState
	sizeDigits int
	remaining  uint64 // bytes of the chunk's data that are still to come
	lineBytes  int    // consumed bytes of the line, or of all trailers
}

// Next decodes bytes of the body's encoded form. It returns the next run of data, which is a part of in, the number of
// encoded bytes used up to the end of that run, and whether the body is complete.
func (d *Decoder) Next(in []byte) (data []byte, used int, done bool, err error) {
	for used < len(in) {
		if d.state == chunkData {
			n := int(min(d.remaining, uint64(len(in)-used)))
			data = in[used : used+n]
			d.remaining -= uint64(n)
			if d.remaining == 0 {
				d.state = chunkDataCR
			}
			return data, used + n, false, nil
		}
		if err := d.consume(in[used]); err != nil {
			return nil, used, false, err
		}
		used++
		if d.state == chunksDone {
			return nil, used, true, nil
		}
	}
	return nil, used, d.state == chunksDone, nil
}

// consume decodes a byte that is not data.
func (d *Decoder) consume(b byte) error {
	d.lineBytes++
	switch d.state {
	case chunkSize:
		return d.consumeSize(b)
	case chunkExtension:
		return d.consumeText(b, chunkSizeLF, maxLineBytes, "in an extension")
	case chunkSizeLF:
		return d.consumeSizeEnd(b)
	case chunkDataCR:
		return d.expect(b, '\r', chunkDataLF, "behind a chunk")
	case chunkDataLF:
		d.lineBytes = 0
		return d.expect(b, '\n', chunkSize, "behind a chunk")
	case trailerStart:
		return d.consumeTrailerStart(b)
	case trailerText:
		return d.consumeText(b, trailerLF, maxTrailerBytes, "in a trailer")
	case trailerLF:
		return d.expect(b, '\n', trailerStart, "behind a trailer")
	case finalLF:
		return d.expect(b, '\n', chunksDone, "behind the trailers")
	}
	return nil
}

// unexpectedByte returns the error of a byte that is not allowed where it stands.
func unexpectedByte(b byte, where string) error {
	return fmt.Errorf("%w: %q %s", ErrMalformed, b, where)
}

// expect decodes a byte that must be the wanted one, and changes to the next state.
func (d *Decoder) expect(b, want byte, next decoderState, where string) error {
	if b != want {
		return unexpectedByte(b, where)
	}
	d.state = next
	return nil
}

// consumeSize decodes a digit of a chunk's size, or the byte that ends the size.
func (d *Decoder) consumeSize(b byte) error {
	digit, ok := hexDigit(b)
	switch {
	case ok && d.sizeDigits < maxSizeDigits:
		d.remaining = d.remaining<<4 | uint64(digit)
		d.sizeDigits++
	case ok:
		return unexpectedByte(b, "makes a size too long")
	case d.sizeDigits == 0:
		return unexpectedByte(b, "is no size")
	case b == ';' || b == ' ' || b == '\t':
		d.state = chunkExtension
	case b == '\r':
		d.state = chunkSizeLF
	default:
		return unexpectedByte(b, "in a size")
	}
	return nil
}

// consumeSizeEnd decodes the line feed after a size. The chunk of size 0 is the last one.
func (d *Decoder) consumeSizeEnd(b byte) error {
	if err := d.expect(b, '\n', chunkData, "behind a size"); err != nil {
		return err
	}
	if d.remaining == 0 {
		d.state = trailerStart
	}
	d.sizeDigits = 0
	d.lineBytes = 0
	return nil
}

// consumeText decodes a byte of an extension or a trailer, up to the carriage return that ends it.
func (d *Decoder) consumeText(b byte, next decoderState, maxBytes int, where string) error {
	switch {
	case b == '\r':
		d.state = next
	case b == '\n' || d.lineBytes > maxBytes:
		return unexpectedByte(b, where)
	}
	return nil
}

// consumeTrailerStart decodes the first byte of a trailer line, or of the empty line that ends the trailers.
func (d *Decoder) consumeTrailerStart(b byte) error {
	switch b {
	case '\r':
		d.state = finalLF
	case ' ', '\t', '\n':
		return unexpectedByte(b, "starts a trailer")
	default:
		d.state = trailerText
	}
	return nil
}

// hexDigit returns the value of a hexadecimal digit.
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

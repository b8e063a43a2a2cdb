// Package chunked decodes chunked bodies of HTTP/1.1 (RFC 9112, section 7.1) strictly and incrementally, from pieces of
// any size. It rejects encodings that another parser might interpret differently, because client requests and server
// responses are forwarded as this decoder interprets them. It starts no goroutine. All its errors wrap ErrMalformed.
package chunked

import (
	"errors"
	"fmt"
)

const (
	maxLineBytes    = 1 << 10 // maximum size in bytes of a chunk's size line, including extensions
	maxTrailerBytes = 8 << 10 // maximum size in bytes of all trailer fields
	maxSizeDigits   = 15      // maximum number of hexadecimal digits of a chunk size; more could overflow
)

// ErrMalformed means that the chunks of a body are not framed as RFC 9112 requires.
var ErrMalformed = errors.New("malformed chunked body")

// decoderState identifies the element of the encoding to which the next byte belongs.
type decoderState int

const (
	chunkSize      decoderState = iota // a digit of a chunk size, or the byte that ends the size
	chunkExtension                     // the rest of a size line after the size
	chunkSizeLF                        // the line feed that ends a size line
	chunkData
	chunkDataCR  // the carriage return after the data
	chunkDataLF  // the line feed after the data
	trailerStart // the first byte of a trailer line or of the final empty line
	trailerText  // the rest of a trailer line
	trailerLF    // the line feed of a trailer line
	finalLF      // the line feed of the final empty line
	chunksDone
)

// Decoder decodes one chunked body. The zero value is the state at the start of a body.
type Decoder struct {
	state      decoderState
	sizeDigits int
	remaining  uint64 // remaining data bytes of the current chunk
	lineBytes  int    // consumed bytes of the size line, or of all trailers
}

// Next decodes bytes of the body, up to the end of the first run of data in them. data is that run, a slice of in. used
// is the number of bytes consumed. done reports whether the body is complete.
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

// consume decodes one byte that is not chunk data.
func (d *Decoder) consume(b byte) error {
	d.lineBytes++
	switch d.state {
	case chunkSize:
		return d.consumeSize(b)
	case chunkExtension:
		return d.consumeText(b, chunkSizeLF, maxLineBytes, "in a chunk extension")
	case chunkSizeLF:
		return d.consumeSizeEnd(b)
	case chunkDataCR:
		return d.expect(b, '\r', chunkDataLF, "after chunk data")
	case chunkDataLF:
		d.lineBytes = 0
		return d.expect(b, '\n', chunkSize, "after chunk data")
	case trailerStart:
		return d.consumeTrailerStart(b)
	case trailerText:
		return d.consumeText(b, trailerLF, maxTrailerBytes, "in a trailer field")
	case trailerLF:
		return d.expect(b, '\n', trailerStart, "after a trailer field")
	case finalLF:
		return d.expect(b, '\n', chunksDone, "after the trailer section")
	}
	return nil
}

// unexpectedByte returns the error for a byte that is not allowed at this position.
func unexpectedByte(b byte, where string) error {
	return fmt.Errorf("%w: byte %q %s", ErrMalformed, b, where)
}

// expect decodes a byte that must equal want, and changes to the next state.
func (d *Decoder) expect(b, want byte, next decoderState, where string) error {
	if b != want {
		return unexpectedByte(b, where)
	}
	d.state = next
	return nil
}

// consumeSize decodes a digit of a chunk size, or the byte that ends the size.
func (d *Decoder) consumeSize(b byte) error {
	digit, ok := hexDigit(b)
	switch {
	case ok && d.sizeDigits < maxSizeDigits:
		d.remaining = d.remaining<<4 | uint64(digit)
		d.sizeDigits++
	case ok:
		return unexpectedByte(b, "makes the chunk size too long")
	case d.sizeDigits == 0:
		return unexpectedByte(b, "is not a digit of a chunk size")
	case b == ';' || b == ' ' || b == '\t':
		d.state = chunkExtension
	case b == '\r':
		d.state = chunkSizeLF
	default:
		return unexpectedByte(b, "in a chunk size")
	}
	return nil
}

// consumeSizeEnd decodes the line feed that ends a size line. A chunk of size 0 is the last chunk.
func (d *Decoder) consumeSizeEnd(b byte) error {
	if err := d.expect(b, '\n', chunkData, "after a chunk size"); err != nil {
		return err
	}
	if d.remaining == 0 {
		d.state = trailerStart
	}
	d.sizeDigits = 0
	d.lineBytes = 0
	return nil
}

// consumeText decodes a byte of an extension or a trailer, up to the carriage return at its end.
func (d *Decoder) consumeText(b byte, next decoderState, maxBytes int, where string) error {
	switch {
	case b == '\r':
		d.state = next
	case b == '\n' || d.lineBytes > maxBytes:
		return unexpectedByte(b, where)
	}
	return nil
}

// consumeTrailerStart decodes the first byte of a trailer line or of the final empty line.
func (d *Decoder) consumeTrailerStart(b byte) error {
	switch b {
	case '\r':
		d.state = finalLF
	case ' ', '\t', '\n':
		return unexpectedByte(b, "at the start of a trailer field")
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

package upstream

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"milletramp.example/milletramp/internal/chunked"
)

const (
	maxResponseBody = 64 << 20 // maximum declared length in bytes; servers may send up to 32 MB
	unknownLength   = -1       // serverBody.length of a response without a declared length
)

// serverBody reads the body of a response from the connection to a server.
type serverBody struct {
	conn      *serverConn
	length    int64 // declared length in bytes, or unknownLength
	remaining int64 // unread bytes of a body of declared length
	received  int64 // bytes that were read
	// firstByteAt is when the first bytes were read; zero: none were.
	firstByteAt time.Time
	decoder     *chunked.Decoder // nil: not chunked
	ended       bool             // a body without a declared length was read completely
}

// newServerBody returns a reader for the body that follows header. The header determines how the body is delimited
// (RFC 9112, section 6.3).
func newServerBody(conn *serverConn, header http.Header) (*serverBody, error) {
	body := &serverBody{conn: conn, length: unknownLength}
	lengths := header["Content-Length"]
	codings := header["Transfer-Encoding"]
	switch {
	case len(codings) == 0 && len(lengths) == 1:
		length, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil || length > maxResponseBody {
			return nil, malformed("invalid Content-Length %.40q", lengths[0])
		}
		body.length = int64(length)
		body.remaining = body.length
	case len(lengths) == 0 && len(codings) == 1 && strings.EqualFold(codings[0], "chunked"):
		body.decoder = &chunked.Decoder{}
	case isCloseDelimited(header):
		// An orderly close of the connection ends the body, with or without "Connection: close". A reset or a read
		// timeout does not.
	default:
		return nil, malformed("ambiguous framing: Content-Length %q, Transfer-Encoding %q", lengths, codings)
	}
	return body, nil
}

// isCloseDelimited reports whether a response has neither a length nor a transfer coding. The close of the connection
// then ends its body (RFC 9112, section 6.3).
func isCloseDelimited(header http.Header) bool {
	return len(header["Content-Length"]) == 0 && len(header["Transfer-Encoding"]) == 0
}

// isSelfDelimiting reports whether the body has a declared length or is chunked, so that it ends without a close of the
// connection.
func (b *serverBody) isSelfDelimiting() bool { return b.length >= 0 || b.decoder != nil }

// isComplete reports whether the complete body was read.
func (b *serverBody) isComplete() bool { return b.ended || b.length >= 0 && b.remaining == 0 }

// Read implements io.Reader. It waits only until some bytes are available, and can be called again after it failed with
// os.ErrDeadlineExceeded.
func (b *serverBody) Read(p []byte) (int, error) {
	n, err := b.readAvailable(p)
	if b.firstByteAt.IsZero() && n > 0 {
		b.firstByteAt = time.Now()
	}
	return n, err
}

// readAvailable is Read without the time of the first bytes.
func (b *serverBody) readAvailable(p []byte) (int, error) {
	switch {
	case b.isComplete():
		return 0, io.EOF
	case b.length >= 0:
		return b.readDeclared(p)
	case b.decoder != nil:
		return b.readChunks(p)
	}
	return b.readToClose(p)
}

// readDeclared reads from a body of declared length.
func (b *serverBody) readDeclared(p []byte) (int, error) {
	n, err := b.conn.reader.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	b.received += int64(n)
	return n, asUnexpectedEOF(err)
}

// readToClose reads from a close-delimited body.
func (b *serverBody) readToClose(p []byte) (int, error) {
	n, err := b.conn.reader.Read(p)
	b.ended = err == io.EOF
	b.received += int64(n)
	return n, err
}

// readChunks reads from a chunked body until some data is available or the body ends.
func (b *serverBody) readChunks(p []byte) (n int, err error) {
	reader := b.conn.reader
	for n == 0 && !b.ended {
		if _, err := reader.Peek(1); err != nil {
			return 0, asUnexpectedEOF(err)
		}
		encoded, err := reader.Peek(min(reader.Buffered(), len(p)))
		if err != nil {
			return 0, asUnexpectedEOF(err)
		}
		data, used, done, err := b.decoder.Next(encoded)
		if err != nil {
			return 0, malformed("%v", err)
		}
		n = copy(p, data)
		b.received += int64(n)
		b.ended = done
		if _, err := reader.Discard(used); err != nil {
			return n, err
		}
	}
	return n, nil
}

// asUnexpectedEOF replaces io.EOF with io.ErrUnexpectedEOF for bodies that are not close-delimited.
func asUnexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

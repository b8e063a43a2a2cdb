package upstream

import (
	"io"

	"milletramp.example/milletramp/internal/chunked"
)

// serverBody is a body as a server sends it. Read returns what has come, without waiting for more, and io.EOF at the
// end. After a deadline it can be read on.
type serverBody struct {
	conn      *serverConn
	length    int64            // -1: not told
	remaining int64            // of a length
	decoder   *chunked.Decoder // nil: none
	ended     bool
}

// isComplete tells whether all of it was read.
func (b *serverBody) isComplete() bool { return b.ended || b.length >= 0 && b.remaining == 0 }

// Read implements io.Reader.
func (b *serverBody) Read(p []byte) (n int, err error) {
	switch {
	case b.isComplete():
		return 0, io.EOF
	case b.length >= 0:
		n, err = b.conn.reader.Read(p[:min(int64(len(p)), b.remaining)])
		b.remaining -= int64(n)
		return n, asUnexpectedEOF(err)
	case b.decoder == nil:
		n, err = b.conn.reader.Read(p)
		b.ended = err == io.EOF
		return n, err
	}
	for n == 0 && !b.ended {
		if _, err := b.conn.reader.Peek(1); err != nil {
			return 0, asUnexpectedEOF(err)
		}
		in, err := b.conn.reader.Peek(min(b.conn.reader.Buffered(), len(p)))
		if err != nil {
			return 0, asUnexpectedEOF(err)
		}
		data, used, done, err := b.decoder.Next(in)
		if err != nil {
			return 0, malformed("%v", err)
		}
		n, b.ended = copy(p, data), done
		if _, err := b.conn.reader.Discard(used); err != nil {
			return n, err
		}
	}
	return n, nil
}

// asUnexpectedEOF is the error of a body that has no end of its own.
func asUnexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

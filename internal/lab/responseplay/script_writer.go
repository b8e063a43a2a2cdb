package responseplay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	soonDelay        = 170 * time.Millisecond // StartSoon
	deadlineDistance = 20 * time.Millisecond  // of StartBeforeDeadline and StartAfterDeadline
	trickleInterval  = 300 * time.Millisecond // of extensions and trailers
)

// scriptWriter writes the response of a script.
type scriptWriter struct {
	conn    net.Conn
	attempt *Attempt
	script  *Script
	written int64 // bytes of the body
}

// errPeerClosed means that the sidecar has closed the connection.
var errPeerClosed = errors.New("the sidecar closed the connection")

// pause waits, and fails as soon as the sidecar closes the connection.
func (w *scriptWriter) pause(d time.Duration) error {
	if d <= 0 {
		return nil
	}
	_ = w.conn.SetReadDeadline(time.Now().Add(d))
	defer func() { _ = w.conn.SetReadDeadline(time.Time{}) }()
	_, err := w.conn.Read(make([]byte, 1)) // the sidecar sends nothing before the response has ended
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return nil
	}
	return errPeerClosed
}

// play writes the response. A script that ends short ends without an error.
func (w *scriptWriter) play(timeout time.Duration) error {
	delay := time.Duration(0)
	switch w.script.Start {
	case StartSoon:
		delay = soonDelay
	case StartBeforeDeadline:
		delay = timeout - deadlineDistance
	case StartAfterDeadline:
		delay = timeout + deadlineDistance
	}
	if err := w.pause(delay); err != nil {
		return err
	}
	if err := w.writeHead(); err != nil {
		return err
	}
	if err := w.writeBody(); err != nil {
		return err
	}
	return w.writeEnd()
}

// writeHead writes the status line and the header.
func (w *scriptWriter) writeHead() error {
	version := "HTTP/1.1"
	if w.script.HTTP10 {
		version = "HTTP/1.0"
	}
	header := "Connection: close\r\n"
	switch w.script.Framing {
	case Chunked:
		header = "Transfer-Encoding: chunked\r\n"
	case Declared:
		size := w.script.Size
		if size == Endless {
			size = LongBody
		}
		header = fmt.Sprintf("Content-Length: %d\r\n", size)
	}
	_, err := fmt.Fprintf(w.conn, "%s 200 OK\r\n%s\r\n", version, header)
	return err
}

// bodySize returns how many bytes of the body are written, or Endless.
func (w *scriptWriter) bodySize() int64 {
	if w.script.Ending != Complete && w.script.Size > 0 {
		return w.script.Size / 2
	}
	return w.script.Size
}

// writeBody writes the pieces of the body.
func (w *scriptWriter) writeBody() error {
	size := w.bodySize()
	if w.script.Pace == Extension {
		return w.writePiece(4)
	}
	for n := 0; size == Endless || w.written < size; n++ {
		if n > 0 {
			if err := w.pause(w.intervalBefore(n)); err != nil {
				return err
			}
		}
		piece := int64(max(w.script.Piece, 1))
		if size != Endless {
			piece = min(piece, size-w.written)
		}
		if err := w.writePiece(piece); err != nil {
			return err
		}
	}
	return nil
}

// intervalBefore returns the pause before the piece of this number.
func (w *scriptWriter) intervalBefore(n int) time.Duration {
	if w.script.Pace == SilenceInside && n == 1 {
		return w.script.Silence
	}
	return w.script.Interval
}

// writePiece writes the next bytes of the body.
func (w *scriptWriter) writePiece(n int64) error {
	piece := make([]byte, n)
	for i := range piece {
		piece[i] = contentAt(w.attempt.Offset, w.written+int64(i))
	}
	encoded := piece
	if w.script.Framing == Chunked {
		encoded = append(fmt.Appendf(nil, "%x\r\n", n), append(piece, '\r', '\n')...)
	}
	if _, err := w.conn.Write(encoded); err != nil {
		return err
	}
	w.written += n
	w.attempt.recordWrite(w.written)
	return nil
}

// contentAt returns the byte at a position of a body.
func contentAt(offset int, position int64) byte {
	return byte((position + int64(offset)) % patternPeriod)
}

// writeEnd writes what follows the body.
func (w *scriptWriter) writeEnd() error {
	if w.script.Ending != Complete || w.script.Framing != Chunked {
		return nil
	}
	switch w.script.Pace {
	case Extension:
		return w.trickle("1;")
	case Trailers:
		return w.trickle("0\r\nX: ")
	}
	_, err := io.WriteString(w.conn, "0\r\n\r\n")
	return err
}

// trickle writes a beginning, and then bytes without an end.
func (w *scriptWriter) trickle(begin string) error {
	_, err := io.WriteString(w.conn, begin)
	for err == nil {
		if err = w.pause(trickleInterval); err == nil {
			_, err = io.WriteString(w.conn, "x")
		}
	}
	return err
}

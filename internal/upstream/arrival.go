package upstream

import "milletramp.example/milletramp/internal/chunked"

// arrival returns how many bytes of the body have arrived, read or unread, and whether these are all that the server
// gives: the complete body, or its part before the end of the connection. It must not be called during a read.
func (b *serverBody) arrival() (bytes int64, isAll bool) {
	if b.isComplete() {
		return b.received, true
	}
	peerClosed := b.conn.peerClosed() // first, as no more bytes come after the close
	unread, isComplete := b.unreadLength()
	return b.received + unread, isComplete || peerClosed
}

// unreadLength returns the number of bytes of the body among the unread bytes of the connection, and whether the body
// ends there. The end of a close-delimited body is not among them.
func (b *serverBody) unreadLength() (length int64, isComplete bool) {
	if b.decoder != nil {
		b.conn.peekInput(func(input []byte) { length, isComplete = decodedLength(*b.decoder, input) })
		return length, isComplete
	}
	length = int64(b.conn.reader.Buffered() + b.conn.unreadInSocket())
	return length, b.length >= 0 && length >= b.remaining
}

// decodedLength returns the number of data bytes in encoded, the next part of a chunked body, up to the first
// malformed byte, and whether the body ends in it.
func decodedLength(decoder chunked.Decoder, encoded []byte) (length int64, isComplete bool) {
	for len(encoded) > 0 && !isComplete {
		data, used, done, err := decoder.Next(encoded)
		if err != nil {
			return length, false
		}
		length += int64(len(data))
		isComplete = done
		encoded = encoded[used:]
	}
	return length, isComplete
}

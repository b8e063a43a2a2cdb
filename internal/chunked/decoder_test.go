package chunked

import (
	"bytes"
	"io"
	"net/http/httputil"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// decode decodes text in pieces of pieceBytes bytes. rest is the number of bytes after the body.
func decode(text []byte, pieceBytes int) (body []byte, rest int, done bool, err error) {
	var decoder Decoder
	for offset := 0; offset < len(text); {
		data, used, done, err := decoder.Next(text[offset:min(offset+pieceBytes, len(text))])
		if err != nil {
			return nil, 0, false, err
		}
		body = append(body, data...)
		offset += used
		if done {
			return body, len(text) - offset, true, nil
		}
	}
	return body, 0, false, nil
}

// TestDecoder decodes well-formed and malformed chunks, at once and in pieces.
func TestDecoder(t *testing.T) {
	for _, tt := range []struct {
		name, text, body string
		done, malformed  bool
	}{
		{"empty body", "0\r\n\r\n", "", true, false},
		{"two chunks", "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n", "abcde", true, false},
		{"extensions and trailers", "2;a=\"b\"\r\nab\r\n0 ;x\r\nX-T: 1\r\nX-U: 2\r\n\r\n", "ab", true, false},
		{"upper-case digits and leading zeros", "0A\r\n0123456789\r\n000\r\n\r\n", "0123456789", true, false},
		{"truncated in data", "5\r\nab", "ab", false, false},
		{"truncated before the end", "2\r\nab\r\n0\r\n", "ab", false, false},
		{"missing size", "\r\nab", "", false, true},
		{"signed size", "+2\r\nab\r\n", "", false, true},
		{"size with prefix 0x", "0x2\r\nab\r\n", "", false, true},
		{"too many digits in size", "1000000000000000\r\n", "", false, true},
		{"line feed without carriage return", "2\nab\r\n", "", false, true},
		{"data longer than size", "2\r\nabc\r\n", "", false, true},
		{"folded trailer", "0\r\nX: 1\r\n 2\r\n\r\n", "", false, true},
		{"endless extension", "2;" + strings.Repeat("x", 2*maxLineBytes), "", false, true},
		{"endless trailers", "0\r\n" + strings.Repeat("X: 1\r\n", maxTrailerBytes), "", false, true},
	} {
		for _, piece := range []int{1, 2, 3, 1 << 20} {
			body, rest, done, err := decode([]byte(tt.text), piece)
			if (err != nil) != tt.malformed || done != tt.done || err == nil && string(body) != tt.body || rest != 0 {
				t.Errorf("%s in pieces of %d: body %q, done %v, %d bytes left, error %v",
					tt.name, piece, body, done, rest, err)
			}
		}
	}
}

// TestDecoderReadsWhatHTTPUtilWrites checks that bodies encoded by httputil and followed by another message are decoded
// correctly, in pieces of any size.
func TestDecoderReadsWhatHTTPUtilWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text bytes.Buffer
		var want []byte
		writer := httputil.NewChunkedWriter(&text)
		for _, chunk := range rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 1, 50)).Draw(t, "chunks") {
			want = append(want, chunk...)
			if _, err := writer.Write(chunk); err != nil {
				t.Fatal(err)
			}
		}
		if err := writer.Close(); err != nil {
			t.Fatal(err)
		}
		text.WriteString("\r\nGET /")
		body, _, done, err := decode(text.Bytes(), rapid.IntRange(1, 70).Draw(t, "piece"))
		if err != nil || !done || !bytes.Equal(body, want) {
			t.Fatalf("%q was decoded as %q, done %v, error %v", want, body, done, err)
		}
	})
}

// FuzzDecoder checks that the decoder and httputil decode the same body from any text that both accept.
func FuzzDecoder(f *testing.F) {
	f.Add([]byte("2\r\nab\r\n0\r\n\r\n"), uint8(1))
	f.Add([]byte("2;x\r\nab\r\n0\r\nT: 1\r\n\r\n"), uint8(3))
	f.Fuzz(func(t *testing.T, text []byte, piece uint8) {
		body, rest, done, err := decode(text, int(piece)+1)
		if err != nil || !done || rest < 0 {
			return
		}
		other, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(text)))
		if err == nil && !bytes.Equal(other, body) {
			t.Errorf("%q is decoded as %q, by httputil as %q", text, body, other)
		}
	})
}

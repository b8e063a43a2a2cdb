package sidecar

import (
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// unchunk decodes text that comes in pieces of a size.
func unchunk(text []byte, piece int) (body []byte, rest int, done bool, err error) {
	var c ChunkedDecoder
	for at := 0; at < len(text); {
		data, used, done, err := c.Next(text[at:min(at+piece, len(text))])
		if err != nil {
			return nil, 0, false, err
		}
		body = append(body, data...)
		if at += used; done {
			return body, len(text) - at, true, nil
		}
	}
	return body, 0, false, nil
}

// TestChunks holds the decoder to good and bad chunks, whole and byte by byte.
func TestChunks(t *testing.T) {
	for _, tt := range []struct {
		name, text, body string
		done, bad        bool
	}{
		{"empty", "0\r\n\r\n", "", true, false},
		{"two", "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n", "abcde", true, false},
		{"extensions and a trailer", "2;a=\"b\"\r\nab\r\n0 ;x\r\nX-T: 1\r\nX-U: 2\r\n\r\n", "ab", true, false},
		{"capital digits and zeros", "0A\r\n0123456789\r\n000\r\n\r\n", "0123456789", true, false},
		{"cut in data", "5\r\nab", "ab", false, false},
		{"cut before the end", "2\r\nab\r\n0\r\n", "ab", false, false},
		{"no size", "\r\nab", "", false, true},
		{"a sign", "+2\r\nab\r\n", "", false, true},
		{"0x", "0x2\r\nab\r\n", "", false, true},
		{"a size too long", "1000000000000000\r\n", "", false, true},
		{"a bare line feed", "2\nab\r\n", "", false, true},
		{"data too long", "2\r\nabc\r\n", "", false, true},
		{"a folded trailer", "0\r\nX: 1\r\n 2\r\n\r\n", "", false, true},
		{"an endless extension", "2;" + strings.Repeat("x", 2*maxLineBytes), "", false, true},
		{"endless trailers", "0\r\n" + strings.Repeat("X: 1\r\n", maxTrailerBytes), "", false, true},
	} {
		for _, piece := range []int{1, 2, 3, 1 << 20} {
			body, rest, done, err := unchunk([]byte(tt.text), piece)
			if (err != nil) != tt.bad || done != tt.done || err == nil && string(body) != tt.body || rest != 0 {
				t.Errorf("%s in pieces of %d: body %q, done %v, %d left, error %v", tt.name, piece, body, done, rest, err)
			}
		}
	}
}

// TestChunksComeBack encodes bodies as httputil does, in pieces of any size, with a message behind.
func TestChunksComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text bytes.Buffer
		var want []byte
		w := httputil.NewChunkedWriter(&text)
		for _, p := range rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 1, 50)).Draw(t, "chunks") {
			want = append(want, p...)
			if _, err := w.Write(p); err != nil {
				t.Fatal(err)
			}
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		text.WriteString("\r\nGET /")
		body, _, done, err := unchunk(text.Bytes(), rapid.IntRange(1, 70).Draw(t, "piece"))
		if err != nil || !done || !bytes.Equal(body, want) {
			t.Fatalf("%q came back as %q, done %v, error %v", want, body, done, err)
		}
	})
}

// FuzzChunks holds what the decoder takes to what httputil reads of it: the same body.
func FuzzChunks(f *testing.F) {
	f.Add([]byte("2\r\nab\r\n0\r\n\r\n"), uint8(1))
	f.Add([]byte("2;x\r\nab\r\n0\r\nT: 1\r\n\r\n"), uint8(3))
	f.Fuzz(func(t *testing.T, text []byte, piece uint8) {
		body, rest, done, err := unchunk(text, int(piece)+1)
		if err != nil || !done || rest < 0 {
			return
		}
		other, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(text)))
		if err == nil && !bytes.Equal(other, body) {
			t.Errorf("%q is read as %q, by httputil as %q", text, body, other)
		}
	})
}

const getHead = "GET /api HTTP/1.1\r\nHost: x\r\n\r\n"

// TestFraming tells messages that can be read in two ways, in pieces of any size, and how much before them is good.
func TestFraming(t *testing.T) {
	post := func(fields, body string) string { return "POST /api HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n" + body }
	for _, tt := range []struct {
		name, text string
		bad        bool
	}{
		{"a request", getHead, false},
		{"pipelined", getHead + post("Content-Length: 3\r\n", "abc") + post("transfer-encoding: Chunked\r\n", "1\r\na\r\n0\r\n\r\n") + getHead, false},
		{"a body that looks like a head", post("Content-Length: 12\r\n", "\r\n fold\r\n\r\n\r\n"), false},
		{"an absolute target", "GET http://x/api HTTP/1.1\r\nHost: x\r\n\r\n", false},
		{"a length beside chunks", post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), true},
		{"chunks beside a length", post("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n"), true},
		{"two lengths", post("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"), true},
		{"lengths in a list", post("Content-Length: 3, 3\r\n", "abc"), true},
		{"a signed length", post("Content-Length: +3\r\n", "abc"), true},
		{"an empty length", post("Content-Length:\r\n", "abc"), true},
		{"a folded line", post("X-A: 1\r\n 2\r\n", ""), true},
		{"a folded length", post("Content-Length:\r\n\t3\r\n", "abc"), true},
		{"two codings", post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", ""), true},
		{"another coding", post("Transfer-Encoding: gzip, chunked\r\n", ""), true},
		{"a bad chunk", post("Transfer-Encoding: chunked\r\n", "zz\r\n"), true},
		{"an endless head", "GET /api HTTP/1.1\r\nX: " + strings.Repeat("x", mostHead), true},
	} {
		for _, piece := range []int{1, 7, 1 << 20} {
			var f framing
			var err error
			text := getHead + tt.text
			good := 0
			for at := 0; at < len(text) && err == nil; at += piece {
				var n int
				n, err = f.feed([]byte(text[at:min(at+piece, len(text))]))
				good += n
			}
			if (err != nil) != tt.bad || tt.bad && !errors.Is(err, errFraming) && !errors.Is(err, ErrMalformedChunk) {
				t.Errorf("%s in pieces of %d: error %v, bad %v", tt.name, piece, err, tt.bad)
			}
			if want := len(text); !tt.bad && good != want || good < len(getHead) {
				t.Errorf("%s in pieces of %d: %d of %d bytes are good", tt.name, piece, good, want)
			}
		}
	}
}

// FuzzFraming has the verdict not hang on how the bytes come.
func FuzzFraming(f *testing.F) {
	f.Add([]byte(getHead+getHead), uint8(3))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"), uint8(1))
	f.Fuzz(func(t *testing.T, text []byte, piece uint8) {
		var whole, parts framing
		_, want := whole.feed(text)
		var got error
		for at := 0; at < len(text) && got == nil; at += int(piece) + 1 {
			_, got = parts.feed(text[at:min(at+int(piece)+1, len(text))])
		}
		if (got == nil) != (want == nil) {
			t.Errorf("%q: error %v, in pieces %v", text, want, got)
		}
	})
}

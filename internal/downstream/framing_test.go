package downstream

import (
	"errors"
	"strings"
	"testing"

	"milletramp.example/milletramp/internal/chunked"
)

const getHead = "GET /api HTTP/1.1\r\nHost: x\r\n\r\n"

// TestAmbiguousMessagesAreRefused tells messages that can be read in two ways, in pieces of any size, and how much
// before them is well formed.
func TestAmbiguousMessagesAreRefused(t *testing.T) {
	post := func(fields, body string) string { return "POST /api HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n" + body }
	for _, tt := range []struct {
		name, text string
		bad        bool
	}{
		{"a request", getHead, false},
		{"pipelined", getHead + post("Content-Length: 3\r\n", "abc") +
			post("transfer-encoding: Chunked\r\n", "1\r\na\r\n0\r\n\r\n") + getHead, false},
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
		{"an endless head", "GET /api HTTP/1.1\r\nX: " + strings.Repeat("x", maxHeadBytes), true},
	} {
		for _, piece := range []int{1, 7, 1 << 20} {
			var f requestFraming
			var err error
			text := getHead + tt.text
			wellFormed := 0
			for at := 0; at < len(text) && err == nil; at += piece {
				var n int
				n, err = f.feed([]byte(text[at:min(at+piece, len(text))]))
				wellFormed += n
			}
			isFraming := errors.Is(err, errFraming) || errors.Is(err, chunked.ErrMalformed)
			if (err != nil) != tt.bad || tt.bad && !isFraming {
				t.Errorf("%s in pieces of %d: error %v, bad %v", tt.name, piece, err, tt.bad)
			}
			if want := len(text); !tt.bad && wellFormed != want || wellFormed < len(getHead) {
				t.Errorf("%s in pieces of %d: %d of %d bytes are well formed", tt.name, piece, wellFormed, want)
			}
		}
	}
}

// FuzzFramingIgnoresPieces has the verdict not hang on how the bytes come.
func FuzzFramingIgnoresPieces(f *testing.F) {
	f.Add([]byte(getHead+getHead), uint8(3))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"), uint8(1))
	f.Fuzz(func(t *testing.T, text []byte, piece uint8) {
		var whole, parts requestFraming
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

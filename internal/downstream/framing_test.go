package downstream

import (
	"errors"
	"strings"
	"testing"

	"milletramp.example/milletramp/internal/chunked"
)

const getHead = "GET /api HTTP/1.1\r\nHost: x\r\n\r\n"

// TestAmbiguousMessagesAreRejected checks that messages with ambiguous framing are rejected, also if they arrive in
// small pieces, and that the well-formed bytes before them are counted.
func TestAmbiguousMessagesAreRejected(t *testing.T) {
	post := func(fields, body string) string { return "POST /api HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n" + body }
	for _, tt := range []struct {
		name, text string
		malformed  bool
	}{
		{"single request", getHead, false},
		{"pipelined requests", getHead + post("Content-Length: 3\r\n", "abc") +
			post("transfer-encoding: Chunked\r\n", "1\r\na\r\n0\r\n\r\n") + getHead, false},
		{"body that looks like a head", post("Content-Length: 12\r\n", "\r\n fold\r\n\r\n\r\n"), false},
		{"absolute request target", "GET http://x/api HTTP/1.1\r\nHost: x\r\n\r\n", false},
		{"length before chunked coding", post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), true},
		{"chunked coding before length", post("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n"), true},
		{"duplicate length", post("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"), true},
		{"list of lengths", post("Content-Length: 3, 3\r\n", "abc"), true},
		{"signed length", post("Content-Length: +3\r\n", "abc"), true},
		{"empty length", post("Content-Length:\r\n", "abc"), true},
		{"folded header line", post("X-A: 1\r\n 2\r\n", ""), true},
		{"folded length", post("Content-Length:\r\n\t3\r\n", "abc"), true},
		{"duplicate coding", post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", ""), true},
		{"unsupported coding", post("Transfer-Encoding: gzip, chunked\r\n", ""), true},
		{"malformed chunk", post("Transfer-Encoding: chunked\r\n", "zz\r\n"), true},
		{"as many fields as allowed", post(strings.Repeat("a:\r\n", maxHeaderFields-1), ""), false},
		{"too many fields", post(strings.Repeat("a:\r\n", maxHeaderFields), ""), true},
		{"too many fields without an end", "GET /api HTTP/1.1\r\n" + strings.Repeat("a:\r\n", maxHeaderFields+1), true},
		{"long field", post("X-A: "+strings.Repeat("x", 4*maxFramingLine)+"\r\nContent-Length: 3\r\n", "abc"), false},
		{"long length", post("Content-Length:"+strings.Repeat(" ", maxFramingLine)+"3\r\n", "abc"), true},
		{"endless head", "GET /api HTTP/1.1\r\nX: " + strings.Repeat("x", maxHeadBytes), true},
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
			if (err != nil) != tt.malformed || tt.malformed && !isFraming {
				t.Errorf("%s in pieces of %d: error %v, malformed %v", tt.name, piece, err, tt.malformed)
			}
			if want := len(text); !tt.malformed && wellFormed != want || wellFormed < len(getHead) {
				t.Errorf("%s in pieces of %d: %d of %d bytes are well formed", tt.name, piece, wellFormed, want)
			}
		}
	}
}

// TestLongLinesAreNotKept guards against clients that make the process hold long lines of heads which they do not end.
func TestLongLinesAreNotKept(t *testing.T) {
	var f requestFraming
	if _, err := f.feed([]byte("GET /api HTTP/1.1\r\n")); err != nil {
		t.Fatal(err)
	}
	for range maxHeaderBytes {
		if _, err := f.feed([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if n := cap(f.line); n > 2*maxFramingLine {
		t.Errorf("%d bytes are held of an incomplete line, want %d at most", n, 2*maxFramingLine)
	}
}

// FuzzFramingIgnoresPieces checks that the result does not depend on the sizes of the pieces in which the bytes arrive.
func FuzzFramingIgnoresPieces(f *testing.F) {
	f.Add([]byte(getHead+getHead), uint8(3))
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length:"+strings.Repeat(" ", maxFramingLine-16)+"3\r\n\r\nabc"), uint8(9))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"), uint8(1))
	f.Fuzz(func(t *testing.T, text []byte, piece uint8) {
		var whole, parts requestFraming
		_, want := whole.feed(text)
		var got error
		for at := 0; at < len(text) && got == nil; at += int(piece) + 1 {
			_, got = parts.feed(text[at:min(at+int(piece)+1, len(text))])
		}
		if (got == nil) != (want == nil) {
			t.Errorf("%q: error %v, error in pieces %v", text, want, got)
		}
	})
}

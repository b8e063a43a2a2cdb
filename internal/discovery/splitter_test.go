//go:build go1.25

package discovery

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestSplitterReturnsObjectsUnchanged splits a stream of random objects, indented or not, which is read in pieces of
// random size.
func TestSplitterReturnsObjectsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream bytes.Buffer
		var want []string
		for range rapid.IntRange(0, 5).Draw(t, "objects") {
			nested := map[string]any{"[{\"}": nil}
			value := map[string]any{
				rapid.String().Draw(t, "key"): []any{rapid.String().Draw(t, "text"), nested},
			}
			text, err := json.Marshal(value)
			if rapid.Bool().Draw(t, "indented") {
				text, err = json.MarshalIndent(value, "", "  ")
			}
			if err != nil {
				t.Fatal(err)
			}
			want = append(want, string(text))
			stream.WriteString(rapid.StringMatching("[ \t\r\n]{0,3}").Draw(t, "space before"))
			stream.Write(text)
			stream.WriteString(rapid.StringMatching("[ \t\r\n]{0,3}").Draw(t, "space after"))
		}
		pieceBytes := rapid.IntRange(1, 40).Draw(t, "piece")
		scanner := bufio.NewScanner(&pieceReader{&stream, pieceBytes})
		scanner.Split((&jsonSplitter{}).split)
		var got []string
		for scanner.Scan() {
			got = append(got, scanner.Text())
		}
		if err := scanner.Err(); err != nil || fmt.Sprintf("%q", got) != fmt.Sprintf("%q", want) {
			t.Fatalf("%q, error %v, want %q", got, err, want)
		}
	})
}

// pieceReader returns at most maxBytes per read.
type pieceReader struct {
	reader   io.Reader
	maxBytes int
}

// Read implements io.Reader.
func (p *pieceReader) Read(b []byte) (int, error) { return p.reader.Read(b[:min(len(b), p.maxBytes)]) }

// TestSplitterRejectsOtherValues checks that other values than objects, incomplete objects and objects of unlimited
// length are errors.
func TestSplitterRejectsOtherValues(t *testing.T) {
	for _, text := range []string{"[]", "1", "x", "{", `{"a":"}`, `{} {"a":[1,2}`} {
		scanner := bufio.NewScanner(strings.NewReader(text))
		scanner.Split((&jsonSplitter{}).split)
		for scanner.Scan() {
		}
		if scanner.Err() == nil {
			t.Errorf("%q is accepted, want an error", text)
		}
	}
	endless := bufio.NewScanner(io.MultiReader(strings.NewReader(`{"a":"`), endlessReader{}))
	endless.Buffer(nil, 1<<16)
	endless.Split((&jsonSplitter{}).split)
	if endless.Scan() || !errors.Is(endless.Err(), bufio.ErrTooLong) {
		t.Errorf("object without an end: error %v, want bufio.ErrTooLong", endless.Err())
	}
}

// endlessReader returns the contents of a string that never ends.
type endlessReader struct{}

// Read implements io.Reader.
func (endlessReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'a'
	}
	return len(b), nil
}

// TestSplitterReturnsObjectAtItsLastByte checks that an object is returned without waiting for bytes after it,
// regardless of the white space before it.
func TestSplitterReturnsObjectAtItsLastByte(t *testing.T) {
	reader, writer := io.Pipe()
	defer writer.Close()
	scanner := bufio.NewScanner(reader)
	scanner.Split((&jsonSplitter{}).split)
	for _, text := range []string{"{}", "\n{}", "\n", " \n{}", "{}"} {
		go func() { _, _ = io.WriteString(writer, text) }() // if the write fails, the read below fails too
		if text == "\n" {
			continue // read together with the next text
		}
		got := make(chan string, 1)
		go func() {
			scanner.Scan()
			got <- scanner.Text()
		}()
		if object := testserver.Receive(t, got, "object"); object != "{}" {
			t.Errorf("got object %q from %q", object, text)
		}
	}
}

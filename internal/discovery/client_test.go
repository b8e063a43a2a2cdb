//go:build go1.25

package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestSplitterReturnsObjectsUnchanged cuts drawn objects, indented or not, from a stream that comes in drawn pieces: each comes out as it went in.
func TestSplitterReturnsObjectsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream bytes.Buffer
		var want []string
		for range rapid.IntRange(0, 5).Draw(t, "objects") {
			value := map[string]any{rapid.String().Draw(t, "key"): []any{rapid.String().Draw(t, "text"), map[string]any{"[{\"}": nil}}}
			text, err := json.Marshal(value)
			if rapid.Bool().Draw(t, "indented") {
				text, err = json.MarshalIndent(value, "", "  ")
			}
			if err != nil {
				t.Fatal(err)
			}
			want = append(want, string(text))
			stream.WriteString(rapid.StringMatching("[ \t\r\n]{0,3}").Draw(t, "before"))
			stream.Write(text)
			stream.WriteString(rapid.StringMatching("[ \t\r\n]{0,3}").Draw(t, "behind"))
		}
		piece := rapid.IntRange(1, 40).Draw(t, "piece")
		in := bufio.NewScanner(&pieceReader{&stream, piece})
		in.Split((&jsonSplitter{}).split)
		var got []string
		for in.Scan() {
			got = append(got, in.Text())
		}
		if err := in.Err(); err != nil || fmt.Sprintf("%q", got) != fmt.Sprintf("%q", want) {
			t.Fatalf("%q, error %v, want %q", got, err, want)
		}
	})
}

// pieceReader reads at most so many bytes at a time.
type pieceReader struct {
	in       io.Reader
	maxBytes int
}

// Read implements io.Reader.
func (p *pieceReader) Read(b []byte) (int, error) { return p.in.Read(b[:min(len(b), p.maxBytes)]) }

// TestNoObjects: a stream that holds anything else is turned down where that begins.
func TestSplitterRejectsOtherValues(t *testing.T) {
	for _, text := range []string{"[]", "1", "x", "{", `{"a":"}`, `{} {"a":[1,2}`} {
		in := bufio.NewScanner(strings.NewReader(text))
		in.Split((&jsonSplitter{}).split)
		for in.Scan() {
		}
		if in.Err() == nil {
			t.Errorf("%q passed", text)
		}
	}
	endless := bufio.NewScanner(io.MultiReader(strings.NewReader(`{"a":"`), endlessReader{}))
	endless.Buffer(nil, 1<<16)
	endless.Split((&jsonSplitter{}).split)
	if endless.Scan() || !errors.Is(endless.Err(), bufio.ErrTooLong) {
		t.Errorf("an object without an end: %v", endless.Err())
	}
}

// TestObjectsAreNotHeldBack: an object is there once its last byte is, whatever comes before it and though nothing comes behind it.
func TestSplitterReturnsObjectAtItsLastByte(t *testing.T) {
	out, in := io.Pipe()
	defer in.Close()
	lists := bufio.NewScanner(out)
	lists.Split((&jsonSplitter{}).split)
	for _, text := range []string{"{}", "\n{}", "\n", " \n{}", "{}"} {
		go func() { _, _ = io.WriteString(in, text) }() // the reader has it or the test fails below
		if text == "\n" {
			continue
		}
		got := make(chan string, 1)
		go func() {
			lists.Scan()
			got <- lists.Text()
		}()
		if object := testserver.Receive(t, got, "object"); object != "{}" {
			t.Errorf("%q of %q", object, text)
		}
	}
}

// endlessReader is a string that goes on.
type endlessReader struct{}

// Read implements io.Reader.
func (endlessReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'a'
	}
	return len(b), nil
}

// dialScripted is a connection on which discovery says these pieces, one every pause, and then nothing more.
func dialScripted(pause time.Duration, pieces ...string) DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				return
			}
			ended := make(chan struct{})
			go func() {
				_, _ = io.Copy(io.Discard, far)
				close(ended)
			}()
			for _, piece := range pieces {
				if _, err := io.WriteString(far, piece); err != nil {
					return
				}
				select {
				case <-time.After(pause):
				case <-ended:
					return
				}
			}
			<-ended
		}()
		return near, nil
	}
}

// TestListForms: a list may come indented, in pieces, without an end of its line, and beside others.
func TestWatchAcceptsListsInAnyForm(t *testing.T) {
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(testserver.ServingList(2, &testserver.Backend{Address: "127.0.0.1:9"})), "\t", "  "); err != nil {
		t.Fatal(err)
	}
	plain := testserver.ListText(3, false) + testserver.ListText(4, false, testserver.EndpointEntry("s-{\"[", "127.0.0.1:9", "DRAINING", 0))
	for _, size := range []int{1, 7, 1 << 20} {
		synctest.Test(t, func(t *testing.T) {
			all := "HTTP/1.1 200 OK\r\n\r\n\n" + indented.String() + plain
			var pieces []string
			for len(all) > 0 {
				n := min(size, len(all))
				pieces, all = append(pieces, all[:n]), all[n:]
			}
			d := NewClient("127.0.0.1:9", 0, dialScripted(time.Millisecond, pieces...))
			var revs []int64
			err := d.Watch(context.Background(), 1, func(l List) { revs = append(revs, l.Revision) }, func() {})
			if fmt.Sprint(revs) != "[2 3 4]" || !errors.Is(err, errWatchTimeout) {
				t.Errorf("pieces of %d bytes: lists %v, error %v", size, revs, err)
			}
		})
	}
}

// TestListThatNeverEnds: bytes that come all the time are no progress where their list has no end. Nor are more bytes than a list has.
func TestWatchEndsOnListWithoutEnd(t *testing.T) {
	trickle := []string{"HTTP/1.1 200 OK\r\n\r\n", `{"rev":1,"targets":[`}
	for range 100 {
		trickle = append(trickle, " ")
	}
	flood := []string{"HTTP/1.1 200 OK\r\n\r\n", `{"rev":1,"targets":[`, strings.Repeat(" ", maxListBytes)}
	for _, tt := range []struct {
		name   string
		pieces []string
		want   error
	}{{"a trickle", trickle, errWatchTimeout}, {"a flood", flood, bufio.ErrTooLong}} {
		synctest.Test(t, func(t *testing.T) {
			d := NewClient("127.0.0.1:9", 0, dialScripted(time.Second, tt.pieces...))
			began := time.Now()
			err := d.Watch(context.Background(), 1, func(l List) { t.Errorf("%s: list %+v", tt.name, l) }, func() {})
			if took := time.Since(began); !errors.Is(err, tt.want) || took > 2*time.Second+listTimeout+watchSilenceTimeout {
				t.Errorf("%s: error %v after %v, want %v", tt.name, err, took, tt.want)
			}
		})
	}
}

// TestWatchEndsWhenDiscoveryIsUnresponsive gives up a watch on which nothing comes.
func TestWatchEndsWhenDiscoveryIsUnresponsive(t *testing.T) {
	d := NewClient(testserver.StartDiscovery(t).Address, testserver.Timeout, nil)
	d.silenceTimeout = 50 * time.Millisecond
	err := d.Watch(context.Background(), -1, func(List) { t.Error("a list") }, func() {})
	if err == nil || !strings.Contains(err.Error(), "nothing came for 50ms") {
		t.Errorf("error %v", err)
	}
}

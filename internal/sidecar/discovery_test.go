//go:build go1.25

package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestObjects cuts drawn objects, indented or not, from a stream that comes in drawn pieces: each comes out as it went in.
func TestObjects(t *testing.T) {
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
		in := bufio.NewScanner(&inPieces{&stream, piece})
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

// inPieces reads at most so many bytes at a time.
type inPieces struct {
	in   io.Reader
	most int
}

// Read implements io.Reader.
func (p *inPieces) Read(b []byte) (int, error) { return p.in.Read(b[:min(len(b), p.most)]) }

// TestNoObjects: a stream that holds anything else is turned down where that begins.
func TestNoObjects(t *testing.T) {
	for _, text := range []string{"[]", "1", "x", "{", `{"a":"}`, `{} {"a":[1,2}`} {
		in := bufio.NewScanner(strings.NewReader(text))
		in.Split((&jsonSplitter{}).split)
		for in.Scan() {
		}
		if in.Err() == nil {
			t.Errorf("%q passed", text)
		}
	}
	endless := bufio.NewScanner(io.MultiReader(strings.NewReader(`{"a":"`), neverEnding{}))
	endless.Buffer(nil, 1<<16)
	endless.Split((&jsonSplitter{}).split)
	if endless.Scan() || !errors.Is(endless.Err(), bufio.ErrTooLong) {
		t.Errorf("an object without an end: %v", endless.Err())
	}
}

// TestObjectsAreNotHeldBack: an object is there once its last byte is, whatever comes before it and though nothing comes behind it.
func TestObjectsAreNotHeldBack(t *testing.T) {
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

// neverEnding is a string that goes on.
type neverEnding struct{}

// Read implements io.Reader.
func (neverEnding) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'a'
	}
	return len(b), nil
}

// agent is the discovery of a test, in the clock of its bubble.
type agent struct {
	mu     sync.Mutex
	calls  int
	epoch  int           // watches of former epochs say nothing for good
	down   bool          // new calls get no answer for good
	inVain int           // and so many more, once it is up
	after  time.Duration // that it takes for the first list of each call
	holds  bool          // calls that come while it is down are answered once it is up
}

// dial returns a connection to the agent.
func (a *agent) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go a.serve(far)
	return near, nil
}

// hush has all open watches be silent, and new calls get no answer while it is down, or so many of them if it is up.
func (a *agent) hush(down bool, inVain int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch++
	a.down, a.inVain = down, inVain
}

// call takes in a call and tells how many there were, the epoch that it belongs to, and whether it is answered.
func (a *agent) call() (number, epoch int, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	if answered = !a.down && a.inVain == 0; !answered {
		a.inVain = max(a.inVain-1, 0)
	}
	return a.calls, a.epoch, answered
}

// held tells whether calls wait for it to be up.
func (a *agent) held() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holds
}

func (a *agent) speaks(epoch int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch == epoch
}

func (a *agent) serve(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, c)
		close(ended)
	}()
	number, epoch, answered := a.call()
	for !answered && a.held() {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ended:
			return
		}
		a.mu.Lock()
		answered = !a.down
		a.mu.Unlock()
	}
	if !answered {
		<-ended
		return
	}
	select {
	case <-time.After(a.after):
	case <-ended:
		return
	}
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" // and then the list, and a heartbeat at a time
	line := testserver.ListText(number, true, testserver.EndpointEntry("s-0", "127.0.0.1:9", "SERVING", 0))
	for a.speaks(epoch) {
		if _, err := fmt.Fprintf(c, "%s%x\r\n%s\n\r\n", text, len(line)+1, line); err != nil {
			return
		}
		text, line = "", ""
		select {
		case <-time.After(2 * time.Second):
		case <-ended:
			return
		}
	}
	<-ended
}

// followed runs play in a bubble, with an agent, a host that follows it, and the times at which that gets a list.
func followed(t *testing.T, play func(t *testing.T, a *agent, h *host, told chan time.Time)) {
	synctest.Test(t, func(t *testing.T) {
		a := &agent{}
		c, err := load(t, testserver.ConfigText("127.0.0.1:9", testserver.ServingList(1, &testserver.Backend{Address: "127.0.0.1:9"}), testserver.Settings))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		h, err := newHost(ctx, c, slog.New(slog.DiscardHandler), a.dial)
		if err != nil {
			t.Fatal(err)
		}
		told := make(chan time.Time, 1000)
		h.listed = func([]Server) { told <- time.Now() }
		var over sync.WaitGroup
		over.Go(func() { h.run(ctx) })
		play(t, a, h, told)
		cancel()
		over.Wait()
	})
}

// TestToldInTime has the watch fall silent in each phase of its heartbeat, with none or one more call that gets no answer, and has
// discovery be down for any time: the next list is there less than 6 s after the silence began, or discovery was back.
func TestToldInTime(t *testing.T) {
	if MaxUpdateDelay >= maxStaleness {
		t.Errorf("a list may take %v, want less than %v", MaxUpdateDelay, maxStaleness)
	}
	for inVain := range 2 {
		for phase := time.Millisecond; phase < 2*time.Second; phase += 130 * time.Millisecond {
			followed(t, func(t *testing.T, a *agent, _ *host, told chan time.Time) {
				<-told // the first list
				time.Sleep(20*time.Second + phase)
				a.hush(false, inVain)
				silent := time.Now()
				if took := (<-told).Sub(silent); took > MaxUpdateDelay {
					t.Errorf("told %v after the watch fell silent at %v of a heartbeat, %d calls in vain", took, phase, inVain)
				}
			})
		}
	}
	const longest = FirstListTimeout + balance.MaxDiscoveryBackoff // a call begun just before the return, and the wait behind it
	for outage := 100 * time.Millisecond; outage < 30*time.Second; outage += 370 * time.Millisecond {
		followed(t, func(t *testing.T, a *agent, _ *host, told chan time.Time) {
			<-told
			time.Sleep(10*time.Second + time.Millisecond)
			a.hush(true, 0)
			silent := time.Now()
			time.Sleep(outage)
			a.mu.Lock()
			a.down = false
			a.mu.Unlock()
			back := time.Now()
			if at := <-told; at.Sub(back) > longest && at.Sub(silent) > MaxUpdateDelay {
				t.Errorf("told %v after an outage of %v", at.Sub(back), outage)
			}
		})
	}
}

// TestToldAtTheReturn has an agent that answers, as soon as it is up again, what was asked while it was down: what it has counts as told
// then, and a call is open nearly all the time.
func TestToldAtTheReturn(t *testing.T) {
	for outage := 3500 * time.Millisecond; outage < 20*time.Second; outage += 110 * time.Millisecond {
		followed(t, func(t *testing.T, a *agent, _ *host, told chan time.Time) {
			<-told
			time.Sleep(10*time.Second + time.Millisecond)
			a.holds = true
			a.hush(true, 0)
			time.Sleep(outage)
			a.mu.Lock()
			a.down = false
			a.mu.Unlock()
			back := time.Now()
			if took := (<-told).Sub(back); took > balance.PushedDiscoveryBackoff+20*time.Millisecond {
				t.Errorf("told %v after an outage of %v", took, outage)
			}
		})
	}
}

// TestMoveToASilentAddress has a file name another address of discovery, whose first calls get no answer: the list is there less than 4 s
// after it was read.
func TestMoveToASilentAddress(t *testing.T) {
	for inVain := range 3 {
		followed(t, func(t *testing.T, a *agent, h *host, told chan time.Time) {
			<-told
			time.Sleep(10 * time.Second)
			a.hush(false, inVain) // the former address says nothing more
			moved := time.Now()
			h.post(func() { h.moveTo("127.0.0.1:8") })
			if took := (<-told).Sub(moved); took >= 4*time.Second {
				t.Errorf("told %v after the move, %d calls in vain", took, inVain)
			}
		})
	}
}

// spoken is a connection on which discovery says these pieces, one every pause, and then nothing more.
func spoken(pause time.Duration, pieces ...string) DialFunc {
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
func TestListForms(t *testing.T) {
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
			d := NewDiscoveryClient("127.0.0.1:9", 0, spoken(time.Millisecond, pieces...))
			var revs []int64
			err := d.Watch(context.Background(), 1, func(l List) { revs = append(revs, l.Revision) }, func() {})
			if fmt.Sprint(revs) != "[2 3 4]" || !errors.Is(err, errSilent) {
				t.Errorf("pieces of %d bytes: lists %v, error %v", size, revs, err)
			}
		})
	}
}

// TestListThatNeverEnds: bytes that come all the time are no progress where their list has no end. Nor are more bytes than a list has.
func TestListThatNeverEnds(t *testing.T) {
	trickle := []string{"HTTP/1.1 200 OK\r\n\r\n", `{"rev":1,"targets":[`}
	for range 100 {
		trickle = append(trickle, " ")
	}
	flood := []string{"HTTP/1.1 200 OK\r\n\r\n", `{"rev":1,"targets":[`, strings.Repeat(" ", maxListBytes)}
	for _, tt := range []struct {
		name   string
		pieces []string
		want   error
	}{{"a trickle", trickle, errSilent}, {"a flood", flood, bufio.ErrTooLong}} {
		synctest.Test(t, func(t *testing.T) {
			d := NewDiscoveryClient("127.0.0.1:9", 0, spoken(time.Second, tt.pieces...))
			began := time.Now()
			err := d.Watch(context.Background(), 1, func(l List) { t.Errorf("%s: list %+v", tt.name, l) }, func() {})
			if took := time.Since(began); !errors.Is(err, tt.want) || took > 2*time.Second+listTimeout+watchSilenceTimeout {
				t.Errorf("%s: error %v after %v, want %v", tt.name, err, took, tt.want)
			}
		})
	}
}

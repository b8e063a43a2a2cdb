package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/proxy"
	"milletramp.example/milletramp/internal/upstream"
)

// secondDeadlines replaces the deadlines in testserver.Settings with 1 s.
var secondDeadlines = strings.NewReplacer(`"deadline_s":60.0`, `"deadline_s":1.0`, `"aim_s":20.0`, `"aim_s":0.2`)

// Times of a drain with secondDeadlines, counted from its start.
const (
	earliestKill  = time.Second + proxy.KillDelay
	lateInDrain   = proxy.KillDelay + 20*time.Millisecond // requests from then on are lost if the kill cuts them off
	afterKill     = earliestKill + 500*time.Millisecond
	streamedBytes = 2 * upstream.MaxBufferedBody
)

// bodyForm is a form of a response body.
type bodyForm struct {
	name   string
	header string
	write  func(c net.Conn, data string) error
	end    string
}

func writeRaw(c net.Conn, data string) error {
	_, err := io.WriteString(c, data)
	return err
}

var bodyForms = []bodyForm{
	{"declared length", fmt.Sprintf("Content-Length: %d\r\n", streamedBytes), writeRaw, ""},
	{"chunked", "Transfer-Encoding: chunked\r\n", func(c net.Conn, data string) error {
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(data), data)
		return err
	}, "0\r\n\r\n"},
	{"until the connection closes", "Connection: close\r\n", writeRaw, ""},
}

// sendInPieces returns a handler that sends a response of streamedBytes in pieces, with a pause before each, until
// duration has passed since the first piece. If stalls is set, it stops in the middle and keeps the connection open.
func sendInPieces(form bodyForm, pause, duration time.Duration, stalls bool) testserver.Handler {
	pieces := int(duration / pause)
	return func(c net.Conn, r *http.Request, body []byte) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n", form.header)
		sent := 0
		for n := range pieces {
			if stalls && n == pieces/2 {
				return testserver.NeverRespond(c, r, body)
			}
			if n > 0 {
				time.Sleep(pause)
			}
			next := streamedBytes * (n + 1) / pieces
			if form.write(c, strings.Repeat("x", next-sent)) != nil {
				return false
			}
			sent = next
		}
		_, err := io.WriteString(c, form.end)
		return err == nil && form.header != "Connection: close\r\n"
	}
}

// TestDrainKeepsStreamsThatContinue guards against long responses that are cut off at the end of a drain while their
// servers go on sending them in small pieces: nothing has to be cut off before the process is killed.
func TestDrainKeepsStreamsThatContinue(t *testing.T) {
	for _, pause := range []time.Duration{80 * time.Millisecond, 400 * time.Millisecond} {
		for _, form := range bodyForms {
			t.Run(fmt.Sprintf("%s, pieces each %v", form.name, pause), func(t *testing.T) {
				t.Parallel() // a case mostly waits for its server
				expectStreamAfterDrain(t, sendInPieces(form, pause, afterKill, false), 0, true)
			})
		}
	}
	for _, form := range bodyForms {
		t.Run(form.name+", requested late in the drain", func(t *testing.T) {
			t.Parallel()
			handler := sendInPieces(form, 120*time.Millisecond, afterKill-lateInDrain, false)
			expectStreamAfterDrain(t, handler, lateInDrain, true)
		})
	}
}

// TestDrainEndsStalledStreamsBeforeKill checks that a long response which is requested late in a drain, and whose server
// then stalls, ends incomplete before the process may be killed.
func TestDrainEndsStalledStreamsBeforeKill(t *testing.T) {
	handler := sendInPieces(bodyForms[0], 5*time.Millisecond, 50*time.Millisecond, true)
	expectStreamAfterDrain(t, handler, lateInDrain, false)
}

// expectStreamAfterDrain requests a long response and stops the process. If delay is positive, the request is sent that
// long after the stop, on an open connection. The response has to be complete, or else to end before the kill. The
// process has to end by itself.
func expectStreamAfterDrain(t *testing.T, handler testserver.Handler, delay time.Duration, complete bool) {
	t.Helper()
	times := drainTimes{idleGracePeriod: testserver.Timeout, unusedGracePeriod: testserver.Timeout}
	backend := testserver.StartBackend(t, handler)
	p := startWith(t, secondDeadlines.Replace(configFor(t, backend)), startOptions{times: times})
	conn := p.DialConn()
	in := bufio.NewReader(conn)
	if delay == 0 {
		sendHead(conn, "long")
		testserver.Receive(t, backend.Requests, "attempt")
	} else { // a connection that was used before stays open
		fmt.Fprint(conn, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("response %+v, error %v", resp, err)
		}
	}
	stopped := time.Now()
	p.stop()
	if delay > 0 {
		time.Sleep(delay)
		sendHead(conn, "long")
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("response %+v, error %v", resp, err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	took := time.Since(stopped)
	switch {
	case complete && (err != nil || n != streamedBytes):
		t.Errorf("%d of %d bytes, error %v, %v after the stop", n, streamedBytes, err, took)
	case !complete && (err == nil || took > earliestKill):
		t.Errorf("%d bytes, error %v, %v after the stop, want an error before the kill after %v", n, err, took, earliestKill)
	}
	p.expectCleanExit()
}

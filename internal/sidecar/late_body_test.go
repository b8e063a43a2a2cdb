package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// responsePause is a pause in a response that is longer than the time for opening a connection to a server.
const responsePause = 800 * time.Millisecond

// shortTimes replaces the time for opening a connection and the latency objectives in testserver.Settings, so that a
// response that pauses counts as stalled and its attempt as probably lost.
var shortTimes = strings.NewReplacer(`"connect_timeout_s":5.0`, `"connect_timeout_s":0.2`, `"aim_s":20.0`, `"aim_s":0.2`)

// allowHedging replaces the limits in testserver.Settings, so that a request may have two attempts in flight.
var allowHedging = strings.NewReplacer(`"cancelling":true`, `"cancelling":true,"second_copies":true`)

// sendInTwoParts returns a handler that sends a response in two parts, with a pause between them.
func sendInTwoParts(first, second string) testserver.Handler {
	return func(c net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = io.WriteString(c, first)
		time.Sleep(responsePause)
		_, err := io.WriteString(c, second)
		return err == nil && !strings.Contains(first, "Connection: close")
	}
}

// longBody is the body of a long response.
var longBody = strings.Repeat("x", streamedBytes)

// pausedResponses are well-formed responses in two parts.
var pausedResponses = []struct{ name, first, second, body string }{
	{"within the head", "HTTP/1.1 200 OK\r\nContent-Le", "ngth: 4\r\n\r\nbody", "body"},
	{"before a short body", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "body", "body"},
	{"within a short body", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo", "dy", "body"},
	{"before a long body", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", streamedBytes), longBody, longBody},
	{"before a short chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n", "body"},
	{"before a long chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", streamedBytes, longBody), longBody},
	{"within a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo", "dy\r\n0\r\n\r\n", "body"},
	{"before a body that the close ends", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", longBody, longBody},
}

// TestPausesInResponsesAreAwaited guards against sound responses that are cut off because their server pauses in them,
// while their client still waits: requests of each effect, at their first attempt and at a retry.
func TestPausesInResponsesAreAwaited(t *testing.T) {
	for _, tt := range pausedResponses {
		for _, class := range []string{"read", "book", "pay"} {
			for _, attempts := range []int{1, 2} {
				t.Run(fmt.Sprintf("%s, %s, attempt %d", tt.name, class, attempts), func(t *testing.T) {
					t.Parallel() // a case mostly waits for its server
					expectPausedResponse(t, sendInTwoParts(tt.first, tt.second), class, attempts, tt.body)
				})
			}
		}
	}
}

// expectPausedResponse sends a request whose attempts before the last one are refused, and expects the response of the
// last one.
func expectPausedResponse(t *testing.T, respond testserver.Handler, class string, attempts int, body string) {
	t.Helper()
	refusals := make(chan bool, attempts)
	for range attempts - 1 {
		refusals <- true
	}
	handler := func(c net.Conn, r *http.Request, requestBody []byte) bool {
		select {
		case <-refusals:
			return testserver.Respond(503, "X-Not-Processed: 1\r\n", "")(c, r, requestBody)
		default:
			return respond(c, r, requestBody)
		}
	}
	backends := make([]*testserver.Backend, attempts)
	for i := range backends {
		backends[i] = testserver.StartBackend(t, handler)
	}
	p := start(t, shortTimes.Replace(configFor(t, backends...)))
	got := p.Do(p.NewRequest(context.Background(), class, "5000"))
	if got.Err != nil || got.Status != http.StatusOK || got.Body != body {
		t.Errorf("status %d, body of %d bytes, error %v, want 200 and %d bytes", got.Status, len(got.Body), got.Err, len(body))
	}
}

// TestBegunResponsesAreNotCancelled guards against sound responses that are cut off in favor of a second attempt: if the
// settings allow one attempt at a time, the request waits for the response that has begun. If they allow two, it is
// hedged, and both responses may go on.
func TestBegunResponsesAreNotCancelled(t *testing.T) {
	for _, tt := range []struct {
		name        string
		hedging     *strings.Replacer
		maxAttempts int
	}{
		{"one attempt at a time", strings.NewReplacer(), 1},
		{"two attempts at a time", allowHedging, 2},
	} {
		for _, class := range []string{"read", "book"} {
			t.Run(tt.name+", "+class, func(t *testing.T) {
				t.Parallel()
				paused := pausedResponses[3]
				attempts, cut := make(chan bool, 10), make(chan bool, 10)
				handler := func(c net.Conn, r *http.Request, body []byte) bool {
					attempts <- true
					isComplete := sendInTwoParts(paused.first, paused.second)(c, r, body)
					if !isComplete {
						cut <- true
					}
					return isComplete
				}
				backends := []*testserver.Backend{testserver.StartBackend(t, handler), testserver.StartBackend(t, handler)}
				p := start(t, tt.hedging.Replace(shortTimes.Replace(configFor(t, backends...))))
				got := p.Do(p.NewRequest(context.Background(), class, "5000"))
				if got.Err != nil || got.Status != http.StatusOK || got.Body != paused.body {
					t.Errorf("status %d, %d bytes, error %v", got.Status, len(got.Body), got.Err)
				}
				if n := len(attempts); n != tt.maxAttempts || tt.maxAttempts == 1 && len(cut) > 0 {
					t.Errorf("%d attempts, want %d; %d responses were cut off", n, tt.maxAttempts, len(cut))
				}
			})
		}
	}
}

// TestStalledResponsesAreHedged checks that a request that may be repeated does not wait until its deadline for a
// response whose server stalls in it.
func TestStalledResponsesAreHedged(t *testing.T) {
	const deadline = 10 * time.Second
	for _, class := range []string{"read", "book"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			first := make(chan bool, 1)
			first <- true
			handler := func(c net.Conn, r *http.Request, body []byte) bool {
				select {
				case <-first:
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
					return testserver.NeverRespond(c, r, body)
				default:
					return testserver.Respond(200, "", "whole")(c, r, body)
				}
			}
			text := configFor(t, testserver.StartBackend(t, handler), testserver.StartBackend(t, handler))
			text = strings.Replace(text, `"connect_timeout_s":5.0`, `"connect_timeout_s":0.2`, 1)
			p := start(t, allowHedging.Replace(text)) // the objectives are long, so only the stall tells
			began := time.Now()
			got := p.Do(p.NewRequest(context.Background(), class, fmt.Sprint(deadline.Milliseconds())))
			if took := time.Since(began); got.Status != http.StatusOK || got.Body != "whole" || took > deadline/2 {
				t.Errorf("status %d, body %q after %v, want the response of the other server", got.Status, got.Body, took)
			}
		})
	}
}

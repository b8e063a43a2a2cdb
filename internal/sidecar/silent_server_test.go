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

	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/upstream"
)

const (
	// longestCut is the longest time for which the platform's network cuts off a server.
	longestCut = 6 * time.Second
	// minYieldSilence is a lower bound of the silence after which a response may be ended for another request.
	minYieldSilence = 4 * time.Second
)

// sendWithSilence returns a handler that sends the first bytes of a response, is silent for a time, and sends the rest.
func sendWithSilence(form bodyForm, first, total int, silence time.Duration) testserver.Handler {
	return func(c net.Conn, _ *http.Request, _ []byte) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n", form.header)
		if form.write(c, strings.Repeat("x", first)) != nil {
			return false
		}
		time.Sleep(silence)
		if form.write(c, strings.Repeat("x", total-first)) != nil {
			return false
		}
		_, err := io.WriteString(c, form.end)
		return err == nil && form.header != "Connection: close\r\n"
	}
}

// TestResponsesOutlastCutNetwork guards against responses that are cut off although their servers still send them: a
// server that is cut off from the network for 6 s is silent for longer, and its connections stay open.
func TestResponsesOutlastCutNetwork(t *testing.T) {
	const silence = longestCut + 500*time.Millisecond
	for _, form := range bodyForms {
		for _, tt := range []struct {
			name      string
			first     int
			timeoutMS string
		}{
			{"long, after its client's timeout", upstream.MaxBufferedBody + 1000, "1500"},
			{"first bytes of it, before its client's timeout", 1000, "50000"},
		} {
			t.Run(form.name+", "+tt.name, func(t *testing.T) {
				t.Parallel() // a case mostly waits for its server
				p := startWithBackends(t, testserver.StartBackend(t, sendWithSilence(form, tt.first, streamedBytes, silence)))
				got := p.Do(p.NewRequest(context.Background(), "pay", tt.timeoutMS))
				if got.Err != nil || got.Status != 200 || len(got.Body) != streamedBytes {
					t.Errorf("status %d, %d of %d bytes, error %v", got.Status, len(got.Body), streamedBytes, got.Err)
				}
			})
		}
	}
}

// TestSilentResponsesGiveWayToNewRequests guards against silent servers that keep new requests from being served:
// long responses take all places for requests, their servers are silent, and one of them ends for a new request.
func TestSilentResponsesGiveWayToNewRequests(t *testing.T) {
	t.Parallel()
	begin := func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Method == http.MethodPost {
			return testserver.Respond(200, "", "ok")(c, r, body)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", streamedBytes)
		return testserver.NeverRespond(c, r, body)
	}
	backend := testserver.StartBackend(t, begin)
	p := start(t, strings.Replace(configFor(t, backend), `"sockets":1024`, `"sockets":64`, 1))
	began := time.Now()
	for i := range newSocketBudget(&config.Config{Sockets: 64}).Requests {
		sendHead(p.DialConn(), fmt.Sprint("silent-", i))
		testserver.Receive(t, backend.Requests, "attempt")
	}
	testserver.Eventually(t, func() string {
		if got := p.Send("pay"); got.Status != http.StatusOK {
			time.Sleep(10 * time.Millisecond)
			return fmt.Sprintf("status %d beside silent responses", got.Status)
		}
		return ""
	})
	if took := time.Since(began); took < minYieldSilence || took > 2*minYieldSilence {
		t.Errorf("a response gave way after %v, want more than %v and less than twice that", took, minYieldSilence)
	}
}

// TestAbandonedSilentResponseReleasesServer guards against connections to silent servers that stay open for long after
// their clients have gone.
func TestAbandonedSilentResponseReleasesServer(t *testing.T) {
	t.Parallel()
	released := make(chan bool, 1)
	backend := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", streamedBytes)
		testserver.NeverRespond(c, r, body)
		released <- true
		return false
	})
	p := startWithBackends(t, backend)
	client := p.DialConn()
	sendHead(client, "abandoned")
	testserver.Receive(t, backend.Requests, "attempt")
	if _, err := client.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	client.Close()
	testserver.Receive(t, released, "end of the connection to the server")
	if took := time.Since(began); took > 2*minYieldSilence {
		t.Errorf("the connection to the server ended %v after its client had gone", took)
	}
}

package sidecar

import (
	"context"
	"errors"
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

// TestStalledResponsesAreCut: a response of untold length that stops is cut soon after its client's time, so that the
// client can tell that it is not whole. One that its server is still giving, bit by bit, and a long one that pauses for
// as long are passed on to their ends.
func TestStalledResponsesAreCut(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhal\r\n"
	stop := make(chan struct{})
	defer close(stop)
	rest := make(chan struct{})
	for _, tt := range []struct {
		name string
		do   testserver.Handler
		cut  bool
		long bool
	}{
		{"it stops", func(c net.Conn, _ *http.Request, _ []byte) bool {
			fmt.Fprint(c, begin)
			<-stop
			return false
		}, true, false},
		{"it stops, with no length and its connection open", func(c net.Conn, _ *http.Request, _ []byte) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nhal")
			<-stop
			return false
		}, true, false},
		{"it trickles", func(c net.Conn, _ *http.Request, _ []byte) bool {
			fmt.Fprint(c, begin)
			for range 200 { // 2 s, far behind the client's time
				time.Sleep(10 * time.Millisecond)
				if _, err := fmt.Fprint(c, "1\r\nx\r\n"); err != nil {
					return false
				}
			}
			fmt.Fprint(c, "0\r\n\r\n")
			return true
		}, false, false},
		{"a long one pauses", func(c net.Conn, _ *http.Request, _ []byte) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", upstream.MaxBufferedBody+1)
			<-rest
			fmt.Fprint(c, strings.Repeat("x", upstream.MaxBufferedBody))
			return true
		}, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := startWithBackends(t, testserver.StartBackend(t, tt.do))
			resp, err := p.HTTP.Do(p.NewRequest(context.Background(), "pay", "600"))
			if err != nil {
				t.Fatal(err)
			}
			if tt.long {
				time.AfterFunc(2*time.Second, func() { close(rest) }) // the client's time and the grace are over
			}
			began := time.Now()
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if took := time.Since(began); tt.cut && took > proxy.MaxStreamPause-time.Second {
				t.Errorf("cut after %v", took)
			}
			if tt.cut != errors.Is(err, io.ErrUnexpectedEOF) || tt.long && len(body) != upstream.MaxBufferedBody+1 {
				t.Errorf("%d bytes, error %v, want a cut: %v", len(body), err, tt.cut)
			}
		})
	}
}

// TestResetResponseIsIncomplete: a response of untold length whose connection is reset is not whole, also where its
// first bytes were passed on. One whose connection ends in order is.
func TestResetResponseIsIncomplete(t *testing.T) {
	for _, reset := range []bool{true, false} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			passed := make(chan struct{})
			b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal")
				<-passed
				return reset && testserver.ResetConnection(c, r, body)
			})
			p := startWithBackends(t, b)
			resp, err := p.HTTP.Do(p.NewRequest(context.Background(), "pay", "50000"))
			if err != nil {
				t.Fatal(err)
			}
			close(passed) // the client has its head, and so the first bytes
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if reset != (err != nil) || !reset && string(body) != "hal" {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

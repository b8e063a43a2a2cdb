package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// serviceTime is the time in which pausingServers process a request.
const serviceTime = 5 * time.Millisecond

// pausingServers are two servers. One of them pauses after it has read the head of the first long request, and goes on
// when resume is closed. The other one executes that request, and responds immediately or after answer is closed.
type pausingServers struct {
	longBody     int // length in bytes from which a request is long
	answersLate  bool
	backends     []*testserver.Backend
	paused       chan time.Time // receives the time of the pause
	served       chan time.Time // receives the time of each arrival of a long request at the other server
	resume       chan struct{}
	answer       chan struct{}
	pausedResult chan error // receives nil if the paused server has received the complete request
	pauseOnce    sync.Once
}

func startPausingServers(t *testing.T, longBody int, answersLate bool) *pausingServers {
	t.Helper()
	s := &pausingServers{
		longBody:     longBody,
		answersLate:  answersLate,
		paused:       make(chan time.Time, 1),
		served:       make(chan time.Time, 10),
		resume:       make(chan struct{}),
		answer:       make(chan struct{}),
		pausedResult: make(chan error, 1),
	}
	for range 2 {
		l := testserver.Listen(t)
		s.backends = append(s.backends, &testserver.Backend{Address: l.Addr().String()})
		go func() { // ends when the test closes l
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				t.Cleanup(func() { c.Close() })
				go s.serve(c)
			}
		}()
	}
	return s
}

// serve serves the requests on a connection.
func (s *pausingServers) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		isLong, pauses := r.ContentLength >= int64(s.longBody), false
		if isLong {
			s.pauseOnce.Do(func() { pauses = true })
		}
		if pauses {
			s.paused <- time.Now()
			<-s.resume
			_, err := io.Copy(io.Discard, r.Body)
			s.pausedResult <- err
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if isLong {
			s.served <- time.Now()
			if s.answersLate {
				<-s.answer
			}
		}
		time.Sleep(serviceTime)
		if !testserver.Respond(200, "", "done")(c, r, nil) {
			return
		}
	}
}

// learnResponseTime sends short requests, from which the sidecar learns how soon servers respond.
func learnResponseTime(p *program) {
	var clients sync.WaitGroup
	for range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for range 100 {
				p.Do(p.NewRequest(context.Background(), "book", "50000"))
			}
		}()
	}
	clients.Wait()
}

// TestPausedAttemptDoesNotArriveAfterWindow guards against a request with an idempotency key that takes effect twice:
// its first attempt is held up by a server that pauses while it reads the request, a second attempt is executed, and
// the server goes on reading after the dedupe window.
func TestPausedAttemptDoesNotArriveAfterWindow(t *testing.T) {
	const window = 3 * time.Second
	const (
		fitsSendBuffer    = 400 << 10 // is written at once, and waits in the send buffer of the connection
		exceedsSendBuffer = 16 << 20
	)
	const cancelling, hedging = `"cancelling":true`, `"second_copies":true`
	for _, tt := range []struct {
		name        string
		size        int
		answersLate bool   // the second attempt is in flight during the whole window
		limits      string // whether attempts may be cancelled, and hedged
	}{
		{"hedged, written in part", exceedsSendBuffer, true, cancelling + "," + hedging},
		{"hedged, in the send buffer", fitsSendBuffer, true, cancelling + "," + hedging},
		{"hedged and cancelled, in the send buffer", fitsSendBuffer, false, cancelling + "," + hedging},
		{"hedged and never cancelled, written in part", exceedsSendBuffer, false, `"cancelling":false,` + hedging},
		{"cancelled and retried, in the send buffer", fitsSendBuffer, true, cancelling},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel() // a case mostly waits for the end of the window
			servers := startPausingServers(t, tt.size, tt.answersLate)
			p := start(t, strings.NewReplacer(
				`"window_s":60.0`, fmt.Sprintf(`"window_s":%g`, window.Seconds()), cancelling, tt.limits,
			).Replace(configFor(t, servers.backends...)))
			learnResponseTime(p)
			request := p.NewRequest(context.Background(), "book", "20000")
			request.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", tt.size)))
			request.ContentLength = int64(tt.size)
			response := make(chan testserver.Result, 1)
			go func() { response <- p.Do(request) }()
			testserver.Receive(t, servers.paused, "first attempt")
			servedAt := testserver.Receive(t, servers.served, "second attempt")
			time.Sleep(time.Until(servedAt.Add(window + 100*time.Millisecond)))
			close(servers.resume)
			if err := testserver.Receive(t, servers.pausedResult, "end of the first attempt"); err == nil {
				t.Errorf("the first attempt arrived %v after the second one, the window is %v", time.Since(servedAt), window)
			}
			close(servers.answer)
			if got := testserver.Receive(t, response, "response"); got.Status != 200 || got.Body != "done" {
				t.Errorf("response %+v", got)
			}
		})
	}
}

package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestTimeoutsOfLostRequestsShedNoOthers has some requests at every server lost while it answers all others at once:
// their time-outs must not make the servers look slow, and so reject what they would serve.
func TestTimeoutsOfLostRequestsShedNoOthers(t *testing.T) {
	const perServer = 3
	var backends []*testserver.Backend
	arrivals := make(chan bool, 100)
	for range 4 {
		backends = append(backends, testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
			if hasIdempotencyKey(r) {
				arrivals <- true
				return testserver.NeverRespond(c, r, body)
			}
			return testserver.Respond(200, "", "ok")(c, r, body)
		}))
	}
	// A lost request is in flight for four latency objectives.
	p := start(t, strings.ReplaceAll(configFor(t, backends...), `"aim_s":20.0`, `"aim_s":1.0`))
	ended := make(chan testserver.Result, perServer*len(backends))
	for range cap(ended) {
		r := p.NewRequest(context.Background(), "book", "4000")
		go func() { ended <- p.Do(r) }()
	}
	for range cap(ended) {
		testserver.Receive(t, arrivals, "attempt that is lost")
	}
	expectServed := func(when string) {
		for range perServer * len(backends) {
			if got := p.Send("read"); got.Status != http.StatusOK {
				t.Fatalf("response %+v %s", got, when)
			}
		}
	}
	expectServed("while others are in flight")
	for range cap(ended) {
		if got := testserver.Receive(t, ended, "response"); got.Status == http.StatusOK {
			t.Errorf("response %+v to what was lost", got)
		}
	}
	expectServed("after the time-outs")
}

// TestLostRequestsAreRetriedIfRepeatable has payments lost, each once, and then requests that may be repeated: they are
// retried at other servers, long before their clients would give up. No payment reaches a server twice.
func TestLostRequestsAreRetriedIfRepeatable(t *testing.T) {
	const payments = 12
	var backends []*testserver.Backend
	var mu sync.Mutex
	lost := map[string]int{} // arrivals of what is lost the first time
	arrivals := make(chan bool, 100)
	for range 4 {
		backends = append(backends, testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
			id := r.Header.Get("X-Request-ID")
			mu.Lock()
			if strings.HasPrefix(id, "lost-") {
				lost[id]++
			}
			first := lost[id] == 1
			mu.Unlock()
			if first {
				arrivals <- true
				return testserver.NeverRespond(c, r, body)
			}
			return testserver.Respond(200, "", "ok")(c, r, body)
		}))
	}
	p := start(t, strings.ReplaceAll(configFor(t, backends...), `"aim_s":20.0`, `"aim_s":1.0`))
	sendReads := func(n int) {
		for range n {
			if got := p.Send("read"); got.Status != http.StatusOK {
				t.Fatalf("response %+v", got)
			}
		}
	}
	startLost := func(class, id, timeout string, ended chan testserver.Result) {
		r := p.NewRequest(context.Background(), class, timeout)
		r.Header.Set("X-Request-ID", id)
		go func() { ended <- p.Do(r) }()
		testserver.Receive(t, arrivals, "attempt that is lost")
	}
	sendReads(40) // and so it is known how long responses take
	ended := make(chan testserver.Result, payments)
	for i := range payments {
		startLost("pay", fmt.Sprint("lost-pay-", i), "500", ended)
	}
	sendReads(24)
	for range payments {
		testserver.Receive(t, ended, "end of a payment")
	}
	again := make(chan testserver.Result, len(backends))
	for i := range backends { // one at each, so that each gets others too
		startLost("read", fmt.Sprint("lost-read-", i), "59000", again) // longer than the test has patience
	}
	sendReads(24)
	for range backends {
		if got := testserver.Receive(t, again, "response to what was lost"); got.Status != http.StatusOK {
			t.Errorf("response %+v to what was lost at first", got)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for id, n := range lost {
		if again := strings.HasPrefix(id, "lost-read-"); again != (n > 1) {
			t.Errorf("%s came to servers %d times", id, n)
		}
	}
}

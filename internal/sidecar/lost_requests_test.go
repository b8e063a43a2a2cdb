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

// TestTimeoutsOfLostRequestsShedNoOthers: every server loses some requests and responds to all others immediately. The
// timeouts of the lost requests must not make the servers appear slow, which would shed requests that they can serve.
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
		testserver.Receive(t, arrivals, "lost attempt")
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
			t.Errorf("response %+v to a lost request", got)
		}
	}
	expectServed("after the timeouts")
}

// TestLostRequestsAreRetriedIfRepeatable: the first attempts of at-most-once requests and then of idempotent requests
// are lost. The idempotent ones are retried at other servers long before their deadlines, and no at-most-once request
// reaches a server twice.
func TestLostRequestsAreRetriedIfRepeatable(t *testing.T) {
	const payments = 12
	var backends []*testserver.Backend
	var mu sync.Mutex
	lost := map[string]int{} // number of arrivals of each request whose first attempt is lost
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
		testserver.Receive(t, arrivals, "lost attempt")
	}
	sendReads(40) // provide samples of the response time
	ended := make(chan testserver.Result, payments)
	for i := range payments {
		startLost("pay", fmt.Sprint("lost-pay-", i), "500", ended)
	}
	sendReads(24)
	for range payments {
		testserver.Receive(t, ended, "end of an at-most-once request")
	}
	results := make(chan testserver.Result, len(backends))
	for i := range backends { // one per server, so that each server also gets other requests
		startLost("read", fmt.Sprint("lost-read-", i), "59000", results) // longer than the test waits
	}
	sendReads(24)
	for range backends {
		if got := testserver.Receive(t, results, "response to a retried request"); got.Status != http.StatusOK {
			t.Errorf("response %+v to a request whose first attempt was lost", got)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for id, n := range lost {
		if retried := strings.HasPrefix(id, "lost-read-"); retried != (n > 1) {
			t.Errorf("%s reached servers %d times", id, n)
		}
	}
}

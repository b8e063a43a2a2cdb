package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/hotrestart"
	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/upstream"
)

// TestShareOfLimit checks the share of a process in a limit: what the others leave free, an equal part at least, and a
// quarter of the limit more than the process uses at most.
func TestShareOfLimit(t *testing.T) {
	for _, tt := range []struct{ total, own, others, want int }{
		{109, 0, 0, 54},     // both have just started
		{109, 62, 0, 89},    // the predecessor has long responses
		{109, 62, 30, 79},   // the others leave less than it may grow by
		{109, 5, 62, 54},    // the successor keeps an equal part
		{109, 5, 109, 54},   // also if nothing is free
		{109, 100, 0, 109},  // never more than the limit
		{109, 100, 50, 59},  // below what is in use, so that no more is opened
		{85, 62, 20, 65},    // requests in flight
		{1, 0, 1, 0},        // the smallest limit
		{109, 62, 200, 54},  // more than two processes
		{1000, 10, 10, 500}, // far from the limit
	} {
		if got := shareOf(tt.total, tt.own, tt.others); got != tt.want {
			t.Errorf("total %d, own %d, others %d: share %d, want %d", tt.total, tt.own, tt.others, got, tt.want)
		}
	}
}

// TestProcessesOfEarlierBuildsUseEqualPart checks that another process whose build does not publish its usage counts
// with an equal part, so that this process uses no more than that either.
func TestProcessesOfEarlierBuildsUseEqualPart(t *testing.T) {
	budget := newSocketBudget(&config.Config{Sockets: 256})
	own := hotrestart.Usage{ClientConns: budget.ClientConns, UpstreamConns: budget.UpstreamConns, Requests: budget.Requests}
	got := budget.divide(own, []*hotrestart.Usage{nil})
	want := socketBudget{
		Requests:       budget.Requests - budget.Requests/2,
		ClientConns:    budget.ClientConns - budget.ClientConns/2,
		KeepAliveConns: budget.KeepAliveConns / 2,
		UpstreamConns:  budget.UpstreamConns - budget.UpstreamConns/2,
	}
	if got != want {
		t.Errorf("share %+v of %+v, want %+v", got, budget, want)
	}
}

// TestUsageIsPublishedWhileOthersRun checks that a process publishes what it uses while another process runs, and again
// when that changes.
func TestUsageIsPublishedWhileOthersRun(t *testing.T) {
	dir := t.TempDir()
	release := make(chan struct{})
	backend := startBlockingBackend(t, release, anyRequest, "ok")
	p := startWith(t, configFor(t, backend), startOptions{env: []string{"TMPDIR=" + dir}})
	inFlight := p.sendAsync(context.Background(), "pay")
	testserver.Receive(t, backend.Requests, "attempt")
	other, err := hotrestart.Join(dir, hotrestart.State{Name: "n0", ListenAddress: "127.0.0.1:0", Started: time.Now(),
		Phase: hotrestart.Starting}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Leave() }()
	expectUsage := func(want hotrestart.Usage) {
		t.Helper()
		testserver.Eventually(t, func() string {
			usage := other.Others()[0].Usage
			if usage == nil || *usage != want {
				return fmt.Sprintf("published usage %+v, want %+v", usage, want)
			}
			return ""
		})
	}
	expectUsage(hotrestart.Usage{ClientConns: 1, UpstreamConns: 1, Requests: 1})
	close(release)
	testserver.Receive(t, inFlight, "response")
	expectUsage(hotrestart.Usage{ClientConns: 1, UpstreamConns: 1})
}

// TestLongResponsesLeaveRoomInUpgrade guards against requests on new connections that are not read while a second
// process runs: the first one has more long responses than half of the sidecar's limits, and the kernel gives it about
// half of the new connections.
func TestLongResponsesLeaveRoomInUpgrade(t *testing.T) {
	release := make(chan struct{})
	backend := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Method == http.MethodPost {
			return testserver.Respond(200, "", "ok")(c, r, body)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", upstream.MaxBufferedBody+1)
		<-release
		fmt.Fprint(c, strings.Repeat("x", upstream.MaxBufferedBody))
		return true
	})
	defer close(release)
	text := strings.Replace(configFor(t, backend), `"sockets":1024`, `"sockets":64`, 1)
	text = strings.Replace(text, "127.0.0.1:0", unusedAddress(t), 1)
	options := startOptions{env: []string{"TMPDIR=" + t.TempDir()}}
	budget := newSocketBudget(&config.Config{Sockets: 64})
	p := startWith(t, text, options)
	for i := range 3 * budget.Requests / 4 {
		c := p.DialConn()
		sendHead(c, fmt.Sprint("long-", i))
		testserver.Receive(t, backend.Requests, "attempt")
		if _, err := bufio.NewReader(c).ReadByte(); err != nil {
			t.Fatal(err)
		}
	}
	startWith(t, text, options)
	testserver.Eventually(t, func() string {
		if p.operator.group.processCount.Load() != maxProcessCount {
			return "the first process has not noticed the second one"
		}
		return ""
	})
	for i := range 24 { // about half of them come to the first process
		p.HTTP.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if got := p.Do(p.NewRequest(ctx, "pay", "4000")); got.Status != http.StatusOK {
			t.Errorf("request %d: response %+v", i, got)
		}
		cancel()
	}
}

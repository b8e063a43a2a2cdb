package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// expectCleanExit waits until run has returned, and fails the test if it returned an error.
func (p *program) expectCleanExit() {
	p.T.Helper()
	if err := testserver.Receive(p.T, p.runResult, "end"); err != nil {
		p.T.Errorf("run returned %v", err)
	}
}

// sendAsync sends a request of a class and returns a channel that receives its result.
func (p *program) sendAsync(ctx context.Context, class string) <-chan testserver.Result {
	p.T.Helper()
	result, request := make(chan testserver.Result, 1), p.NewRequest(ctx, class, "50000")
	go func() { result <- p.Do(request) }()
	return result
}

// waitForOpenConns waits until at least n client connections are open.
func (p *program) waitForOpenConns(n int) {
	p.T.Helper()
	testserver.Eventually(p.T, func() string {
		if open := p.operator.server.Load().conns.Counts().Open; open < n {
			return fmt.Sprintf("%d connections open, want %d", open, n)
		}
		return ""
	})
}

// waitForUsedConns waits until a request has been received on at least n open connections.
func (p *program) waitForUsedConns(n int) {
	p.T.Helper()
	conns := p.operator.server.Load().conns
	testserver.Eventually(p.T, func() string {
		if used := conns.Counts().Used; used < n {
			return fmt.Sprintf("requests on %d connections, want %d", used, n)
		}
		return ""
	})
}

// waitUntilNotListening waits until the sidecar refuses connections.
func (p *program) waitUntilNotListening() {
	p.T.Helper()
	testserver.Eventually(p.T, func() string {
		c, err := net.Dial("tcp", p.Address)
		if err != nil {
			return ""
		}
		c.Close()
		return "the sidecar still listens"
	})
}

// waitUntilDraining waits until the sidecar drains.
func (p *program) waitUntilDraining() {
	p.T.Helper()
	testserver.Eventually(p.T, func() string {
		if !p.operator.server.Load().handler.IsDraining() {
			return "the sidecar does not drain"
		}
		return ""
	})
}

// waitForServers waits until n servers are listed.
func (p *program) waitForServers(n int) {
	p.T.Helper()
	testserver.Eventually(p.T, func() string {
		if listed := len(p.operator.loop.Upstream().Endpoints()); listed != n {
			return fmt.Sprintf("%d servers are listed, want %d", listed, n)
		}
		return ""
	})
}

// waitUntilIdle waits until no request is in flight.
func (p *program) waitUntilIdle() {
	p.T.Helper()
	testserver.Eventually(p.T, func() string {
		if n := p.operator.server.Load().handler.InFlight(); n > 0 {
			return fmt.Sprintf("%d requests are in flight", n)
		}
		return ""
	})
}

// sendUntilBody sends requests until a response has the body want.
func (p *program) sendUntilBody(want string) {
	p.T.Helper()
	testserver.Eventually(p.T, func() string {
		if got := p.Send("read"); got.Body != want {
			return fmt.Sprintf("response %+v, want %q", got, want)
		}
		return ""
	})
}

// switchDiscovery reloads the configuration with the discovery address changed from previous to address.
func (p *program) switchDiscovery(address, previous string) {
	p.T.Helper()
	text, err := os.ReadFile(p.configFile)
	if err != nil {
		p.T.Fatal(err)
	}
	writeFile(p.T, p.configFile, strings.ReplaceAll(string(text), previous, address))
	p.reloadSignals <- syscall.SIGHUP
}

// reload writes a configuration, triggers a reload, and waits until the file was accepted or rejected.
func (p *program) reload(text string) {
	p.T.Helper()
	m := p.operator.metrics
	before := m.Reloads.Load() + m.ReloadErrors.Load()
	writeFile(p.T, p.configFile, text)
	p.reloadSignals <- syscall.SIGHUP
	testserver.Eventually(p.T, func() string {
		if m.Reloads.Load()+m.ReloadErrors.Load() == before {
			return "no reload"
		}
		return ""
	})
}

// metric returns the value of a metric in the text format of the admin server.
func (p *program) metric(name string) string {
	p.T.Helper()
	text, err := p.operator.Metrics(context.Background())
	if err != nil {
		p.T.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "sidecar."+name+"="); ok {
			return value
		}
	}
	return "none"
}

func (p *program) expectMetrics(want ...string) {
	p.T.Helper()
	for i := 0; i < len(want); i += 2 {
		if got := p.metric(want[i]); got != want[i+1] {
			p.T.Errorf("%s is %s, want %s", want[i], got, want[i+1])
		}
	}
}

// newIdempotentRequest returns a request of a class that is idempotent.
func (p *program) newIdempotentRequest(class string) *http.Request {
	r := p.NewRequest(context.Background(), "read", "50000")
	r.Header.Set("X-Priority-Class", class)
	return r
}

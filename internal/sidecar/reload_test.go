package sidecar

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// moveTo has the program reload a file that names another discovery.
func (p *program) moveTo(address, was string) {
	p.T.Helper()
	text, err := os.ReadFile(p.file)
	if err != nil {
		p.T.Fatal(err)
	}
	write(p.T, p.file, strings.ReplaceAll(string(text), was, address))
	p.hup <- syscall.SIGHUP
}

// until asks until an answer comes from the server that says so.
func (p *program) until(want string) {
	p.T.Helper()
	for end := time.Now().Add(testserver.Timeout); ; {
		g := p.Send("read")
		if g.Body == want {
			return
		}
		if time.Now().After(end) {
			p.T.Fatalf("answer %+v, want %q", g, want)
		}
	}
}

// TestReload moves discovery twice, the second time to an address that is not up at first, and once more in a drain.
func TestReload(t *testing.T) {
	gate := make(chan bool)
	one := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Method == http.MethodPost {
			<-gate
		}
		return testserver.Respond(200, "", "one")(c, r, body)
	})
	two, three := testserver.StartBackend(t, testserver.Respond(200, "", "two")), testserver.StartBackend(t, testserver.Respond(200, "", "three"))
	a, b := testserver.StartDiscovery(t), testserver.StartDiscovery(t)
	p := start(t, testserver.ConfigText(a.Address, testserver.ServingList(41, one), testserver.Settings))
	first := testserver.Receive(t, a.Watches, "watch")
	p.moveTo(b.Address, a.Address)
	second := testserver.Receive(t, b.Watches, "watch at the new address")
	if second.Query != "watch=1" {
		t.Errorf("query %q at the new address, want the whole list", second.Query)
	}
	first.Lines <- testserver.ListText(42, false, testserver.EndpointEntry("s-0", two.Address, "SERVING", 0))
	p.until("two") // the old address tells until the new one has answered
	close(first.Lines)
	second.Lines <- testserver.ListText(7, true, testserver.EndpointEntry("s-0", three.Address, "SERVING", 0))
	p.until("three")

	late := testserver.Listen(t)
	address := late.Addr().String()
	late.Close()
	p.moveTo(address, b.Address)
	inner, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c := testserver.ServeDiscovery(t, inner)
	third := testserver.Receive(t, c.Watches, "watch at an address that comes up late")
	third.Lines <- testserver.ListText(1, true, testserver.EndpointEntry("s-0", one.Address, "SERVING", 0))
	p.until("one")
	if len(a.Watches) != 0 || len(b.Watches) != 0 {
		t.Error("a former address was asked again")
	}
	close(third.Lines)
	if again := testserver.Receive(t, c.Watches, "watch after the end of one"); again.Query != "watch=1&from=1" {
		t.Errorf("query %q after the end of a watch", again.Query)
	}

	held := make(chan testserver.Result, 1)
	go func() { held <- p.Do(p.NewRequest(context.Background(), "book", "50000")) }()
	for r := testserver.Receive(t, one.Requests, "request"); r.Method != http.MethodPost; r = testserver.Receive(t, one.Requests, "request") {
	}
	p.stop()
	p.moveTo(b.Address, address)
	testserver.Receive(t, b.Watches, "watch while draining")
	close(gate)
	if g := testserver.Receive(t, held, "answer"); g.Body != "one" {
		t.Errorf("answer %+v while draining", g)
	}
}

// TestReloadKeepsWhatRuns reloads a file that is no configuration, and one that is the same as before.
func TestReloadKeepsWhatRuns(t *testing.T) {
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	d, other := testserver.StartDiscovery(t), testserver.StartDiscovery(t)
	text := testserver.ConfigText(d.Address, testserver.ServingList(1, b), testserver.Settings)
	p := start(t, text)
	w := testserver.Receive(t, d.Watches, "watch")
	for _, bad := range []string{"{", strings.Replace(text, d.Address, "nowhere", 1), text} {
		write(t, p.file, bad)
		p.hup <- syscall.SIGHUP
	}
	w.Lines <- testserver.ListText(2, false)
	p.moveTo(other.Address, d.Address)
	testserver.Receive(t, other.Watches, "watch after a good file")
	if g := p.Send("pay"); g.Body != "ok" || len(d.Watches) != 0 {
		t.Errorf("answer %+v, %d new watches at the old address", g, len(d.Watches))
	}
}

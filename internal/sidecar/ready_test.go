package sidecar

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

func TestReadyOnceAServerIsKnown(t *testing.T) {
	d := testserver.StartDiscovery(t)
	p := start(t, testserver.ConfigText(d.Address, "", testserver.Settings))
	health := func() int {
		resp, err := p.HTTP.Get("http://" + p.Address + "/healthz")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if got := health(); got != 503 {
		t.Errorf("status %d before any server is known", got)
	}
	w := testserver.Receive(t, d.Watches, "watch")
	if w.Query != "watch=1" {
		t.Errorf("query %q with no known list", w.Query)
	}
	w.Lines <- testserver.ServingList(1, testserver.StartBackend(t, testserver.NeverRespond))
	for end := time.Now().Add(testserver.Timeout); health() != 200; {
		if time.Now().After(end) {
			t.Fatal("never ready")
		}
	}
}

// TestReadyWhileDiscoveryIsDown: a process that knows a list is ready at once, though discovery says nothing; it serves
// by that list, and has nobody wait for a server that is gone.
func TestReadyWhileDiscoveryIsDown(t *testing.T) {
	gone := testserver.Listen(t)
	address := gone.Addr().String()
	gone.Close()
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	silent := testserver.Listen(t) // takes calls, and answers none
	p := start(t, testserver.ConfigText(silent.Addr().String(), testserver.ServingList(1, b, &testserver.Backend{Address: address}), testserver.Settings))
	resp, err := p.HTTP.Get("http://" + p.Address + "/healthz")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("response %+v, error %v, want ready", resp, err)
	}
	resp.Body.Close()
	for range 4 {
		if got := p.Send("pay"); got.Body != "ok" {
			t.Errorf("response %+v by an old list", got)
		}
	}
}

// TestStopBeforeReadyEndsAtOnce has the process stop before it knows a server: it ends at once.
func TestStopBeforeReadyEndsAtOnce(t *testing.T) {
	p := start(t, testserver.ConfigText(testserver.Listen(t).Addr().String(), "", testserver.Settings))
	c := p.DialConn()
	p.waitForOpenConns(1)
	p.stop()
	if err := testserver.Receive(t, p.ended, "end"); err != nil {
		t.Errorf("it ended with %v", err)
	}
	p.ended <- nil // for the cleanup
	if _, err := bufio.NewReader(c).ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("error %v on a connection without a request, want its end", err)
	}
}

func TestRunFailsWhenAddressIsInUse(t *testing.T) {
	l := testserver.Listen(t)
	c, err := loadConfig(t, testserver.ConfigText("127.0.0.1:9", "", testserver.Settings), "PROXY_LISTEN="+l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := Run(context.Background(), nil, c, slog.New(slog.DiscardHandler), nil); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("error %v", err)
	}
}

package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestReadyOnceAServerIsKnown: a process that starts without an endpoint list is ready once discovery has sent one.
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
		t.Errorf("query %q without an endpoint list", w.Query)
	}
	w.Lines <- testserver.ServingList(1, testserver.StartBackend(t, testserver.NeverRespond))
	testserver.Eventually(t, func() string {
		if status := health(); status != 200 {
			return fmt.Sprintf("status %d, want ready", status)
		}
		return ""
	})
}

// TestReadyWhileDiscoveryIsDown: a process that starts with an endpoint list is ready immediately although discovery
// does not respond. It serves from that list, and requests are not delayed by a listed server that is gone.
func TestReadyWhileDiscoveryIsDown(t *testing.T) {
	b, gone := startBackend(t, "ok"), &testserver.Backend{Address: unusedAddress(t)}
	silent := testserver.Listen(t) // accepts connections and does not respond
	known := testserver.ServingList(1, b, gone)
	p := start(t, testserver.ConfigText(silent.Addr().String(), known, testserver.Settings))
	resp, err := p.HTTP.Get("http://" + p.Address + "/healthz")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("response %+v, error %v, want ready", resp, err)
	}
	resp.Body.Close()
	for range 4 {
		if got := p.Send("pay"); got.Body != "ok" {
			t.Errorf("response %+v with an old endpoint list", got)
		}
	}
}

// TestStopBeforeReadyEndsAtOnce: a process that is stopped before it has an endpoint list ends immediately.
func TestStopBeforeReadyEndsAtOnce(t *testing.T) {
	p := start(t, testserver.ConfigText(testserver.Listen(t).Addr().String(), "", testserver.Settings))
	c := p.DialConn()
	p.waitForOpenConns(1)
	p.stop()
	p.expectCleanExit()
	if _, err := bufio.NewReader(c).ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("error %v on a connection without a request, want EOF", err)
	}
}

// TestRunFailsWhenAddressIsInUse: Run fails if another listener uses the client address.
func TestRunFailsWhenAddressIsInUse(t *testing.T) {
	l := testserver.Listen(t)
	text := testserver.ConfigText("127.0.0.1:9", "", testserver.Settings)
	c, err := loadConfig(t, text, "PROXY_LISTEN="+l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	err = Run(context.Background(), nil, c, slog.New(slog.DiscardHandler), nil)
	if err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("error %v, want a listen error", err)
	}
}

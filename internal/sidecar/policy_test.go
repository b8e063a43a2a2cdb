package sidecar

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/proxy"
)

// fakePart is a part in a fleet that has a policy, and whose word a test gives.
type fakePart struct {
	told Callbacks
	base map[string]any // the sidecar's own settings, but for its place

	mu     sync.Mutex
	number uint64
	wait   time.Duration
	ok     bool
	looks  int
	after  int // looks behind which the next number is in force; 0: it does not change
}

func (f *fakePart) Address() string { return "" }
func (f *fakePart) CaughtUp() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}
func (f *fakePart) Ready(context.Context) (bool, string)              { return true, "" }
func (f *fakePart) UpdateServers([]ListedServer)                      {}
func (f *fakePart) Observe(string, balance.Observation)               {}
func (f *fakePart) KnowsServer(context.Context, string) (bool, error) { return false, nil }
func (f *fakePart) SetAdminDown(context.Context, string, bool, bool) (int, int, error) {
	return 0, 0, nil
}
func (f *fakePart) Status(context.Context) ([]byte, error)        { return nil, nil }
func (f *fakePart) WriteMetrics(context.Context, io.Writer) error { return nil }
func (f *fakePart) Close() error                                  { return nil }
func (f *fakePart) Policy() proxy.Policy                          { return f }
func (f *fakePart) Handler() http.Handler                         { return http.NotFoundHandler() }

// Serves implements Policy.
func (f *fakePart) Serves() (uint64, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.looks++; f.after > 0 && f.looks > f.after {
		f.after = 0
		f.number++
	}
	return f.number, f.wait, f.ok
}

func (f *fakePart) set(number uint64, wait time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number, f.wait, f.ok = number, wait, ok
}

// join is a Join.
func (f *fakePart) join(c *config.Config, _ []string, _ *slog.Logger, told Callbacks) (Participant, error) {
	f.told, f.base = told, maps.Clone(c.SettingsDocument())
	for _, key := range proxy.OwnSettingKeys {
		delete(f.base, key)
	}
	return f, nil
}

// document is the own settings without a class; "": with all.
func (f *fakePart) document(t *testing.T, without string) []byte {
	t.Helper()
	tree := maps.Clone(f.base)
	classes := slices.Clone(tree["request_classes"].([]any))
	tree["request_classes"] = slices.DeleteFunc(classes, func(c any) bool { return c.(map[string]any)["name"] == without })
	text, err := json.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// check has the sidecar check a document and fails where it says otherwise.
func (f *fakePart) check(t *testing.T, number uint64, text []byte, fault string) {
	t.Helper()
	if got := f.told.CheckPolicy(number, text); (got == "") != (fault == "") || !strings.Contains(got, fault) {
		t.Errorf("policy %d: %q, want %q", number, got, fault)
	}
}

// TestGate: requests are taken under the policy in force alone, wait for the next where that is soon, and are refused
// where there is no promise.
func TestGate(t *testing.T) {
	b, f := testserver.StartBackend(t, testserver.Respond(200, "", "ok")), &fakePart{}
	p := startIn(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings), drainTimes{quietPeriod: time.Millisecond}, f.join)
	ask := func(class string, status int, policy string) {
		t.Helper()
		resp, err := p.HTTP.Do(p.NewRequest(context.Background(), class, "2000"))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != status || resp.Header.Get(proxy.PolicyHeader) != policy {
			t.Errorf("%s: status %d under %q, want %d under %q", class, resp.StatusCode, resp.Header.Get(proxy.PolicyHeader), status, policy)
		}
	}
	ask("read", 503, "") // nobody has promised anything
	if ready, why := p.staff.Ready(); ready || !strings.Contains(why, "policy") {
		t.Errorf("ready %v: %s", ready, why)
	}
	f.set(3, 0, true)
	ask("read", 503, "") // in force, and not checked here
	f.check(t, 3, f.document(t, ""), "")
	ask("read", 200, "3")
	ask("pay", 200, "3")
	f.check(t, 4, f.document(t, "pay"), "")
	ask("pay", 200, "3") // checked is not in force
	f.set(4, 0, true)
	ask("pay", 400, "")
	ask("read", 200, "4")
	f.set(0, 300*time.Millisecond, false)
	time.AfterFunc(50*time.Millisecond, func() { f.set(4, 0, true) }) // within the wait
	ask("read", 200, "4")
	f.set(0, 0, false)
	ask("read", 503, "")
	f.set(4, 0, true)
	sent := b.RequestCount()
	f.mu.Lock()
	f.looks, f.after = 0, 1 // in force when the head is read, and over when the request is to be taken
	f.mu.Unlock()
	f.check(t, 5, f.document(t, ""), "")
	ask("read", 200, "5")
	if n := b.RequestCount() - sent; n != 1 {
		t.Errorf("%d attempts, want one", n)
	}
	f.check(t, 6, []byte("{"), "JSON")
	f.check(t, 6, []byte(`{"my_zone":"z"}`), "my_zone")
	f.check(t, 6, []byte(`{}`), "missing")
}

// TestGateWhileABodyComes: a request whose class is gone when its body is there is not taken.
func TestGateWhileABodyComes(t *testing.T) {
	b, f := testserver.StartBackend(t, testserver.Respond(200, "", "ok")), &fakePart{}
	p := startIn(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings), drainTimes{quietPeriod: time.Millisecond}, f.join)
	f.check(t, 1, f.document(t, ""), "")
	f.check(t, 2, f.document(t, "pay"), "")
	f.set(1, 0, true)
	c, err := net.Dial("tcp", p.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: q-1\r\nX-Priority-Class: pay\r\nX-Timeout-Ms: 5000\r\nContent-Length: 2\r\n\r\na"); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testserver.Timeout); ; time.Sleep(time.Millisecond) { // until its head has been read
		f.mu.Lock()
		read := f.looks > 0 && p.staff.loop.PolicyNumber() == 1
		f.mu.Unlock()
		if read {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the head was never read")
		}
	}
	f.set(2, 0, true)
	if _, err := io.WriteString(c, "b"); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 12)
	if _, err := io.ReadFull(c, answer); err != nil || string(answer) != "HTTP/1.1 400" {
		t.Errorf("%q, error %v", answer, err)
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d attempts of a class that is gone", n)
	}
}

// TestGateAndFile: a file whose settings are not the policy's is turned down, and one whose are may move discovery.
func TestGateAndFile(t *testing.T) {
	b, f, d := testserver.StartBackend(t, testserver.Respond(200, "", "ok")), &fakePart{}, testserver.StartDiscovery(t)
	good := testserver.ConfigText(d.Address, testserver.ServingList(1, b), testserver.Settings)
	p := startIn(t, good, drainTimes{quietPeriod: time.Millisecond}, f.join)
	f.check(t, 1, f.document(t, ""), "")
	f.check(t, 2, f.document(t, "pay"), "")
	f.set(1, 0, true)
	p.Send("read")
	testserver.Receive(t, d.Watches, "a watch")
	next := testserver.StartDiscovery(t)
	p.hangup(testserver.ConfigText(next.Address, testserver.ServingList(1, b), testserver.Settings))
	testserver.Receive(t, next.Watches, "a watch at the new address")
	p.figuresAre("loads", "1", "load_errors", "0")
	f.set(2, 0, true)
	p.Send("read")
	p.hangup(good)
	p.figuresAre("loads", "1", "load_errors", "1")
}

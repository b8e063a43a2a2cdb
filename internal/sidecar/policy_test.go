package sidecar

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/proxy"
)

// TestRequestsAreAdmittedOnlyUnderPolicyInForce: requests are admitted only under the policy in force. They wait for
// the next policy if it comes into force soon, and are rejected without a lease.
func TestRequestsAreAdmittedOnlyUnderPolicyInForce(t *testing.T) {
	b, f := startBackend(t, "ok"), &fakeParticipant{}
	p := startWith(t, configFor(t, b), startOptions{join: f.join})
	expectResponse := func(class string, status int, policy string) {
		t.Helper()
		resp, err := p.HTTP.Do(p.NewRequest(context.Background(), class, "2000"))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != status || resp.Header.Get(proxy.PolicyHeader) != policy {
			t.Errorf("%s: status %d under %q, want %d under %q",
				class, resp.StatusCode, resp.Header.Get(proxy.PolicyHeader), status, policy)
		}
	}
	expectResponse("read", 503, "") // the sidecar has no lease
	if ready, reason := p.operator.Ready(); ready || !strings.Contains(reason, "policy") {
		t.Errorf("ready %v: %s", ready, reason)
	}
	f.setPolicy(3, 0, true)
	expectResponse("read", 503, "") // the policy is in force, but this sidecar has not checked it
	f.expectCheck(t, 3, f.policyDocument(t, ""), "")
	expectResponse("read", 200, "3")
	expectResponse("pay", 200, "3")
	f.expectCheck(t, 4, f.policyDocument(t, "pay"), "")
	expectResponse("pay", 200, "3") // the checked policy is not in force yet
	f.setPolicy(4, 0, true)
	expectResponse("pay", 400, "")
	expectResponse("read", 200, "4")
	f.setPolicy(0, 300*time.Millisecond, false)
	time.AfterFunc(50*time.Millisecond, func() { f.setPolicy(4, 0, true) }) // before the wait for a policy ends
	expectResponse("read", 200, "4")
	f.setPolicy(0, 0, false)
	expectResponse("read", 503, "")
	f.setPolicy(4, 0, true)
	sent := b.RequestCount()
	f.mu.Lock()
	f.reads, f.advanceAfter = 0, 1 // the policy changes between the read of the head and the admission
	f.mu.Unlock()
	f.expectCheck(t, 5, f.policyDocument(t, ""), "")
	expectResponse("read", 200, "5")
	if n := b.RequestCount() - sent; n != 1 {
		t.Errorf("%d attempts, want one", n)
	}
	f.expectCheck(t, 6, []byte("{"), "JSON")
	f.expectCheck(t, 6, []byte(`{"my_zone":"z"}`), "my_zone")
	f.expectCheck(t, 6, []byte(`{}`), "missing")
}

// TestRequestOfRemovedClassIsRejectedAfterItsBody: a request whose class is removed while its body is received is
// rejected.
func TestRequestOfRemovedClassIsRejectedAfterItsBody(t *testing.T) {
	b, f := startBackend(t, "ok"), &fakeParticipant{}
	p := startWith(t, configFor(t, b), startOptions{join: f.join})
	f.expectCheck(t, 1, f.policyDocument(t, ""), "")
	f.expectCheck(t, 2, f.policyDocument(t, "pay"), "")
	f.setPolicy(1, 0, true)
	c, err := net.Dial("tcp", p.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const start = "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: q-1\r\nX-Priority-Class: pay\r\n" +
		"X-Timeout-Ms: 5000\r\nContent-Length: 2\r\n\r\na"
	if _, err := io.WriteString(c, start); err != nil {
		t.Fatal(err)
	}
	testserver.Eventually(t, func() string {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.reads == 0 || p.operator.loop.PolicyNumber() != 1 {
			return "the head was not read"
		}
		return ""
	})
	f.setPolicy(2, 0, true)
	if _, err := io.WriteString(c, "b"); err != nil {
		t.Fatal(err)
	}
	response := make([]byte, 12)
	if _, err := io.ReadFull(c, response); err != nil || string(response) != "HTTP/1.1 400" {
		t.Errorf("response %q, error %v, want status 400", response, err)
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d attempts of a removed class", n)
	}
}

// TestReloadMustMatchPolicyInForce: a file whose settings differ from the policy in force is rejected. A file with the
// same settings may change the discovery address.
func TestReloadMustMatchPolicyInForce(t *testing.T) {
	b, f, d := startBackend(t, "ok"), &fakeParticipant{}, testserver.StartDiscovery(t)
	good := testserver.ConfigText(d.Address, testserver.ServingList(1, b), testserver.Settings)
	p := startWith(t, good, startOptions{join: f.join})
	f.expectCheck(t, 1, f.policyDocument(t, ""), "")
	f.expectCheck(t, 2, f.policyDocument(t, "pay"), "")
	f.setPolicy(1, 0, true)
	p.Send("read")
	testserver.Receive(t, d.Watches, "a watch")
	next := testserver.StartDiscovery(t)
	p.reload(testserver.ConfigText(next.Address, testserver.ServingList(1, b), testserver.Settings))
	testserver.Receive(t, next.Watches, "a watch at the new address")
	p.expectMetrics("loads", "1", "load_errors", "0")
	f.setPolicy(2, 0, true)
	p.Send("read")
	p.reload(good)
	p.expectMetrics("loads", "1", "load_errors", "1")
}

//go:build go1.25

package sidecar

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestIncompleteRequestsOfHalfClosedClientAreNotForwarded has a client leave while its request is read, or waits for a
// policy with more requests behind it: nothing is forwarded.
func TestIncompleteRequestsOfHalfClosedClientAreNotForwarded(t *testing.T) {
	b, f := testserver.StartBackend(t, testserver.Respond(200, "", "ok")), &fakeParticipant{}
	p := startIn(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings), drainTimes{quietPeriod: time.Millisecond}, f.join)
	f.expectCheck(t, 1, f.policyDocument(t, ""), "")
	f.setPolicy(1, 0, true)
	pay := testserver.RequestHead("POST", "gone", "pay")
	for _, tt := range []struct {
		name, text string
		waits      bool // for a policy
	}{
		{"in a head", pay, false},
		{"in a body", pay + "Content-Length: 8\r\n\r\nhalf", false},
		{"in chunks", pay + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false},
		{"before a policy", strings.Repeat(pay+"Content-Length: 4\r\n\r\nskip", 50), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f.setPolicy(1, 20*time.Millisecond, !tt.waits)
			c := p.DialConn()
			if _, err := io.WriteString(c, tt.text); err != nil {
				t.Fatal(err)
			}
			p.waitForUsedConns(map[bool]int{true: 1}[tt.waits])
			if err := c.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			f.setPolicy(1, 0, true)
			if _, err := io.Copy(io.Discard, c); err != nil {
				t.Errorf("error %v behind the last response", err)
			}
		})
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d requests were forwarded for clients that had left", n)
	}
	if got := p.Send("pay"); got.Status != 200 {
		t.Errorf("response %+v to one that stays", got)
	}
}

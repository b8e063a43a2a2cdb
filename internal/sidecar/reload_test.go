package sidecar

import (
	"context"
	"net"
	"strings"
	"syscall"
	"testing"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestReloadSwitchesDiscovery changes the discovery address by reloads twice, the second time to an address that is not
// reachable at first, and once more during a drain.
func TestReloadSwitchesDiscovery(t *testing.T) {
	release := make(chan struct{})
	one := startBlockingBackend(t, release, isPost, "one")
	two, three := startBackend(t, "two"), startBackend(t, "three")
	a, b := testserver.StartDiscovery(t), testserver.StartDiscovery(t)
	p := start(t, testserver.ConfigText(a.Address, testserver.ServingList(41, one), testserver.Settings))
	first := testserver.Receive(t, a.Watches, "watch")
	p.switchDiscovery(b.Address, a.Address)
	second := testserver.Receive(t, b.Watches, "watch at the new address")
	if second.Query != "watch=1" {
		t.Errorf("query %q at the new address, want a request for the complete list", second.Query)
	}
	first.Lines <- testserver.ListText(42, false, testserver.EndpointEntry("s-0", two.Address, "SERVING", 0))
	p.sendUntilBody("two") // the old address is used until the new one has responded
	close(first.Lines)
	second.Lines <- testserver.ListText(7, true, testserver.EndpointEntry("s-0", three.Address, "SERVING", 0))
	p.sendUntilBody("three")

	address := unusedAddress(t)
	p.switchDiscovery(address, b.Address)
	inner, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c := testserver.ServeDiscovery(t, inner)
	third := testserver.Receive(t, c.Watches, "watch at an address that comes up late")
	third.Lines <- testserver.ListText(1, true, testserver.EndpointEntry("s-0", one.Address, "SERVING", 0))
	p.sendUntilBody("one")
	if len(a.Watches) != 0 || len(b.Watches) != 0 {
		t.Error("a former address got another watch")
	}
	close(third.Lines)
	if again := testserver.Receive(t, c.Watches, "watch after the end of one"); again.Query != "watch=1&from=1" {
		t.Errorf("query %q after the end of a watch", again.Query)
	}

	inFlight := p.sendAsync(context.Background(), "book")
	for !isPost(testserver.Receive(t, one.Requests, "request")) { // skip the earlier reads
	}
	p.stop()
	p.switchDiscovery(b.Address, address)
	testserver.Receive(t, b.Watches, "watch while draining")
	close(release)
	if got := testserver.Receive(t, inFlight, "response"); got.Body != "one" {
		t.Errorf("response %+v while draining", got)
	}
}

// TestReloadOfInvalidOrSameFileChangesNothing: reloading an invalid or an unchanged file does not restart the discovery
// watch.
func TestReloadOfInvalidOrSameFileChangesNothing(t *testing.T) {
	b := startBackend(t, "ok")
	d, other := testserver.StartDiscovery(t), testserver.StartDiscovery(t)
	text := testserver.ConfigText(d.Address, testserver.ServingList(1, b), testserver.Settings)
	p := start(t, text)
	w := testserver.Receive(t, d.Watches, "watch")
	for _, bad := range []string{"{", strings.Replace(text, d.Address, "nowhere", 1), text} {
		writeFile(t, p.configFile, bad)
		p.reloadSignals <- syscall.SIGHUP
	}
	w.Lines <- testserver.ListText(2, false)
	p.switchDiscovery(other.Address, d.Address)
	testserver.Receive(t, other.Watches, "watch after a valid file")
	if got := p.Send("pay"); got.Body != "ok" || len(d.Watches) != 0 {
		t.Errorf("response %+v, %d new watches at the old address", got, len(d.Watches))
	}
}

// TestLastOfFiveReloadsWins: five reloads in quick succession name five discovery addresses. Only the endpoint list of
// the last one is used, and requests are served the whole time.
func TestLastOfFiveReloadsWins(t *testing.T) {
	one, two := startBackend(t, "one"), startBackend(t, "two")
	previous := testserver.StartDiscovery(t)
	p := start(t, testserver.ConfigText(previous.Address, testserver.ServingList(1, one), testserver.Settings))
	old := testserver.Receive(t, previous.Watches, "watch")
	address := previous.Address
	var next []*testserver.Discovery
	for range 5 {
		d := testserver.StartDiscovery(t)
		p.switchDiscovery(d.Address, address)
		address, next = d.Address, append(next, d)
		if got := p.Send("read"); got.Body != "one" {
			t.Errorf("response %+v between two reloads", got)
		}
	}
	w := testserver.Receive(t, next[4].Watches, "watch at the last address")
	old.Lines <- testserver.ListText(2, false, testserver.EndpointEntry("s-9", one.Address, "SERVING", 0))
	w.Lines <- testserver.ServingList(1, two)
	p.sendUntilBody("two")
	for _, d := range next[:4] { // late lists from the addresses in between
		for len(d.Watches) > 0 {
			(<-d.Watches).Lines <- testserver.ServingList(9, one)
		}
	}
	for range 20 {
		if got := p.Send("read"); got.Body != "two" {
			t.Errorf("response %+v, want the last address's server", got)
		}
	}
}

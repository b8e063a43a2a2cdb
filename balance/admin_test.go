package balance

import (
	"slices"
	"testing"
	"time"
)

// countByEndpoint sends n requests a millisecond apart, each served at once, and counts the attempts by
// endpoint.
func countByEndpoint(b *Balancer, h *host, n int) map[string]int {
	got := map[string]int{}
	for range n {
		h.now += time.Millisecond
		b.Request(h.now, Request{ID: RequestID(h.now), Tenant: -1, Timeout: 3 * time.Second})
		for _, s := range h.sent {
			got[s.to]++
		}
		h.finishAttempts(b, h.now, Served)
	}
	return got
}

// TestAdminDownOutlastsDiscovery checks that an endpoint that is administratively down gets no request,
// whatever discovery reports. When it is put back in service it counts as newly started.
func TestAdminDownOutlastsDiscovery(t *testing.T) {
	list := []Endpoint{
		{ID: "a", Zone: "x", Kind: "big", Weight: 1},
		{ID: "b", Zone: "x", Kind: "big", Weight: 1},
	}
	restarted := slices.Clone(list)
	for _, tt := range []struct {
		name string
		do   func(b *Balancer, h *host)
	}{
		{"no list", func(*Balancer, *host) {}},
		{"set down again", func(b *Balancer, h *host) { b.SetAdminDown(h.now, "a", true) }},
		{"complete list", func(b *Balancer, h *host) { b.Endpoints(h.now, ListFull, list) }},
		{"ready again", func(b *Balancer, h *host) { b.Endpoints(h.now, ListChanges, list[:1]) }},
		{"draining, then ready", func(b *Balancer, h *host) {
			b.Endpoints(h.now, ListChanges, []Endpoint{{ID: "a", Zone: "x", Kind: "big", Weight: 1, State: Draining}})
			b.Endpoints(h.now, ListChanges, list[:1])
		}},
		{"removed and listed again", func(b *Balancer, h *host) {
			b.Endpoints(h.now, ListFull, list[1:])
			b.Endpoints(h.now, ListFull, list)
		}},
		{"restarted", func(b *Balancer, h *host) {
			restarted[0].Started = h.now
			b.Endpoints(h.now, ListFull, restarted)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b, h := start(t, settings(), list)
			if got := countByEndpoint(b, h, 100); got["a"] == 0 {
				t.Fatal("endpoint a got no attempts before it was set administratively down")
			}
			if !b.SetAdminDown(h.now, "a", true) {
				t.Fatal("SetAdminDown reports a listed endpoint as unknown")
			}
			tt.do(b, h)
			if got := countByEndpoint(b, h, 200); got["a"] != 0 || got["b"] != 200 {
				t.Errorf("attempts %v while a is administratively down", got)
			}
			if listed, avoided := b.CountEndpoints(h.now); listed != 2 || avoided != 1 {
				t.Errorf("%d listed, %d avoided, want 2 and 1", listed, avoided)
			}
			for range 2 {
				if !b.SetAdminDown(h.now, "a", false) {
					t.Error("SetAdminDown reports endpoint a as unknown when it is put back in service")
				}
			}
			if e := b.known["a"]; e.Started != h.now {
				t.Errorf("endpoint put back in service at %v counts as started at %v", h.now, e.Started)
			}
			b.Endpoints(h.now, ListFull, restarted) // an earlier start that is reported late does not end slow start
			if e := b.known["a"]; e.Started != h.now {
				t.Errorf("after a list the endpoint counts as started at %v, want %v", e.Started, h.now)
			}
			if got := countByEndpoint(b, h, 1000); got["a"] == 0 || got["a"] > 450 {
				t.Errorf("attempts %v in the first second after a is back in service, while it warms up", got)
			}
		})
	}
}

// TestSetAdminDownOfUnknownEndpoint checks that an ID that is neither listed nor administratively down is
// reported as unknown.
func TestSetAdminDownOfUnknownEndpoint(t *testing.T) {
	b, h := start(t, settings(), twoEndpoints())
	for _, down := range []bool{true, false} {
		if b.SetAdminDown(h.now, "nobody", down) {
			t.Errorf("down %v: the ID of no endpoint is reported as known", down)
		}
	}
	b.SetAdminDown(h.now, "a", true)
	b.Endpoints(h.now, ListFull, twoEndpoints()[1:])
	if !b.SetAdminDown(h.now, "a", true) || !b.SetAdminDown(h.now, "a", false) {
		t.Error("an endpoint that is administratively down and no longer listed is reported as unknown")
	}
	if b.SetAdminDown(h.now, "a", false) {
		t.Error("an endpoint that is neither listed nor administratively down is reported as known")
	}
	b.Endpoints(h.now, ListFull, twoEndpoints())
	if e := b.known["a"]; e.Started != h.now {
		t.Error("an endpoint put back in service while not listed does not warm up once it is listed")
	}
}

// TestRequestIsRejectedIfAllAreAdminDown checks that a request is rejected at once if all endpoints are
// administratively down.
func TestRequestIsRejectedIfAllAreAdminDown(t *testing.T) {
	b, h := start(t, settings(), twoEndpoints())
	b.AdoptAdminDown(h.now, []string{"a", "b", "later"})
	b.Request(h.now, Request{ID: 1, Tenant: -1, Timeout: time.Second})
	if len(h.sent) != 0 || len(h.rejected) != 1 {
		t.Errorf("%d attempts, %d rejections, want 0 and 1", len(h.sent), len(h.rejected))
	}
	if got := b.AdminDown(); !slices.Equal(got, []string{"a", "b", "later"}) {
		t.Errorf("administratively down: %v", got)
	}
	b.Endpoints(h.now, ListChanges, []Endpoint{{ID: "later", Zone: "x", Kind: "big", Weight: 1}})
	if b.Request(h.now, Request{ID: 2, Tenant: -1, Timeout: time.Second}); len(h.sent) != 0 {
		t.Errorf("attempts %v at an endpoint that was adopted as administratively down", h.sent)
	}
}

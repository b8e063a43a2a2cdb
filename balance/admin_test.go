package balance

import (
	"slices"
	"testing"
	"time"
)

// countByEndpoint plays n requests a millisecond apart, each answered at once, and counts attempts by endpoint.
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

// TestAdminDownOutlastsDiscovery: an endpoint that is administratively down gets no request, whatever discovery
// reports of it. Once it is up again it counts as just started.
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
		{"a full list", func(b *Balancer, h *host) { b.Endpoints(h.now, ListFull, list) }},
		{"ready again", func(b *Balancer, h *host) { b.Endpoints(h.now, ListChanges, list[:1]) }},
		{"drained and ready", func(b *Balancer, h *host) {
			b.Endpoints(h.now, ListChanges, []Endpoint{{ID: "a", Zone: "x", Kind: "big", Weight: 1, State: Draining}})
			b.Endpoints(h.now, ListChanges, list[:1])
		}},
		{"gone and back", func(b *Balancer, h *host) {
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
				t.Fatal("it was never used before")
			}
			if !b.SetAdminDown(h.now, "a", true) {
				t.Fatal("it is unknown")
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
					t.Error("it is unknown when it is set up, or again")
				}
			}
			if e := b.known["a"]; e.Started != h.now {
				t.Errorf("set up at %v it counts as started at %v", h.now, e.Started)
			}
			b.Endpoints(h.now, ListFull, restarted) // an old start that is reported late does not make it warmed up
			if e := b.known["a"]; e.Started != h.now {
				t.Errorf("after a list it counts as started at %v, want %v", e.Started, h.now)
			}
			if got := countByEndpoint(b, h, 1000); got["a"] == 0 || got["a"] > 450 {
				t.Errorf("attempts %v in the first second after a is up, warming up", got)
			}
		})
	}
}

// TestSetAdminDownOfUnknownEndpoint: an id that is neither listed nor administratively down is reported as unknown.
func TestSetAdminDownOfUnknownEndpoint(t *testing.T) {
	b, h := start(t, settings(), twoEndpoints())
	for _, down := range []bool{true, false} {
		if b.SetAdminDown(h.now, "nobody", down) {
			t.Errorf("down %v: an id that no endpoint has is known", down)
		}
	}
	b.SetAdminDown(h.now, "a", true)
	b.Endpoints(h.now, ListFull, twoEndpoints()[1:])
	if !b.SetAdminDown(h.now, "a", true) || !b.SetAdminDown(h.now, "a", false) {
		t.Error("one that is administratively down has left the list, and is unknown")
	}
	if b.SetAdminDown(h.now, "a", false) {
		t.Error("one that is neither listed nor administratively down is known")
	}
	b.Endpoints(h.now, ListFull, twoEndpoints())
	if e := b.known["a"]; e.Started != h.now {
		t.Error("set up while it was not listed, it is not warming up once it is listed")
	}
}

// TestRequestIsRejectedIfAllAreAdminDown: with all endpoints administratively down, a request is rejected at once.
func TestRequestIsRejectedIfAllAreAdminDown(t *testing.T) {
	b, h := start(t, settings(), twoEndpoints())
	b.AdoptAdminDown(h.now, []string{"a", "b", "later"})
	b.Request(h.now, Request{ID: 1, Tenant: -1, Timeout: time.Second})
	if len(h.sent) != 0 || len(h.rejected) != 1 {
		t.Errorf("%d attempts, %d rejections, want a rejection alone", len(h.sent), len(h.rejected))
	}
	if got := b.AdminDown(); !slices.Equal(got, []string{"a", "b", "later"}) {
		t.Errorf("administratively down are %v", got)
	}
	b.Endpoints(h.now, ListChanges, []Endpoint{{ID: "later", Zone: "x", Kind: "big", Weight: 1}})
	if b.Request(h.now, Request{ID: 2, Tenant: -1, Timeout: time.Second}); len(h.sent) != 0 {
		t.Errorf("an attempt at %v, which was adopted as administratively down", h.sent)
	}
}

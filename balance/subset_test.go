package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// fleet lists n alike endpoints of one group.
func fleet(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%04d", i), Zone: "x", Kind: "big", Weight: 1})
	}
	return list
}

// startSidecar starts number self of peers on a fleet.
func startSidecar(t *testing.T, self, peers int, list []Endpoint) (*Balancer, *host) {
	t.Helper()
	set := settings()
	set.Ordinal, set.Peers, set.Seed = self, peers, uint64(self)
	return start(t, set, list)
}

func ids(members []*endpoint) (out []string) {
	for _, e := range members {
		out = append(out, e.ID)
	}
	return out
}

func TestSubsetsSpreadEvenly(t *testing.T) {
	const peers, servers = 1000, 200
	list := fleet(servers)
	users := map[string]int{}
	for self := range peers {
		b, _ := startSidecar(t, self, peers, list)
		if n := len(b.active); n != minSubsetSize {
			t.Fatalf("an idle sidecar uses %d endpoints, want %d", n, minSubsetSize)
		}
		for _, e := range b.active {
			users[e.ID]++
		}
	}
	mean := peers * minSubsetSize / servers
	for _, e := range list {
		if n := users[e.ID]; n < mean-2 || n > mean+2 {
			t.Errorf("%s is used by %d sidecars, want about %d", e.ID, n, mean)
		}
	}
}

func TestSubsetSizeFollowsTraffic(t *testing.T) {
	b, h := startSidecar(t, 3, 10, fleet(200))
	first := ids(b.active)
	for range 300 { // 30 s of 10 requests a second
		h.now += tickInterval
		b.Timer(h.now, tokenTick)
		serveRequests(b, h, 1, 10*time.Millisecond)
	}
	if n, want := len(b.active), 10*decayTimeConstant.Seconds(); float64(n) < want*0.8 || float64(n) > want*1.2 {
		t.Errorf("at 10 requests a second %d endpoints are used, want about %.0f", n, want)
	}
	if got := ids(b.active); !slices.Equal(got[:len(first)], first) {
		t.Errorf("a wider subset begins with %v, the narrow one was %v", got[:len(first)], first)
	}
}

func TestSubsetReplacesEjectedEndpoints(t *testing.T) {
	b, h := startSidecar(t, 3, 10, fleet(200))
	first := ids(b.active)
	for range 4 {
		for i := RequestID(0); i < minSubsetSize && len(h.logs) == 0; i++ {
			id := i + RequestID(h.now)
			if to := sendRequest(b, h, id); to != "" {
				outcome := Served
				if to == first[0] {
					outcome = Errored
				}
				b.Result(h.now, Result{ID: id, Endpoint: to, Outcome: outcome, Took: time.Millisecond, Finished: true})
			}
			h.now += time.Millisecond
		}
	}
	if len(h.logs) != 1 {
		t.Fatalf("%d ejections, want 1", len(h.logs))
	}
	if n, want := len(b.active), int(math.Ceil(b.arrivals))+1; n != want {
		t.Errorf("%d endpoints are used with one ejected, want %d", n, want)
	}
}

func TestAddedEndpointMovesFewSubsetMembers(t *testing.T) {
	const servers = 200
	moved := 0
	for self := range 100 {
		b, h := startSidecar(t, self, 100, fleet(servers))
		before := ids(b.active)
		b.Endpoints(h.now, ListChanges, []Endpoint{{ID: "s0100x", Zone: "x", Kind: "big", Weight: 1}})
		for _, id := range ids(b.active) {
			if !slices.Contains(before, id) {
				moved++
			}
		}
	}
	if moved > 100 {
		t.Errorf(
			"one more endpoint among %d moved %d members of 100 subsets, want one a subset at most",
			servers,
			moved,
		)
	}
}

// TestColdEndpointAmongManySidecars guards rule 4: what all sidecars together send to a cold endpoint stays
// within its turns, also when each has nowhere else to go, whatever their number, and with none of them
// knowing it.
func TestColdEndpointAmongManySidecars(t *testing.T) {
	const seconds = 2
	for _, peers := range []int{5, 100, 1000} {
		list := fleet(20)
		var cold, all float64
		for self := range peers {
			b, h := startSidecar(t, self, peers, list)
			fresh := list[0]
			fresh.Started = h.now
			b.Endpoints(h.now, ListChanges, []Endpoint{fresh})
			id := RequestID(0)
			for tick := range seconds * 10 {
				h.now += tickInterval
				b.Timer(h.now, tokenTick)
				for share := 8000 / peers * (self % 2); int(id)*seconds*10 < share*(tick+1); {
					id++ // half of the sidecars carry all traffic
					to := sendRequest(b, h, id)
					if all++; to == fresh.ID {
						cold++
					}
					if to != "" { // all others turn requests away at once
						outcome := Saturated
						if to == fresh.ID {
							outcome = Served
						}
						b.Result(h.now, Result{ID: id, Endpoint: to, Outcome: outcome, Took: time.Millisecond})
					}
				}
			}
		}
		// The mean endpoint gets one of 20 requests, and each request may be tried three times.
		warm := settings().SlowStartCapacity + (1-settings().SlowStartCapacity)*seconds/settings().SlowStartWindow.Seconds()
		if most := all / 20 * 3 * warm; cold > most {
			t.Errorf(
				"%d sidecars sent %.0f of %.0f requests to a cold endpoint, want %.0f at most",
				peers,
				cold,
				all,
				most,
			)
		}
	}
}

// pollingHost records when a Balancer is to call discovery.
type pollingHost struct {
	host
	after time.Duration
}

func (a *pollingHost) Timer(after time.Duration, token uint64) {
	if token == tokenDiscovery {
		a.after = after
	}
}

func TestFirstDiscoveryCallsAreSpread(t *testing.T) {
	set := settings()
	set.PollDiscovery, set.MaxListAge, set.Peers = true, 10*time.Second, 1000
	seconds := make([]int, set.MaxListAge/2/time.Second)
	for set.Ordinal = range set.Peers {
		a := &pollingHost{}
		if _, err := New(set, a); err != nil {
			t.Fatal(err)
		}
		if a.after < 0 || a.after >= set.MaxListAge/2 {
			t.Fatalf("sidecar %d calls after %v, want half of MustAsk at most", set.Ordinal, a.after)
		}
		seconds[a.after/time.Second]++
	}
	for i, n := range seconds {
		if n < 150 || n > 250 {
			t.Errorf("%d of 1000 sidecars call in second %d, want about 200", n, i)
		}
	}
}

// TestColdFleetServesRequests guards the time after a power cut: where every endpoint has just started, requests still go
// out, and none of the endpoints gets much more than its share. Danger: turns kept to the letter leave
// nearly every request without one.
func TestColdFleetServesRequests(t *testing.T) {
	set := settings()
	set.Zones = []string{"x", "y", "z"}
	var list []Endpoint
	for i := range 12 {
		list = append(
			list,
			Endpoint{ID: string(rune('a' + i)), Zone: set.Zones[i%3], Kind: set.Kinds[i/6], Weight: 1,
				Started: time.Minute},
		)
	}
	b, h := start(t, set, list)
	got := map[string]int{}
	const requests = 300
	for i := range RequestID(requests) {
		h.now += 10 * time.Millisecond
		if i%10 == 0 {
			b.Timer(h.now, tokenTick)
		}
		b.Request(h.now, Request{ID: i, Tenant: -1, Timeout: time.Second})
		for _, s := range h.sent {
			got[s.to]++
		}
		h.finishAttempts(b, h.now, Served)
	}
	if n := len(h.rejected); n > requests/20 {
		t.Errorf("%d of %d requests are refused while all endpoints are idle and cold", n, requests)
	}
	for id, n := range got {
		if most := maxOverflowShares*requests/12 + 2; float64(n) > most {
			t.Errorf("cold endpoint %s got %d requests, want %.0f at most", id, n, most)
		}
	}
}

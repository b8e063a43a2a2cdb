package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// fleet returns n equal endpoints of one group.
func fleet(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%04d", i), Zone: "x", Kind: "big", Weight: 1})
	}
	return list
}

// startSidecar starts the sidecar with ordinal self of a number of peers.
func startSidecar(t *testing.T, self, peers int, list []Endpoint) (*Balancer, *host) {
	t.Helper()
	set := settings()
	set.Ordinal, set.Peers, set.Seed = self, peers, uint64(self)
	return start(t, set, list)
}

// ids returns the IDs of the members.
func ids(members []*endpoint) (out []string) {
	for _, e := range members {
		out = append(out, e.ID)
	}
	return out
}

// TestSubsetsSpreadEvenly checks that the subsets of 1000 idle sidecars spread evenly over 200 endpoints.
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

// TestSubsetSizeFollowsTraffic checks that the subset grows with the sidecar's traffic and keeps its members.
func TestSubsetSizeFollowsTraffic(t *testing.T) {
	b, h := startSidecar(t, 3, 10, fleet(200))
	first := ids(b.active)
	for range 300 { // 30 s of 10 requests per second
		h.now += tickInterval
		b.Timer(h.now, tokenTick)
		serveRequests(b, h, 1, 10*time.Millisecond)
	}
	if n, want := len(b.active), 10*decayTimeConstant.Seconds(); float64(n) < want*0.8 || float64(n) > want*1.2 {
		t.Errorf("at 10 requests per second %d endpoints are active, want about %.0f", n, want)
	}
	if got := ids(b.active); !slices.Equal(got[:len(first)], first) {
		t.Errorf("the larger subset begins with %v, the smaller one was %v", got[:len(first)], first)
	}
}

// TestSubsetReplacesEjectedEndpoints checks that the subset has one more member for an ejected one.
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
		t.Errorf("%d endpoints are active with one ejected, want %d", n, want)
	}
}

// TestAddedEndpointMovesFewSubsetMembers checks that one added endpoint changes at most one member of each
// subset on average.
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
			"one endpoint added to %d changed %d members of 100 subsets, want 100 at most",
			servers,
			moved,
		)
	}
}

// TestColdEndpointAmongManySidecars checks that the attempts of all sidecars at a cold endpoint stay within
// its share, whatever the number of sidecars, also if all other endpoints reject and the sidecars do not
// coordinate (rule 4).
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
					id++ // half of the sidecars have all the traffic
					to := sendRequest(b, h, id)
					if all++; to == fresh.ID {
						cold++
					}
					if to != "" { // all other endpoints reject at once
						outcome := Saturated
						if to == fresh.ID {
							outcome = Served
						}
						b.Result(h.now, Result{ID: id, Endpoint: to, Outcome: outcome, Took: time.Millisecond})
					}
				}
			}
		}
		// On average an endpoint gets one of 20 requests, and each request may be attempted three times.
		warm := settings().SlowStartCapacity + (1-settings().SlowStartCapacity)*seconds/settings().SlowStartWindow.Seconds()
		if most := all / 20 * 3 * warm; cold > most {
			t.Errorf(
				"%d sidecars sent %.0f of %.0f requests to the cold endpoint, want %.0f at most",
				peers,
				cold,
				all,
				most,
			)
		}
	}
}

// pollingHost records the delay after which a Balancer calls discovery.
type pollingHost struct {
	host
	after time.Duration
}

func (a *pollingHost) Timer(after time.Duration, token uint64) {
	if token == tokenDiscovery {
		a.after = after
	}
}

// TestFirstDiscoveryCallsAreSpread checks that the first discovery calls of 1000 sidecars that start together
// are spread evenly over half of the maximum list age.
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
			t.Fatalf("sidecar %d calls discovery after %v, want half of MaxListAge at most", set.Ordinal, a.after)
		}
		seconds[a.after/time.Second]++
	}
	for i, n := range seconds {
		if n < 150 || n > 250 {
			t.Errorf("%d of 1000 sidecars call discovery in second %d, want about 200", n, i)
		}
	}
}

// TestColdFleetServesRequests has every endpoint just started, as after a power failure. Requests must still
// be sent, and no endpoint may get much more than its share. If slow start were applied strictly, nearly
// every request would be rejected.
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
		t.Errorf("%d of %d requests were rejected while all endpoints are idle and cold", n, requests)
	}
	for id, n := range got {
		if most := maxOverflowShares*requests/12 + 2; float64(n) > most {
			t.Errorf("cold endpoint %s got %d requests, want %.0f at most", id, n, most)
		}
	}
}

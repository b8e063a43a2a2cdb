package workload

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/scenario"
)

// testScenario returns a scenario with all settings that affect clients: faults, classes of each effect with several
// coefficients of variation, tenants and retries.
func testScenario() *scenario.Scenario {
	second := scenario.Duration(time.Second)
	return &scenario.Scenario{
		Length: 20 * second,
		Fleet:  scenario.Fleet{Sidecars: 4},
		Load:   scenario.Load{Rate: 400, Swing: 0.3, SwingPeriod: 7 * second, Skew: 0.8, Keys: 500, Zipf: 0.9},
		Classes: []scenario.Class{
			{Share: 0.5, Work: second / 50, CV: 1, Deadline: 2 * second, Effect: "idempotent"},
			{Share: 0.2, Work: second / 80, CV: 0.6, Deadline: second, Effect: "deduplicated", Scope: "all"},
			{Share: 0.2, Work: second / 80, CV: 0.6, Deadline: second, Effect: "deduplicated", Scope: "zone"},
			{Share: 0.1, Work: second / 20, Deadline: 3 * second, Effect: "at_most_once"},
		},
		Tenants: []scenario.Tenant{{Share: 0.7}, {Share: 0.3}},
		Clients: scenario.Clients{Retries: 2.4, Backoff: second / 10, BackoffGrowth: 1.7, HonourShare: 0.6, MaxRetryAfter: 2 * second,
			ImpatientShare: 0.1, TimeoutShare: 0.6},
		Faults: []scenario.Fault{
			{Kind: "burst", At: 4 * second, Length: 2 * second, Size: 1.8},
			{Kind: "flood", At: 9 * second, Length: 3 * second, Size: 4, Share: 0.25},
			{Kind: "hot_key", At: 14 * second, Length: 4 * second, Size: 0.4},
			{Kind: "crash", At: 5 * second, Length: second},
		},
	}
}

// TestSameSeedSameArrivals guards against changes of what a seed generates: the arrivals and retries must be identical to
// those of earlier versions, to the last bit.
func TestSameSeedSameArrivals(t *testing.T) {
	const want = "1d4167ace4551d4447fbd9deccf7391cedb3787ca3f59fde19fc9e1bfcb5b825"
	s := testScenario()
	keys := NewZipf(s.Load.Keys, s.Load.Zipf)
	outcomes := []Outcome{Rejected, Failed, Unreachable, Served, Rejected}
	drawn, retried := 0, 0
	hash := sha256.New()
	for sidecar := range s.Fleet.Sidecars {
		source := NewSource(s, sidecar, 7, keys)
		rng := rand.New(rand.NewPCG(7, uint64(sidecar)))
		for {
			a, ok := source.Next()
			if !ok {
				break
			}
			for i := drawn; ok; i++ {
				fmt.Fprintln(hash, a)
				after := time.Duration(i%3) * 200 * time.Millisecond
				a, ok = Retry(s, a, a.At+a.Timeout/4, outcomes[i%len(outcomes)], after, rng)
				if ok {
					retried++
				}
			}
			drawn++
		}
	}
	if got := hex.EncodeToString(hash.Sum(nil)); got != want {
		t.Errorf("%d arrivals and %d retries hash to %s, want %s", drawn, retried, got, want)
	}
	if drawn < 5000 || retried < 5000 {
		t.Errorf("%d arrivals and %d retries generated, want at least 5000 of each", drawn, retried)
	}
}

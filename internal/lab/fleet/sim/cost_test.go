package sim

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
	"milletramp.example/milletramp/internal/lab/testrun"
)

var maxSidecars = flag.Int("fleet.most", 100, "sidecars of the largest fleet that costs are taken of")

// totalSent is what all sidecars have sent so far.
func (f *Fleet) totalSent() (bytes, packets uint64) {
	for _, s := range f.Sidecars {
		if s.Machine != nil {
			figures := s.Machine.Counters()
			bytes, packets = bytes+figures.Bytes, packets+figures.Packets
		}
	}
	return bytes, packets
}

// What costs are taken of: so long a time, once the fleet has found itself.
const warmUp, measuredTime = 20 * time.Second, 10 * time.Second

// faultsBetween are what is wrong between n sidecars while costs are taken.
func faultsBetween(n int) map[string][]faultplan.Fault {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	half, other := all[:n/2], all[n/2:]
	of := func(k faultplan.Kind, amount float64, from, to []int) faultplan.Fault {
		return faultplan.Fault{Kind: k, At: warmUp, Duration: measuredTime, From: from, To: to, Amount: amount}
	}
	return map[string][]faultplan.Fault{
		"a fifth lost":      {of(faultplan.Drop, 0.2, all, all)},
		"half lost":         {of(faultplan.Drop, 0.5, all, all)},
		"0.3 s late":        {of(faultplan.Delay, 0.3, all, all)},
		"cut into halves":   {of(faultplan.Cut, 0, half, other), of(faultplan.Cut, 0, other, half)},
		"heard by the half": {of(faultplan.Cut, 0, half, other)},
		"a tenth stopped":   {of(faultplan.Suspend, 0, all[:max(n/10, 1)], nil)},
	}
}

// TestCostUnderFaults: with anything wrong between sidecars each keeps to its bound, whether they have much to say or
// nothing.
func TestCostUnderFaults(t *testing.T) {
	if testrun.RaceEnabled {
		t.Skip("one goroutine: played without the race detector")
	}
	n := min(*maxSidecars, 30)
	for name, faults := range faultsBetween(n) {
		for _, evidence := range []time.Duration{0, 500 * time.Millisecond} {
			bytes, packets, _ := measureCost(n, evidence, faults...)
			t.Logf("%d sidecars, %s, evidence each %v: %.0f bytes in %.1f packets a second", n, name, evidence, bytes, packets)
			// Probes go beyond the bound, some more of them while others are sought: ten of at most a packet's size.
			if bound := float64(gossip.MaxBytesPerSecond + 10*gossip.MaxPacketBytes); bytes > bound {
				t.Errorf("%s: %.0f bytes a second, %.0f are allowed", name, bytes, bound)
			}
		}
	}
}

// measureCost plays a fleet that is calm, or of which each sidecar writes of a server each 500 ms, and returns what a
// sidecar sends in a second.
func measureCost(n int, evidence time.Duration, faults ...faultplan.Fault) (bytes, packets float64, busy time.Duration) {
	plan := faultplan.Plan{Seed: 1, Sidecars: n, Servers: 60, Length: time.Minute, Faults: faults}
	f := New(plan, Options{SeedPeers: 5, EvidenceInterval: evidence})
	f.RunUntil(warmUp)
	b0, p0 := f.totalSent()
	begun := time.Now()
	f.RunUntil(warmUp + measuredTime)
	busy = time.Since(begun)
	b1, p1 := f.totalSent()
	each := float64(n) * measuredTime.Seconds()
	return float64(b1-b0) / each, float64(p1-p0) / each, time.Duration(float64(busy) / each)
}

// TestCost: what a sidecar sends in a second does not grow with the fleet, and stays within the bound.
func TestCost(t *testing.T) {
	if testrun.RaceEnabled {
		t.Skip("one goroutine: played without the race detector")
	}
	calm, packets, _ := measureCost(10, 0)
	many, manyPackets, _ := measureCost(*maxSidecars, 0)
	if many > 1.5*calm || manyPackets > 1.5*packets {
		t.Errorf("calm: %.0f bytes in %.1f packets a second at 10 sidecars, %.0f in %.1f at %d",
			calm, packets, many, manyPackets, *maxSidecars)
	}
	loud, loudPackets, _ := measureCost(30, 500*time.Millisecond)
	// Probes and their answers go beyond the bound: five or so of at most a packet's size.
	if bound := float64(gossip.MaxBytesPerSecond + 6*gossip.MaxPacketBytes); loud > bound {
		t.Errorf("%.0f bytes in %.1f packets a second where all write, %.0f are allowed", loud, loudPackets, bound)
	}
	t.Logf("bytes and packets a second and sidecar: calm %.0f, %.1f at 10 and %.0f, %.1f at %d; "+
		"all write of a server twice a second: %.0f, %.1f at 30",
		calm, packets, many, manyPackets, *maxSidecars, loud, loudPackets)
}

// BenchmarkCost gives figures by size: -fleet.most=1000 adds the largest.
func BenchmarkCost(b *testing.B) {
	sizes := []int{10, 100}
	if *maxSidecars > 100 {
		sizes = append(sizes, *maxSidecars)
	}
	for _, n := range sizes {
		for name, evidence := range map[string]time.Duration{"calm": 0, "evidence": 500 * time.Millisecond} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				for range b.N {
					bytes, packets, busy := measureCost(n, evidence)
					b.ReportMetric(bytes, "B/s")
					b.ReportMetric(packets, "packets/s")
					b.ReportMetric(float64(busy.Microseconds()), "cpu-µs/s")
				}
			})
		}
		for name, faults := range faultsBetween(n) {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				for range b.N {
					bytes, packets, _ := measureCost(n, 0, faults...)
					b.ReportMetric(bytes, "B/s")
					b.ReportMetric(packets, "packets/s")
				}
			})
		}
	}
}

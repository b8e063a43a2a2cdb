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

var maxSidecars = flag.Int("fleet.most", 100, "number of sidecars in the largest fleet whose traffic is measured")

// totalSent returns the bytes and packets sent so far by the current processes of all sidecars.
func (f *Fleet) totalSent() (bytes, packets uint64) {
	for _, s := range f.Sidecars {
		if s.Machine != nil {
			counters := s.Machine.Counters()
			bytes, packets = bytes+counters.Bytes, packets+counters.Packets
		}
	}
	return bytes, packets
}

// Traffic is measured for measuredTime, after warmUp, by which time the sidecars have discovered each other.
const warmUp, measuredTime = 20 * time.Second, 10 * time.Second

// faultsDuringMeasurement returns, by name, the faults under which the traffic of n sidecars is measured.
func faultsDuringMeasurement(n int) map[string][]faultplan.Fault {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	half, other := all[:n/2], all[n/2:]
	fault := func(k faultplan.Kind, amount float64, from, to []int) faultplan.Fault {
		return faultplan.Fault{Kind: k, At: warmUp, Duration: measuredTime, From: from, To: to, Amount: amount}
	}
	return map[string][]faultplan.Fault{
		"one fifth dropped":    {fault(faultplan.Drop, 0.2, all, all)},
		"half dropped":         {fault(faultplan.Drop, 0.5, all, all)},
		"delayed up to 0.3 s":  {fault(faultplan.Delay, 0.3, all, all)},
		"cut between halves":   {fault(faultplan.Cut, 0, half, other), fault(faultplan.Cut, 0, other, half)},
		"cut in one direction": {fault(faultplan.Cut, 0, half, other)},
		"one tenth suspended":  {fault(faultplan.Suspend, 0, all[:max(n/10, 1)], nil)},
	}
}

// TestCostUnderFaults checks that sidecars keep to their traffic bound under every kind of fault, with and without
// evidence to send.
func TestCostUnderFaults(t *testing.T) {
	if testrun.RaceEnabled {
		t.Skip("one goroutine: run only without the race detector")
	}
	n := min(*maxSidecars, 30)
	for name, faults := range faultsDuringMeasurement(n) {
		for _, evidence := range []time.Duration{0, 500 * time.Millisecond} {
			bytes, packets, _ := measureCost(n, evidence, faults...)
			t.Logf("%d sidecars, %s, evidence interval %v: %.0f bytes in %.1f packets per second", n, name, evidence, bytes, packets)
			// Probes are not limited by the bound, and there are more of them while sidecars are unreachable: ten per second,
			// of at most MaxPacketBytes each.
			if bound := float64(gossip.MaxBytesPerSecond + 10*gossip.MaxPacketBytes); bytes > bound {
				t.Errorf("%s: %.0f bytes per second, want at most %.0f", name, bytes, bound)
			}
		}
	}
}

// measureCost runs a fleet whose sidecars write an evidence row every evidence interval (0: none), and returns the bytes
// and packets sent and the processor time used, per sidecar and second.
func measureCost(n int, evidence time.Duration, faults ...faultplan.Fault) (bytes, packets float64, busy time.Duration) {
	plan := faultplan.Plan{Seed: 1, Sidecars: n, Servers: 60, Length: time.Minute, Faults: faults}
	f := New(plan, Options{SeedPeers: 5, EvidenceInterval: evidence})
	f.RunUntil(warmUp)
	b0, p0 := f.totalSent()
	start := time.Now()
	f.RunUntil(warmUp + measuredTime)
	busy = time.Since(start)
	b1, p1 := f.totalSent()
	sidecarSeconds := float64(n) * measuredTime.Seconds()
	return float64(b1-b0) / sidecarSeconds, float64(p1-p0) / sidecarSeconds, time.Duration(float64(busy) / sidecarSeconds)
}

// TestCost checks that a sidecar's traffic does not grow with the size of the fleet and stays within its bound.
func TestCost(t *testing.T) {
	if testrun.RaceEnabled {
		t.Skip("one goroutine: run only without the race detector")
	}
	idle, packets, _ := measureCost(10, 0)
	many, manyPackets, _ := measureCost(*maxSidecars, 0)
	if many > 1.5*idle || manyPackets > 1.5*packets {
		t.Errorf("without evidence: %.0f bytes in %.1f packets per second at 10 sidecars, %.0f in %.1f at %d",
			idle, packets, many, manyPackets, *maxSidecars)
	}
	active, activePackets, _ := measureCost(30, 500*time.Millisecond)
	// Probes and their responses are not limited by the bound: about five per second, of at most MaxPacketBytes each.
	if bound := float64(gossip.MaxBytesPerSecond + 6*gossip.MaxPacketBytes); active > bound {
		t.Errorf("with evidence: %.0f bytes in %.1f packets per second, want at most %.0f bytes", active, activePackets, bound)
	}
	t.Logf("bytes and packets per second and sidecar: without evidence %.0f, %.1f at 10 and %.0f, %.1f at %d; "+
		"with two evidence rows per second: %.0f, %.1f at 30",
		idle, packets, many, manyPackets, *maxSidecars, active, activePackets)
}

// BenchmarkCost reports the cost by fleet size. -fleet.most=1000 adds a fleet of 1000 sidecars.
func BenchmarkCost(b *testing.B) {
	sizes := []int{10, 100}
	if *maxSidecars > 100 {
		sizes = append(sizes, *maxSidecars)
	}
	for _, n := range sizes {
		for name, evidence := range map[string]time.Duration{"idle": 0, "evidence": 500 * time.Millisecond} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				for range b.N {
					bytes, packets, busy := measureCost(n, evidence)
					b.ReportMetric(bytes, "B/s")
					b.ReportMetric(packets, "packets/s")
					b.ReportMetric(float64(busy.Microseconds()), "cpu-µs/s")
				}
			})
		}
		for name, faults := range faultsDuringMeasurement(n) {
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

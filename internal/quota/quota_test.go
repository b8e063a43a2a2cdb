package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestExceeds checks for arbitrary event times that the number of events that do not exceed the rate is at most what
// the rate and the burst allow. No event of a steady stream within the rate may exceed it.
func TestExceeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.Float64Range(0.1, 100).Draw(t, "rate"), 6*time.Second
		var m Meter
		now := time.Minute
		start, passed := now, 0.0
		for _, ms := range rapid.SliceOfN(rapid.IntRange(0, 3000), 1, 200).Draw(t, "waits in ms") {
			now += time.Duration(ms) * time.Millisecond
			if !m.Exceeds(now, rate, burst) {
				passed++
			}
			if most := 1 + rate*(burst+now-start).Seconds() + 1e-6; passed > most {
				t.Fatalf("%.0f events passed within %v, want at most %.1f", passed, now-start, most)
			}
		}
		for range 50 {
			now += time.Duration(1.01 / rate * float64(time.Second))
			if m.Exceeds(now, rate, burst) {
				t.Fatal("an event within the rate exceeds it")
			}
		}
	})
}

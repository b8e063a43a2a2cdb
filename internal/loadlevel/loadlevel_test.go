package loadlevel

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// The interval between decays and the time constants of the recent and the former record, in seconds.
const tick, recentTime, formerTime = 0.1, 1.0, 6.0

// play simulates the given seconds. In each tick there are perTick responses after took seconds each, and the attempts
// in flight have waited for outstanding seconds in total.
func (m *Meter) play(seconds, perTick, took, outstanding float64) {
	for range int(seconds / tick) {
		for range int(perTick) {
			m.Ended(took, true)
		}
		m.Decay(math.Exp(-tick/recentTime), math.Exp(-tick/formerTime), outstanding)
	}
}

func TestLevel(t *testing.T) {
	for _, tt := range []struct {
		name string
		then func(m *Meter)
		low  float64
		high float64
	}{
		{"steady", func(m *Meter) { m.play(5, 2, 0.1, 0.1) }, 1, 1.06},
		{"faster", func(m *Meter) { m.play(2, 2, 0.02, 0.02) }, 1, 1},
		{"three times as slow for a second", func(m *Meter) { m.play(1, 2, 0.3, 0.1) }, 1.4, 2.2},
		{"three times as slow for 30 seconds", func(m *Meter) { m.play(30, 2, 0.3, 0.3) }, 1, 1.08},
		// Under congestion only the fast responses still arrive.
		{"fast responses, ten attempts in flight for half a second", func(m *Meter) { m.play(0.3, 1, 0.1, 5) }, 2, 5},
		{"no response for half a second", func(m *Meter) { m.play(0.5, 0, 0, 2) }, 1.7, 4},
		{"no response for a minute", func(m *Meter) { m.play(60, 0, 0, 9) }, 1, 1},
		{"time-outs", func(m *Meter) {
			for range 5 {
				m.Ended(1, false)
			}
			m.play(0.1, 2, 0.1, 0.1)
		}, 2, 6},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var m Meter
			if m.Level() != 1 {
				t.Fatalf("level %v without any attempt, want 1", m.Level())
			}
			m.play(20, 2, 0.1, 0.1)
			if tt.then(&m); m.Level() < tt.low || m.Level() > tt.high {
				t.Errorf("level %.3f, want %v to %v", m.Level(), tt.low, tt.high)
			}
		})
	}
}

// TestLevelRange checks for arbitrary attempts that the level is finite, at least 1 and independent of the time unit.
func TestLevelRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m, ms Meter
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			took := rapid.Float64Range(0, 60).Draw(t, "took")
			outstanding := rapid.Float64Range(0, 900).Draw(t, "outstanding")
			responded, keep := rapid.Bool().Draw(t, "responded"), rapid.Float64Range(0, 1).Draw(t, "keep")
			for unit, m := range map[float64]*Meter{1: &m, 1000: &ms} {
				m.Ended(took*unit, responded)
				m.Decay(keep, math.Sqrt(keep), outstanding*unit)
			}
			if l := m.Level(); !(l >= 1) || math.IsInf(l, 0) {
				t.Fatalf("level %v, want a finite number of at least 1", l)
			}
			if took > 1e-3 && math.Abs(m.Level()-ms.Level()) > 1e-6*m.Level() {
				t.Fatalf("level %v in seconds, %v in milliseconds", m.Level(), ms.Level())
			}
		}
	})
}

package report

import (
	"math"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/runplan"
	"milletramp.example/milletramp/internal/lab/scenario"
)

const day = `name = "x"
about = "a day of the meter"
length = "20s"
warmup = "0s"
[fleet]
sidecars = 1
nodes = 1
zones = ["a"]
[[fleet.kind]]
name = "k"
share = 1
cores = 1
speed = 1
[load]
rate = 1
[[class]]
name = "read"
share = 1
work = "50ms"
cv = 0
aim = "400ms"
deadline = "2s"
worth = 1
effect = "idempotent"
[[trouble]]
kind = "slow"
at = "5s"
for = "5s"
part = 1
size = 3
`

// TestFigures has one request a second, ten a second of them in trouble, and counts by hand.
func TestFigures(t *testing.T) {
	s, err := scenario.Parse("day.toml", day)
	if err != nil {
		t.Fatal(err)
	}
	m := NewMeter(runplan.Draw(s, 1))
	id := uint64(0)
	try := func(at, took time.Duration, first uint64, status record.Status) uint64 {
		id++
		if first == 0 {
			first = id
		}
		for _, e := range []record.Event{
			{At: at, Kind: record.Requested, Request: id, FirstRequest: first, Work: 1},
			{At: at + took, Kind: record.Arrived, Request: id},
			{At: at + took, Kind: record.Replied, Request: id, Status: status, Token: id, Work: 1},
			{At: at + took, Kind: record.Answered, Request: id, Status: status, Token: id},
		} {
			m.Record(&e)
		}
		return first
	}
	for i := range 20 {
		at := time.Duration(i) * time.Second
		switch {
		case i < 5 || i >= 12:
			try(at, 100*time.Millisecond, 0, record.Served)
		case i < 8: // refused, and then served in time by a second try
			first := try(at, 50*time.Millisecond, 0, record.Rejected)
			try(at+100*time.Millisecond, 200*time.Millisecond, first, record.Served)
		case i < 10: // served, but late over both tries
			first := try(at, 50*time.Millisecond, 0, record.Rejected)
			try(at+300*time.Millisecond, 300*time.Millisecond, first, record.Served)
		default:
			try(at, 50*time.Millisecond, 0, record.Failed)
		}
	}
	m.Record(&record.Event{Kind: record.NodeWork, Work: 32})
	f := m.Figures()
	for name, v := range map[string][2]float64{
		"asked": {f.FirstRequests, 20}, "in time": {f.InTime, 16. / 20}, "late": {f.Late, 2. / 20}, "failed": {f.Failed, 2. / 20},
		"refused": {f.Rejected, 0}, "worth": {f.InTimePriority, 0.8}, "tries": {f.RequestsPerFirst, 25. / 20}, "attempts": {f.AttemptsPerRequest, 1},
		"useful": {f.UsefulWork, 16. / 32}, "worst 10 s": {f.Worst10s, 0.6}, "before": {f.BeforeFaults, 1}, "recover": {f.RecoverSeconds, 2},
		"served": {float64(f.Classes[0].Served), 18},
	} {
		if math.Abs(v[0]-v[1]) > 1e-9 {
			t.Errorf("%s is %v, want %v", name, v[0], v[1])
		}
	}
	if !f.Healed {
		t.Error("it is not seen to have healed")
	}
	if p := f.Classes[0].P50ms; p < 99 || p > 101 {
		t.Errorf("half come within %v ms, want 100", p)
	}
	d := Result{Scenario: "x", Figures: f, Missed: []string{"something"}}
	var text, page strings.Builder
	if err := d.Write(&text); err != nil || !strings.Contains(text.String(), "MISSED: something") || d.Passed() {
		t.Errorf("report %q, error %v", text.String(), err)
	}
	if err := d.HTML(&page); err != nil || strings.Count(page.String(), "<svg") != 4 {
		t.Errorf("page with %d plots, error %v", strings.Count(page.String(), "<svg"), err)
	}
}

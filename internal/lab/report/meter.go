// Package report counts the recorded events of a run into figures, and writes them as a table, as JSON, and as a
// self-contained HTML page with charts. It owns the figures' definitions and the names that they have in output.
//
// Counting has no errors. Writing fails with the writer's error, and drawing with that of the plot library, both with
// what was written or drawn.
package report

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/runplan"
)

// minDetectableLosses is the number of lost requests below which no sidecar can tell that a node loses requests.
const minDetectableLosses = 3

// Histograms hold microseconds.
const (
	histogramMin    = 1
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3 // significant ones
)

// Meter counts a run. It is a record.Sink and is not safe for concurrent use.
type Meter struct {
	plan              *runplan.Plan
	warmup            time.Duration
	latencyObjectives []time.Duration // by class
	priorities        []float64       // by class
	seconds           []Second
	secondLatencies   []*hdrhistogram.Histogram // by second; nil: nothing was served
	classLatencies    []*hdrhistogram.Histogram
	operations        map[uint64]*operation // by first request, until they are served
	firstRequests     map[uint64]uint64     // of each request in flight
	responseWork      map[uint64]float64    // by token
	nodes             []Node
	workDone          float64 // by the nodes
	usefulWork        float64 // of it, what was served in time

	// For Little's law, after the warm-up: the integral of the requests in flight over time in seconds, and the time
	// that served operations took.
	inFlight      int64
	inFlightSince time.Duration
	inFlightArea  float64
	staySeconds   float64
	stays         float64

	detectionDelays *hdrhistogram.Histogram
	undetected      int64
	undetectedFew   int64
}

// NewMeter returns a meter for a plan.
func NewMeter(plan *runplan.Plan) *Meter {
	seconds := int(math.Ceil(plan.Scenario.Length.Std().Seconds()))
	m := &Meter{
		plan:            plan,
		warmup:          plan.Scenario.Warmup.Std(),
		seconds:         make([]Second, seconds),
		secondLatencies: make([]*hdrhistogram.Histogram, seconds),
		operations:      map[uint64]*operation{},
		firstRequests:   map[uint64]uint64{},
		responseWork:    map[uint64]float64{},
		detectionDelays: newHistogram(),
	}
	for _, class := range plan.Scenario.Classes {
		m.latencyObjectives = append(m.latencyObjectives, class.LatencyObjective.Std())
		m.priorities = append(m.priorities, class.Priority)
		m.classLatencies = append(m.classLatencies, newHistogram())
	}
	for _, machine := range plan.Machines {
		m.nodes = append(m.nodes, Node{ID: machine.ID, Zone: machine.Zone, Kind: machine.Kind})
	}
	return m
}

// Record implements record.Sink.
func (m *Meter) Record(e *record.Event) {
	switch e.Kind {
	case record.Requested:
		m.requested(e)
	case record.Answered, record.ClientLeft:
		m.requestEnded(e)
	case record.Arrived:
		m.seconds[m.secondOf(e.At)].Attempts++
		m.nodes[e.Node].Attempts++
	case record.Deduplicated:
		m.nodes[e.Node].Deduplicated++
	case record.Replied:
		m.replied(e)
	case record.LossDetected:
		recordDuration(m.detectionDelays, e.Wait)
	case record.LossUndetected:
		m.undetected++
		if e.Attempt < minDetectableLosses {
			m.undetectedFew++
		}
	case record.NodeWork:
		m.nodes[e.Node].Work += e.Work
		m.workDone += e.Work
	}
}

// replied counts what a node wrote as its response.
func (m *Meter) replied(e *record.Event) {
	switch e.Status {
	case record.Served:
		m.responseWork[e.Token] = e.Work
	case record.Rejected:
		m.nodes[e.Node].Rejected++
	}
}

// addInFlight changes the number of requests in flight.
func (m *Meter) addInFlight(at time.Duration, change int64) {
	if from := max(m.inFlightSince, m.warmup); at > from {
		m.inFlightArea += float64(m.inFlight) * (at - from).Seconds()
	}
	m.inFlight += change
	m.inFlightSince = max(at, m.inFlightSince)
}

// secondOf is the index of the second that a time falls in; what comes after the run's length counts in the last.
func (m *Meter) secondOf(at time.Duration) int {
	return min(int(at.Seconds()), len(m.seconds)-1)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

// recordDuration counts a duration. What is beyond the histogram's range is left out.
func recordDuration(histogram *hdrhistogram.Histogram, d time.Duration) {
	_ = histogram.RecordValue(max(d.Microseconds(), histogramMin))
}

// Package report counts what a day was worth and words it: a table for people, JSON for programs, a self-contained HTML
// page with plots.
package report

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/runplan"
)

// outcome is how a first try stands, its further tries included.
type outcome uint8

const (
	outcomeOpen outcome = iota
	outcomeInTime
	outcomeLate
	outcomeRejected
	outcomeFailed
	outcomeLeft
)

// Second is one second of a day, by when first tries were made.
type Second struct {
	FirstRequests  float64 `json:"asked"`  // first tries
	Priority       float64 `json:"worth"`  // asked for
	EarnedPriority float64 `json:"earned"` // answered in time
	InTime         float64 `json:"in_time"`
	Late           float64 `json:"late"`
	Rejected       float64 `json:"refused"`
	Failed         float64 `json:"failed"` // or left, or never answered
	Requests       float64 `json:"tries"`
	Attempts       float64 `json:"attempts"` // that reached a node, by when
	P50ms          float64 `json:"p50_ms"`   // of answers that served, by when they came
	P99ms          float64 `json:"p99_ms"`
}

// Meter counts a day. It is a record.Sink.
type Meter struct {
	plan              *runplan.Plan
	warmup            time.Duration
	latencyObjectives []time.Duration
	priorities        []float64
	seconds           []Second
	secondLatencies   []*hdrhistogram.Histogram // by second, in µs; a nil one had none
	classLatencies    []*hdrhistogram.Histogram
	operations        map[uint64]*operation
	firstRequests     map[uint64]uint64 // a request's first try
	responseWork      map[uint64]float64
	nodes             []Node
	workDone          float64
	usefulWork        float64
	inFlight          int64                   // requests in the system, for Little's law
	inFlightSince     time.Duration           //
	inFlightArea      float64                 // requests held × seconds, after the warm-up
	staySeconds       float64                 // seconds that requests were held in sum, of those that ended after the warm-up
	stays             float64                 // and their number
	detectionDelays   *hdrhistogram.Histogram // ms from the first loss at a node until a sidecar knew
	undetected        int64                   // losses that a sidecar did not know until they were over
	undetectedFew     int64                   // and of these those of few requests
}

type operation struct {
	startedAt time.Duration
	class     uint8
	priority  float64
	outcome   outcome
	second    int
}

// Node is what one node did.
type Node struct {
	ID           string  `json:"id"`
	Zone         int     `json:"zone"`
	Kind         string  `json:"kind"`
	Attempts     float64 `json:"attempts"`
	Rejected     float64 `json:"turned_away"`
	Deduplicated float64 `json:"repeats_dropped"`
	Work         float64 `json:"work_s"` // standard work done
	Utilization  float64 `json:"use"`    // of its capacity over the day
}

// NewMeter returns a meter for a plan.
func NewMeter(p *runplan.Plan) *Meter {
	m := &Meter{plan: p, warmup: p.Scenario.Warmup.Std(), operations: map[uint64]*operation{}, firstRequests: map[uint64]uint64{},
		responseWork: map[uint64]float64{}}
	for _, c := range p.Scenario.Classes {
		m.latencyObjectives = append(m.latencyObjectives, c.Aim.Std())
		m.priorities = append(m.priorities, c.Worth)
		m.classLatencies = append(m.classLatencies, histogram())
	}
	m.detectionDelays = histogram()
	n := int(math.Ceil(p.Scenario.Length.Std().Seconds()))
	m.seconds, m.secondLatencies = make([]Second, n), make([]*hdrhistogram.Histogram, n)
	for _, k := range p.Machines {
		m.nodes = append(m.nodes, Node{ID: k.ID, Zone: k.Zone, Kind: k.Kind})
	}
	return m
}

// histogram of microseconds, from 1 µs to 10 minutes, three digits.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600e6, 3) }

func (m *Meter) secondOf(at time.Duration) int {
	return min(int(at.Seconds()), len(m.seconds)-1)
}

// setOutcome moves a first try from one fate to another.
func (m *Meter) setOutcome(c *operation, to outcome) {
	s := &m.seconds[c.second]
	add := func(f outcome, by float64) {
		switch f {
		case outcomeInTime:
			s.InTime += by
			s.EarnedPriority += by * c.priority
		case outcomeLate:
			s.Late += by
		case outcomeRejected:
			s.Rejected += by
		case outcomeOpen, outcomeFailed, outcomeLeft:
			s.Failed += by
		}
	}
	add(c.outcome, -1)
	add(to, 1)
	c.outcome = to
}

// addInFlight follows how many requests are in the system.
func (m *Meter) addInFlight(at time.Duration, by int64) {
	if from := max(m.inFlightSince, m.warmup); at > from {
		m.inFlightArea += float64(m.inFlight) * (at - from).Seconds()
	}
	m.inFlight, m.inFlightSince = m.inFlight+by, max(at, m.inFlightSince)
}

// Record implements record.Sink.
func (m *Meter) Record(e *record.Event) {
	switch e.Kind {
	case record.Requested:
		s := &m.seconds[m.secondOf(e.At)]
		s.Requests++
		if e.Request == e.FirstRequest {
			c := &operation{startedAt: e.At, class: e.Class, priority: m.priorities[e.Class] * e.Work, second: m.secondOf(e.At)}
			m.operations[e.FirstRequest] = c
			s.FirstRequests++
			s.Priority += c.priority
			s.Failed++ // until something better is known
		}
		m.firstRequests[e.Request] = e.FirstRequest
		m.addInFlight(e.At, 1)
	case record.Answered, record.ClientLeft:
		first, ok := m.firstRequests[e.Request]
		if !ok {
			return // the checker reports it
		}
		delete(m.firstRequests, e.Request)
		m.addInFlight(e.At, -1)
		m.responded(e, first)
	case record.Arrived:
		m.seconds[m.secondOf(e.At)].Attempts++
		m.nodes[e.Node].Attempts++
	case record.Deduplicated:
		m.nodes[e.Node].Deduplicated++
	case record.Replied:
		switch e.Status {
		case record.Served:
			m.responseWork[e.Token] = e.Work
		case record.Rejected:
			m.nodes[e.Node].Rejected++
		}
	case record.LossDetected:
		_ = m.detectionDelays.RecordValue(max(e.Wait.Microseconds(), 1))
	case record.LossUndetected:
		if m.undetected++; e.Attempt < minDetectableLosses {
			m.undetectedFew++
		}
	case record.NodeWork:
		n := &m.nodes[e.Node]
		n.Work += e.Work
		m.workDone += e.Work
	}
}

func (m *Meter) responded(e *record.Event, first uint64) {
	c := m.operations[first]
	if c == nil {
		return
	}
	to := outcomeFailed
	switch {
	case e.Kind == record.ClientLeft:
		to = outcomeLeft
	case e.Status == record.Rejected:
		to = outcomeRejected
	case e.Status == record.Served:
		took := e.At - c.startedAt
		if to = outcomeLate; took <= m.latencyObjectives[c.class] {
			to = outcomeInTime
			m.usefulWork += m.responseWork[e.Token]
		}
		delete(m.responseWork, e.Token)
		if c.startedAt >= m.warmup {
			_ = m.classLatencies[c.class].RecordValue(max(took.Microseconds(), 1))
			m.staySeconds += took.Seconds()
			m.stays++
		}
		s := m.secondOf(e.At)
		if m.secondLatencies[s] == nil {
			m.secondLatencies[s] = histogram()
		}
		_ = m.secondLatencies[s].RecordValue(max(took.Microseconds(), 1))
	}
	if c.outcome != outcomeInTime && c.outcome != outcomeLate {
		m.setOutcome(c, to)
	}
	if to == outcomeInTime || to == outcomeLate {
		delete(m.operations, first)
	}
}

// Class is how one class fared.
type Class struct {
	Name   string  `json:"name"`
	Served uint64  `json:"served"`
	MeanMS float64 `json:"mean_ms"`
	P50ms  float64 `json:"p50_ms"`
	P90ms  float64 `json:"p90_ms"`
	P99ms  float64 `json:"p99_ms"`
	P999ms float64 `json:"p999_ms"`
	MaxMS  float64 `json:"max_ms"`
}

// minDetectableLosses is the number of lost requests below which nobody can tell.
const minDetectableLosses = 3

// LossDetection is how long sidecars took to know that a node loses what they send, from the first that was lost there.
type LossDetection struct {
	Losses        int64   `json:"losses"` // pairs of a sidecar and a node that lost something of it
	Undetected    int64   `json:"missed"` // of them, not known until the node was mended
	UndetectedFew int64   `json:"few"`    // and of these, where less than three requests were lost
	P50s          float64 `json:"p50_s"`
	P90s          float64 `json:"p90_s"`
	MaxS          float64 `json:"max_s"`
}

// Figures are what a day came to, from the end of the warm-up. Shares are of first tries, or of worth where named so.
type Figures struct {
	FirstRequests      float64       `json:"asked"`
	InTimePriority     float64       `json:"in_time_worth"` // share of the worth that was answered in time
	InTime             float64       `json:"in_time"`
	Late               float64       `json:"late"`
	Rejected           float64       `json:"refused"`
	Failed             float64       `json:"failed"`
	RequestsPerFirst   float64       `json:"tries_per_request"`
	AttemptsPerRequest float64       `json:"attempts_per_try"`
	UsefulWork         float64       `json:"useful_work"` // served in time, of the work done
	Worst10s           float64       `json:"worst_10s_worth"`
	BeforeFaults       float64       `json:"before_worth"` // in the time before the first trouble
	RecoverSeconds     float64       `json:"recover_s"`    // from the last trouble's end until 99% of before; -1: not by the end
	Healed             bool          `json:"healed"`       // the last 5 s are at 95% of before at least
	MeanInFlight       float64       `json:"held_mean"`    // requests in the system on average, after the warm-up
	MeanStaySeconds    float64       `json:"stay_mean_s"`  // and how long each was there
	LossDetection      LossDetection `json:"known"`
	Classes            []Class       `json:"classes"`
	Nodes              []Node        `json:"nodes"`
	Seconds            []Second      `json:"seconds"`
}

// Figures sums the day up. It may be called once, at its end.
func (m *Meter) Figures() Figures {
	f := Figures{Seconds: m.seconds, Nodes: m.nodes}
	from := int(math.Ceil(m.warmup.Seconds()))
	var sum Second
	for i := range m.seconds {
		s := &m.seconds[i]
		if h := m.secondLatencies[i]; h != nil {
			s.P50ms, s.P99ms = float64(h.ValueAtQuantile(50))/1e3, float64(h.ValueAtQuantile(99))/1e3
		}
		if i < from {
			continue
		}
		sum.FirstRequests += s.FirstRequests
		sum.Priority += s.Priority
		sum.EarnedPriority += s.EarnedPriority
		sum.InTime += s.InTime
		sum.Late += s.Late
		sum.Rejected += s.Rejected
		sum.Failed += s.Failed
		sum.Requests += s.Requests
		sum.Attempts += s.Attempts
	}
	f.FirstRequests = sum.FirstRequests
	f.InTimePriority, f.InTime, f.Late = ratio(sum.EarnedPriority, sum.Priority), ratio(sum.InTime, sum.FirstRequests), ratio(sum.Late, sum.FirstRequests)
	f.Rejected, f.Failed = ratio(sum.Rejected, sum.FirstRequests), ratio(sum.Failed, sum.FirstRequests)
	f.RequestsPerFirst, f.AttemptsPerRequest, f.UsefulWork = ratio(sum.Requests, sum.FirstRequests), ratio(sum.Attempts, sum.Requests), ratio(m.usefulWork, m.workDone)
	f.Worst10s = 1
	for i := from; i+10 <= len(m.seconds); i++ {
		f.Worst10s = math.Min(f.Worst10s, m.inTimePriority(i, i+10))
	}
	if len(m.seconds)-from < 10 {
		f.Worst10s = f.InTimePriority
	}
	f.setRecovery(m, from)
	if span := (m.inFlightSince - m.warmup).Seconds(); span > 0 {
		f.MeanInFlight = m.inFlightArea / span
	}
	f.MeanStaySeconds = ratio(m.staySeconds, m.stays)
	s := func(q float64) float64 { return float64(m.detectionDelays.ValueAtQuantile(q)) / 1e6 }
	f.LossDetection = LossDetection{m.detectionDelays.TotalCount() + m.undetected, m.undetected, m.undetectedFew, s(50), s(90), s(100)}
	for i, h := range m.classLatencies {
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e3 }
		f.Classes = append(f.Classes, Class{m.plan.Scenario.Classes[i].Name, uint64(h.TotalCount()), h.Mean() / 1e3, ms(50), ms(90),
			ms(99), ms(99.9), float64(h.Max()) / 1e3})
	}
	length := m.plan.Scenario.Length.Std().Seconds()
	for i := range f.Nodes {
		k := m.plan.Machines[i]
		f.Nodes[i].Utilization = f.Nodes[i].Work / (float64(k.Spec.Cores) * k.Spec.Speed * math.Max(length-k.StartsAt.Seconds(), 1))
	}
	return f
}

// inTimePriority is the share of the worth asked for in some seconds that was answered in time.
func (m *Meter) inTimePriority(from, to int) float64 {
	var earned, worth float64
	for _, s := range m.seconds[from:min(to, len(m.seconds))] {
		earned += s.EarnedPriority
		worth += s.Priority
	}
	if worth == 0 {
		return 1
	}
	return earned / worth
}

// setRecovery tells how long service takes to be back after the last trouble. Windows of 2 s smooth over chance.
func (f *Figures) setRecovery(m *Meter, from int) {
	first, last := int(m.plan.FirstFault.Seconds()), int(math.Ceil(m.plan.LastFaultEnd.Seconds()))
	f.BeforeFaults, f.Healed = 1, true
	if m.plan.LastFaultEnd == 0 {
		return
	}
	if first > from {
		f.BeforeFaults = m.inTimePriority(from, first)
	}
	f.RecoverSeconds = -1
	for i := last; i+2 <= len(m.seconds); i++ {
		if m.inTimePriority(i, i+2) >= 0.99*f.BeforeFaults {
			f.RecoverSeconds = float64(i - last)
			break
		}
	}
	if n := len(m.seconds); n-5 >= last {
		f.Healed = m.inTimePriority(n-5, n) >= 0.95*f.BeforeFaults
	}
}

func ratio(x, y float64) float64 {
	if y == 0 {
		return 0
	}
	return x / y
}

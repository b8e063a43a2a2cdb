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

// fate is how a first try stands, its further tries included.
type fate uint8

const (
	open fate = iota
	inTime
	late
	refused
	failed
	left
)

// Second is one second of a day, by when first tries were made.
type Second struct {
	Asked    float64 `json:"asked"`  // first tries
	Worth    float64 `json:"worth"`  // asked for
	Earned   float64 `json:"earned"` // answered in time
	InTime   float64 `json:"in_time"`
	Late     float64 `json:"late"`
	Refused  float64 `json:"refused"`
	Failed   float64 `json:"failed"` // or left, or never answered
	Tries    float64 `json:"tries"`
	Attempts float64 `json:"attempts"` // that reached a node, by when
	P50ms    float64 `json:"p50_ms"`   // of answers that served, by when they came
	P99ms    float64 `json:"p99_ms"`
}

// Meter counts a day. It is a record.Sink.
type Meter struct {
	p       *runplan.Plan
	warmup  time.Duration
	aims    []time.Duration
	worths  []float64
	seconds []Second
	hists   []*hdrhistogram.Histogram // by second, in µs; a nil one had none
	class   []*hdrhistogram.Histogram
	chains  map[uint64]*chain
	tries   map[uint64]uint64 // a request's first try
	made    map[uint64]float64
	nodes   []Node
	done    float64
	useful  float64
	held    int64                   // requests in the system, for Little's law
	heldAt  time.Duration           //
	area    float64                 // requests held × seconds, after the warm-up
	stay    float64                 // seconds that requests were held in sum, of those that ended after the warm-up
	ends    float64                 // and their number
	known   *hdrhistogram.Histogram // ms from the first loss at a node until a sidecar knew
	missed  int64                   // losses that a sidecar did not know until they were over
	unseen  int64                   // and of these those of few requests
}

type chain struct {
	at     time.Duration
	class  uint8
	worth  float64
	fate   fate
	second int
}

// Node is what one node did.
type Node struct {
	ID       string  `json:"id"`
	Zone     int     `json:"zone"`
	Kind     string  `json:"kind"`
	Attempts float64 `json:"attempts"`
	Turned   float64 `json:"turned_away"`
	Known    float64 `json:"repeats_dropped"`
	Work     float64 `json:"work_s"` // standard work done
	Use      float64 `json:"use"`    // of its capacity over the day
}

// NewMeter returns a meter for a plan.
func NewMeter(p *runplan.Plan) *Meter {
	m := &Meter{p: p, warmup: p.Scenario.Warmup.Std(), chains: map[uint64]*chain{}, tries: map[uint64]uint64{},
		made: map[uint64]float64{}}
	for _, c := range p.Scenario.Classes {
		m.aims = append(m.aims, c.Aim.Std())
		m.worths = append(m.worths, c.Worth)
		m.class = append(m.class, histogram())
	}
	m.known = histogram()
	n := int(math.Ceil(p.Scenario.Length.Std().Seconds()))
	m.seconds, m.hists = make([]Second, n), make([]*hdrhistogram.Histogram, n)
	for _, k := range p.Machines {
		m.nodes = append(m.nodes, Node{ID: k.ID, Zone: k.Zone, Kind: k.Kind})
	}
	return m
}

// histogram of microseconds, from 1 µs to 10 minutes, three digits.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600e6, 3) }

func (m *Meter) second(at time.Duration) int {
	return min(int(at.Seconds()), len(m.seconds)-1)
}

// count moves a first try from one fate to another.
func (m *Meter) count(c *chain, to fate) {
	s := &m.seconds[c.second]
	add := func(f fate, by float64) {
		switch f {
		case inTime:
			s.InTime += by
			s.Earned += by * c.worth
		case late:
			s.Late += by
		case refused:
			s.Refused += by
		case open, failed, left:
			s.Failed += by
		}
	}
	add(c.fate, -1)
	add(to, 1)
	c.fate = to
}

// hold follows how many requests are in the system.
func (m *Meter) hold(at time.Duration, by int64) {
	if from := max(m.heldAt, m.warmup); at > from {
		m.area += float64(m.held) * (at - from).Seconds()
	}
	m.held, m.heldAt = m.held+by, max(at, m.heldAt)
}

// Record implements record.Sink.
func (m *Meter) Record(e *record.Event) {
	switch e.Kind {
	case record.Requested:
		s := &m.seconds[m.second(e.At)]
		s.Tries++
		if e.Request == e.FirstRequest {
			c := &chain{at: e.At, class: e.Class, worth: m.worths[e.Class] * e.Work, second: m.second(e.At)}
			m.chains[e.FirstRequest] = c
			s.Asked++
			s.Worth += c.worth
			s.Failed++ // until something better is known
		}
		m.tries[e.Request] = e.FirstRequest
		m.hold(e.At, 1)
	case record.Answered, record.ClientLeft:
		first, ok := m.tries[e.Request]
		if !ok {
			return // the checker reports it
		}
		delete(m.tries, e.Request)
		m.hold(e.At, -1)
		m.answered(e, first)
	case record.Arrived:
		m.seconds[m.second(e.At)].Attempts++
		m.nodes[e.Node].Attempts++
	case record.Deduplicated:
		m.nodes[e.Node].Known++
	case record.Replied:
		switch e.Status {
		case record.Served:
			m.made[e.Token] = e.Work
		case record.Rejected:
			m.nodes[e.Node].Turned++
		}
	case record.LossDetected:
		_ = m.known.RecordValue(max(e.Wait.Microseconds(), 1))
	case record.LossUndetected:
		if m.missed++; e.Attempt < fewLosses {
			m.unseen++
		}
	case record.NodeWork:
		n := &m.nodes[e.Node]
		n.Work += e.Work
		m.done += e.Work
	}
}

func (m *Meter) answered(e *record.Event, first uint64) {
	c := m.chains[first]
	if c == nil {
		return
	}
	to := failed
	switch {
	case e.Kind == record.ClientLeft:
		to = left
	case e.Status == record.Rejected:
		to = refused
	case e.Status == record.Served:
		took := e.At - c.at
		if to = late; took <= m.aims[c.class] {
			to = inTime
			m.useful += m.made[e.Token]
		}
		delete(m.made, e.Token)
		if c.at >= m.warmup {
			_ = m.class[c.class].RecordValue(max(took.Microseconds(), 1))
			m.stay += took.Seconds()
			m.ends++
		}
		s := m.second(e.At)
		if m.hists[s] == nil {
			m.hists[s] = histogram()
		}
		_ = m.hists[s].RecordValue(max(took.Microseconds(), 1))
	}
	if c.fate != inTime && c.fate != late {
		m.count(c, to)
	}
	if to == inTime || to == late {
		delete(m.chains, first)
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

// fewLosses is the number of lost requests below which nobody can tell.
const fewLosses = 3

// Known is how long sidecars took to know that a node loses what they send, from the first that was lost there.
type Known struct {
	Losses int64   `json:"losses"` // pairs of a sidecar and a node that lost something of it
	Missed int64   `json:"missed"` // of them, not known until the node was mended
	Few    int64   `json:"few"`    // and of these, where less than three requests were lost
	P50s   float64 `json:"p50_s"`
	P90s   float64 `json:"p90_s"`
	MaxS   float64 `json:"max_s"`
}

// Figures are what a day came to, from the end of the warm-up. Shares are of first tries, or of worth where named so.
type Figures struct {
	Asked    float64  `json:"asked"`
	Worth    float64  `json:"in_time_worth"` // share of the worth that was answered in time
	InTime   float64  `json:"in_time"`
	Late     float64  `json:"late"`
	Refused  float64  `json:"refused"`
	Failed   float64  `json:"failed"`
	Tries    float64  `json:"tries_per_request"`
	Attempts float64  `json:"attempts_per_try"`
	Useful   float64  `json:"useful_work"` // served in time, of the work done
	Worst10s float64  `json:"worst_10s_worth"`
	Before   float64  `json:"before_worth"` // in the time before the first trouble
	Recover  float64  `json:"recover_s"`    // from the last trouble's end until 99% of before; -1: not by the end
	Healed   bool     `json:"healed"`       // the last 5 s are at 95% of before at least
	Held     float64  `json:"held_mean"`    // requests in the system on average, after the warm-up
	Stay     float64  `json:"stay_mean_s"`  // and how long each was there
	Known    Known    `json:"known"`
	Classes  []Class  `json:"classes"`
	Nodes    []Node   `json:"nodes"`
	Seconds  []Second `json:"seconds"`
}

// Figures sums the day up. It may be called once, at its end.
func (m *Meter) Figures() Figures {
	f := Figures{Seconds: m.seconds, Nodes: m.nodes}
	from := int(math.Ceil(m.warmup.Seconds()))
	var sum Second
	for i := range m.seconds {
		s := &m.seconds[i]
		if h := m.hists[i]; h != nil {
			s.P50ms, s.P99ms = float64(h.ValueAtQuantile(50))/1e3, float64(h.ValueAtQuantile(99))/1e3
		}
		if i < from {
			continue
		}
		sum.Asked += s.Asked
		sum.Worth += s.Worth
		sum.Earned += s.Earned
		sum.InTime += s.InTime
		sum.Late += s.Late
		sum.Refused += s.Refused
		sum.Failed += s.Failed
		sum.Tries += s.Tries
		sum.Attempts += s.Attempts
	}
	f.Asked = sum.Asked
	f.Worth, f.InTime, f.Late = ratio(sum.Earned, sum.Worth), ratio(sum.InTime, sum.Asked), ratio(sum.Late, sum.Asked)
	f.Refused, f.Failed = ratio(sum.Refused, sum.Asked), ratio(sum.Failed, sum.Asked)
	f.Tries, f.Attempts, f.Useful = ratio(sum.Tries, sum.Asked), ratio(sum.Attempts, sum.Tries), ratio(m.useful, m.done)
	f.Worst10s = 1
	for i := from; i+10 <= len(m.seconds); i++ {
		f.Worst10s = math.Min(f.Worst10s, m.share(i, i+10))
	}
	if len(m.seconds)-from < 10 {
		f.Worst10s = f.Worth
	}
	f.recovery(m, from)
	if span := (m.heldAt - m.warmup).Seconds(); span > 0 {
		f.Held = m.area / span
	}
	f.Stay = ratio(m.stay, m.ends)
	s := func(q float64) float64 { return float64(m.known.ValueAtQuantile(q)) / 1e6 }
	f.Known = Known{m.known.TotalCount() + m.missed, m.missed, m.unseen, s(50), s(90), s(100)}
	for i, h := range m.class {
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e3 }
		f.Classes = append(f.Classes, Class{m.p.Scenario.Classes[i].Name, uint64(h.TotalCount()), h.Mean() / 1e3, ms(50), ms(90),
			ms(99), ms(99.9), float64(h.Max()) / 1e3})
	}
	length := m.p.Scenario.Length.Std().Seconds()
	for i := range f.Nodes {
		k := m.p.Machines[i]
		f.Nodes[i].Use = f.Nodes[i].Work / (float64(k.Spec.Cores) * k.Spec.Speed * math.Max(length-k.StartsAt.Seconds(), 1))
	}
	return f
}

// share is the share of the worth asked for in some seconds that was answered in time.
func (m *Meter) share(from, to int) float64 {
	var earned, worth float64
	for _, s := range m.seconds[from:min(to, len(m.seconds))] {
		earned += s.Earned
		worth += s.Worth
	}
	if worth == 0 {
		return 1
	}
	return earned / worth
}

// recovery tells how long service takes to be back after the last trouble. Windows of 2 s smooth over chance.
func (f *Figures) recovery(m *Meter, from int) {
	first, last := int(m.p.FirstFault.Seconds()), int(math.Ceil(m.p.LastFaultEnd.Seconds()))
	f.Before, f.Healed = 1, true
	if m.p.LastFaultEnd == 0 {
		return
	}
	if first > from {
		f.Before = m.share(from, first)
	}
	f.Recover = -1
	for i := last; i+2 <= len(m.seconds); i++ {
		if m.share(i, i+2) >= 0.99*f.Before {
			f.Recover = float64(i - last)
			break
		}
	}
	if n := len(m.seconds); n-5 >= last {
		f.Healed = m.share(n-5, n) >= 0.95*f.Before
	}
}

func ratio(x, y float64) float64 {
	if y == 0 {
		return 0
	}
	return x / y
}

package report

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	worstWindow    = 10 // seconds of Figures.Worst10s
	recoveryWindow = 2  // seconds that smooth over chance when a recovery is looked for
	healedWindow   = 5  // seconds at the end of the run

	recoveredShare = 0.99 // of the share before the faults
	healedShare    = 0.95

	notRecovered = -1 // as RecoverSeconds

	microsPerMilli  = 1e3
	microsPerSecond = 1e6
)

// Figures sums up the run. It may be called once, at its end.
func (m *Meter) Figures() Figures {
	m.setSecondQuantiles()
	m.setUtilization()
	f := Figures{Seconds: m.seconds, Nodes: m.nodes, Classes: m.classes(), LossDetection: m.lossDetection()}
	from := int(math.Ceil(m.warmup.Seconds()))
	m.setShares(&f, from)
	m.setWorst(&f, from)
	m.setRecovery(&f, from)
	if span := (m.inFlightSince - m.warmup).Seconds(); span > 0 {
		f.MeanInFlight = m.inFlightArea / span
	}
	f.MeanStaySeconds = ratio(m.staySeconds, m.stays)
	return f
}

// setSecondQuantiles sets the latency of what was served in each second.
func (m *Meter) setSecondQuantiles() {
	for i, histogram := range m.secondLatencies {
		if histogram != nil {
			m.seconds[i].P50ms = milliseconds(histogram, 50)
			m.seconds[i].P99ms = milliseconds(histogram, 99)
		}
	}
}

// setUtilization sets the share of its capacity that each node used.
func (m *Meter) setUtilization() {
	length := m.plan.Scenario.Length.Std().Seconds()
	for i := range m.nodes {
		machine := &m.plan.Machines[i]
		present := math.Max(length-machine.StartsAt.Seconds(), 1)
		m.nodes[i].Utilization = m.nodes[i].Work / (float64(machine.Spec.Cores) * machine.Spec.Speed * present)
	}
}

// setShares sets the shares of outcomes from a second on.
func (m *Meter) setShares(f *Figures, from int) {
	var sum Second
	for i := from; i < len(m.seconds); i++ {
		sum.addOutcomes(&m.seconds[i])
	}
	f.FirstRequests = sum.FirstRequests
	f.InTimePriority = ratio(sum.EarnedPriority, sum.Priority)
	f.InTime = ratio(sum.InTime, sum.FirstRequests)
	f.Late = ratio(sum.Late, sum.FirstRequests)
	f.Rejected = ratio(sum.Rejected, sum.FirstRequests)
	f.Failed = ratio(sum.Failed, sum.FirstRequests)
	f.RequestsPerFirst = ratio(sum.Requests, sum.FirstRequests)
	f.AttemptsPerRequest = ratio(sum.Attempts, sum.Requests)
	f.UsefulWork = ratio(m.usefulWork, m.workDone)
}

// setWorst sets the least share of priority in any window; a run shorter than one is a single window.
func (m *Meter) setWorst(f *Figures, from int) {
	f.Worst10s = 1
	for i := from; i+worstWindow <= len(m.seconds); i++ {
		f.Worst10s = math.Min(f.Worst10s, m.inTimePriority(i, i+worstWindow))
	}
	if len(m.seconds)-from < worstWindow {
		f.Worst10s = f.InTimePriority
	}
}

// setRecovery sets how long service takes to be back after the last fault.
func (m *Meter) setRecovery(f *Figures, from int) {
	f.BeforeFaults, f.Healed = 1, true
	if m.plan.LastFaultEnd == 0 {
		return
	}
	first, last := int(m.plan.FirstFault.Seconds()), int(math.Ceil(m.plan.LastFaultEnd.Seconds()))
	if first > from {
		f.BeforeFaults = m.inTimePriority(from, first)
	}
	f.RecoverSeconds = m.recoverSeconds(last, recoveredShare*f.BeforeFaults)
	if end := len(m.seconds); end-healedWindow >= last {
		f.Healed = m.inTimePriority(end-healedWindow, end) >= healedShare*f.BeforeFaults
	}
}

// recoverSeconds is the time from a second until the share of priority is back at a value.
func (m *Meter) recoverSeconds(last int, share float64) float64 {
	for i := last; i+recoveryWindow <= len(m.seconds); i++ {
		if m.inTimePriority(i, i+recoveryWindow) >= share {
			return float64(i - last)
		}
	}
	return notRecovered
}

// inTimePriority is the share of the priority in some seconds that was served in time; 1 if there were no requests.
func (m *Meter) inTimePriority(from, to int) float64 {
	var earned, priority float64
	for _, second := range m.seconds[from:min(to, len(m.seconds))] {
		earned += second.EarnedPriority
		priority += second.Priority
	}
	if priority == 0 {
		return 1
	}
	return earned / priority
}

// classes are the latencies by class.
func (m *Meter) classes() (classes []Class) {
	for i, histogram := range m.classLatencies {
		classes = append(classes, Class{
			Name:   m.plan.Scenario.Classes[i].Name,
			Served: uint64(histogram.TotalCount()),
			MeanMS: histogram.Mean() / microsPerMilli,
			P50ms:  milliseconds(histogram, 50),
			P90ms:  milliseconds(histogram, 90),
			P99ms:  milliseconds(histogram, 99),
			P999ms: milliseconds(histogram, 99.9),
			MaxMS:  float64(histogram.Max()) / microsPerMilli,
		})
	}
	return classes
}

// lossDetection is how long sidecars took to detect losses.
func (m *Meter) lossDetection() LossDetection {
	return LossDetection{
		Losses:        m.detectionDelays.TotalCount() + m.undetected,
		Undetected:    m.undetected,
		UndetectedFew: m.undetectedFew,
		P50s:          float64(m.detectionDelays.ValueAtQuantile(50)) / microsPerSecond,
		P90s:          float64(m.detectionDelays.ValueAtQuantile(90)) / microsPerSecond,
		MaxS:          float64(m.detectionDelays.ValueAtQuantile(100)) / microsPerSecond,
	}
}

// milliseconds is a quantile, in percent, of a histogram.
func milliseconds(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / microsPerMilli
}

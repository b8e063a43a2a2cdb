package faultplan

import (
	"slices"
	"time"
)

// LinkCondition is the combined effect of the faults on the link from one sidecar to another at one time.
type LinkCondition struct {
	Cut       bool
	Drop      float64       // share of the messages that are lost
	Duplicate float64       // share of the messages that arrive twice
	Delay     time.Duration // maximum; the delay of each message is uniform between 0 and Delay
	Rate      float64       // bytes per second; 0: unlimited
}

// LinkCondition returns the condition of the link from one sidecar to another at a time.
func (p Plan) LinkCondition(at time.Duration, from, to int) (link LinkCondition) {
	if from == to { // two processes of one sidecar run on the same machine
		return LinkCondition{}
	}
	for _, f := range p.Faults {
		if f.concerns(at, from) && slices.Contains(f.To, to) {
			link.addFault(f)
		}
	}
	return link
}

// addFault adds the effect of a fault. If several faults of a kind overlap, the most severe one applies.
func (l *LinkCondition) addFault(f Fault) {
	switch f.Kind {
	case Cut:
		l.Cut = true
	case Drop:
		l.Drop = max(l.Drop, f.Amount)
	case Duplicate:
		l.Duplicate = max(l.Duplicate, f.Amount)
	case Delay:
		l.Delay = max(l.Delay, seconds(f.Amount))
	case Throttle:
		if l.Rate == 0 || f.Amount < l.Rate {
			l.Rate = f.Amount
		}
	}
}

// ClockOffset returns the offset of a sidecar's time of day at a time. It is the sum of the clock faults that are
// active at that time.
func (p Plan) ClockOffset(at time.Duration, sidecar int) (offset time.Duration) {
	for _, f := range p.Faults {
		if f.Kind == Clock && f.concerns(at, sidecar) {
			offset += seconds(f.Amount)
		}
	}
	return offset
}

// ServerCondition reports whether a server is unresponsive at a time, and returns the delay of its responses.
func (p Plan) ServerCondition(at time.Duration, server int) (unresponsive bool, delay time.Duration) {
	for _, f := range p.Faults {
		if !f.concerns(at, server) {
			continue
		}
		switch f.Kind {
		case Unresponsive:
			unresponsive = true
		case Slow:
			delay += seconds(f.Amount)
		}
	}
	return unresponsive, delay
}

func seconds(amount float64) time.Duration { return time.Duration(amount * float64(time.Second)) }

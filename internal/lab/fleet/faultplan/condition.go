package faultplan

import (
	"slices"
	"time"
)

// LinkCondition is what a directed pair of sidecars does to messages at one moment.
type LinkCondition struct {
	Cut       bool
	Drop      float64       // share
	Duplicate float64       // share
	Delay     time.Duration // upper bound: each message's is drawn evenly from 0 to this
	Rate      float64       // bytes a second; 0: no bound
}

// LinkCondition is what a directed pair does at a time.
func (p Plan) LinkCondition(at time.Duration, from, to int) (link LinkCondition) {
	if from == to { // two processes of one sidecar are on one machine
		return LinkCondition{}
	}
	for _, f := range p.Faults {
		if f.concerns(at, from) && slices.Contains(f.To, to) {
			link.addFault(f)
		}
	}
	return link
}

// addFault adds a fault's effect. Of several faults of one kind the worst counts.
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

// ClockOffset is by how much a sidecar's time of day is off at a time.
func (p Plan) ClockOffset(at time.Duration, sidecar int) (offset time.Duration) {
	for _, f := range p.Faults {
		if f.Kind == Clock && f.concerns(at, sidecar) {
			offset += seconds(f.Amount)
		}
	}
	return offset
}

// ServerCondition says whether a server responds at a time, and how late.
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

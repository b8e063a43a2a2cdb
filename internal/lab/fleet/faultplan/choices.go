package faultplan

// choice is a fault that may be drawn. It completes and adds a fault whose times are given.
type choice func(d *drawer, f Fault)

// addOneOf adds one of some faults.
func (d *drawer) addOneOf(f Fault, choices []choice) {
	choices[d.random.IntN(len(choices))](d, f)
}

// noFault adds nothing.
func noFault(*drawer, Fault) {}

// onAllLinks has a fault concern each pair of sidecars, by an amount from least to least+span.
func onAllLinks(kind Kind, least, span float64) choice {
	return func(d *drawer, f Fault) {
		f.Kind = kind
		f.Amount = d.drawAmount(least, span)
		f.From, f.To = d.allSidecars(), d.allSidecars()
		d.addFault(f)
	}
}

// onLinksFrom has a fault concern what one to most sidecars send, by an amount from least to least+span.
func onLinksFrom(most int, kind Kind, least, span float64) choice {
	return func(d *drawer, f Fault) {
		f.Kind = kind
		f.Amount = d.drawAmount(least, span)
		f.From, f.To = d.drawSidecars(most), d.allSidecars()
		d.addFault(f)
	}
}

// cutOneWay has no other sidecar receive what one to most sidecars send.
func cutOneWay(most int) choice {
	return func(d *drawer, f Fault) {
		f.Kind = Cut
		f.From = d.drawSidecars(most)
		f.To = d.otherSidecars(f.From)
		d.addFault(f)
	}
}

// split cuts one to most sidecars off from the others, both ways.
func split(most int) choice {
	return func(d *drawer, f Fault) { d.addSplit(f, d.drawSidecars(most)) }
}

// splitOne cuts one sidecar off from the others, both ways.
func splitOne(d *drawer, f Fault) { d.addSplit(f, []int{d.drawSidecar()}) }

// addSplit adds a fault for each way.
func (d *drawer) addSplit(f Fault, side []int) {
	f.Kind = Cut
	f.From, f.To = d.otherSidecars(side), side
	d.addFault(f)
	f.From, f.To = f.To, f.From
	d.addFault(f)
}

// onSidecars has a fault concern one to most sidecars.
func onSidecars(kind Kind, most int) choice {
	return func(d *drawer, f Fault) {
		f.Kind = kind
		f.From = d.drawSidecars(most)
		d.addFault(f)
	}
}

// suspendOne suspends one sidecar.
func suspendOne(d *drawer, f Fault) {
	f.Kind = Suspend
	f.From = []int{d.drawSidecar()}
	d.addFault(f)
}

// maxClockOffset bounds how far a clock is off, in seconds.
const maxClockOffset = 3600

// clocksOff has the time of day of one to most sidecars off by up to an hour, to the end of the plan.
func clocksOff(most int) choice {
	return func(d *drawer, f Fault) {
		f.Kind = Clock
		f.From = d.drawSidecars(most)
		f.Amount = float64(d.random.IntN(2*maxClockOffset) - maxClockOffset)
		f.Duration = d.plan.Length
		d.addFault(f)
	}
}

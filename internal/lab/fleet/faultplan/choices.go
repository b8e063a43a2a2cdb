package faultplan

// choice is a function that completes a fault whose times are set and adds it to the plan.
type choice func(d *drawer, f Fault)

// addOneOf calls one of the choices, drawn at random, with a fault whose times are set.
func (d *drawer) addOneOf(f Fault, choices []choice) {
	choices[d.random.IntN(len(choices))](d, f)
}

// noFault is a choice that adds no fault.
func noFault(*drawer, Fault) {}

// onAllLinks returns a choice that applies a fault to the links between all pairs of sidecars, with an amount from
// least to least+span.
func onAllLinks(kind Kind, least, span float64) choice {
	return func(d *drawer, f Fault) {
		f.Kind = kind
		f.Amount = d.drawAmount(least, span)
		f.From, f.To = d.allSidecars(), d.allSidecars()
		d.addFault(f)
	}
}

// onLinksFrom returns a choice that applies a fault to all messages sent by a random set of one to most sidecars, with
// an amount from least to least+span.
func onLinksFrom(most int, kind Kind, least, span float64) choice {
	return func(d *drawer, f Fault) {
		f.Kind = kind
		f.Amount = d.drawAmount(least, span)
		f.From, f.To = d.drawSidecars(most), d.allSidecars()
		d.addFault(f)
	}
}

// cutOneWay returns a choice that drops all messages sent by a random set of one to most sidecars to the others.
func cutOneWay(most int) choice {
	return func(d *drawer, f Fault) {
		f.Kind = Cut
		f.From = d.drawSidecars(most)
		f.To = d.otherSidecars(f.From)
		d.addFault(f)
	}
}

// split returns a choice that cuts a random set of one to most sidecars off from the others in both directions.
func split(most int) choice {
	return func(d *drawer, f Fault) { d.addSplit(f, d.drawSidecars(most)) }
}

// splitOne is a choice that cuts one sidecar off from the others in both directions.
func splitOne(d *drawer, f Fault) { d.addSplit(f, []int{d.drawSidecar()}) }

// addSplit adds a Cut fault for each direction between some sidecars and the others.
func (d *drawer) addSplit(f Fault, side []int) {
	f.Kind = Cut
	f.From, f.To = d.otherSidecars(side), side
	d.addFault(f)
	f.From, f.To = f.To, f.From
	d.addFault(f)
}

// onSidecars returns a choice that applies a fault to a random set of one to most sidecars.
func onSidecars(kind Kind, most int) choice {
	return func(d *drawer, f Fault) {
		f.Kind = kind
		f.From = d.drawSidecars(most)
		d.addFault(f)
	}
}

// suspendOne is a choice that suspends one sidecar.
func suspendOne(d *drawer, f Fault) {
	f.Kind = Suspend
	f.From = []int{d.drawSidecar()}
	d.addFault(f)
}

// maxClockOffset is the maximum offset of a clock in either direction, in seconds.
const maxClockOffset = 3600

// clocksOff returns a choice that shifts the time of day of a random set of one to most sidecars by up to an hour. The
// fault lasts for the length of the plan.
func clocksOff(most int) choice {
	return func(d *drawer, f Fault) {
		f.Kind = Clock
		f.From = d.drawSidecars(most)
		f.Amount = float64(d.random.IntN(2*maxClockOffset) - maxClockOffset)
		f.Duration = d.plan.Length
		d.addFault(f)
	}
}

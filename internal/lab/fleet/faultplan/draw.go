package faultplan

import (
	"slices"
	"time"
)

// Draw draws a plan of the given length with faults of all kinds except upgrades and server faults. It starts without
// faults, and no fault except a clock fault lasts for more than about half of the plan.
func Draw(seed uint64, sidecars int, length time.Duration) Plan {
	d := newDrawer(mixedStream, Plan{Seed: seed, Sidecars: sidecars, Servers: 4, Length: length})
	choices := []choice{
		onAllLinks(Drop, 0.1, 0.5),
		onLinksFrom(sidecars, Delay, 0.1, 1),
		onAllLinks(Duplicate, 0, 0.5),
		onLinksFrom(sidecars, Throttle, 500, 4000),
		cutOneWay(2),
		split(sidecars - 1),
		onSidecars(Kill, sidecars),
		onSidecars(Suspend, sidecars/2),
		clocksOff(2),
	}
	for range d.drawNumber(1, 4) {
		f := Fault{At: d.drawTimeAfterQuiet()}
		f.Duration = length/30 + d.drawTime(length/2)
		d.addOneOf(f, choices)
	}
	for range d.drawNumber(2, 7) {
		at := d.drawTimeAfterQuiet()
		d.addCall(at, d.drawSidecar(), 3)
	}
	return d.finish()
}

// DrawServers draws a plan in which some servers are unresponsive and others are slow. In addition, messages between
// sidecars are lost, delayed or duplicated, or sidecars are cut off or suspended for a time.
func DrawServers(seed uint64, sidecars int, length time.Duration) Plan {
	d := newDrawer(serversStream, Plan{Seed: seed, Sidecars: sidecars, Servers: 8, Length: length})
	order := d.random.Perm(d.plan.Servers)
	mute := order[:d.drawNumber(1, 2)]
	d.addServerFault(Unresponsive, mute, 0)
	slow := order[2:d.drawNumber(3, 4)]
	d.addServerFault(Slow, slow, d.drawAmount(0.3, 0.5))
	choices := []choice{
		onAllLinks(Drop, 0.1, 0.2),
		onAllLinks(Delay, 0.1, 0.2),
		onAllLinks(Duplicate, 0, 0.5),
		splitOne,
		suspendOne,
	}
	for range d.drawNumber(1, 3) {
		d.addOneOf(Fault{At: d.drawTime(length), Duration: length / 4}, choices)
	}
	return d.finish()
}

// addServerFault adds a server fault that lasts for half of the plan and starts after the period without faults.
func (d *drawer) addServerFault(kind Kind, servers []int, amount float64) {
	half := d.plan.Length / 2
	at := d.quietTime() + d.drawTime(d.plan.Length-d.quietTime()-half)
	d.addFault(Fault{Kind: kind, At: at, Duration: half, From: servers, Amount: amount})
}

// DrawChanges draws a plan that starts without faults and changes the policy several times. Meanwhile messages are lost
// or delayed, or sidecars are cut off, suspended, killed or upgraded. The affected sidecars may include the first
// three, which are voters.
func DrawChanges(seed uint64, sidecars int, length time.Duration) Plan {
	d := newDrawer(changeStream, Plan{Seed: seed, Sidecars: sidecars, Servers: 2, Length: length})
	choices := []choice{
		onAllLinks(Drop, 0.1, 0.3),
		onAllLinks(Delay, 0.05, 0.3),
		cutOneWay(2),
		split(sidecars / 2),
		onSidecars(Kill, 2),
		onSidecars(Suspend, 2),
		onSidecars(Upgrade, 1),
	}
	for range 3 {
		at := d.quietTime() + d.drawTime(length*2/3)
		d.plan.Changes = append(d.plan.Changes, Change{At: at, Sidecar: d.drawSidecar()})
		f := Fault{At: max(at-length/20+d.drawTime(length/10), d.quietTime())}
		f.Duration = length/20 + d.drawTime(length/4)
		d.addOneOf(f, choices)
	}
	return d.finish()
}

// DrawUpgrades draws a plan that starts without faults and upgrades sidecars. At least one sidecar is cut off during
// its upgrade, and messages may be lost, delayed or duplicated. Operators call at the upgraded sidecars shortly before,
// during and after the upgrades.
func DrawUpgrades(seed uint64, sidecars int, length time.Duration) Plan {
	d := newDrawer(upgradeStream, Plan{Seed: seed, Sidecars: sidecars, Servers: 4, Length: length})
	order := d.random.Perm(sidecars)
	for n, upgraded := range order[:d.drawNumber(2, 3)] {
		at := length/4 + d.drawTime(length/4)
		d.addUpgrade(at, upgraded)
		if n == 0 || d.drawOneIn(3) {
			side := []int{upgraded}
			if n == 0 && d.drawOneIn(2) {
				side = append(side, order[len(order)-1])
			}
			d.addCutAround(at, side)
		}
		if d.drawOneIn(3) { // second upgrade, back to the first slot
			d.addUpgrade(at+length/3, upgraded)
		}
		for range d.drawNumber(1, 3) {
			d.addCall(at-length/12+d.drawTime(length/6), upgraded, 3)
		}
	}
	d.addOneOf(Fault{At: d.quietTime() + d.drawTime(length/3), Duration: length / 2}, []choice{
		onAllLinks(Drop, 0.1, 0.2),
		onAllLinks(Delay, 0.1, 0.2),
		onAllLinks(Duplicate, 0, 0.5),
		noFault,
	})
	for range d.drawNumber(1, 3) {
		at := d.quietTime() + d.drawTime(length*5/6)
		d.addCall(at, d.drawSidecar(), 2)
	}
	return d.finish()
}

func (d *drawer) addUpgrade(at time.Duration, sidecar int) {
	overlap := 500*time.Millisecond + d.drawTime(time.Second)
	d.addFault(Fault{Kind: Upgrade, At: at, Duration: overlap, From: []int{sidecar}})
}

// addCutAround cuts some sidecars off in a period around a time, either in both directions or only for messages that
// they send.
func (d *drawer) addCutAround(at time.Duration, side []int) {
	slices.Sort(side)
	length := d.plan.Length
	begin := max(at-length/6-d.drawTime(length/12), d.quietTime())
	end := at + length/6 + d.drawTime(length/6)
	others := d.otherSidecars(side)
	d.addFault(Fault{Kind: Cut, At: begin, Duration: end - begin, From: side, To: others})
	if !d.drawOneIn(3) {
		d.addFault(Fault{Kind: Cut, At: begin, Duration: end - begin, From: others, To: side})
	}
}

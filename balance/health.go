package balance

import (
	"cmp"
	"math"
	"time"

	"milletramp.example/milletramp/internal/repeats"
)

const (
	tickEvery    = 100 * time.Millisecond // housekeeping
	memory       = 6 * time.Second        // what answers have taught fades by 1/e in this time
	newsMemory   = time.Second            // and what tells how long they take just now in this
	fullAt       = 2.5                    // of the usual time for its size when idle: below it none is full
	unseen       = 1.0                    // requests of others that each endpoint is taken to hold
	prior        = 2.0                    // requests held by which an endpoint's own record outweighs its peers'
	loseAll      = 0.95                   // share lost that shuts a class out, or ejects an endpoint
	failMost     = 0.8                    // share of faults that ejects it
	lateAfter    = 4.0                    // mean distances from the mean time: few answers take longer
	lateMost     = 0.5                    // of the class's aim: what is out for longer is late in any case
	copyAt       = 0.5                    // probability of loss at which an attempt is made anew
	budgetShare  = 1.0 / 3                // further attempts that a success pays for: what a quarter lost takes
	budgetMost   = 20.0                   // and that may be put by
	leastLook    = 0.005                  // seconds after which an attempt is looked at again at least
	lossUsual    = 0.001                  // share of attempts lost where nothing is known
	learnBelow   = 0.03                   // share lost under which answers teach how long they take
	partLost     = 0.2                    // share lost that is not silence: so few in a row prove nothing
	timedOutLost = 0.05                   // share lost at least, for an attempt that outlasts its client
	pauseMost    = 6.0                    // shortest aims after which a silence is more than a pause
	classKeep    = 0.85                   // what an attempt leaves of its class's record at its endpoint
	nodeKeep     = 0.93                   // of its endpoint's
	fleetKeep    = 0.995                  // and of the fleet's
	shapeMemory  = 20 * time.Second       // the shape of answer times fades by 1/e in this time
	ejectFor     = 5 * time.Second        // an ejection lasts; the next fault after it is another
	shutFor      = time.Second            // an endpoint that turned a class away is not asked again
	wordMost     = 0.5                    // of the ready size: so much at most others' word puts behind the rest
	wordFor      = 3 * time.Second        // after it was written it counts for nothing
	ejectMost    = 0.5                    // of the ready size: with more ejected, the fault is likely our own
	spillAt      = 0.5                    // of the shortest aim: above it an endpoint is full
	crossAt      = 8.0                    // of the crossing charge, in aims: an answer that much sooner pays
	refuseAt     = 0.85                   // of the shortest aim: no answer expected later is worth its work
	// Of the time for which repeats are dropped, what is left free before a repeat is chosen, and before its last byte
	// is sent: it may be held up after the host has checked its time, and then has its way to go.
	repeatMargin  = time.Second / 2
	arrivalMargin = SchedulingStall + wayMargin
	wayMargin     = 25 * time.Millisecond
	workStep      = 0.05    // weight of an answer in the mean time of its class
	overBar       = 0.5     // bar of requests beyond an allowance, as a share of their class's
	mostTries     = 1 << 12 // of a request, that timers can tell apart
	mostClasses   = 256     // that may come and go by new settings
	leastNear     = 0.001   // weight of other zones at least: enough to know them
	shiftStep     = 0.03    // of the way to go, what a tick moves the weight of other zones
)

// usual is the time to get through a request held for each unit of size: answer times over held.
func (g *group) usual() float64 { return g.took / math.Max(g.held, 1e-9) }

// usual is that time in the own zone and in others. Danger: each answer of another zone takes the way there
// and back, and an idle endpoint there would pass for a full one. Where little is known, the fleet's counts.
func (b *Balancer) usual() (at [2]float64) {
	for i := range at {
		at[i] = (b.apart[i].took + prior*b.fleet.usual()) / (b.apart[i].held + prior)
	}
	return at
}

// tightBar is the expected answer time in seconds above which a class is refused while it is tight. Worth for
// each second that answers take counts: a class that has a quarter of the dearest's waits half as long.
func (b *Balancer) tightBar(class int) float64 {
	own := b.set.Classes[class].Worth / b.work[class]
	dearest := math.SmallestNonzeroFloat64
	for i, c := range b.set.Classes {
		if !b.dropped[i] {
			dearest = math.Max(dearest, c.Worth/b.work[i])
		}
	}
	return refuseAt * b.aim * math.Sqrt(own/dearest)
}

// expect is the answer time in seconds that a request sent now can expect, from what the endpoint's answers
// took for each request held. A little-used one is judged by its group, as kinds and zones are not equally
// loaded, and a little-used group by the fleet. Danger: a sidecar that believes the fleet too slow sends
// nothing and never learns better. So what is not tested is believed in less and less, until a request tries
// it, one at a time. Danger: where all is full, each of many sidecars would try each endpoint in turn, and
// such tries alone keep the fleet full. So what is not tested is taken to be like its group, not to be idle,
// and a group like the fleet; the fleet is doubted only when nothing at all has been heard.
// Danger: a cold endpoint can do less at a time, but answers what finds it idle as soon as a warm one.
func (b *Balancer) expect(e *endpoint, now Time) float64 {
	fleet := b.fleet.usual()
	group := (e.home.took + e.home.owed + prior*fleet) / (e.home.held + prior)
	drain := (e.took + e.owed(now) + prior*group/e.Size) / (e.held + prior)
	if e.inFlight == 0 && drain > refuseAt*b.aim/(1+unseen) { // others are tested in turn
		group = fade(group, fleet, now-e.home.told)
		drain = fade(drain, group/e.Size, now-e.told)
		drain = fade(drain, 0, now-b.fleet.told)
	}
	return (float64(e.inFlight)/e.warm + 1 + unseen) * drain
}

// fade is what is left of a belief that has not been tested for some time, where less is believed of the like
// of it.
func fade(belief, like float64, untested time.Duration) float64 {
	return like + max(belief-like, 0)*max(0, 1-untested.Seconds()/memory.Seconds()) + min(belief-like, 0)
}

// owed is the sum in seconds of how long the requests in flight have been out. Danger: the first answers to
// come are the quick ones; a slowed endpoint owes answers before its answers tell; a dead one looks idle.
func (e *endpoint) owed(now Time) float64 { return (now*Time(e.inFlight) - e.sent).Seconds() }

// lateTime is the time in seconds after which an answer of the class is late.
func (b *Balancer) lateTime(class int) float64 {
	return min(b.work[class]+lateAfter*b.spread[class], lateMost*b.set.Classes[class].Aim.Seconds())
}

// scale is the time in seconds that an answer of the class can be expected to take, 0 where nothing is known.
func (b *Balancer) scale(expect float64, class int) float64 {
	return b.work[class] * max(expect/b.mean, 0.25)
}

// loses is the share of the class lost at e, from the records of the class there, the endpoint and the fleet.
func (b *Balancer) loses(e *endpoint, class int) float64 {
	return e.classes[class].Loss.Share(b.usualLoss(e))
}

// Loses is the share of a class that an endpoint is taken to lose: 1 where it gets none of it, 0 if unknown.
func (b *Balancer) Loses(now Time, id string, class int) float64 {
	e := b.known[id]
	switch {
	case e == nil || class < 0 || class >= len(b.set.Classes):
		return 0
	case now < e.until || e.classes[class].Shut():
		return 1
	}
	return b.loses(e, class)
}

// usualLoss is the share of attempts lost at e that is no alarm.
func (b *Balancer) usualLoss(e *endpoint) float64 { return e.loss.Share(b.losses.Share(lossUsual)) }

// doubtTime is the time in seconds after which an attempt is more likely lost than not. Danger: an endpoint
// that never lost anything may fall silent all the same.
func (b *Balancer) doubtTime(q *request, a *attempt) float64 {
	share := b.loses(a.to, q.Class)
	if a.to.heard < a.sent {
		share = max(share, lossUsual)
	}
	return a.scale * b.shape.Beyond(repeats.Until(share, copyAt))
}

// suspect has an attempt that is still out count as lost by its probability, so that losses are known long
// before a client gives up.
func (b *Balancer) suspect(q *request, a *attempt, now Time) {
	survival := b.shape.Survival((now - a.sent).Seconds() / a.scale)
	b.unanswered(q.Class, a, survival, repeats.Lost(b.loses(a.to, q.Class), survival), now)
}

// settle takes in what the end of an attempt tells of losses.
func (b *Balancer) settle(q *request, a *attempt, r Result, now Time) {
	e, out, share := a.to, r.Took.Seconds()/a.scale, b.loses(a.to, q.Class)
	switch {
	case r.Outcome == Served:
		if share < learnBelow {
			b.shape.Answered(out)
		}
		e.silent = 0
		if a.expected > 0 {
			e.slowdown.Answered(r.Took.Seconds() / a.expected)
		}
		e.classes[q.Class].Served(b.usualLoss(e), loseAll)
		b.record(q.Class, a, 0)
	case r.Outcome == TimedOut || r.Outcome == Cancelled && e.heard >= a.sent:
		if r.Outcome == TimedOut { // few answers outlast a client
			share = max(share, timedOutLost)
		}
		survival := b.shape.Survival(out)
		lost := repeats.Lost(share, survival)
		if share < learnBelow {
			b.shape.CalledOff(out, 1-lost)
		}
		b.unanswered(q.Class, a, survival, lost, now)
	case a.doubt > 0:
		b.record(q.Class, a, 0)
	}
}

// unanswered enters an attempt that has had no answer. An endpoint that loses all it gets is ejected, one
// that loses all of a class is shut to it. Danger: one that loses a part has the rest of its capacity, and
// what is taken away from it crowds the others, which then look late. So both ask for evidence that all is
// lost, against the share usual there, and what was sent before tells nothing new.
func (b *Balancer) unanswered(class int, a *attempt, survival, lost float64, now Time) {
	e := a.to
	if e.heard < a.sent { // slow or silent: it tells nothing of what it loses
		// Danger: a pause of the endpoint holds up all that is out there. That is one silence, not many: at first
		// only what is sent after it was noticed tells whether it lasts.
		news := a.sent >= e.hushed
		if !a.silent && (a.done || news || (now-e.hushed).Seconds() >= pauseMost*b.aim) {
			if a.silent = true; news {
				e.hushed = now
			}
			b.saw(e, SawSilence)
			e.silent.Bad(survival, max(b.usualLoss(e), partLost), loseAll, 0)
		}
		if e.silent.Rings() && a.sent >= e.until {
			b.eject(e, now)
		}
		return
	}
	var wait Time
	a.alarm, wait = e.classes[class].Unanswered(a.sent, now, shutFor, survival, b.usualLoss(e), loseAll, a.alarm)
	if b.record(class, a, lost); wait > 0 {
		b.shut(e, class, now+Time((0.75+b.rng.Float64()/2)*float64(wait)))
	}
}

// record counts an attempt as lost by a probability, in place of the one that it counted with before.
func (b *Balancer) record(class int, a *attempt, lost float64) {
	for i, r := range [...]*repeats.Record{&a.to.classes[class].Loss, &a.to.loss, &b.losses} {
		if a.doubt > 0 {
			r.Correct(a.doubt, lost)
		} else {
			r.Add(lost, [...]float64{classKeep, nodeKeep, fleetKeep}[i])
		}
	}
	a.doubt = max(lost, math.SmallestNonzeroFloat64)
}

// learn takes in how an attempt ended. Danger: where some connections are dead or swallow requests, each
// costs a time-out, of many answers' time. An endpoint that has answered since is not slow, as its answers
// tell, and not silent: what it loses is counted apart. One that is slow or overloaded is known by its late
// answers, a silent one by their lack.
func (b *Balancer) learn(a *attempt, r Result, now Time) {
	e := a.to
	swallowed := r.Outcome == TimedOut && e.heard >= a.sent
	if r.Outcome == Served || r.Outcome == TimedOut && !swallowed {
		if r.Outcome == Served {
			e.home.heard = now
		}
		if e.home.speaks(now) {
			b.loadLevel.Ended(r.Took.Seconds(), r.Outcome == Served)
		}
		e.told = now
		e.took += r.Took.Seconds()
		e.held += a.held
		for _, g := range [...]*group{e.home, b.fleet, &b.apart[e.abroad]} {
			g.told = now
			g.took += r.Took.Seconds()
			g.held += a.held / e.Size
		}
	}
	// Danger: an endpoint that fails fast looks idle and draws all requests. Where connections break or answers
	// come spoilt from all alike, each would be ejected for what the others do too: what is usual is taken from
	// them. Connections that break together are one fault: only what is sent after it tells whether it lasts.
	usual := (b.failed - e.failed) / math.Max(b.ended-e.ended, 1)
	e.ended, b.ended = e.ended+1, b.ended+1
	switch r.Outcome {
	case Served:
		e.heard = now
		e.faults.Good(usual, failMost)
		b.saw(e, SawAnswer)
	case Errored, ConnectFailed, Reset:
		b.saw(e, map[bool]Sight{true: SawRefusal, false: SawFailure}[r.Outcome == ConnectFailed])
		e.failed, b.failed = e.failed+1, b.failed+1
		if a.sent >= max(e.until, e.broke) {
			e.broke = now
			if e.faults.Bad(0, usual, failMost, 0); e.faults.Rings() {
				b.eject(e, now)
			}
		}
	}
}

func (b *Balancer) saw(e *endpoint, s Sight) {
	if b.witness != nil {
		b.witness.Saw(e.ID, s)
	}
}

// doubted tells whether the word of others stands against e. Danger: it may be false, or old. An own answer
// since goes before it, and so does a start; it never opens what the own eyes have shut.
func (b *Balancer) doubted(e *endpoint, now Time) bool {
	return e.word > max(e.heard, e.Started) && now-e.word < wordFor
}

// forget lets go of what was seen of an endpoint. Danger: what the servers of a lost zone did not answer is
// still in what is known of their group, and out. They would be taken for slow, and left alone, when back.
func (b *Balancer) forget(e *endpoint, started, now Time) {
	for _, g := range [...]*group{e.home, b.fleet, &b.apart[e.abroad]} {
		g.took = max(g.took-e.took, 0)
		g.held = max(g.held-e.held/cmp.Or(e.Size, 1), 0)
	}
	e.seen = b.nothing(now)
	for _, q := range b.requests {
		for i := range q.attempts {
			if a := &q.attempts[i]; a.to == e && !a.done && a.sent < started {
				a.drop()
			}
		}
	}
}

func (b *Balancer) eject(e *endpoint, now Time) {
	e.until = now + ejectFor
	e.faults.Again()
	e.silent.Again()
	b.act.Log("ejected " + e.ID)
	b.regroup(now)
}

// shut keeps a class from an endpoint until then, but for one request that tries it after that. It is logged
// once until an answer opens the endpoint.
func (b *Balancer) shut(e *endpoint, class int, until Time) {
	if e.classes[class].Close(until) {
		b.act.Log("shut " + e.ID + " to " + b.set.Classes[class].Name)
	}
}

// fade lets go of old knowledge, but for what is to be kept, and recounts warmth and the share ejected.
// Danger: where most endpoints seem bad, the fault is likely our own; then ejection is suspended.
func (b *Balancer) fade(now Time, keep float64) {
	var out, all, owed float64
	b.arrived, b.room, b.whole, b.ended, b.failed = b.arrived*keep, 0, 0, b.ended*keep, b.failed*keep
	b.capacity.warm = [2]float64{}
	b.losses.Fade(keep)
	b.shape.Fade(math.Pow(keep, memory.Seconds()/shapeMemory.Seconds()))
	for _, g := range b.groups {
		g.took, g.held, g.owed = g.took*keep, g.held*keep, 0
	}
	for i := range b.apart {
		b.apart[i].took, b.apart[i].held = b.apart[i].took*keep, b.apart[i].held*keep
	}
	b.looked += len(b.active)
	for _, e := range b.active {
		if now >= e.until && e.home.speaks(now) {
			owed += e.owed(now)
		}
		e.took, e.held, e.ended, e.failed = e.took*keep, e.held*keep, e.ended*keep, e.failed*keep
		e.loss.Fade(keep)
		e.slowdown.Fade(keep)
		for i := range e.classes {
			e.classes[i].Loss.Fade(keep)
		}
		e.warm = b.warmth(e, now)
		e.home.owed += e.owed(now)
		b.room += e.Size * e.warm * b.near[e.abroad]
		b.whole += e.Size * e.warm
		if all += e.Size; now < e.until {
			out += e.Size
		} else if e.warm >= 1 {
			b.capacity.warm[0] += e.Size * b.near[e.abroad]
			b.capacity.warm[1] += e.Size
		}
	}
	// Danger: where attempts are lost, that they are out tells nothing of how long answers take.
	owed *= max(0, 1-b.losses.Share(lossUsual)/partLost)
	b.loadLevel.Decay(math.Pow(keep, memory.Seconds()/newsMemory.Seconds()), keep, owed)
	b.panicking = out > ejectMost*all
}

// speaks tells whether any of the group has answered of late.
func (g *group) speaks(now Time) bool { return now-g.heard <= newsMemory }

// warmth is the share of its capacity that an endpoint has: it rises evenly from its start.
func (b *Balancer) warmth(e *endpoint, now Time) float64 {
	age := now - e.Started
	if e.Started <= 0 || age >= b.set.ColdTime {
		return 1
	}
	return b.set.StartCapacity + (1-b.set.StartCapacity)*max(age.Seconds(), 0)/b.set.ColdTime.Seconds()
}

// drawTurns draws when started endpoints have their first turn: within the time in which each has one.
// Sidecars that are told at once must not send at once. That time is long for one of many sidecars, and where
// each began it with the start, the fleet would leave what started idle until it is warm.
func (b *Balancer) drawTurns(now Time) {
	for _, e := range b.started {
		if e.fresh {
			e.turns.begin(b.sends, now, b.rng.Float64())
		}
		e.fresh = false
	}
}

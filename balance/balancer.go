package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"milletramp.example/milletramp/internal/loadlevel"
	"milletramp.example/milletramp/internal/lossdetect"
	"milletramp.example/milletramp/internal/quota"
	"milletramp.example/milletramp/internal/retrybudget"
)

// This file holds the Balancer: its state, construction and housekeeping.

const (
	tickEvery = 100 * time.Millisecond // between two rounds of housekeeping
	// memory is the time in which records of answers decay to 1/e, and recentMemory that of what tells how
	// long answers take just now.
	memory       = 6 * time.Second
	recentMemory = time.Second
	// panicThreshold is the share of the active weight that may be ejected: beyond it the fault is likely this
	// sidecar's own, and ejection is suspended.
	panicThreshold = 0.5
)

// Tokens of timers. Those from tokenAttempt on name an attempt that is to be looked at.
const (
	tokenTick uint64 = iota
	tokenDiscovery
	tokenAttempt
)

// Balancer makes the decisions of one sidecar. It must not be used by two goroutines at once.
type Balancer struct {
	settings Settings
	actions  Actions
	observer Observer // nil: nobody is notified
	random   *rand.Rand
	index
	active            []*endpoint     // members of the subsets
	adminDown         map[string]bool // by id, listed or not
	restored          map[string]Time // when an operator put an endpoint back in service
	groups            []*group        // of the best rule, and a last one of all endpoints
	allEndpoints      *group          // the last of them
	loadLevel         loadlevel.Meter // of answers just now, against those of the seconds before
	zoneTimes         [2]group        // what answers took in the own zone and in the others
	requests          map[RequestID]*request
	tenants           []quota.Meter                   // of this sidecar's parts of their allowances
	meanTime          []float64                       // mean answer time in seconds, by class
	timeDeviation     []float64                       // mean distance of answer times from it, by class
	meanTimeOfAll     float64                         // mean answer time in seconds, of all classes
	endedAttempts     float64                         // decaying count of attempts that ended
	failedAttempts    float64                         // and of those that failed
	answerTimes       *lossdetect.LatencyDistribution // distribution of answer times
	fleetLosses       lossdetect.LossRate             // of attempts at all endpoints
	retryBudget       retrybudget.Budget
	objective         float64       // the shortest latency objective, in seconds
	removedClasses    []bool        // by class: it is not in the settings any more
	zoneWeight        [2]float64    // of the own zone, which is 1, and of the others
	zonedCapacity     float64       // weight of the active endpoints, times their capacity share and zone weight
	activeCapacity    float64       // and times their capacity share alone
	capacity          capacityMeter // of warmed-up endpoints, as this sidecar sees it
	arrivals          float64       // decaying count of requests
	allowances        float64       // sum of the tenants' allowances, in requests a second
	subsetsTaken      Time          // when the subsets were last taken
	sends             float64       // count of attempts sent
	suspects          int           // endpoints that peers suspect
	panicking         bool          // so much is ejected that the fault is likely this sidecar's
	subscribed        bool
	overloadedUntil   Time // until then classes of lower priority give way
	discoveryFailures int  // calls of discovery that failed, in a row
}

// New returns a Balancer, or an error that says what is wrong with the settings.
func New(set Settings, act Actions) (*Balancer, error) {
	if set.Rules == nil {
		set.Rules = DefaultRules(set.Service, set.Zones, set.Kinds)
	}
	if err := check(set, act); err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	b := &Balancer{
		settings:    set,
		actions:     act,
		random:      rand.New(rand.NewPCG(set.Seed, uint64(set.Ordinal))),
		index:       index{known: map[string]*endpoint{}, groupsByTags: map[[2]string][]*group{}},
		adminDown:   map[string]bool{},
		restored:    map[string]Time{},
		requests:    map[RequestID]*request{},
		tenants:     make([]quota.Meter, len(set.Tenants)),
		zoneWeight:  [2]float64{1, minZoneWeight},
		answerTimes: lossdetect.NewLatencyDistribution(),
		retryBudget: retrybudget.New(len(set.Classes), retryBudgetRatio, retryBudgetMax),
	}
	b.applyClasses()
	b.meanTimeOfAll = b.objective
	b.makeGroups()
	act.Timer(time.Duration(b.random.Float64()*float64(tickEvery)), tokenTick)
	if set.PollDiscovery {
		// All sidecars start at once, and the list service serves few calls at a time.
		phase := (float64(set.Ordinal) + b.random.Float64()) / float64(set.Peers)
		act.Timer(time.Duration(phase*float64(max(set.MaxListAge/2, time.Second))), tokenDiscovery)
	}
	return b, nil
}

// Timer handles a timer that is due.
func (b *Balancer) Timer(now Time, token uint64) {
	switch token {
	case tokenDiscovery:
		if !b.subscribed {
			b.subscribed = true
			b.actions.Subscribe()
		}
	case tokenTick:
		b.actions.Timer(tickEvery, tokenTick)
		b.capacity.advance(tickEvery)
		b.decay(now, math.Exp(-tickEvery.Seconds()/memory.Seconds()))
		b.updateZoneWeight(now)
		if now >= b.subsetsTaken+subsetInterval {
			b.takeSubsets(now)
		}
	default:
		request := RequestID((token - tokenAttempt) / maxAttemptsPerRequest)
		attempt := int((token - tokenAttempt) % maxAttemptsPerRequest)
		b.checkAttempt(b.requests[request], attempt, token, now)
	}
}

// decay keeps a share of what is remembered, and updates capacity shares, capacities and the share ejected.
func (b *Balancer) decay(now Time, keep float64) {
	b.arrivals *= keep
	b.endedAttempts *= keep
	b.failedAttempts *= keep
	b.fleetLosses.Decay(keep)
	b.answerTimes.Decay(math.Pow(keep, memory.Seconds()/shapeMemory.Seconds()))
	for _, g := range b.groups {
		g.decay(keep)
		g.waitingSeconds = 0
	}
	for i := range b.zoneTimes {
		b.zoneTimes[i].decay(keep)
	}
	b.zonedCapacity, b.activeCapacity, b.capacity.warmedUpWeight = 0, 0, [2]float64{}
	b.endpointsVisited += len(b.active)
	var ejected, all, waiting float64
	for _, e := range b.active {
		if now >= e.ejectedUntil && e.homeGroup.answeredLately(now) {
			waiting += e.waitingSeconds(now)
		}
		e.decay(keep)
		e.capacityShare = b.capacityShareAt(e, now)
		e.homeGroup.waitingSeconds += e.waitingSeconds(now)
		b.countCapacity(e, now)
		all += e.Weight
		if now < e.ejectedUntil {
			ejected += e.Weight
		}
	}
	// Where attempts are lost, their time in flight tells nothing of how long answers take.
	waiting *= max(0, 1-b.fleetLosses.Share(usualLoss)/partialLossShare)
	b.loadLevel.Decay(math.Pow(keep, memory.Seconds()/recentMemory.Seconds()), keep, waiting)
	b.panicking = ejected > panicThreshold*all
}

// countCapacity adds an active endpoint to the capacities.
func (b *Balancer) countCapacity(e *endpoint, now Time) {
	zoneWeight := b.zoneWeight[e.zoneIndex]
	b.zonedCapacity += e.Weight * e.capacityShare * zoneWeight
	b.activeCapacity += e.Weight * e.capacityShare
	if now >= e.ejectedUntil && e.capacityShare >= 1 {
		b.capacity.warmedUpWeight[0] += e.Weight * zoneWeight
		b.capacity.warmedUpWeight[1] += e.Weight
	}
}

// decay keeps a share of the answer times.
func (g *group) decay(keep float64) {
	g.answerSeconds *= keep
	g.answerInFlight *= keep
}

// decay keeps a share of what was observed.
func (o *observations) decay(keep float64) {
	o.answerSeconds *= keep
	o.answerInFlight *= keep
	o.endedAttempts *= keep
	o.failedAttempts *= keep
	o.losses.Decay(keep)
	o.slowdown.Decay(keep)
	for i := range o.classes {
		o.classes[i].Loss.Decay(keep)
	}
}

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

// This file contains the Balancer's state, construction and periodic updates.

const (
	tickInterval = 100 * time.Millisecond // between two rounds of periodic updates
	// decayTimeConstant is the time in which observations decay to 1/e. recentTimeConstant is that time for the
	// measurements of current response times.
	decayTimeConstant  = 6 * time.Second
	recentTimeConstant = time.Second
	// panicThreshold is the ejected share of the active weight above which ejection is suspended: the cause
	// is then probably on this sidecar's side.
	panicThreshold = 0.5
)

// Timer tokens. Those from tokenAttempt on identify an attempt to be checked.
const (
	tokenTick uint64 = iota
	tokenDiscovery
	tokenAttempt
)

// Balancer makes the load balancing decisions of one sidecar. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	actions  Actions
	observer Observer // nil: none
	random   *rand.Rand
	index
	active                  []*endpoint     // members of the subsets
	adminDown               map[string]bool // IDs that are administratively down, listed or not
	restored                map[string]Time // by ID: when an operator put the endpoint back in service
	groups                  []*group        // groups of the best rule, then allEndpoints
	allEndpoints            *group          // group of all endpoints, the last of groups
	loadLevel               loadlevel.Meter // recent response times relative to those of the preceding seconds
	zoneResponseTimes       [2]group        // response times in the sidecar's own zone and in the other zones
	requests                map[RequestID]*request
	tenants                 []quota.Meter                   // this sidecar's part of each tenant's allowance
	meanResponseTime        []float64                       // in seconds, by class
	responseTimeDeviation   []float64                       // mean deviation from meanResponseTime, by class
	overallMeanResponseTime float64                         // in seconds, of all classes
	endedAttempts           float64                         // decaying count of attempts that ended
	failedAttempts          float64                         // decaying count of attempts that failed
	responseTimes           *lossdetect.LatencyDistribution // distribution of response times
	fleetLosses             lossdetect.LossRate             // losses among the attempts at all endpoints
	retryBudget             retrybudget.Budget
	objective               float64       // shortest latency objective, in seconds
	removedClasses          []bool        // by class: no longer in the settings
	zoneWeight              [2]float64    // weight factors of the own zone, which is 1, and of the other zones
	zoneWeightedCapacity    float64       // sum of weight * capacity share * zone weight over active
	activeCapacity          float64       // sum of weight * capacity share over active
	capacity                capacityMeter // capacity of warmed-up endpoints, as measured by this sidecar
	arrivals                float64       // decaying count of requests
	totalAllowance          float64       // sum of the tenants' allowances, in requests per second
	subsetsResizedAt        Time          // when the subset sizes were last updated
	sentAttempts            float64       // attempts sent, and requests rejected while all endpoints warm up
	suspectedCount          int           // number of endpoints that peers suspect
	panicking               bool          // the ejected weight exceeds panicThreshold
	subscribed              bool
	overloadedUntil         Time // until then requests of lower priority are shed first
	discoveryFailures       int  // consecutive failed discovery calls
}

// New returns a Balancer, or an error that describes the invalid setting.
func New(set Settings, act Actions) (*Balancer, error) {
	if set.Rules == nil {
		set.Rules = DefaultRules(set.Service, set.Zones, set.Kinds)
	}
	if err := checkSettings(set, act); err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	b := &Balancer{
		settings:      set,
		actions:       act,
		random:        rand.New(rand.NewPCG(set.Seed, uint64(set.Ordinal))),
		index:         index{known: map[string]*endpoint{}, groupsByTags: map[[2]string][]*group{}},
		adminDown:     map[string]bool{},
		restored:      map[string]Time{},
		requests:      map[RequestID]*request{},
		tenants:       make([]quota.Meter, len(set.Tenants)),
		zoneWeight:    [2]float64{1, minZoneWeight},
		responseTimes: lossdetect.NewLatencyDistribution(),
		retryBudget:   retrybudget.New(len(set.Classes), retryBudgetRatio, retryBudgetMax),
	}
	b.applyClassSettings()
	b.overallMeanResponseTime = b.objective
	b.makeGroups()
	act.Timer(time.Duration(b.random.Float64()*float64(tickInterval)), tokenTick)
	if set.PollDiscovery {
		// The first call of each sidecar is in its own part of the interval, as all sidecars start at the
		// same time and the list service handles few calls concurrently.
		phase := (float64(set.Ordinal) + b.random.Float64()) / float64(set.Peers)
		act.Timer(time.Duration(phase*float64(max(set.MaxListAge/2, time.Second))), tokenDiscovery)
	}
	return b, nil
}

// Timer handles a timer that has expired.
func (b *Balancer) Timer(now Time, token uint64) {
	switch token {
	case tokenDiscovery:
		if !b.subscribed {
			b.subscribed = true
			b.actions.Subscribe()
		}
	case tokenTick:
		b.actions.Timer(tickInterval, tokenTick)
		b.capacity.advance(tickInterval)
		b.decay(now, math.Exp(-tickInterval.Seconds()/decayTimeConstant.Seconds()))
		b.updateZoneWeight(now)
		if now >= b.subsetsResizedAt+subsetInterval {
			b.chooseSubsets(now)
		}
	default:
		request := RequestID((token - tokenAttempt) / maxAttemptsPerRequest)
		attempt := int((token - tokenAttempt) % maxAttemptsPerRequest)
		b.checkAttempt(b.requests[request], attempt, token, now)
	}
}

// decay multiplies all observations by a factor and updates capacity shares, capacities and the panic state.
func (b *Balancer) decay(now Time, factor float64) {
	b.arrivals *= factor
	b.endedAttempts *= factor
	b.failedAttempts *= factor
	b.fleetLosses.Decay(factor)
	b.responseTimes.Decay(math.Pow(factor, decayTimeConstant.Seconds()/distributionTimeConstant.Seconds()))
	for _, g := range b.groups {
		g.decay(factor)
		g.waitingSeconds = 0
	}
	for i := range b.zoneResponseTimes {
		b.zoneResponseTimes[i].decay(factor)
	}
	b.zoneWeightedCapacity, b.activeCapacity, b.capacity.warmedUpWeight = 0, 0, [2]float64{}
	b.endpointsVisited += len(b.active)
	var ejected, all, waiting float64
	for _, e := range b.active {
		if now >= e.ejectedUntil && e.homeGroup.respondedRecently(now) {
			waiting += e.waitingSeconds(now)
		}
		e.decay(factor)
		e.capacityShare = b.capacityShareAt(e, now)
		e.homeGroup.waitingSeconds += e.waitingSeconds(now)
		b.addCapacity(e, now)
		all += e.Weight
		if now < e.ejectedUntil {
			ejected += e.Weight
		}
	}
	// The waiting time of lost attempts is no measure of response times. Therefore the sum is reduced as the
	// loss share rises, down to 0 at partialLossShare.
	waiting *= max(0, 1-b.fleetLosses.Share(defaultLossShare)/partialLossShare)
	b.loadLevel.Decay(
		math.Pow(factor, decayTimeConstant.Seconds()/recentTimeConstant.Seconds()),
		factor,
		waiting,
	)
	b.panicking = ejected > panicThreshold*all
}

// addCapacity adds an active endpoint to the capacities.
func (b *Balancer) addCapacity(e *endpoint, now Time) {
	zoneWeight := b.zoneWeight[e.zoneIndex]
	b.zoneWeightedCapacity += e.Weight * e.capacityShare * zoneWeight
	b.activeCapacity += e.Weight * e.capacityShare
	if now >= e.ejectedUntil && e.capacityShare >= 1 {
		b.capacity.warmedUpWeight[0] += e.Weight * zoneWeight
		b.capacity.warmedUpWeight[1] += e.Weight
	}
}

// decay multiplies the response times of the group by a factor.
func (g *group) decay(factor float64) {
	g.responseSeconds *= factor
	g.responseInFlight *= factor
}

// decay multiplies the observations by a factor.
func (o *observations) decay(factor float64) {
	o.responseSeconds *= factor
	o.responseInFlight *= factor
	o.endedAttempts *= factor
	o.failedAttempts *= factor
	o.losses.Decay(factor)
	o.slowdown.Decay(factor)
	for i := range o.classes {
		o.classes[i].Loss.Decay(factor)
	}
}

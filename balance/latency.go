package balance

import (
	"math"
	"time"
)

// This file holds how long an answer can be expected to take.

const (
	// assumedOtherRequests is how many requests of other sidecars each endpoint is taken to hold.
	assumedOtherRequests = 1.0
	// priorRequests is the number of requests held by which an endpoint's own record outweighs its peers'.
	priorRequests = 2.0
	// minClassFactor is the least part of its class's mean time that an answer is expected to take.
	minClassFactor = 0.25
	// minInFlight keeps a ratio finite where nothing has been in flight yet.
	minInFlight = 1e-9
)

// secondsPerRequest is the time to serve a request in flight for each unit of weight: the seconds that
// answers took over the requests that were in flight.
func (g *group) secondsPerRequest() float64 {
	return g.responseSeconds / math.Max(g.responseInFlight, minInFlight)
}

// zoneSecondsPerRequest is that time in the own zone and in others. Each answer of another zone takes the way
// there and back, so that an idle endpoint there would pass for a full one. Where little is known, the
// fleet's time counts.
func (b *Balancer) zoneSecondsPerRequest() (at [2]float64) {
	fleet := b.allEndpoints.secondsPerRequest()
	for i := range at {
		zone := &b.zoneResponseTimes[i]
		at[i] = (zone.responseSeconds + priorRequests*fleet) / (zone.responseInFlight + priorRequests)
	}
	return at
}

// expectedTime is the answer time in seconds that a request sent now can expect, from what the endpoint's
// answers took for each request in flight. A little-used endpoint is judged by its group, as kinds and zones
// are not equally loaded, and a little-used group by the fleet.
//
// A sidecar that believes the fleet too slow sends nothing and never learns better, so a belief that is not
// tested decays until a request tries it, one at a time. Where everything is full, each of many sidecars
// would try each endpoint, and such attempts alone would keep the fleet full. So an endpoint that is
// not tested is taken to be like its group, not to be idle, and a group like the fleet; the belief about
// the fleet decays only while no answer at all comes. An endpoint that is warming up can do less at a time,
// but answers a request that finds it idle as soon as another one.
func (b *Balancer) expectedTime(e *endpoint, now Time) float64 {
	fleet := b.allEndpoints.secondsPerRequest()
	g := e.homeGroup
	group := (g.responseSeconds + g.waitingSeconds + priorRequests*fleet) / (g.responseInFlight + priorRequests)
	ownSeconds := e.responseSeconds + e.waitingSeconds(now)
	perRequest := (ownSeconds + priorRequests*group/e.Weight) / (e.responseInFlight + priorRequests)
	// Endpoints that are expected to answer in time are tested by the rotation anyway.
	if e.inFlight == 0 && perRequest > rejectObjectiveShare*b.objective/(1+assumedOtherRequests) {
		group = decayTowards(group, fleet, now-g.lastSample)
		perRequest = decayTowards(perRequest, group/e.Weight, now-e.lastSample)
		perRequest = decayTowards(perRequest, 0, now-b.allEndpoints.lastSample)
	}
	return (float64(e.inFlight)/e.capacityShare + 1 + assumedOtherRequests) * perRequest
}

// decayTowards returns what is left of a belief that has not been tested for some time: what of it exceeds
// the belief about similar endpoints decays linearly over memory.
func decayTowards(estimate, similar float64, untested time.Duration) float64 {
	return similar +
		max(estimate-similar, 0)*max(0, 1-untested.Seconds()/decayTimeConstant.Seconds()) +
		min(estimate-similar, 0)
}

// waitingSeconds is the sum of the seconds for which the requests in flight have waited. Without it a slow
// endpoint would be known by its quick answers alone, which come first, and a dead one would look idle.
func (e *endpoint) waitingSeconds(now Time) float64 {
	return (now*Time(e.inFlight) - e.waitingSinceSum).Seconds()
}

// expectedForClass is the time in seconds that an answer of the class can be expected to take at an endpoint
// of which expect seconds are expected for the mean request; 0 where nothing is known.
func (b *Balancer) expectedForClass(expect float64, class int) float64 {
	return b.meanResponseTime[class] * max(expect/b.overallMeanResponseTime, minClassFactor)
}

// respondedRecently reports whether any endpoint of the group has answered within recentMemory.
func (g *group) respondedRecently(now Time) bool { return now-g.lastResponse <= recentTimeConstant }

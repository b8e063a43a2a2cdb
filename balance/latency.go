package balance

import (
	"math"
	"time"
)

// This file contains the estimates of response times.

const (
	// assumedOtherRequests is the number of requests of other sidecars assumed in flight at each endpoint.
	assumedOtherRequests = 1.0
	// priorRequests is the number of recorded requests in flight above which an endpoint's own record has more
	// weight than that of its group.
	priorRequests = 2.0
	// minClassFactor is the minimum expected response time, as a multiple of the mean response time of the
	// class.
	minClassFactor = 0.25
	// minInFlight keeps a ratio finite where nothing has been in flight yet.
	minInFlight = 1e-9
)

// secondsPerRequest returns the response time per request in flight and unit of weight: the sum of the
// response times divided by that of the requests in flight.
func (g *group) secondsPerRequest() float64 {
	return g.responseSeconds / math.Max(g.responseInFlight, minInFlight)
}

// zoneSecondsPerRequest returns secondsPerRequest of the own zone and of the others. Responses from another
// zone include the round trip between zones. Compared with the mean of all zones, an idle endpoint there
// would count as at capacity. With few responses, the result is close to the mean of the fleet.
func (b *Balancer) zoneSecondsPerRequest() (at [2]float64) {
	fleet := b.allEndpoints.secondsPerRequest()
	for i := range at {
		zone := &b.zoneResponseTimes[i]
		at[i] = (zone.responseSeconds + priorRequests*fleet) / (zone.responseInFlight + priorRequests)
	}
	return at
}

// expectedTime returns the response time in seconds expected for a request sent now, from the response times
// of the endpoint per request in flight. With few requests, the estimate for an endpoint relies on its group,
// as the load of kinds and zones differs, and the estimate for a group relies on the fleet.
//
// A sidecar whose estimate for the whole fleet is too high would send nothing and never correct it. Therefore
// an estimate without new samples decays until a single request tests it. Where all endpoints are at
// capacity, each of many sidecars would test each endpoint, and these attempts alone would keep the fleet at
// capacity. Therefore the estimate for an endpoint decays towards the estimate for its group rather than
// towards 0, and the estimate for a group decays towards the estimate for the fleet. The estimate for the
// fleet decays only while there are no responses at all. An endpoint that is warming up can process fewer
// requests at a time, but responds as fast as others to a request that arrives while it is idle.
func (b *Balancer) expectedTime(e *endpoint, now Time) float64 {
	fleet := b.allEndpoints.secondsPerRequest()
	g := e.homeGroup
	group := (g.responseSeconds + g.waitingSeconds + priorRequests*fleet) / (g.responseInFlight + priorRequests)
	ownSeconds := e.responseSeconds + e.waitingSeconds(now)
	perRequest := (ownSeconds + priorRequests*group/e.Weight) / (e.responseInFlight + priorRequests)
	// An endpoint that is expected to respond in time needs no test: it gets requests in the rotation.
	if e.inFlight == 0 && perRequest > rejectObjectiveShare*b.objective/(1+assumedOtherRequests) {
		group = decayTowards(group, fleet, now-g.lastSample)
		perRequest = decayTowards(perRequest, group/e.Weight, now-e.lastSample)
		perRequest = decayTowards(perRequest, 0, now-b.allEndpoints.lastSample)
	}
	return (float64(e.inFlight)/e.capacityShare + 1 + assumedOtherRequests) * perRequest
}

// decayTowards returns the present value of an estimate that has had no new sample for the time untested. The
// part that exceeds the estimate for similar endpoints decays linearly over decayTimeConstant.
func decayTowards(estimate, similar float64, untested time.Duration) float64 {
	return similar +
		max(estimate-similar, 0)*max(0, 1-untested.Seconds()/decayTimeConstant.Seconds()) +
		min(estimate-similar, 0)
}

// waitingSeconds returns the sum of the waiting times in seconds of the requests in flight. Without this sum,
// the estimate for a slow endpoint would rely on its fast responses, which arrive first, and a failed
// endpoint would seem idle.
func (e *endpoint) waitingSeconds(now Time) float64 {
	return (now*Time(e.inFlight) - e.waitingSinceSum).Seconds()
}

// expectedForClass returns the response time in seconds expected for a class at an endpoint where a mean
// request is expected to take expect seconds; 0 stands for no estimate.
func (b *Balancer) expectedForClass(expect float64, class int) float64 {
	return b.meanResponseTime[class] * max(expect/b.overallMeanResponseTime, minClassFactor)
}

// respondedRecently reports whether any endpoint of the group has responded within recentTimeConstant.
func (g *group) respondedRecently(now Time) bool { return now-g.lastResponse <= recentTimeConstant }

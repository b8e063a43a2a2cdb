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
	// minClassFactor is the least factor of its class's mean response time that a response is expected to take.
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
// zone include the round trip between zones, by which an idle endpoint there would count as at capacity.
// Where there are few responses, the mean of the fleet counts.
func (b *Balancer) zoneSecondsPerRequest() (at [2]float64) {
	fleet := b.allEndpoints.secondsPerRequest()
	for i := range at {
		zone := &b.zoneResponseTimes[i]
		at[i] = (zone.responseSeconds + priorRequests*fleet) / (zone.responseInFlight + priorRequests)
	}
	return at
}

// expectedTime returns the response time in seconds expected for a request sent now, from the response times
// of the endpoint per request in flight. The estimate for an endpoint with few requests relies on its group,
// as kinds and zones are not equally loaded, and that for a group with few requests on the fleet.
//
// A sidecar whose estimate for the whole fleet is too high would send nothing and never correct it. Therefore
// an estimate without new samples decays until a single request tests it. Where all endpoints are at
// capacity, each of many sidecars would test each endpoint, and these attempts alone would keep the fleet at
// capacity. Therefore the estimate for an endpoint decays towards that for its group rather than to idle, and
// that for a group towards that for the fleet; the estimate for the fleet decays only while there are no
// responses at all. An endpoint that is warming up can process fewer requests at a time, but responds as fast
// as others to a request that finds it idle.
func (b *Balancer) expectedTime(e *endpoint, now Time) float64 {
	fleet := b.allEndpoints.secondsPerRequest()
	g := e.homeGroup
	group := (g.responseSeconds + g.waitingSeconds + priorRequests*fleet) / (g.responseInFlight + priorRequests)
	ownSeconds := e.responseSeconds + e.waitingSeconds(now)
	perRequest := (ownSeconds + priorRequests*group/e.Weight) / (e.responseInFlight + priorRequests)
	// The rotation tests endpoints that are expected to respond in time.
	if e.inFlight == 0 && perRequest > rejectObjectiveShare*b.objective/(1+assumedOtherRequests) {
		group = decayTowards(group, fleet, now-g.lastSample)
		perRequest = decayTowards(perRequest, group/e.Weight, now-e.lastSample)
		perRequest = decayTowards(perRequest, 0, now-b.allEndpoints.lastSample)
	}
	return (float64(e.inFlight)/e.capacityShare + 1 + assumedOtherRequests) * perRequest
}

// decayTowards returns an estimate that has had no new sample for some time: the part of it that exceeds the
// estimate for similar endpoints decays linearly over decayTimeConstant.
func decayTowards(estimate, similar float64, untested time.Duration) float64 {
	return similar +
		max(estimate-similar, 0)*max(0, 1-untested.Seconds()/decayTimeConstant.Seconds()) +
		min(estimate-similar, 0)
}

// waitingSeconds returns the sum of the waiting times in seconds of the requests in flight. Without it, the
// estimate for a slow endpoint would rely on its fast responses, which arrive first, and a failed one would
// look idle.
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

package balance

// This file contains locality-aware weighting: the traffic that other zones get.

const (
	// crossZoneObjectiveFactor converts the cost of crossing zones to response time. Crossing zones is worth
	// its cost if it shortens the response time by the product of this factor, the cost and the shortest
	// latency objective.
	crossZoneObjectiveFactor = 8.0
	// minZoneWeight is the minimum weight of other zones, sufficient to measure them.
	minZoneWeight = 0.001
	// zoneWeightStep is the fraction of the difference to its target by which a tick changes the weight of
	// other zones.
	zoneWeightStep = 0.03
)

// updateZoneWeight updates the weight of other zones relative to the own zone, as the own zone may have more
// traffic than its servers can process. The threshold is the cost of crossing zones as a response time, from
// 0.01 to spilloverObjectiveShare of the shortest latency objective. If responses from the own zone are
// expected later than others by the threshold, the target is the full weight. If the difference is less than
// half the threshold, the target is the minimum weight. The weight changes slowly to keep the rotation even.
func (b *Balancer) updateZoneWeight(now Time) {
	var wait, weight [2]float64
	for _, e := range b.active {
		if now >= e.ejectedUntil {
			wait[e.zoneIndex] += b.expectedTime(e, now) * e.Weight
			weight[e.zoneIndex] += e.Weight
		}
	}
	if weight[0] == 0 || weight[1] == 0 {
		b.zoneWeight[1] = 1
		return
	}
	threshold := min(
		max(crossZoneObjectiveFactor*b.settings.CrossZoneCharge, 0.01),
		spilloverObjectiveShare,
	) * b.objective
	target := min(max(2*(wait[0]/weight[0]-wait[1]/weight[1])/threshold-1, 0), 1)
	b.zoneWeight[1] = max(b.zoneWeight[1]+(target*target-b.zoneWeight[1])*zoneWeightStep, minZoneWeight)
}

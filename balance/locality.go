package balance

// This file holds how much other zones get.

const (
	// crossZoneObjectiveFactor is by how many objectives, times the charge of crossing zones, an answer has to
	// come sooner elsewhere to pay for the crossing.
	crossZoneObjectiveFactor = 8.0
	// minZoneWeight is the least weight of other zones: enough to know them.
	minZoneWeight = 0.001
	// zoneWeightStep is the part of the way that a tick moves the weight of other zones.
	zoneWeightStep = 0.03
)

// updateZoneWeight moves the weight that other zones get, as a share of the own zone's: a zone may have more
// traffic than its servers can carry. Other zones count in full once the own zone answers later by the price
// of a crossing, at most spillObjectiveShare, and not at all below half of that. The weight moves slowly, so
// that the rotation stays even.
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

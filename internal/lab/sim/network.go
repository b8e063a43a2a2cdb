package sim

import (
	"math/rand/v2"
	"time"

	"milletramp.example/milletramp/internal/lab/scenario"
)

// network is the simulated network within and between zones.
type network struct {
	settings scenario.Network
	zoneCut  []bool     // by zone: whether it is cut off from the other zones
	random   *rand.Rand // also used for discovery delays and broken connections
}

// meanDelay returns the mean one-way delay between two zones.
func (n *network) meanDelay(a, b int) scenario.Duration {
	if a != b {
		return n.settings.CrossZone
	}
	return n.settings.SameZone
}

// drawDelay draws a random one-way delay between two zones.
func (n *network) drawDelay(a, b int, random *rand.Rand) time.Duration {
	return time.Duration(float64(n.meanDelay(a, b)) * (1 + n.settings.Jitter*(2*random.Float64()-1)))
}

// isCut reports whether the network drops all traffic between two zones.
func (n *network) isCut(a, b int) bool {
	return a != b && (n.zoneCut[a] || n.zoneCut[b])
}

// drawDelay draws a random one-way delay between a sidecar and a server.
func (s *simulation) drawDelay(sc *sidecar, srv *server) time.Duration {
	return s.network.drawDelay(sc.zone, srv.Zone, s.network.random)
}

// isCutOff reports whether the network drops all traffic between a sidecar and a server.
func (s *simulation) isCutOff(sc *sidecar, srv *server) bool {
	return srv.vanished || s.network.isCut(sc.zone, srv.Zone)
}

package sim

import (
	"math/rand/v2"
	"time"

	"milletramp.example/milletramp/internal/lab/scenario"
)

// network is what lies between the zones of the service.
type network struct {
	settings scenario.Network
	zoneCut  []bool     // whether a zone is cut off from the others
	random   *rand.Rand // also draws discovery's delays and which connections break
}

// meanDelay returns the mean one-way delay between two zones.
func (n *network) meanDelay(a, b int) scenario.Duration {
	if a != b {
		return n.settings.CrossZone
	}
	return n.settings.SameZone
}

// drawDelay draws a one-way delay between two zones.
func (n *network) drawDelay(a, b int, random *rand.Rand) time.Duration {
	return time.Duration(float64(n.meanDelay(a, b)) * (1 + n.settings.Jitter*(2*random.Float64()-1)))
}

// isCut reports whether nothing passes between two zones.
func (n *network) isCut(a, b int) bool {
	return a != b && (n.zoneCut[a] || n.zoneCut[b])
}

// drawDelay draws the one-way delay between a sidecar and a server.
func (s *simulation) drawDelay(sc *sidecar, srv *server) time.Duration {
	return s.network.drawDelay(sc.zone, srv.Zone, s.network.random)
}

// isCutOff reports whether nothing passes between a sidecar and a server.
func (s *simulation) isCutOff(sc *sidecar, srv *server) bool {
	return srv.vanished || s.network.isCut(sc.zone, srv.Zone)
}

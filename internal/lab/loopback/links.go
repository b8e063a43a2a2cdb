package loopback

import (
	"sync"

	"milletramp.example/milletramp/internal/standin"
)

// linkSeedFactor spreads the seeds of the links of one run.
const linkSeedFactor = 1000

// addLinks creates the links of a sidecar to all servers.
func (r *run) addLinks(sidecar int) error {
	var links []*standin.Link
	for server, address := range r.serverAddresses {
		seed := r.plan.Seed + uint64(sidecar*linkSeedFactor+server)
		link, err := standin.NewLink(standin.SidecarIP(sidecar), address, r.linkCondition(sidecar, server), seed)
		if err != nil {
			return err
		}
		links = append(links, link)
	}
	r.links = append(r.links, links)
	return nil
}

// linkCondition returns the current condition of the link between a sidecar and a server.
func (r *run) linkCondition(sidecar, server int) standin.LinkCondition {
	network, fleet := r.plan.Scenario.Network, r.plan.Scenario.Fleet
	sidecarZone, serverZone := sidecar%len(fleet.Zones), r.plan.Machines[server].Zone
	condition := standin.LinkCondition{
		ResetAfter:          r.requestCutShares[server],
		Truncate:            r.responseCutShares[server],
		Delay:               network.SameZone.Std(),
		JitterFraction:      network.Jitter,
		HandshakeRoundTrips: fleet.HandshakeRTTs,
		Blackhole:           r.isolatedServers[server],
	}
	if sidecarZone != serverZone {
		condition.Delay = network.CrossZone.Std()
		zoneIsolated := r.isolatedZones[sidecarZone] || r.isolatedZones[serverZone]
		condition.Blackhole = condition.Blackhole || zoneIsolated
	}
	return condition
}

// updateLinks sets the condition of all links at once, as each may take some time.
func (r *run) updateLinks() {
	var updates sync.WaitGroup
	for i := range r.links {
		for n := range r.links[i] {
			condition := r.linkCondition(i, n)
			updates.Add(1)
			go func() {
				defer updates.Done()
				r.links[i][n].SetCondition(condition)
			}()
		}
	}
	updates.Wait()
}

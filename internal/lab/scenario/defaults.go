package scenario

import "time"

// defaults returns the values of the keys that a scenario file omits. They describe a deployment in three zones; node
// kinds and classes have no defaults.
func defaults() *Scenario {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return &Scenario{
		Length: ms(40000),
		Warmup: ms(2000),
		Seed:   1,
		Fleet: Fleet{
			Sidecars: 4, Nodes: 12, Zones: []string{"reykjavik", "akureyri", "egilsstadir"}, PodSize: 4,
			SlotsPerCore: 12, QueuePerCore: 30,
			SlowStartCapacity: 0.4, SlowStartWindow: ms(6000),
			OverloadMultiple: 4, OverloadWindow: ms(2000),
			MaxConns: 1500, HandshakeRTTs: 2, HandshakeWork: ms(2), IdleClose: ms(30000),
			SpeedCV: 0.1, ContentionAt: 6, ContentionCost: 0.3, StopsCancelled: true,
		},
		Load: Load{SwingPeriod: ms(20000), Keys: 1200, Zipf: 1},
		Clients: Clients{
			Backoff: ms(60), BackoffGrowth: 2, HonourShare: 0.9, MaxRetryAfter: ms(2000), TimeoutShare: 0.9,
		},
		Network: Network{
			SameZone: Duration(250 * time.Microsecond), CrossZone: ms(8), Jitter: 0.2, ConnectTimeout: ms(200),
		},
		DiscoveryDelay: DiscoveryDelay{From: ms(500), To: ms(2500)},
	}
}

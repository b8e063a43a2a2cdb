package proxy

import (
	"cmp"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/metrics"
	"milletramp.example/milletramp/internal/wire"
)

// requestSettings are the classes and tenants in force, by the names that requests carry. They are replaced whole and
// never changed.
type requestSettings struct {
	classes    map[string]*classSettings
	tenants    map[string]int
	retryAfter time.Duration // given to clients when too many requests are in flight
	policy     uint64        // number of the policy that they are of; 0: of the file
}

// classSettings are the settings of one class. A request keeps those that it was read under.
type classSettings struct {
	balance.Class
	index    int // in the Balancer
	counters *metrics.ClassCounters
}

// newRequestSettings returns the settings of requests. indexes are those of the classes in the Balancer.
func newRequestSettings(settings balance.Settings, names *wire.Names, indexes []int,
	counters *metrics.Counters) *requestSettings {
	s := &requestSettings{classes: map[string]*classSettings{}, tenants: names.Tenant}
	for name, i := range names.Class {
		class := settings.Classes[i]
		s.classes[name] = &classSettings{Class: class, index: indexes[i], counters: counters.Class(name)}
		s.retryAfter = min(cmp.Or(s.retryAfter, class.LatencyObjective), class.LatencyObjective)
	}
	return s
}

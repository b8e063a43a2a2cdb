package proxy

import (
	"cmp"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/metrics"
	"milletramp.example/milletramp/internal/wire"
)

// requestSettings holds the current classes and tenants by the names in request headers. It is immutable; new settings
// replace it completely.
type requestSettings struct {
	classes    map[string]*classSettings
	tenants    map[string]int // indexes in the Balancer's settings
	retryAfter time.Duration  // Retry-After when too many requests are in flight
	policy     uint64         // policy number; 0 if the settings come from the configuration file
}

// classSettings holds the settings of one class. A request keeps the classSettings under which its head was parsed.
type classSettings struct {
	balance.Class
	index    int // index of the class in the Balancer
	counters *metrics.ClassCounters
}

// newRequestSettings returns the settings for request parsing. indexes are the indexes of the classes in the Balancer.
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

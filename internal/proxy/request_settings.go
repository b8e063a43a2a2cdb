package proxy

import (
	"cmp"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/metrics"
	"milletramp.example/milletramp/internal/wire"
)

// requestSettings are the classes and tenants as clients name them now. They are replaced as a whole and never changed.
type requestSettings struct {
	classes    map[string]*classSettings
	tenants    map[string]int
	retryAfter time.Duration // when to come back if too many requests are held
	policy     uint64        // its number; 0: they are of the own file
}

// classSettings is one class. Requests keep it to their end.
type classSettings struct {
	balance.Class
	index    int // in the Balancer
	counters *metrics.ClassCounters
}

// newRequestSettings returns the terms of these settings, whose classes stand at these places in the Balancer.
func newRequestSettings(set balance.Settings, names *wire.Names, places []int, figures *metrics.Counters) *requestSettings {
	t := &requestSettings{classes: map[string]*classSettings{}, tenants: names.Tenant}
	for name, i := range names.Class {
		c := set.Classes[i]
		t.classes[name] = &classSettings{Class: c, index: places[i], counters: figures.Class(name)}
		t.retryAfter = min(cmp.Or(t.retryAfter, c.LatencyObjective), c.LatencyObjective)
	}
	return t
}

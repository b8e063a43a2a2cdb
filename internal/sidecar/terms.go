package sidecar

import (
	"cmp"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/stats"
	"milletramp.example/milletramp/internal/wire"
)

// terms are the classes and tenants as clients name them now. They are replaced as a whole and never changed.
type terms struct {
	classes map[string]*term
	tenants map[string]int
	again   time.Duration // when to come back if too many requests are held
	policy  uint64        // its number; 0: they are of the own file
}

// term is one class. Requests keep it to their end.
type term struct {
	balance.Class
	place  int // in the Balancer
	counts *stats.Class
}

// newTerms returns the terms of these settings, whose classes stand at these places in the Balancer.
func newTerms(set balance.Settings, names *wire.Names, places []int, figures *stats.Figures) *terms {
	t := &terms{classes: map[string]*term{}, tenants: names.Tenant}
	for name, i := range names.Class {
		c := set.Classes[i]
		t.classes[name] = &term{Class: c, place: places[i], counts: figures.Class(name)}
		t.again = min(cmp.Or(t.again, c.LatencyObjective), c.LatencyObjective)
	}
	return t
}

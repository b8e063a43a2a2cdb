package balance

import (
	"cmp"
	"fmt"
	"slices"

	"milletramp.example/milletramp/internal/lossdetect"
	"milletramp.example/milletramp/internal/quota"
)

// This file holds changes of the settings.

// maxClasses bounds the classes that may come and go by new settings.
const maxClasses = 256

// applyClasses computes what follows from the settings of classes and tenants.
func (b *Balancer) applyClasses() {
	b.objective, b.allowances = 0, 0
	b.removedClasses = append(b.removedClasses, make([]bool, len(b.settings.Classes)-len(b.removedClasses))...)
	for i, c := range b.settings.Classes {
		if !b.removedClasses[i] {
			b.objective = min(cmp.Or(b.objective, c.LatencyObjective.Seconds()), c.LatencyObjective.Seconds())
		}
		if i == len(b.meanTime) {
			b.meanTime = append(b.meanTime, c.LatencyObjective.Seconds()) // until answers tell
			b.timeDeviation = append(b.timeDeviation, 0)
		}
	}
	for _, t := range b.settings.Tenants {
		b.allowances += t.Allowance
	}
	b.retryBudget.Grow(len(b.settings.Classes))
	for _, e := range b.known {
		e.classes = append(e.classes, make([]lossdetect.ClassState, len(b.settings.Classes)-len(e.classes))...)
	}
}

// Configure replaces the settings, but for those of the sidecar's place in the deployment: its number, zone
// and rules. Requests that are open keep their class, and what is known of endpoints stays. It returns where
// each new class stands from now on, for Request, or an error, and then nothing has changed. A class is known
// by its name, and one that is dropped keeps its place.
func (b *Balancer) Configure(set Settings) (places []int, err error) {
	return b.configure(set, true)
}

// CanConfigure returns the error that Configure would, and changes nothing.
func (b *Balancer) CanConfigure(set Settings) error {
	_, err := b.configure(set, false)
	return err
}

// configure checks new settings against those in force and, where apply is set, puts them in force.
func (b *Balancer) configure(set Settings, apply bool) (places []int, err error) {
	old := b.settings
	set.Seed, set.Ordinal, set.Peers, set.Kinds = old.Seed, old.Ordinal, old.Peers, old.Kinds
	set.Zone, set.Zones = old.Zone, old.Zones
	set.Service, set.Tags, set.Rules, set.PollDiscovery = old.Service, old.Tags, old.Rules, old.PollDiscovery
	if err := check(set, b.actions); err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	classes, removed, places, err := mergeClasses(old.Classes, set.Classes)
	if err != nil {
		return nil, err
	}
	if !apply {
		return places, nil
	}
	set.Classes = classes
	b.settings, b.removedClasses = set, removed
	tenants := make([]quota.Meter, len(set.Tenants))
	for i, t := range set.Tenants {
		at := slices.IndexFunc(old.Tenants, func(o Tenant) bool { return o.Name == t.Name })
		if at >= 0 {
			tenants[i] = b.tenants[at]
		}
	}
	b.tenants = tenants
	b.applyClasses()
	return places, nil
}

// mergeClasses returns the classes in force once new ones replace the old ones by name, which of them are in
// the settings no more, and where each new class stands.
func mergeClasses(old, classes []Class) (merged []Class, removed []bool, places []int, err error) {
	merged, removed = slices.Clone(old), make([]bool, len(old))
	for i := range removed {
		removed[i] = true
	}
	for i, c := range classes {
		at := slices.IndexFunc(merged, func(o Class) bool { return o.Name == c.Name })
		switch {
		case slices.Contains(places, at):
			return nil, nil, nil, fmt.Errorf("balance: class %d, %q: named twice", i, c.Name)
		case at >= 0:
			merged[at], removed[at] = c, false
		case len(merged) >= maxClasses:
			return nil, nil, nil, fmt.Errorf("balance: class %d, %q: more than %d so far", i, c.Name, maxClasses)
		default:
			at = len(merged)
			merged, removed = append(merged, c), append(removed, false)
		}
		places = append(places, at)
	}
	return merged, removed, places, nil
}

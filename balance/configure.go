package balance

import (
	"cmp"
	"fmt"
	"slices"

	"milletramp.example/milletramp/internal/lossdetect"
	"milletramp.example/milletramp/internal/quota"
)

// This file contains changes of the settings at run time.

// maxClasses is the maximum number of classes over all configurations, including removed ones.
const maxClasses = 256

// applyClassSettings updates the values derived from the class and tenant settings.
func (b *Balancer) applyClassSettings() {
	b.objective, b.totalAllowance = 0, 0
	b.removedClasses = append(b.removedClasses, make([]bool, len(b.settings.Classes)-len(b.removedClasses))...)
	for i, c := range b.settings.Classes {
		if !b.removedClasses[i] {
			b.objective = min(cmp.Or(b.objective, c.LatencyObjective.Seconds()), c.LatencyObjective.Seconds())
		}
		if i == len(b.meanResponseTime) {
			b.meanResponseTime = append(b.meanResponseTime, c.LatencyObjective.Seconds()) // until there are responses
			b.responseTimeDeviation = append(b.responseTimeDeviation, 0)
		}
	}
	for _, t := range b.settings.Tenants {
		b.totalAllowance += t.Allowance
	}
	b.retryBudget.Grow(len(b.settings.Classes))
	for _, e := range b.known {
		e.classes = append(e.classes, make([]lossdetect.ClassState, len(b.settings.Classes)-len(e.classes))...)
	}
}

// Configure replaces the settings, except those that describe the sidecar's place in the deployment: seed,
// ordinal, peers, zones, kinds, service, tags, rules and PollDiscovery. Open requests keep their class, and
// observations of endpoints are kept. For each class of set it returns the index to be used in later
// requests. After an error nothing has changed. Classes are identified by name, and a removed class keeps its
// index.
func (b *Balancer) Configure(set Settings) (indexes []int, err error) {
	return b.configure(set, true)
}

// CanConfigure returns the error that Configure would return, without changing anything.
func (b *Balancer) CanConfigure(set Settings) error {
	_, err := b.configure(set, false)
	return err
}

// configure checks new settings against the current ones and applies them if apply is set.
func (b *Balancer) configure(set Settings, apply bool) (indexes []int, err error) {
	old := b.settings
	set.Seed, set.Ordinal, set.Peers, set.Kinds = old.Seed, old.Ordinal, old.Peers, old.Kinds
	set.Zone, set.Zones = old.Zone, old.Zones
	set.Service, set.Tags, set.Rules, set.PollDiscovery = old.Service, old.Tags, old.Rules, old.PollDiscovery
	if err := checkSettings(set, b.actions); err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	classes, removed, indexes, err := mergeClasses(old.Classes, set.Classes)
	if err != nil {
		return nil, err
	}
	if !apply {
		return indexes, nil
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
	b.applyClassSettings()
	return indexes, nil
}

// mergeClasses merges the classes of new settings into the old ones by name. It returns all classes, a flag
// for each that is no longer in the settings, and the index in merged of each class of the new settings.
func mergeClasses(old, classes []Class) (merged []Class, removed []bool, indexes []int, err error) {
	merged, removed = slices.Clone(old), make([]bool, len(old))
	for i := range removed {
		removed[i] = true
	}
	for i, c := range classes {
		at := slices.IndexFunc(merged, func(o Class) bool { return o.Name == c.Name })
		switch {
		case slices.Contains(indexes, at):
			return nil, nil, nil, fmt.Errorf("balance: class %d, %q: named twice", i, c.Name)
		case at >= 0:
			merged[at], removed[at] = c, false
		case len(merged) >= maxClasses:
			return nil, nil, nil, fmt.Errorf("balance: class %d, %q: more than %d so far", i, c.Name, maxClasses)
		default:
			at = len(merged)
			merged, removed = append(merged, c), append(removed, false)
		}
		indexes = append(indexes, at)
	}
	return merged, removed, indexes, nil
}

package runplan

import (
	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/scenario"
)

const (
	// settingsSeedFactor spreads the seeds of the sidecars of one run.
	settingsSeedFactor = 1000003

	settingsService     = "lab"
	settingsMaxAttempts = 6

	// settingsCrossZoneCharge is the price of crossing zones, as a share of a request's priority.
	settingsCrossZoneCharge = 0.093
)

// Effects and Scopes are the balancer's values by the words of scenario files.
var (
	Effects = map[string]balance.Effect{
		"idempotent":   balance.Idempotent,
		"deduplicated": balance.Deduplicated,
		"at_most_once": balance.AtMostOnce,
	}
	Scopes = map[string]balance.Scope{
		"":     balance.ScopeAll,
		"all":  balance.ScopeAll,
		"zone": balance.ScopeZone,
		"cell": balance.ScopePodGroup,
	}
)

// Settings are the balancer's settings at a sidecar.
func (p *Plan) Settings(sidecar int) balance.Settings {
	s := p.Scenario
	settings := balance.Settings{
		Seed:              p.Seed*settingsSeedFactor + uint64(sidecar),
		Ordinal:           sidecar,
		Peers:             s.Fleet.Sidecars,
		Zone:              s.Fleet.Zones[sidecar%len(s.Fleet.Zones)],
		Zones:             s.Fleet.Zones,
		Service:           settingsService,
		MaxAttempts:       settingsMaxAttempts,
		CancelAllowed:     true,
		HedgingAllowed:    true,
		SlowStartWindow:   s.Fleet.SlowStartWindow.Std(),
		SlowStartCapacity: s.Fleet.SlowStartCapacity,
		OverloadMultiple:  s.Fleet.OverloadMultiple,
		OverloadWindow:    s.Fleet.OverloadWindow.Std(),
		CrossZoneCharge:   settingsCrossZoneCharge,
	}
	for _, kind := range s.Fleet.Kinds {
		settings.Kinds = append(settings.Kinds, kind.Name)
	}
	for i := range s.Classes {
		settings.Classes = append(settings.Classes, classSettings(&s.Classes[i]))
	}
	for _, tenant := range s.Tenants {
		settings.Tenants = append(settings.Tenants, balance.Tenant{Name: tenant.Name, Allowance: tenant.Allowance})
	}
	return settings
}

// classSettings are the balancer's settings of a class.
func classSettings(class *scenario.Class) balance.Class {
	return balance.Class{
		Name:             class.Name,
		LatencyObjective: class.LatencyObjective.Std(),
		Deadline:         class.Deadline.Std(),
		Priority:         class.Priority,
		DedupeWindow:     class.DedupeWindow.Std(),
		Effect:           Effects[class.Effect],
		Scope:            Scopes[class.Scope],
	}
}

package loopback

import (
	"encoding/json"
	"fmt"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/runplan"
)

// object is a JSON object.
type object = map[string]any

const (
	// Limits of the container in which a sidecar runs.
	sidecarCores    = 1.0
	sidecarMemoryMB = 192
	sidecarSockets  = 1024

	// maxInFlight is how many requests a sidecar holds at once.
	maxInFlight = 20000

	// The scope and the deduplication window of a class that names no scope.
	defaultWindow = 5 * time.Second
	defaultScope  = "all"
)

// sidecarConfig returns the configuration of a sidecar in the platform's form.
func (r *run) sidecarConfig(sidecar int) []byte {
	discovery, settings := r.discoveries[sidecar], r.plan.Settings(sidecar)
	text, err := json.Marshal(object{
		"name":      fmt.Sprintf("n%d", sidecar),
		"listen":    r.sidecars[sidecar].address,
		"discovery": discovery.Address(),
		"seed":      fmt.Sprintf("%016x", settings.Seed),
		"limits":    object{"cores": sidecarCores, "memory_mb": sidecarMemoryMB, "sockets": sidecarSockets},
		"known":     discovery.Snapshot(),
		"settings":  settingsObject(r.plan, sidecar, settings),
	})
	if err != nil {
		// It holds plain values only.
		panic(fmt.Sprintf("sockets: a configuration that cannot be written: %v", err))
	}
	return text
}

// settingsObject returns the settings of a sidecar.
func settingsObject(plan *runplan.Plan, sidecar int, settings balance.Settings) object {
	fleet := plan.Scenario.Fleet
	return object{
		"areas":           fleet.Zones,
		"models":          settings.Kinds,
		"my_zone":         settings.Zone,
		"ordinal":         sidecar,
		"peers_total":     fleet.Sidecars,
		"discovery":       "pushed",
		"tier":            0,
		"tiers":           []string{"lab"},
		"weight_source":   "nominal",
		"worth_by":        "work",
		"request_classes": classObjects(plan),
		"tenants":         tenantObjects(plan),
		"charges":         object{"cross_zone": settings.CrossZoneCharge},
		"limits":          limitsObject(plan, settings.MaxAttempts),
		"rules": object{
			"answer_slack_s":        0.02,
			"cold_s":                settings.SlowStartWindow.Seconds(),
			"start_capacity":        settings.SlowStartCapacity,
			"fall_multiple":         settings.OverloadMultiple,
			"fall_s":                settings.OverloadWindow.Seconds(),
			"must_ask_in_s":         10,
			"stop_sending_within_s": 1,
		},
	}
}

// limitsObject returns the limits within the settings of all sidecars.
func limitsObject(plan *runplan.Plan, maxAttempts int) object {
	s := plan.Scenario
	return object{
		"cancelling":        true,
		"connect_timeout_s": s.Network.ConnectTimeout.Std().Seconds(),
		"idle_close_s":      s.Fleet.IdleClose.Std().Seconds(),
		"max_retry_after_s": s.Clients.MaxRetryAfter.Std().Seconds(),
		"most_held":         maxInFlight,
		"probes":            true,
		"retry_after":       true,
		"second_copies":     true,
		"streams_per_conn":  1,
		"try_limit":         maxAttempts,
	}
}

// classObjects returns the request classes of the scenario.
func classObjects(plan *runplan.Plan) (classes []object) {
	for _, class := range plan.Scenario.Classes {
		scope, window := class.Scope, class.DedupeWindow.Std()
		if scope == "" {
			scope, window = defaultScope, defaultWindow
		}
		classes = append(classes, object{
			"name":       class.Name,
			"effect":     class.Effect,
			"group":      scope,
			"aim_s":      class.LatencyObjective.Std().Seconds(),
			"deadline_s": class.Deadline.Std().Seconds(),
			"credit":     class.Priority,
			"late_value": 0,
			"stream":     false,
			"window_s":   window.Seconds(),
		})
	}
	return classes
}

// tenantObjects returns the tenants of the scenario.
func tenantObjects(plan *runplan.Plan) (tenants []object) {
	for _, tenant := range plan.Scenario.Tenants {
		tenants = append(tenants, object{
			"name":            tenant.Name,
			"allowance_per_s": tenant.Allowance,
			"share":           tenant.Share,
		})
	}
	return tenants
}

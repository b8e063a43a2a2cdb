package proxy

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/wire"
)

// LocalSettingKeys are the keys of the settings that each sidecar reads from its own configuration file. All other
// settings come from the policy.
var LocalSettingKeys = []string{"ordinal", "peers_total", "my_zone", "areas", "models", "tier", "tiers", "discovery"}

// checkedPolicy is a policy that passed the checks of this sidecar.
type checkedPolicy struct {
	settings balance.Settings
	names    *wire.Names
	limits   wire.Limits
	document map[string]any
}

// parse parses a policy document and merges the local settings of this sidecar into it.
func (g *PolicyGate) parse(text []byte) (policy checkedPolicy, err error) {
	if err := json.Unmarshal(text, &policy.document); err != nil {
		return policy, fmt.Errorf("policy: %w", err)
	}
	for _, key := range LocalSettingKeys {
		if _, ok := policy.document[key]; ok {
			return policy, fmt.Errorf("policy: %s: is of each sidecar's own place, in its own file", key)
		}
	}
	merged := maps.Clone(policy.document)
	maps.Copy(merged, g.localSettings)
	object, err := json.Marshal(merged)
	if err != nil {
		return policy, fmt.Errorf("policy: %w", err)
	}
	policy.settings, policy.names, policy.limits, err = wire.SettingsJSON(0, object)
	if err != nil {
		return policy, fmt.Errorf("policy: %w", err)
	}
	policy.limits = config.LimitsWithDefaults(policy.limits)
	return policy, nil
}

// CheckPolicy returns an error if a sidecar of this configuration cannot apply a policy. A running sidecar also checks
// the policy against the settings that it has applied since its start.
func CheckPolicy(c *config.Config, text []byte) error {
	policy, err := NewPolicyGate(nil, c).parse(text)
	if err != nil {
		return err
	}
	_, err = balance.New(policy.settings, noActions{})
	return err
}

// noActions implements balance.Actions for a Balancer that only validates settings.
type noActions struct{ balance.Actions }

// Timer implements balance.Actions.
func (noActions) Timer(time.Duration, uint64) {}

package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"milletramp.example/milletramp/balance"
)

// Names maps the class and tenant names in requests to indexes into the settings.
type Names struct {
	Class  map[string]int
	Tenant map[string]int
}

// Limits are the settings for the process that hosts the Balancer. Zero means that the setting is absent.
type Limits struct {
	ConnectTimeout time.Duration // time in which a connection has to be established
	IdleClose      time.Duration // time after which servers close idle connections
	MaxInFlight    int           // maximum number of requests in flight
	MaxRetryAfter  time.Duration // longest Retry-After that clients honour
}

var (
	// discoveryModes maps each discovery mode to whether endpoint lists are polled.
	discoveryModes = map[string]bool{
		"pushed":     false,
		"on_request": true,
	}
	effects = map[string]balance.Effect{
		"idempotent":   balance.Idempotent,
		"deduplicated": balance.Deduplicated,
		"at_most_once": balance.AtMostOnce,
	}
	scopes = map[string]balance.Scope{
		"":      balance.ScopePodGroup,
		noValue: balance.ScopePodGroup,
		"all":   balance.ScopeAll,
		"zone":  balance.ScopeZone,
		"cell":  balance.ScopePodGroup,
	}
)

// requiredKeys are the settings without which an instance cannot start. Classes and tenants have further required
// settings.
var requiredKeys = []string{"peers_total", "ordinal", "request_classes.count", "limits.try_limit", "my_zone"}

// SettingsJSON parses the settings of a production sidecar from a nested JSON object. Paths and words are the same as
// in the text protocol. Unknown keys are skipped. For an invalid or missing value, it returns a SettingError or a
// MissingSettingError.
func SettingsJSON(seed uint64, object []byte) (balance.Settings, *Names, Limits, error) {
	decoder := json.NewDecoder(bytes.NewReader(object))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return balance.Settings{}, nil, Limits{}, fmt.Errorf("settings: %w", err)
	}
	s := newTreeReader(tree)
	settings := s.readSettings(seed)
	limits := s.readLimits()
	return settings, namesOf(settings), limits, s.err
}

// parseSettings parses the settings of an instance from key=value pairs. Unknown keys are skipped.
func parseSettings(seed uint64, pairs [][]byte) (balance.Settings, *Names, error) {
	s, err := newPairsReader(pairs)
	if err != nil {
		return balance.Settings{}, nil, err
	}
	settings := s.readSettings(seed)
	return settings, namesOf(settings), s.err
}

func namesOf(settings balance.Settings) *Names {
	names := &Names{Class: map[string]int{}, Tenant: map[string]int{}}
	for i, class := range settings.Classes {
		names.Class[class.Name] = i
	}
	for i, tenant := range settings.Tenants {
		names.Tenant[tenant.Name] = i
	}
	return names
}

func (s *settingsReader) readLimits() Limits {
	limits := Limits{
		ConnectTimeout: s.nonNegativeDuration("limits.connect_timeout_s"),
		IdleClose:      s.nonNegativeDuration("limits.idle_close_s"),
		MaxInFlight:    s.integer("limits.most_held"),
		MaxRetryAfter:  s.nonNegativeDuration("limits.max_retry_after_s"),
	}
	if limits.MaxInFlight < 0 {
		s.fail("limits.most_held", "a number from 0 up")
	}
	return limits
}

func (s *settingsReader) readSettings(seed uint64) balance.Settings {
	for _, key := range requiredKeys {
		s.require(key)
	}
	s.requirePositive("limits.try_limit")
	settings := balance.Settings{
		Seed:    seed,
		Ordinal: s.integer("ordinal"),
		Peers:   s.integer("peers_total"),
		Zone:    s.values["my_zone"],
		Zones:   s.list("areas"),
		Kinds:   s.list("models"),

		MaxAttempts:    s.integer("limits.try_limit"),
		CancelAllowed:  s.boolean("limits.cancelling"),
		HedgingAllowed: s.boolean("limits.second_copies"),

		PollDiscovery: lookup(s, "discovery", discoveryModes),
		MaxListAge:    s.duration("rules.must_ask_in_s"),

		SlowStartWindow:   s.duration("rules.cold_s"),
		SlowStartCapacity: s.float("rules.start_capacity"),
		OverloadMultiple:  s.float("rules.fall_multiple"),
		OverloadWindow:    s.duration("rules.fall_s"),
		CrossZoneCharge:   s.float("charges.cross_zone"),
	}
	settings.Service = s.readService()
	for i := range s.listLength("request_classes.count") {
		settings.Classes = append(settings.Classes, s.readClass("request_classes."+strconv.Itoa(i)))
	}
	for i := range s.listLength("tenants.count") {
		settings.Tenants = append(settings.Tenants, s.readTenant("tenants."+strconv.Itoa(i)))
	}
	return settings
}

// readService returns the name of the server tier that the sidecar calls, or "" if the settings contain none.
func (s *settingsReader) readService() string {
	tiers := s.list("tiers")
	tier := s.integer("tier")
	if tier < 0 || tier >= len(tiers) {
		return ""
	}
	return tiers[tier]
}

func (s *settingsReader) readClass(path string) balance.Class {
	s.requirePositive(path + ".deadline_s")
	return balance.Class{
		Name:             s.require(path + ".name"),
		Effect:           lookup(s, path+".effect", effects),
		Scope:            lookup(s, path+".group", scopes),
		DedupeWindow:     s.duration(path + ".window_s"),
		LatencyObjective: s.duration(path + ".aim_s"),
		Deadline:         s.duration(path + ".deadline_s"),
		Priority:         s.float(path + ".credit"),
		LateShare:        s.float(path + ".late_value"),
	}
}

func (s *settingsReader) readTenant(path string) balance.Tenant {
	return balance.Tenant{
		Name:      s.require(path + ".name"),
		Allowance: s.float(path + ".allowance_per_s"),
	}
}

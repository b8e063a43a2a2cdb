package balance

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// checkSettings returns an error that names an invalid field, or nil if the settings are valid.
func checkSettings(set Settings, act Actions) error {
	switch {
	case act == nil:
		return errors.New("no actions")
	case len(set.Classes) == 0:
		return errors.New("field Classes: no classes")
	case set.Peers < 1:
		return fmt.Errorf("field Peers: %d sidecars", set.Peers)
	case set.Ordinal < 0 || set.Ordinal >= set.Peers:
		return fmt.Errorf("field Ordinal: sidecar %d of %d", set.Ordinal, set.Peers)
	case set.MaxAttempts < 1:
		return fmt.Errorf("field MaxAttempts: %d attempts", set.MaxAttempts)
	case set.MaxAttempts > maxAttemptsPerRequest:
		return fmt.Errorf("field MaxAttempts: %d attempts, %d at most", set.MaxAttempts, maxAttemptsPerRequest)
	case !inRange(set.SlowStartCapacity, 0, 1):
		return fmt.Errorf("field StartCapacity: %v is no share from 0 to 1", set.SlowStartCapacity)
	}
	for i, c := range set.Classes {
		if err := checkClass(c); err != nil {
			return fmt.Errorf("class %d, %q: %w", i, c.Name, err)
		}
	}
	for i, t := range set.Tenants {
		if err := checkAmount("Allowance", t.Allowance); err != nil {
			return fmt.Errorf("tenant %d, %q: %w", i, t.Name, err)
		}
	}
	return errors.Join(
		checkAmount("FallMultiple", set.OverloadMultiple),
		checkAmount("CrossCharge", set.CrossZoneCharge),
		checkTime("MustAsk", set.MaxListAge),
		checkTime("ColdTime", set.SlowStartWindow),
		checkTime("FallTime", set.OverloadWindow),
		checkRules(set.Rules),
	)
}

// inRange reports whether x is a number from low to high.
func inRange(x, low, high float64) bool { return x >= low && x <= high }

func checkAmount(field string, x float64) error {
	if !inRange(x, 0, math.MaxFloat64) {
		return fmt.Errorf("field %s: %v is not a number from 0 up", field, x)
	}
	return nil
}

func checkTime(field string, d time.Duration) error {
	if d < 0 {
		return fmt.Errorf("field %s: %v is negative", field, d)
	}
	return nil
}

func checkClass(c Class) error {
	switch {
	case c.LatencyObjective <= 0:
		return fmt.Errorf("field Aim: %v is not above 0", c.LatencyObjective)
	case c.Deadline < c.LatencyObjective:
		return fmt.Errorf("field Deadline: %v is before the aim of %v", c.Deadline, c.LatencyObjective)
	case c.Effect < Idempotent || c.Effect > AtMostOnce:
		return fmt.Errorf("field Effect: %d is unknown", c.Effect)
	case c.Scope < ScopeAll || c.Scope > ScopePodGroup:
		return fmt.Errorf("field Scope: %d is unknown", c.Scope)
	case !inRange(c.LatePriorityShare, 0, 1):
		return fmt.Errorf("field LateWorth: %v is no share from 0 to 1", c.LatePriorityShare)
	}
	return errors.Join(checkAmount("Worth", c.Priority), checkTime("DedupeWindow", c.DedupeWindow))
}

// checkRules returns an error that names the first invalid rule and its field, or nil.
func checkRules(rules []Rule) error {
	for i, r := range rules {
		if err := checkRule(r); err != nil {
			return fmt.Errorf("rule %d, %q: %w", i, r.Name, err)
		}
	}
	return nil
}

func checkRule(r Rule) error {
	if len(r.Source) == 0 {
		return errors.New("field Source: no tag to match on")
	}
	if len(r.Service) == 0 {
		return errors.New("field Service: no tag to match on")
	}
	for tag := range r.Service {
		if tag != "service" {
			return fmt.Errorf("field Service: tag %q, only service is allowed", tag)
		}
	}
	var sum float64
	for i, d := range r.Destinations {
		if !inRange(d.Weight, 0, math.MaxFloat64) {
			return fmt.Errorf("field Destinations[%d]: weight %v is not a number from 0 up", i, d.Weight)
		}
		sum += d.Weight
	}
	if !inRange(sum, math.SmallestNonzeroFloat64, math.MaxFloat64) {
		return errors.New("field Destinations: the weights have no sum above 0")
	}
	return nil
}

package sidecar

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
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

// optionalKeys are keys that a file may leave out though the one before had them: news, and what the platform's page lets be
// absent.
var optionalKeys = []string{"known", "aim_stretch", "passes_deadline", "warm_keys"}

// missingKey returns the first key, by its path, that a configuration lacks though the one in use has it, or "". A
// file that was written in part still parses, and what it lacks would pass for 0 or false.
func missingKey(path string, inUse, fresh any) string {
	switch inUse := inUse.(type) {
	case map[string]any:
		fresh, ok := fresh.(map[string]any)
		if !ok {
			return path
		}
		keys := make([]string, 0, len(inUse))
		for key := range inUse {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		for _, key := range keys {
			if slices.Contains(optionalKeys, key) || inUse[key] == nil {
				continue
			}
			at := strings.TrimPrefix(path+"."+key, ".")
			if fresh[key] == nil {
				return at
			}
			if missing := missingKey(at, inUse[key], fresh[key]); missing != "" {
				return missing
			}
		}
	case []any:
		fresh, ok := fresh.([]any)
		if !ok {
			return path
		}
		// The entries of a list come and go. What all of them have, each new one has.
		common := commonKeys(inUse)
		for i, entry := range fresh {
			if missing := missingKey(fmt.Sprintf("%s.%d", path, i), common, entry); len(common) > 0 && missing != "" {
				return missing
			}
		}
	}
	return ""
}

// commonKeys returns the keys that all entries of a list have, none if any is no object.
func commonKeys(list []any) map[string]any {
	var common map[string]any
	for i, entry := range list {
		object, ok := entry.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			common = map[string]any{}
			for key, value := range object {
				if value != nil {
					common[key] = true
				}
			}
		}
		for key := range common {
			if object[key] == nil {
				delete(common, key)
			}
		}
	}
	return common
}

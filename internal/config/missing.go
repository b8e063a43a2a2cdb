package config

import (
	"fmt"
	"slices"
	"strings"
)

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

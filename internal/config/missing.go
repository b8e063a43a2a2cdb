package config

import (
	"fmt"
	"slices"
	"strings"
)

// optionalKeys are the keys that a reloaded file may omit although the file in use has them.
var optionalKeys = []string{"known", "aim_stretch", "passes_deadline", "warm_keys"}

// missingKey returns the path of the first key of the current document that the reloaded one lacks, or "". A partly
// written file may still parse, and its missing keys would be read as 0 or false.
func missingKey(path string, current, reloaded any) string {
	switch current := current.(type) {
	case map[string]any:
		reloaded, ok := reloaded.(map[string]any)
		if !ok {
			return path
		}
		return missingInObject(path, current, reloaded)
	case []any:
		reloaded, ok := reloaded.([]any)
		if !ok {
			return path
		}
		return missingInList(path, current, reloaded)
	}
	return ""
}

// missingInObject returns the path of the first missing key of an object, in alphabetical order, or "".
func missingInObject(path string, current, reloaded map[string]any) string {
	keys := make([]string, 0, len(current))
	for key := range current {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		if slices.Contains(optionalKeys, key) || current[key] == nil {
			continue
		}
		keyPath := strings.TrimPrefix(path+"."+key, ".")
		if reloaded[key] == nil {
			return keyPath
		}
		if missing := missingKey(keyPath, current[key], reloaded[key]); missing != "" {
			return missing
		}
	}
	return ""
}

// missingInList returns the path of the first key that an entry of a list lacks, or "". Entries may be added and
// removed, but each entry must have the keys that all current entries have.
func missingInList(path string, current, reloaded []any) string {
	common := commonKeys(current)
	if len(common) == 0 {
		return ""
	}
	for i, entry := range reloaded {
		if missing := missingKey(fmt.Sprintf("%s.%d", path, i), common, entry); missing != "" {
			return missing
		}
	}
	return ""
}

// commonKeys returns the keys that all entries of a list have. It returns nil if an entry is not an object.
func commonKeys(list []any) map[string]any {
	var common map[string]any
	for i, entry := range list {
		object, ok := entry.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			common = presentKeys(object)
		}
		for key := range common {
			if object[key] == nil {
				delete(common, key)
			}
		}
	}
	return common
}

// presentKeys returns the keys of an object whose values are not null.
func presentKeys(object map[string]any) map[string]any {
	present := map[string]any{}
	for key, value := range object {
		if value != nil {
			present[key] = true
		}
	}
	return present
}

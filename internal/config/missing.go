package config

import (
	"fmt"
	"slices"
	"strings"
)

// optionalKeys are keys that a newer file may leave out though the file in use has them.
var optionalKeys = []string{"known", "aim_stretch", "passes_deadline", "warm_keys"}

// missingKey returns the path of the first key that a document lacks though the one in use has it, or "". A file that
// was written in part may still parse, and what it lacks would be taken for 0 or false.
func missingKey(path string, inUse, fresh any) string {
	switch inUse := inUse.(type) {
	case map[string]any:
		fresh, ok := fresh.(map[string]any)
		if !ok {
			return path
		}
		return missingInObject(path, inUse, fresh)
	case []any:
		fresh, ok := fresh.([]any)
		if !ok {
			return path
		}
		return missingInList(path, inUse, fresh)
	}
	return ""
}

// missingInObject returns the path of the first key, in the order of their names, that an object lacks.
func missingInObject(path string, inUse, fresh map[string]any) string {
	keys := make([]string, 0, len(inUse))
	for key := range inUse {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		if slices.Contains(optionalKeys, key) || inUse[key] == nil {
			continue
		}
		keyPath := strings.TrimPrefix(path+"."+key, ".")
		if fresh[key] == nil {
			return keyPath
		}
		if missing := missingKey(keyPath, inUse[key], fresh[key]); missing != "" {
			return missing
		}
	}
	return ""
}

// missingInList returns the path of the first key that an entry of a list lacks. Entries come and go, but each new one
// has the keys that all entries in use have.
func missingInList(path string, inUse, fresh []any) string {
	common := commonKeys(inUse)
	if len(common) == 0 {
		return ""
	}
	for i, entry := range fresh {
		if missing := missingKey(fmt.Sprintf("%s.%d", path, i), common, entry); missing != "" {
			return missing
		}
	}
	return ""
}

// commonKeys returns the keys that all entries of a list have, none if one of them is no object.
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

// presentKeys returns the keys of an object that are not null.
func presentKeys(object map[string]any) map[string]any {
	present := map[string]any{}
	for key, value := range object {
		if value != nil {
			present[key] = true
		}
	}
	return present
}

package config

import (
	"maps"
	"slices"
	"testing"
)

// TestCommonKeysOfDifferentEntries: the common keys are those that all entries have with a value that is not null. A
// list with an entry that is not an object has no common keys.
func TestCommonKeysOfDifferentEntries(t *testing.T) {
	type object = map[string]any
	for _, tt := range []struct {
		name string
		list []any
		want []string
	}{
		{"no entry", nil, nil},
		{"one entry", []any{object{"a": 1.0, "b": "x"}}, []string{"a", "b"}},
		{"second entry lacks a key", []any{object{"a": 1.0, "b": 2.0}, object{"a": 3.0}}, []string{"a"}},
		{"first entry lacks a key", []any{object{"a": 1.0}, object{"a": 2.0, "b": 3.0}}, []string{"a"}},
		{"only the last entry lacks a key",
			[]any{object{"a": 1.0, "b": 2.0}, object{"a": 1.0, "b": 2.0}, object{"b": 3.0}}, []string{"b"}},
		{"null in the first entry", []any{object{"a": nil, "b": 1.0}, object{"a": 1.0, "b": 1.0}}, []string{"b"}},
		{"null in the second entry", []any{object{"a": 1.0, "b": 1.0}, object{"a": nil, "b": 1.0}}, []string{"b"}},
		{"no common key", []any{object{"a": 1.0}, object{"b": 1.0}}, nil},
		{"not an object after an object", []any{object{"a": 1.0}, "a"}, nil},
		{"not an object before an object", []any{3.0, object{"a": 1.0}}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := slices.Sorted(maps.Keys(commonKeys(tt.list))); !slices.Equal(got, tt.want) {
				t.Errorf("keys %v, want %v", got, tt.want)
			}
		})
	}
}

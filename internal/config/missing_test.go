package config

import (
	"maps"
	"slices"
	"testing"
)

// TestCommonKeysOfDifferentEntries: the keys that all entries have, with a value, are the common ones. A list with an
// entry that is no object has none.
func TestCommonKeysOfDifferentEntries(t *testing.T) {
	type object = map[string]any
	for _, tt := range []struct {
		name string
		list []any
		want []string
	}{
		{"no entry", nil, nil},
		{"one entry", []any{object{"a": 1.0, "b": "x"}}, []string{"a", "b"}},
		{"a key that the second lacks", []any{object{"a": 1.0, "b": 2.0}, object{"a": 3.0}}, []string{"a"}},
		{"a key that the first lacks", []any{object{"a": 1.0}, object{"a": 2.0, "b": 3.0}}, []string{"a"}},
		{"a key that only the last lacks",
			[]any{object{"a": 1.0, "b": 2.0}, object{"a": 1.0, "b": 2.0}, object{"b": 3.0}}, []string{"b"}},
		{"a null in the first", []any{object{"a": nil, "b": 1.0}, object{"a": 1.0, "b": 1.0}}, []string{"b"}},
		{"a null in the second", []any{object{"a": 1.0, "b": 1.0}, object{"a": nil, "b": 1.0}}, []string{"b"}},
		{"nothing in common", []any{object{"a": 1.0}, object{"b": 1.0}}, nil},
		{"no object after one", []any{object{"a": 1.0}, "a"}, nil},
		{"no object before one", []any{3.0, object{"a": 1.0}}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := slices.Sorted(maps.Keys(commonKeys(tt.list))); !slices.Equal(got, tt.want) {
				t.Errorf("keys %v, want %v", got, tt.want)
			}
		})
	}
}

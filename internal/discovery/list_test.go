package discovery

import (
	"strings"
	"testing"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestParseListRejectsInvalidLists checks that a list with one fault is rejected completely and that the error names
// the fault.
func TestParseListRejectsInvalidLists(t *testing.T) {
	validEntry := testserver.EndpointEntry("s-0", "127.0.0.1:9", "SERVING", 0)
	negativeWeightEntry := `{"uid":"s-1","endpoint":"127.0.0.1:9","state":"SERVING","capacity_hint":-0.5}`
	unknownStateEntry := testserver.EndpointEntry("s-1", "127.0.0.1:9", "RESTING", 0)
	entryWithoutUID := testserver.EndpointEntry("", "127.0.0.1:9", "SERVING", 0)
	for _, tt := range []struct{ name, text, want string }{
		{"no rev", `{"all":true,"targets":[` + validEntry + `]}`, "list has no rev"},
		{"negative capacity_hint", testserver.ListText(1, true, validEntry, negativeWeightEntry),
			`target 1, "s-1": capacity_hint -0.5 is negative`},
		{"unknown state", testserver.ListText(1, true, validEntry, unknownStateEntry),
			`target 1, "s-1": unknown state "RESTING"`},
		{"no uid", testserver.ListText(1, true, validEntry, entryWithoutUID), "target 1 has no uid"},
		{"truncated JSON", `{"rev":1,"targets":[`, "list: unexpected end of JSON input"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			list, err := ParseList([]byte(tt.text))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one that contains %q", err, tt.want)
			}
			if len(list.Endpoints) > 0 {
				t.Errorf("rejected list has %d endpoints, want 0", len(list.Endpoints))
			}
		})
	}
}

// TestMissingCapacityHintMeansWeightOne checks that an endpoint without capacity_hint has weight 1 and that a given
// capacity_hint is used as the weight, including 0.
func TestMissingCapacityHintMeansWeightOne(t *testing.T) {
	for _, tt := range []struct {
		name, hint string
		want       float64
	}{
		{"missing", "", 1},
		{"zero", `,"capacity_hint":0`, 0},
		{"given", `,"capacity_hint":2.5`, 2.5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			entry := `{"uid":"s-0","endpoint":"127.0.0.1:9","state":"SERVING"` + tt.hint + `}`
			list, err := ParseList([]byte(testserver.ListText(1, true, entry)))
			if err != nil {
				t.Fatal(err)
			}
			if got := list.Endpoints[0].Weight; got != tt.want {
				t.Errorf("weight %v, want %v", got, tt.want)
			}
		})
	}
}

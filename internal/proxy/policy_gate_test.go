package proxy

import (
	"encoding/json"
	"maps"
	"strings"
	"testing"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestCheckPolicy: a policy has all settings but those of a sidecar's own place, and is checked as it would run.
func TestCheckPolicy(t *testing.T) {
	c := loadConfig(t, "", testserver.Settings)
	document := maps.Clone(c.SettingsDocument())
	for _, key := range LocalSettingKeys {
		delete(document, key)
	}
	encoded, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	good := string(encoded)
	for _, tt := range []struct{ name, old, new, want string }{
		{"good", "", "", ""},
		{"no JSON", good, good[:len(good)-1], "policy: unexpected end of JSON input"},
		{"a sidecar's own place", "{", `{"my_zone":"a",`, "policy: my_zone: is of each sidecar's own place"},
		{"a class of unknown effect", `"effect":"at_most_once"`, `"effect":"twice"`, "effect"},
		{"a deadline before the latency objective", `"aim_s":20`, `"aim_s":99`, "is before the aim"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(good, tt.old, tt.new, 1)
			if tt.want != "" && text == good {
				t.Fatalf("%s is not in the policy", tt.old)
			}
			err := CheckPolicy(c, []byte(text))
			if (err == nil) != (tt.want == "") || err != nil && !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want %q", err, tt.want)
			}
		})
	}
}

package proxy

import (
	"encoding/json"
	"maps"
	"strings"
	"testing"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestCheckPolicy checks that a policy must not contain local settings of a sidecar, and that its settings are
// validated in the same way as those of a sidecar.
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
	valid := string(encoded)
	for _, tt := range []struct{ name, old, new, want string }{
		{"valid", "", "", ""},
		{"malformed JSON", valid, valid[:len(valid)-1], "policy: unexpected end of JSON input"},
		{"local setting", "{", `{"my_zone":"a",`, "policy: my_zone: is of each sidecar's own place"},
		{"class with an unknown effect", `"effect":"at_most_once"`, `"effect":"twice"`, "effect"},
		{"deadline before the latency objective", `"aim_s":20`, `"aim_s":99`, "is before the aim"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(valid, tt.old, tt.new, 1)
			if tt.want != "" && text == valid {
				t.Fatalf("the policy does not contain %s", tt.old)
			}
			err := CheckPolicy(c, []byte(text))
			if (err == nil) != (tt.want == "") || err != nil && !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one that contains %q", err, tt.want)
			}
		})
	}
}

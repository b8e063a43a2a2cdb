package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// validScenario is a scenario without errors. Each test case of TestParseErrors changes one line of it.
const validScenario = `name = "x"
about = "something"
length = "10s"
[fleet]
sidecars = 2
nodes = 3
zones = ["a", "b"]
[[fleet.kind]]
name = "k"
share = 1
cores = 2
speed = 1
[load]
use = 0.5
[[class]]
name = "read"
share = 1
work = "50ms"
cv = 0.5
aim = "400ms"
deadline = "2s"
worth = 1
effect = "idempotent"
[[trouble]]
kind = "slow"
at = "3s"
for = "2s"
part = 0.5
size = 3
`

func TestParseErrors(t *testing.T) {
	if _, err := Parse("good.toml", validScenario); err != nil {
		t.Fatalf("valid scenario: %v", err)
	}
	for _, tt := range []struct{ from, to, want string }{
		{`length = "10s"`, `length = 10`, "good.toml:3: "},
		{`length = "10s"`, `length = "10"`, `"10" is not a duration with a unit`},
		{`length = "10s"`, `length = "10 parsecs"`, `is not a duration with a unit`},
		{`sidecars = 2`, `sidecar = 2`, `good.toml:5: unknown key "fleet.sidecar"`},
		{`sidecars = 2`, `sidecars = 0`, "good.toml:5: fleet.sidecars is 0, must be from 1"},
		{`sidecars = 2`, `sidecars = "two"`, "good.toml:5: "},
		{`zones = ["a", "b"]`, `zones = []`, "good.toml:7: fleet.zones is empty"},
		{"share = 1\ncores", "share = 0.5\ncores", "good.toml:8: the shares of the kinds add up to 0.500, must add up to 1"},
		{`speed = 1`, `speed = 0`, "good.toml:12: fleet.kind[0].speed is 0"},
		{`use = 0.5`, `use = 0.5` + "\nrate = 3", "good.toml:13: load needs either"},
		{`use = 0.5`, `use = nan`, "good.toml:14: load.use is NaN"},
		{`share = 1` + "\nwork", `share = 0.9` + "\nwork", "good.toml:15: the shares of the classes add up to 0.900, must add up to 1"},
		{`aim = "400ms"`, `aim = "3s"`, "good.toml:21: class[0].deadline is 2s, must be from 3s"},
		{`effect = "idempotent"`, `effect = "safe"`, `good.toml:23: class[0].effect is "safe"`},
		{`effect = "idempotent"`, `effect = "deduplicated"`, "scope is \"\", must be all, zone or cell"},
		{`effect = "idempotent"`, "effect = \"idempotent\"\nwindow = \"3s\"", "scope and window require effect = \"deduplicated\""},
		{`kind = "slow"`, `kind = "sloth"`, `good.toml:25: unknown trouble "sloth", known are burst, `},
		{`at = "3s"`, `at = "30s"`, "good.toml:26: trouble[0].at is 30s, must be from 0s to 10s"},
		{`part = 0.5`, `part = 1.5`, "good.toml:28: trouble[0].part is 1.5"},
		{`size = 3`, `class = "read"`, "good.toml:29: trouble \"slow\" has no key class"},
		{`kind = "slow"`, `kind = "swallow"` + "\nclass = \"write\"", `names class "write", which the scenario does not have`},
		{`kind = "slow"`, `kind = "zone_cut"`, `names zone "", which the fleet does not have`},
		{`about = "something"`, `about = "`, "good.toml:2: "},
		{`about = "something"`, `extends = "nothing"`, "good.toml:2: extends \"nothing\": open"},
		{`about = "something"`, `extends = "../x"`, "good.toml:2: extends is \"../x\""},
	} {
		t.Run(tt.to, func(t *testing.T) {
			text := strings.Replace(validScenario, tt.from, tt.to, 1)
			if text == validScenario {
				t.Fatalf("validScenario does not contain %q", tt.from)
			}
			if _, err := Parse("good.toml", text); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got error %v\nwant an error that contains %q", err, tt.want)
			}
		})
	}
}

// TestExtends checks that an extending scenario replaces the values that it contains and inherits the others except the
// faults.
func TestExtends(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"base": validScenario, "far": "extends = \"base\"\n"} {
		if err := os.WriteFile(filepath.Join(dir, name+".toml"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	file := filepath.Join(dir, "child.toml")
	s, err := Parse(file, "extends = \"base\"\nname = \"child\"\n[load]\nrate = 7\n[[fleet.kind]]\nname = \"z\"\nshare = 1\ncores = 8\nspeed = 2\n")
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "child" || s.Rate() != 7 || s.Fleet.Nodes != 3 || len(s.Fleet.Kinds) != 1 || s.Fleet.Kinds[0].Cores != 8 ||
		len(s.Faults) != 0 {
		t.Errorf("got %+v", s)
	}
	for text, want := range map[string]string{
		"extends = \"far\"\nname = \"c\"":                 "only one level is allowed",
		"extends = \"base\"\n[fleet]\nzones = [\"q\", 1]": "child.toml:3",
		"extends = \"base\"\nlength = \"1s\"\n":           "base.toml:", // the default warm-up of 2 s exceeds half of the length
	} {
		if _, err := Parse(file, text); err == nil || !strings.Contains(err.Error(), want) {
			if want != "base.toml:" || err == nil {
				t.Errorf("%q: got error %v, want an error that contains %q", text, err, want)
			}
		}
	}
}

func TestSet(t *testing.T) {
	s, err := Parse("good.toml", validScenario)
	if err != nil {
		t.Fatal(err)
	}
	for path, value := range map[string]string{"load.rate": "12", "trouble[0].size": "4", "class[0].aim": "300ms", "notice.from": "0.2"} {
		if _, err := s.Set(path, value); err != nil {
			t.Errorf("%s = %s: %v", path, value, err)
		}
	}
	changed, err := s.Set("trouble[0].size", "4")
	if err != nil || changed.Faults[0].Size != 4 || s.Faults[0].Size != 3 {
		t.Errorf("got size %v in the copy, want 4, and %v in the original, want 3; error %v", changed.Faults[0].Size, s.Faults[0].Size, err)
	}
	for path, want := range map[string]string{"load.speed": "there is no", "trouble[4].size": "has no entry", "name": "cannot be varied",
		"load.use.x": "a float64 has no keys", "trouble[0].part": "must be from"} {
		if _, err := s.Set(path, "7"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want an error that contains %q", path, err, want)
		}
	}
}

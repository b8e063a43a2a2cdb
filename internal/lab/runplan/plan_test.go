package runplan_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path/filepath"
	"testing"

	"milletramp.example/milletramp/internal/lab/runplan"
	"milletramp.example/milletramp/internal/lab/scenario"
)

// seeds are how many seeds each scenario is drawn for.
const seeds = 3

// plansHash hashes the values of a scenario's plans, without the names of fields.
func plansHash(t *testing.T, s *scenario.Scenario) string {
	t.Helper()
	hash := sha256.New()
	for seed := range uint64(seeds) {
		plan := runplan.Draw(s, seed)
		fmt.Fprintf(hash, "%v %v ", plan.Machines, plan.FirstFault)
		fmt.Fprintf(hash, "%v %v ", plan.LastFaultEnd, plan.DedupeWindow())
		for _, action := range plan.Actions {
			fmt.Fprintf(hash, "%d %d %d %d ", action.At, action.Kind, action.Node, action.Class)
			fmt.Fprintf(hash, "%v %v ", action.Value, action.On)
		}
		for sidecar := range s.Fleet.Sidecars {
			fmt.Fprintf(hash, "%v ", plan.Settings(sidecar))
		}
	}
	return hex.EncodeToString(hash.Sum(nil)[:8])
}

// TestPlansAreReproducible holds that a scenario and a seed give the same plan as when the hashes were taken. The
// scenarios have a fault of each kind. A change that only moves or renames code keeps the hashes.
func TestPlansAreReproducible(t *testing.T) {
	for _, tt := range []struct{ scenario, want string }{
		{"burst-slow", "b55ed6c1945aa5a1"},
		{"crash", "22f1503f836d3daa"},
		{"cut-links", "966327dce8ab6b9d"},
		{"discovery-odd", "883b3096a6ad6214"},
		{"discovery-silent", "669520668ec5b805"},
		{"errors", "4b4df64c8401978d"},
		{"flood", "59c748e1f97529b7"},
		{"hot-key", "7fbcee45417eeb7d"},
		{"large-zone-silent", "681b344d0713cfe2"},
		{"morning", "8b2b3ec6e1ce1059"},
		{"power-cut", "59c9b95cf46822fc"},
		{"release", "b80e5df6ed2c1b7d"},
		{"short-faults", "209500005b6e05a4"},
		{"shrink", "73dca2d60622ad02"},
		{"sidecars-restart", "6a3e8ba4c9bb2d17"},
		{"stray", "e0074eeb1789d4a2"},
		{"swallow", "e1829178f0aca067"},
		{"turn-away", "cd8d3aaca43c490b"},
		{"vanish", "0a4e27d04d5fde88"},
		{"zone-cut", "fa8ec3dff10f45be"},
	} {
		t.Run(tt.scenario, func(t *testing.T) {
			s, err := scenario.Read(filepath.Join("..", "..", "..", "lab", tt.scenario+".toml"))
			if err != nil {
				t.Fatal(err)
			}
			if got := plansHash(t, s); got != tt.want {
				t.Errorf("hash %s, want %s", got, tt.want)
			}
		})
	}
}

package sim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"reflect"
	"testing"

	"milletramp.example/milletramp/internal/lab/fleet/faultplan"
)

// hashRun runs a plan and returns a hash of the run's results. It visits the record's fields by position, so that
// renaming a field does not change the hash, and skips functions, which have no printed form.
func hashRun(p faultplan.Plan) string {
	hash := sha256.New()
	fleet := newFleet(p)
	record := reflect.ValueOf(fleet.Run())
	for i := range record.NumField() {
		if field := record.Field(i); field.Kind() != reflect.Func {
			fmt.Fprintf(hash, "%v\n", field.Interface())
		}
	}
	fmt.Fprintln(hash, deliveries(fleet))
	return hex.EncodeToString(hash.Sum(nil)[:8])
}

// TestHistoryIsReproducible checks that a plan and its seed produce the same history in every build. A change to this
// package alone must not change the hashes; a change to the fleet's protocol or to the drawing of plans may.
func TestHistoryIsReproducible(t *testing.T) {
	for _, c := range []struct {
		name string
		plan faultplan.Plan
		hash string
	}{
		{"three sidecars", faultplan.Draw(1, 3, length), "5f6d83d4f863d0e3"},
		{"six sidecars", faultplan.Draw(11, 6, length), "4de156e55d66759b"},
		{"ten sidecars", faultplan.Draw(7, 10, length), "f5ab13da76411fa5"},
		{"upgrades", faultplan.DrawUpgrades(3, 7, length), "3f5da2d3e1ec2c12"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if hash := hashRun(c.plan); hash != c.hash {
				t.Errorf("hash of the history = %s, want %s", hash, c.hash)
			}
		})
	}
}

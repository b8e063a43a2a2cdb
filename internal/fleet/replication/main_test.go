package replication

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// TestMain checks properties with 10,000 draws unless a flag sets another number, in a slot for CPU-bound packages.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", fmt.Sprint(testrun.Draws(10000))) // flag of package rapid, which always exists
	os.Exit(testrun.Compute(m))
}

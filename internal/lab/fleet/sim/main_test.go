package sim

import (
	"os"
	"testing"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// TestMain runs these tests, which run in simulated time, in a slot for packages that only compute.
func TestMain(m *testing.M) { os.Exit(testrun.Compute(m)) }

package sim

import (
	"os"
	"testing"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// TestMain runs the tests in a slot for packages that only compute, as they use simulated time.
func TestMain(m *testing.M) { os.Exit(testrun.Compute(m)) }

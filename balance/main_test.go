package balance

import (
	"os"
	"testing"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// TestMain runs these tests, which read no clock, in a slot for packages that only compute.
func TestMain(m *testing.M) { os.Exit(testrun.Compute(m)) }

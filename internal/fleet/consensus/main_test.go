package consensus

import (
	"os"
	"testing"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// TestMain runs these tests, which do not depend on real time, in a slot for compute-only packages.
func TestMain(m *testing.M) { os.Exit(testrun.Compute(m)) }

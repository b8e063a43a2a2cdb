package sim_test

import (
	"os"
	"testing"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// TestMain runs the tests in a slot for CPU-bound packages, as they do not depend on the wall clock.
func TestMain(m *testing.M) { os.Exit(testrun.Compute(m)) }

package policy

import (
	"os"
	"testing"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// TestMain runs the tests in a slot for packages that only compute, because they do not read the clock.
func TestMain(m *testing.M) { os.Exit(testrun.Compute(m)) }

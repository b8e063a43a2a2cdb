package replication

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// TestMain tries properties 10,000 times, unless the call says otherwise, in a slot for packages that only compute.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", fmt.Sprint(testrun.Draws(10000))) // a flag of a library that is there
	os.Exit(testrun.Compute(m))
}

package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// TestMain checks each property 10,000 times, unless a flag sets another number, in a slot for packages that only
// compute.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", fmt.Sprint(testrun.Draws(10000))) // the flag is defined by an imported package
	os.Exit(testrun.Compute(m))
}

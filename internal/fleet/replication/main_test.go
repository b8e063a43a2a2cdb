package replication

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"milletramp.example/milletramp/internal/lab/aside"
)

// TestMain has properties be tried 10,000 times, unless the call says otherwise, and behind what keeps time.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", fmt.Sprint(aside.Draws(10000))) // a flag of a library that is there
	os.Exit(aside.Run(m))
}

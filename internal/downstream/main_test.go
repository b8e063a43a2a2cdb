package downstream

import (
	"fmt"
	"os"
	"testing"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// TestMain prevents other packages with timing-sensitive tests from running at the same time.
func TestMain(m *testing.M) {
	release, err := testrun.Exclusive()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	status := m.Run()
	release()
	os.Exit(status)
}

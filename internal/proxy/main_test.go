package proxy

import (
	"fmt"
	"os"
	"testing"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// TestMain runs these tests while no tests of other packages that measure time are running.
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
